"""Which changes of a target are worth telling to peers."""

import msgspec

from cassiaspread_core.observations._observation import Observation
from cassiaspread_core.pipeline import EngineReport

# Smallest change of the work on an engine, as a share of its slots.
LOAD_THRESHOLD = 0.25

# Smallest change of the time of a step, as a share of the time told last.
STEP_THRESHOLD = 0.2


def is_worth_telling(told: Observation | None, seen: Observation) -> bool:
    """Decide whether peers are told of a new observation.

    :param told: the observation that they were told last, if any.
    :param seen: the new one.
    """
    if told is None or not is_load_change(told, seen):
        return True
    if told.report is None or seen.report is None:
        return False
    n_changed = abs(_n_sequences(seen.report) - _n_sequences(told.report))
    return n_changed >= max(1.0, LOAD_THRESHOLD * seen.report.n_slots)


def is_load_change(told: Observation, seen: Observation) -> bool:
    """Return whether two observations differ in the load at most.

    :param told: an observation.
    :param seen: another one of the same target.
    """
    if told.incarnation != seen.incarnation:
        return False
    if told.report is None or seen.report is None:
        return told.report is seen.report
    change_ms = abs(seen.report.step_ms - told.report.step_ms)
    if change_ms > STEP_THRESHOLD * told.report.step_ms:
        return False
    return _without_load(told.report) == _without_load(seen.report)


def _n_sequences(report: EngineReport) -> int:
    return report.n_running + report.n_queued


def _without_load(report: EngineReport) -> EngineReport:
    return msgspec.structs.replace(report, step_ms=0.0, n_running=0, n_queued=0)
