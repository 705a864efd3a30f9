"""Health of targets and reachability of failure domains."""

from cassiaspread_core.targets._health import DomainReachability, TargetHealth

__all__ = ["DomainReachability", "TargetHealth"]
