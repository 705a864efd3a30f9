"""What one daemon saw of one target at one time."""

import msgspec

from cassiaspread_core.base import TargetId, VmId
from cassiaspread_core.pipeline import EngineReport
from cassiaspread_core.timeline import Timestamp


class Observation(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """What a poller saw of a target.

    :param target: the target.
    :param poller: VM of the daemon that polled.
    :param stamp: when, on the hybrid logical clock; orders the observations of all
        daemons, also those of different incarnations of the target.
    :param incarnation: the start of the target that was seen, empty if none was.
    :param report: the report of an engine; none of a service or of a lost target.
    :param slot: number by which the poller's load updates name the target.
    """

    target: TargetId
    poller: VmId
    stamp: Timestamp
    incarnation: str = ""
    report: EngineReport | None = None
    slot: int = 0

    @property
    def is_up(self) -> bool:
        """Whether the target answered."""
        return bool(self.incarnation)


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The load of an engine of which the receiver has the rest.

    :param slot: number that the poller gave to the engine.
    :param stamp: when, on the hybrid logical clock.
    :param n_running: sequences that it was decoding.
    :param n_queued: sequences that were waiting.
    """

    slot: int
    stamp: Timestamp
    n_running: int
    n_queued: int

    def apply(self, present: Observation) -> Observation | None:
        """Return the observation that this update makes of a former one.

        :param present: what is known from the same poller.
        :returns: ``None`` if that is not of the engine that the update names.
        """
        if present.report is None or present.slot != self.slot:
            return None
        report = msgspec.structs.replace(
            present.report, n_running=self.n_running, n_queued=self.n_queued
        )
        return msgspec.structs.replace(present, stamp=self.stamp, report=report)


def to_load_update(observation: Observation) -> LoadUpdate | None:
    """Return the part of an observation that changes often, if it has one.

    :param observation: the observation.
    """
    report = observation.report
    if report is None:
        return None
    return LoadUpdate(
        observation.slot, observation.stamp, report.n_running, report.n_queued
    )


def merge_observations(
    present: Observation | None, heard: Observation | None
) -> Observation | None:
    """Keep the newer of two observations of one target by one poller.

    The result depends neither on the order nor on the number of merges.

    :param present: the observation that is known, if any.
    :param heard: the observation that came, if any.
    """
    if present is None or heard is None:
        return present or heard
    return max(present, heard, key=lambda o: (o.stamp, msgspec.msgpack.encode(o)))
