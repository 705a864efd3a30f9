"""Plans over layer ranges and the order of tokens."""

from cassiaspread_core.pipeline._plan import (
    EngineReport,
    Plan,
    Stage,
    check_plan,
    choose_plan,
)
from cassiaspread_core.pipeline._sequence import TokenSequence, TokenStep

__all__ = [
    "EngineReport",
    "Plan",
    "Stage",
    "TokenSequence",
    "TokenStep",
    "check_plan",
    "choose_plan",
]
