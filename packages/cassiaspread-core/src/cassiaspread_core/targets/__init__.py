"""Health, pace and silence of targets, and reachability of failure domains."""

from cassiaspread_core.targets._closures import MAX_CLOSED_S, TargetClosures
from cassiaspread_core.targets._health import DomainReachability, TargetHealth
from cassiaspread_core.targets._intervals import EventIntervals
from cassiaspread_core.targets._pace import INITIAL_LIMIT, Pace, count_places
from cassiaspread_core.targets._paces import (
    MAX_REPORTED,
    PaceChange,
    PaceEvent,
    PaceRow,
    TargetPaces,
    UnansweredRequest,
)
from cassiaspread_core.targets._silence import Silence, is_gone

__all__ = [
    "INITIAL_LIMIT",
    "MAX_CLOSED_S",
    "MAX_REPORTED",
    "DomainReachability",
    "EventIntervals",
    "Pace",
    "PaceChange",
    "PaceEvent",
    "PaceRow",
    "Silence",
    "TargetClosures",
    "TargetHealth",
    "TargetPaces",
    "UnansweredRequest",
    "count_places",
    "is_gone",
]
