"""Whether a target is used, from all that is known of it."""

from collections.abc import Collection
from typing import NamedTuple

from cassiaspread_core.base import VmId
from cassiaspread_core.observations._observation import Observation
from cassiaspread_core.timeline import Timestamp


class Failure(NamedTuple):
    """A failure of a target that this daemon saw itself.

    :param stamp: when, on the hybrid logical clock.
    """

    stamp: Timestamp


def judge_target(
    own: VmId,
    observations: Collection[Observation],
    pollers: Collection[VmId],
    failure: Failure | None = None,
) -> Observation | None:
    """Choose the observation by which a target is used.

    A target is used if any of those who poll it reaches it, as the latest of them saw
    it; who polled it formerly counts until one who polls it now has seen it. If this
    daemon saw the target fail, only what it saw itself afterwards counts.

    :param own: VM of this daemon.
    :param observations: the latest one of each poller.
    :param pollers: VMs of those who poll the target.
    :param failure: latest failure that this daemon saw, if any.
    :returns: ``None`` if the target is not to be used.
    """
    if failure is not None:
        counted = [
            o for o in observations if o.poller == own and o.stamp > failure.stamp
        ]
    else:
        counted = [o for o in observations if o.poller in pollers]
    if not counted and failure is None:
        counted = list(observations)
    up = [o for o in counted if o.is_up]
    return max(up, key=lambda o: (o.stamp, o.poller), default=None)
