"""Selection of the engines that a request passes through, and the load on them."""

from cassiaspread_core.chains._chain import (
    Chain,
    RequestDemand,
    Stage,
    choose_chain,
    stage_load,
)
from cassiaspread_core.chains._links import (
    MAX_WAIT_RATIO,
    LinkId,
    LinkSchedule,
    link_between,
    links_of,
    transfer_s,
)
from cassiaspread_core.chains._load import NO_LOAD, LoadLedger, StageLoad
from cassiaspread_core.chains._unreported import UnreportedStarts

__all__ = [
    "MAX_WAIT_RATIO",
    "NO_LOAD",
    "Chain",
    "LinkId",
    "LinkSchedule",
    "LoadLedger",
    "RequestDemand",
    "Stage",
    "StageLoad",
    "UnreportedStarts",
    "choose_chain",
    "link_between",
    "links_of",
    "stage_load",
    "transfer_s",
]
