"""Observation of one target by one daemon at one time."""

import msgspec

from cassiaspread_core.base import Count, TargetId, VmId
from cassiaspread_core.pipeline import EngineReport, check_report
from cassiaspread_core.timeline import Timestamp


class Observation(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Result of polling a target.

    :param target: the target.
    :param poller: VM of the daemon that polled.
    :param stamp: time of the poll, on the hybrid logical clock; orders the
        observations of all daemons, also across incarnations of the target.
    :param incarnation: the incarnation that answered, empty if none did.
    :param report: report of an engine; ``None`` for a service or a lost target.
    :param slot: number that identifies the target in the poller's load updates.
    """

    target: TargetId
    poller: VmId
    stamp: Timestamp
    incarnation: str = ""
    report: EngineReport | None = None
    slot: Count = 0

    @property
    def is_up(self) -> bool:
        """Whether the target answered."""
        return bool(self.incarnation)


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Load of an engine, sent to peers that have its other fields already.

    :param slot: number that the poller assigned to the engine.
    :param stamp: time of the poll, on the hybrid logical clock.
    :param n_running: sequences that the engine was decoding.
    :param n_queued: sequences that were waiting.
    """

    slot: Count
    stamp: Timestamp
    n_running: Count
    n_queued: Count

    def apply(self, current: Observation) -> Observation | None:
        """Return an observation with the load replaced by that of this update.

        :param current: the stored observation of the same poller.
        :returns: ``None`` if it is not an observation of the update's engine.
        """
        if current.report is None or current.slot != self.slot:
            return None
        report = msgspec.structs.replace(
            current.report, n_running=self.n_running, n_queued=self.n_queued
        )
        return msgspec.structs.replace(current, stamp=self.stamp, report=report)


def check_observation(observation: Observation) -> Observation:
    """Check an observation that another daemon sent.

    :param observation: the observation, as decoded.
    :returns: the observation.
    :raises MalformedDocument: its report is not usable.
    """
    if observation.report is not None:
        check_report(observation.report)
    return observation


def to_load_update(observation: Observation) -> LoadUpdate | None:
    """Return the load in an observation, ``None`` without an engine report.

    :param observation: the observation.
    """
    report = observation.report
    if report is None:
        return None
    return LoadUpdate(
        observation.slot, observation.stamp, report.n_running, report.n_queued
    )


def merge_observations(
    current: Observation | None, received: Observation | None
) -> Observation | None:
    """Return the newer of two observations of one target by one poller.

    The result depends neither on the order nor on the number of merges.

    :param current: the stored observation, if any.
    :param received: the received observation, if any.
    """
    if current is None or received is None:
        return current or received
    return max(current, received, key=lambda o: (o.stamp, msgspec.msgpack.encode(o)))
