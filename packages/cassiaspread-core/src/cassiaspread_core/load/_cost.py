"""Predicted time of one step on an engine, for the planner."""

import random
from collections.abc import Callable, Iterable

from cassiaspread_core.load._tracker import LoadTracker
from cassiaspread_core.pipeline import EngineReport

# Maximum relative random increase of a cost, so that daemons that plan from the same
# stale report don't all choose the same one of several nearly equal plans.
COST_JITTER = 0.1

# Weight of slot utilization in the cost, so that load counts even below the number of
# slots, where it does not yet lengthen a step.
UTILIZATION_WEIGHT = 0.5

# Candidate engines per layer range. The CPU time of planning grows with the square of
# this number, and with more candidates daemons tend to choose the same few engines.
N_CANDIDATES = 12

StageCost = Callable[[EngineReport], float]


def step_time_ms(engine: EngineReport, n_sequences: float) -> float:
    """Predict the step time of an engine at a given load, in milliseconds.

    :param engine: the engine.
    :param n_sequences: number of sequences on it.
    """
    return engine.step_ms * max(1.0, n_sequences / engine.n_slots)


def make_stage_cost(
    tracker: LoadTracker, random_state: random.Random, jitter: float = COST_JITTER
) -> StageCost:
    """Return the cost function of the planner for a stage.

    :param tracker: load estimates.
    :param random_state: generator for the variation of costs.
    :param jitter: maximum relative increase of a cost by random variation.
    """

    def stage_cost(engine: EngineReport) -> float:
        n_sequences = tracker.load(engine.target) + 1
        utilization_cost = UTILIZATION_WEIGHT * n_sequences / engine.n_slots
        cost = step_time_ms(engine, n_sequences) + engine.step_ms * utilization_cost
        return cost * (1.0 + jitter * random_state.random())

    return stage_cost


def sample_candidates(
    engines: Iterable[EngineReport],
    random_state: random.Random,
    n_candidates: int = N_CANDIDATES,
) -> list[EngineReport]:
    """Sample the engines that the planner considers.

    The best of a small random sample is nearly as good as the best of all, and daemons
    with the same stale reports consider different engines.

    :param engines: usable engines.
    :param random_state: generator for the sample.
    :param n_candidates: maximum number of engines per layer range.
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
