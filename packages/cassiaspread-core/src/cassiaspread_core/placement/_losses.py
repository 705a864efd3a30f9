"""Engines that have ended while the list of engines still shows them.

Load: several engines of one chain crash at once. The list shows an engine until its
entry expires, seconds later, and for so long nothing restores the layers that were
lost. The holder of the placement duty connects to the engines that daemons suspect, and
counts an engine as lost once it has failed to for long enough.
"""

from enum import Enum

import msgspec

from cassiaspread_core.base import Count, TargetId

# Time between the first and the last failed connection after which an engine is lost,
# in seconds. Nothing listens while a process ends or restarts; an engine at the limit
# of its connections answers again within a fraction of a second.
REFUSED_S = 0.25
# The same if nothing responds: a packet that was lost is sent again within this time.
SILENT_S = 0.5
# Failures further apart are not consecutive, in seconds: the daemon may have been
# suspended in between.
MAX_GAP_S = 1.5


class Contact(Enum):
    """Result of a connection to an engine.

    ACCEPTED: the engine accepted it.
    REFUSED: nothing listens at its address.
    SILENT: nothing responded, while another engine of its failure domain did.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


class _Failures(msgspec.Struct):
    incarnation: Count
    first_s: float
    last_s: float
    is_lost: bool = False


class EngineLosses:
    """Decides which engines count as lost.

    >>> losses = EngineLosses()
    >>> losses.record("e", 1, Contact.REFUSED, now_s=1.0)
    False
    >>> losses.record("e", 1, Contact.REFUSED, now_s=1.5)
    True
    >>> losses.is_lost("e", 1), losses.is_lost("e", 2)
    (True, False)
    >>> losses.record("e", 1, Contact.ACCEPTED, now_s=2.0), losses.is_lost("e", 1)
    (False, False)
    """

    def __init__(self) -> None:
        self._failures: dict[TargetId, _Failures] = {}

    @property
    def lost(self) -> set[TargetId]:
        """Engines that count as lost."""
        return {t for t, failures in self._failures.items() if failures.is_lost}

    def is_lost(self, target: TargetId, incarnation: int) -> bool:
        """Return whether a run of an engine counts as lost.

        :param target: the engine.
        :param incarnation: its run, as listed.
        """
        failures = self._failures.get(target)
        return (
            failures is not None
            and failures.is_lost
            and failures.incarnation == incarnation
        )

    def record(
        self, target: TargetId, incarnation: int, contact: Contact, now_s: float
    ) -> bool:
        """Record a connection to an engine.

        :param target: the engine.
        :param incarnation: its run, as listed.
        :param contact: the result.
        :param now_s: current time, in seconds.
        :returns: whether the engine counts as lost from now on, and did not before.
        """
        if contact is Contact.ACCEPTED:
            self._failures.pop(target, None)
            return False
        failures = self._failures.get(target)
        if (
            failures is None
            or failures.incarnation != incarnation
            or now_s - failures.last_s > MAX_GAP_S
        ):
            failures = self._failures[target] = _Failures(incarnation, now_s, now_s)
        failures.last_s = now_s
        min_s = REFUSED_S if contact is Contact.REFUSED else SILENT_S
        is_new = not failures.is_lost and now_s - failures.first_s >= min_s
        failures.is_lost |= is_new
        return is_new

    def retain(self, targets: set[TargetId]) -> None:
        """Forget all other engines.

        :param targets: the engines that are listed.
        """
        self._failures = {t: f for t, f in self._failures.items() if t in targets}
