"""Selection of the engines that a request passes through, and the load on them."""

from cassiaspread_core.chains._chain import (
    Chain,
    Demand,
    Stage,
    choose_chain,
    stage_load,
)
from cassiaspread_core.chains._load import NO_LOAD, LoadLedger, StageLoad
from cassiaspread_core.chains._unreported import UnseenStarts

__all__ = [
    "NO_LOAD",
    "Chain",
    "Demand",
    "LoadLedger",
    "Stage",
    "StageLoad",
    "UnseenStarts",
    "choose_chain",
    "stage_load",
]
