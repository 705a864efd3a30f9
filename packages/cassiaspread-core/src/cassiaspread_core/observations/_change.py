"""Decides which changes of a target are published to peers."""

import msgspec

from cassiaspread_core.observations._observation import Observation
from cassiaspread_core.pipeline import EngineReport

# Smallest published change in the number of sequences, as a fraction of the slots.
LOAD_CHANGE_THRESHOLD = 0.25

# Largest unpublished change in the step time, as a fraction of the last published one.
STEP_TIME_CHANGE_THRESHOLD = 0.2


def needs_publishing(published: Observation | None, current: Observation) -> bool:
    """Return whether a new observation is to be published to peers.

    :param published: the last published observation, if any.
    :param current: the new one.
    """
    if published is None or not differs_only_in_load(published, current):
        return True
    if published.report is None or current.report is None:
        return False
    n_changed = abs(_n_sequences(current.report) - _n_sequences(published.report))
    return n_changed >= max(1.0, LOAD_CHANGE_THRESHOLD * current.report.n_slots)


def differs_only_in_load(published: Observation, current: Observation) -> bool:
    """Return whether two observations differ in nothing but the load.

    Step times within the threshold count as equal.

    :param published: the last published observation.
    :param current: another observation of the same target.
    """
    if published.incarnation != current.incarnation:
        return False
    if published.report is None or current.report is None:
        return published.report is current.report
    change_ms = abs(current.report.step_ms - published.report.step_ms)
    if change_ms > STEP_TIME_CHANGE_THRESHOLD * published.report.step_ms:
        return False
    return _without_load(published.report) == _without_load(current.report)


def _n_sequences(report: EngineReport) -> int:
    return report.n_running + report.n_queued


def _without_load(report: EngineReport) -> EngineReport:
    return msgspec.structs.replace(report, step_ms=0.0, n_running=0, n_queued=0)
