"""Selection of the engines that a request passes through, and the load on them."""

from cassiaspread_core.chains._chain import (
    Chain,
    RequestDemand,
    Stage,
    choose_chain,
    stage_load,
)
from cassiaspread_core.chains._load import NO_LOAD, LoadLedger, StageLoad
from cassiaspread_core.chains._unreported import UnreportedStarts

__all__ = [
    "NO_LOAD",
    "Chain",
    "LoadLedger",
    "RequestDemand",
    "Stage",
    "StageLoad",
    "UnreportedStarts",
    "choose_chain",
    "stage_load",
]
