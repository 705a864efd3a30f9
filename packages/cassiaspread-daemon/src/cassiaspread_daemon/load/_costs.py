"""What the planner of one daemon knows of loads and links."""

import random
import time
from collections.abc import Callable, Collection, Iterable, Iterator
from contextlib import contextmanager

from cassiaspread_core.base import TargetId
from cassiaspread_core.load import (
    LinkTable,
    LoadTracker,
    RoundTime,
    make_link_cost,
    make_stage_cost,
    n_sequences,
    observe_round,
    sample_candidates,
    step_time_ms,
)
from cassiaspread_core.pipeline import EngineReport, Stage

# Engines don't say when they counted. Counting own requests over a longer time than
# the true lag costs little throughput, counting them over a shorter one costs more.
REPORT_LAG_S = 2.0

# Added to the cost of an engine that runs a suspect: used only if nothing else is left.
CROWDED_COST_MS = 10_000.0


class PlanCosts:
    """Costs of stages and links for the plans of one daemon.

    :param random_state: generator for the choice among near-equal plans.
    :param n_daemons: returns how many daemons send to the same engines.
    :param crowded: returns the engines that run suspects.
    """

    def __init__(
        self,
        random_state: random.Random,
        n_daemons: Callable[[], int],
        crowded: Callable[[], Collection[TargetId]],
    ) -> None:
        self._random_state = random_state
        self._crowded = crowded
        self._tracker = LoadTracker(n_daemons)
        self._links = LinkTable()
        self._stage_cost = make_stage_cost(self._tracker, random_state)
        self._reports: dict[TargetId, EngineReport] = {}
        self.link_cost = make_link_cost(self._links)

    def candidates(
        self, engines: Collection[EngineReport], keep: Collection[Stage] = ()
    ) -> list[EngineReport]:
        """Return the engines to choose a plan from.

        :param engines: engines that may be used, with their last reports.
        :param keep: stages whose engines are among them in any case.
        """
        kept = {stage.engine for stage in keep}
        candidates = sample_candidates(engines, self._random_state)
        if kept:
            sampled = {engine.target for engine in candidates}
            missing = kept - sampled
            candidates += [e for e in engines if e.target in missing]
        return candidates

    def observe(self, engines: Iterable[EngineReport]) -> None:
        """Take in the reports that are new.

        :param engines: engines with their last reports.
        """
        now_s = time.monotonic()
        for engine in engines:
            if self._reports.get(engine.target) is not engine:
                self._reports[engine.target] = engine
                self._tracker.report(
                    engine.target, n_sequences(engine), now_s - REPORT_LAG_S, now_s
                )

    def stage_cost(self, engine: EngineReport) -> float:
        """Predict the cost of a stage in milliseconds.

        :param engine: the engine.
        """
        cost = self._stage_cost(engine)
        if engine.target in self._crowded():
            return cost + CROWDED_COST_MS
        return cost

    @contextmanager
    def running(self, targets: Collection[TargetId]) -> Iterator[None]:
        """Count a sequence on engines while the context lasts.

        :param targets: engines of its plan.
        """
        self._tracker.start(targets, time.monotonic())
        try:
            yield
        finally:
            self._tracker.end(targets, time.monotonic())

    def note_pace(self, targets: Collection[TargetId], round_ms: float | None) -> None:
        """Learn the links of a plan from the pace of its stream.

        :param targets: engines of the plan in order.
        :param round_ms: time between two tokens, ``None`` if too few came.
        """
        known = [self._reports[t] for t in targets if t in self._reports]
        if round_ms is None or len(known) < len(targets):
            return
        stages = [
            RoundTime(engine, step_time_ms(engine, self._tracker.load(engine.target)))
            for engine in known
        ]
        observe_round(self._links, stages, round_ms)
