"""The daemons that share work, once this one knows them."""

from cassiaspread_core.membership import Member
from cassiaspread_daemon.mesh import Mesh

# Time after its start in which a daemon that knows no other one expects to hear of
# some, in seconds.
SETTLE_S = 2.0


class FleetView:
    """The daemons that take work, this one included.

    :param mesh: messages between daemons; ``None`` if they do not communicate.
    :param started_s: when this daemon started, on the monotonic clock in seconds.
    """

    def __init__(self, mesh: Mesh | None, started_s: float) -> None:
        self._mesh = mesh
        self._started_s = started_s

    def members(self, now_s: float) -> list[Member]:
        """List the daemons; empty while this one has just started and knows none.

        :param now_s: current time, in seconds.
        """
        members = [] if self._mesh is None else self._mesh.active_members()
        is_settling = now_s < self._started_s + SETTLE_S
        return [] if is_settling and len(members) <= 1 else members
