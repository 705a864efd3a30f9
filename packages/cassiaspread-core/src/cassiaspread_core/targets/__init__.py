"""Health of targets, their silence, and reachability of failure domains."""

from cassiaspread_core.targets._health import DomainReachability, TargetHealth
from cassiaspread_core.targets._silence import Silence, is_gone

__all__ = ["DomainReachability", "Silence", "TargetHealth", "is_gone"]
