"""Assignment of the layers of a model to engines."""

from cassiaspread_core.placement._candidates import HOLDER_TIMEOUT_S, is_candidate
from cassiaspread_core.placement._layout import (
    Coverage,
    Move,
    choose_cache_sequences,
    max_layers,
    plan_layout,
)
from cassiaspread_core.placement._losses import Contact, EngineLosses
from cassiaspread_core.placement._model import (
    MAX_LAYERS,
    MAX_SLOTS,
    NO_LAYERS,
    Accelerator,
    Engine,
    LayerNumber,
    LayerRange,
    ModelSpec,
    SlotCount,
    cache_capacity,
)
from cassiaspread_core.placement._rebalance import plan_moves

__all__ = [
    "HOLDER_TIMEOUT_S",
    "MAX_LAYERS",
    "MAX_SLOTS",
    "NO_LAYERS",
    "Accelerator",
    "Contact",
    "Coverage",
    "Engine",
    "EngineLosses",
    "LayerNumber",
    "LayerRange",
    "ModelSpec",
    "Move",
    "SlotCount",
    "cache_capacity",
    "choose_cache_sequences",
    "is_candidate",
    "max_layers",
    "plan_layout",
    "plan_moves",
]
