"""Selects the observation on which the use of a target is based."""

from collections.abc import Collection
from typing import NamedTuple

from cassiaspread_core.base import VmId
from cassiaspread_core.observations._observation import Observation
from cassiaspread_core.timeline import Timestamp


class Failure(NamedTuple):
    """Failure of a target seen by this daemon.

    :param stamp: time of the failure, on the hybrid logical clock.
    """

    stamp: Timestamp


def select_observation(
    own: VmId,
    observations: Collection[Observation],
    pollers: Collection[VmId],
    failure: Failure | None = None,
) -> Observation | None:
    """Select the observation on which the use of a target is based.

    A target is used if any of its pollers reaches it; the latest such observation
    applies. Observations of former pollers count until a current poller has made one.
    If this daemon saw the target fail, only its own later observations count.

    :param own: VM of this daemon.
    :param observations: the latest observation of each poller.
    :param pollers: VMs of the daemons that poll the target now.
    :param failure: latest failure seen by this daemon, if any.
    :returns: ``None`` if the target must not be used.
    """
    if failure is not None:
        candidates = [
            o for o in observations if o.poller == own and o.stamp > failure.stamp
        ]
    else:
        candidates = [o for o in observations if o.poller in pollers]
    if not candidates and failure is None:
        candidates = list(observations)
    up = [o for o in candidates if o.is_up]
    return max(up, key=lambda o: (o.stamp, o.poller), default=None)
