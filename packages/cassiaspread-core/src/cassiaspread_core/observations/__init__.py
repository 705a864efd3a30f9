"""Observations of targets: own, reported by peers or derived from the VM list.

Own observations take precedence over those of peers, and these over the VM list.
"""

from cassiaspread_core.observations._change import (
    differs_only_in_load,
    needs_publishing,
)
from cassiaspread_core.observations._leaving import LeavingMark, LeavingMarks
from cassiaspread_core.observations._observation import (
    LoadUpdate,
    Observation,
    check_observation,
    merge_observations,
    to_load_update,
)
from cassiaspread_core.observations._pollers import (
    N_POLLERS,
    choose_pollers,
    next_poll_s,
    poll_interval_s,
)
from cassiaspread_core.observations._selection import Failure, select_observation
from cassiaspread_core.observations._table import ObservationTable

__all__ = [
    "N_POLLERS",
    "Failure",
    "LeavingMark",
    "LeavingMarks",
    "LoadUpdate",
    "Observation",
    "ObservationTable",
    "check_observation",
    "choose_pollers",
    "differs_only_in_load",
    "merge_observations",
    "needs_publishing",
    "next_poll_s",
    "poll_interval_s",
    "select_observation",
    "to_load_update",
]
