"""Estimates of engine load, step times and transfer times for the planner."""

from cassiaspread_core.load._cost import (
    make_stage_cost,
    sample_candidates,
    step_time_ms,
)
from cassiaspread_core.load._inter_token import InterTokenMeter
from cassiaspread_core.load._links import (
    LinkTable,
    StageTime,
    make_link_cost,
    observe_round,
)
from cassiaspread_core.load._tracker import LoadTracker, n_sequences

__all__ = [
    "InterTokenMeter",
    "LinkTable",
    "LoadTracker",
    "StageTime",
    "make_link_cost",
    "make_stage_cost",
    "n_sequences",
    "observe_round",
    "sample_candidates",
    "step_time_ms",
]
