"""Which engine holds which layers of a model."""

from cassiaspread_core.placement._layout import (
    Coverage,
    Move,
    choose_cache_sequences,
    layers_that_fit,
    plan_layout,
)
from cassiaspread_core.placement._model import (
    NO_LAYERS,
    Accelerator,
    Engine,
    LayerRange,
    ModelSpec,
    cache_capacity,
)
from cassiaspread_core.placement._rebalance import plan_moves

__all__ = [
    "NO_LAYERS",
    "Accelerator",
    "Coverage",
    "Engine",
    "LayerRange",
    "ModelSpec",
    "Move",
    "cache_capacity",
    "choose_cache_sequences",
    "layers_that_fit",
    "plan_layout",
    "plan_moves",
]
