"""How well targets answer."""

from cassiaspread_core.targets._health import TargetHealth

__all__ = ["TargetHealth"]
