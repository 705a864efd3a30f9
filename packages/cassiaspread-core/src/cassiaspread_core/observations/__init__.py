"""What is known of targets, from own sight, from peers and from the VM list.

What a daemon sees itself outranks what it hears, which outranks the list.
"""

from cassiaspread_core.observations._board import ObservationBoard
from cassiaspread_core.observations._change import is_load_change, is_worth_telling
from cassiaspread_core.observations._judge import Failure, judge_target
from cassiaspread_core.observations._leaving import LeavingMark, LeavingMarks
from cassiaspread_core.observations._observation import (
    LoadUpdate,
    Observation,
    merge_observations,
    to_load_update,
)
from cassiaspread_core.observations._pollers import (
    N_POLLERS,
    choose_pollers,
    next_poll_s,
    poll_interval_s,
)

__all__ = [
    "N_POLLERS",
    "Failure",
    "LeavingMark",
    "LeavingMarks",
    "LoadUpdate",
    "Observation",
    "ObservationBoard",
    "choose_pollers",
    "is_load_change",
    "is_worth_telling",
    "judge_target",
    "merge_observations",
    "next_poll_s",
    "poll_interval_s",
    "to_load_update",
]
