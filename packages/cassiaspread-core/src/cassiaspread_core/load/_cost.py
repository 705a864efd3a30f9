"""Predicted time of one step on an engine, for the planner."""

import random
from collections.abc import Callable, Iterable

from cassiaspread_core.load._tracker import LoadTracker
from cassiaspread_core.pipeline import EngineReport

# Near-equal plans are chosen among at random, so that daemons that plan from the same
# stale report don't all choose the same one.
SPREAD = 0.1

# Weight of the load below the number of slots, where it doesn't yet slow a step.
FILL_WEIGHT = 0.5

# Engines of one layer range that a plan is chosen from. More of them cost processor
# time with their square and make daemons agree on the same few.
N_CANDIDATES = 12

StageCost = Callable[[EngineReport], float]


def step_time_ms(engine: EngineReport, n_sequences: float) -> float:
    """Predict the time of one step with a number of sequences, in milliseconds.

    :param engine: the engine.
    :param n_sequences: sequences on it.
    """
    return engine.step_ms * max(1.0, n_sequences / engine.n_slots)


def make_stage_cost(
    tracker: LoadTracker, random_state: random.Random, spread: float = SPREAD
) -> StageCost:
    """Return the planner's cost of a stage.

    :param tracker: estimates the load.
    :param random_state: generator for the choice among near-equal plans.
    :param spread: largest factor, above 1, that chance puts on a cost.
    """

    def stage_cost(engine: EngineReport) -> float:
        n_sequences = tracker.load(engine.target) + 1
        fill = FILL_WEIGHT * n_sequences / engine.n_slots
        cost = step_time_ms(engine, n_sequences) + engine.step_ms * fill
        return cost * (1.0 + spread * random_state.random())

    return stage_cost


def sample_candidates(
    engines: Iterable[EngineReport],
    random_state: random.Random,
    n_candidates: int = N_CANDIDATES,
) -> list[EngineReport]:
    """Choose at random the engines that a plan is chosen from.

    The best of a few random choices is nearly as good as the best of all, and daemons
    with the same stale reports look at different ones.

    :param engines: engines that may be used.
    :param random_state: generator for the choice.
    :param n_candidates: most engines of one layer range.
    """
    by_range: dict[tuple[int, int], list[EngineReport]] = {}
    for engine in engines:
        by_range.setdefault((engine.begin, engine.end), []).append(engine)
    candidates: list[EngineReport] = []
    for group in by_range.values():
        if len(group) > n_candidates:
            group = random_state.sample(group, n_candidates)
        candidates += group
    return candidates
