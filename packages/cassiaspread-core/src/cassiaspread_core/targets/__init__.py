"""How well targets answer."""

from cassiaspread_core.targets._health import DomainReach, TargetHealth

__all__ = ["DomainReach", "TargetHealth"]
