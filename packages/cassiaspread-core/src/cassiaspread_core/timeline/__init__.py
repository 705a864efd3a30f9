"""Events of all processes in a common causal order."""

from cassiaspread_core.timeline._clock import HybridClock, Timestamp
from cassiaspread_core.timeline._merge import merge_events
from cassiaspread_core.timeline._ring import Event, EventRing

__all__ = ["Event", "EventRing", "HybridClock", "Timestamp", "merge_events"]
