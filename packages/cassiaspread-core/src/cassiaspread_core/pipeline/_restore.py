"""Chooses how each stage of a new plan restores the KV cache of a running request."""

from collections.abc import Callable, Collection
from enum import Enum

import msgspec

from cassiaspread_core.base import TargetId
from cassiaspread_core.pipeline._plan import EngineReport, Plan, Stage
from cassiaspread_core.pipeline._verdict import States

# Far more than any predicted step, so that a plan replaces as few stages as possible.
REPLACEMENT_COST_MS = 10_000.0


class RestoreMode(Enum):
    """How a stage restores its KV cache."""

    # Roll its own cache back to the position.
    KEEP = "keep"
    # Import the cache exported by an engine that ran the same layers.
    IMPORT = "import"
    # Recompute the cache from the prompt and the delivered tokens.
    PREFILL = "prefill"


class StageRestore(msgspec.Struct, frozen=True):
    """KV cache restore of one stage.

    :param mode: how the cache is restored.
    :param source: ``host:port`` of the engine to import from, empty for none.
    """

    mode: RestoreMode = RestoreMode.PREFILL
    source: str = ""


Restore = tuple[StageRestore, ...]

_PREFILL = StageRestore()


def find_holders(plan: Plan, states: States, position: int) -> list[Stage]:
    """List the stages that can roll back to a position.

    :param plan: the previous plan.
    :param states: states of its stages, ``None`` for one that did not answer.
    :param position: position of the next token to compute.
    """
    holders = []
    for stage in plan:
        state = states.get(stage.engine)
        if state is not None and state.n_positions >= position:
            holders.append(stage)
    return holders


def choose_restore(plan: Plan, holders: Collection[Stage]) -> Restore:
    """Choose the cheapest restore mode of each stage.

    Prefill at a stage needs the activations of all positions, so every earlier stage
    has to recompute them as well.

    :param plan: the new plan.
    :param holders: stages of the previous plan that can roll back to the position.

    >>> from cassiaspread_core.pipeline import Stage
    >>> a, b = Stage("a", "", "", 0, 4), Stage("b", "h:1", "", 4, 8)
    >>> c = Stage("c", "", "", 4, 8)
    >>> [r.mode.value for r in choose_restore((a, c), [a])]
    ['prefill', 'prefill']
    >>> [r.mode.value for r in choose_restore((a, c), [a, b])]
    ['keep', 'import']
    """
    choices = [_restore_stage(stage, holders) for stage in plan]
    n_prefills = max(
        (i + 1 for i, r in enumerate(choices) if r.mode is RestoreMode.PREFILL),
        default=0,
    )
    return (_PREFILL,) * n_prefills + tuple(choices[n_prefills:])


def penalize_replacements(
    stage_cost: Callable[[EngineReport], float], holders: Collection[Stage]
) -> Callable[[EngineReport], float]:
    """Return a stage cost that makes a plan replace as few stages as possible.

    :param stage_cost: predicted milliseconds of one step on an engine.
    :param holders: stages of the previous plan that can roll back to the position.
    """
    kept: set[TargetId] = {stage.engine for stage in holders}

    def cost(engine: EngineReport) -> float:
        extra = 0.0 if engine.target in kept else REPLACEMENT_COST_MS
        return stage_cost(engine) + extra

    return cost


def _restore_stage(stage: Stage, holders: Collection[Stage]) -> StageRestore:
    same_layers = [h for h in holders if (h.begin, h.end) == (stage.begin, stage.end)]
    if any(holder.engine == stage.engine for holder in same_layers):
        return StageRestore(RestoreMode.KEEP)
    if same_layers:
        return StageRestore(RestoreMode.IMPORT, same_layers[0].address)
    return _PREFILL
