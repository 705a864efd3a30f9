"""Health of targets and reachability of failure domains."""

from cassiaspread_core.targets._health import DomainReach, TargetHealth

__all__ = ["DomainReach", "TargetHealth"]
