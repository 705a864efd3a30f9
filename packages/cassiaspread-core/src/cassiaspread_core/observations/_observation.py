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
    """

    target: TargetId
    poller: VmId
    stamp: Timestamp
    incarnation: str = ""
    report: EngineReport | None = None

    @property
    def is_up(self) -> bool:
        """Whether the target answered."""
        return bool(self.incarnation)


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The load of an engine of which the receiver has the rest.

    :param target: the engine.
    :param poller: VM of the daemon that polled.
    :param stamp: when, on the hybrid logical clock.
    :param incarnation: the start of the engine that was seen.
    :param step_ms: time of one decoding step, in milliseconds.
    :param n_running: sequences that it was decoding.
    :param n_queued: sequences that were waiting.
    """

    target: TargetId
    poller: VmId
    stamp: Timestamp
    incarnation: str
    step_ms: float
    n_running: int
    n_queued: int

    def apply(self, present: Observation | None) -> Observation | None:
        """Return the observation that this update makes of a former one.

        :param present: what is known from the same poller, if anything.
        :returns: ``None`` if it belongs to another start of the engine.
        """
        if present is None or present.report is None:
            return None
        if present.incarnation != self.incarnation:
            return None
        report = msgspec.structs.replace(
            present.report,
            step_ms=self.step_ms,
            n_running=self.n_running,
            n_queued=self.n_queued,
        )
        return msgspec.structs.replace(present, stamp=self.stamp, report=report)


def to_load_update(observation: Observation) -> LoadUpdate:
    """Return the part of an observation that changes often.

    :param observation: observation of an engine that answered.
    """
    report = observation.report
    assert report is not None
    return LoadUpdate(
        observation.target,
        observation.poller,
        observation.stamp,
        observation.incarnation,
        report.step_ms,
        report.n_running,
        report.n_queued,
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
