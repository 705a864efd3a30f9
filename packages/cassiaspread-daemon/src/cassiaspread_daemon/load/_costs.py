"""Predicted costs of stages and links for the planner of one daemon."""

import random
import time
from collections.abc import Callable, Collection, Iterable, Iterator
from contextlib import contextmanager

from cassiaspread_core.base import TargetId
from cassiaspread_core.load import (
    LinkTable,
    LoadTracker,
    StageTime,
    make_link_cost,
    make_stage_cost,
    n_sequences,
    observe_round,
    sample_candidates,
    step_time_ms,
)
from cassiaspread_core.pipeline import EngineReport, Stage

# Assumed age of an engine's report, which states no time; own requests since then are
# counted in addition. Too high an age costs little throughput, too low an age more.
REPORT_LAG_S = 2.0

# Added to the cost of an engine that runs a suspect request, so that it is used only if
# there is no alternative.
SUSPECT_ENGINE_COST_MS = 10_000.0


class PlanCosts:
    """Costs of stages and links for the plans of one daemon.

    :param random_state: generator for the choice among plans of similar cost.
    :param n_daemons: returns the number of daemons that send to the same engines.
    :param reserved_targets: returns the engines that run suspect requests.
    """

    def __init__(
        self,
        random_state: random.Random,
        n_daemons: Callable[[], int],
        reserved_targets: Callable[[], Collection[TargetId]],
    ) -> None:
        self._random_state = random_state
        self._reserved_targets = reserved_targets
        self._tracker = LoadTracker(n_daemons)
        self._links = LinkTable()
        self._stage_cost = make_stage_cost(self._tracker, random_state)
        self._reports: dict[TargetId, EngineReport] = {}
        self.link_cost = make_link_cost(self._links)

    def candidates(
        self, engines: Collection[EngineReport], keep: Collection[Stage] = ()
    ) -> list[EngineReport]:
        """Return the engines from which a plan is chosen.

        :param engines: last reports of the usable engines.
        :param keep: stages whose engines are always included.
        """
        kept = {stage.engine for stage in keep}
        candidates = sample_candidates(engines, self._random_state)
        if kept:
            sampled = {engine.target for engine in candidates}
            missing = kept - sampled
            candidates += [e for e in engines if e.target in missing]
        return candidates

    def observe(self, engines: Iterable[EngineReport]) -> None:
        """Record the reports that are new.

        :param engines: last reports of the engines.
        """
        now_s = time.monotonic()
        for engine in engines:
            if self._reports.get(engine.target) is not engine:
                self._reports[engine.target] = engine
                self._tracker.report(
                    engine.target, n_sequences(engine), now_s - REPORT_LAG_S, now_s
                )

    def stage_cost(self, engine: EngineReport) -> float:
        """Return the predicted cost of a stage, in milliseconds.

        :param engine: last report of the engine.
        """
        cost = self._stage_cost(engine)
        if engine.target in self._reserved_targets():
            return cost + SUSPECT_ENGINE_COST_MS
        return cost

    @contextmanager
    def count_sequence(self, targets: Collection[TargetId]) -> Iterator[None]:
        """Count a sequence on its engines for the duration of the context.

        :param targets: engines of its plan.
        """
        self._tracker.start(targets, time.monotonic())
        try:
            yield
        finally:
            self._tracker.end(targets, time.monotonic())

    def update_link_costs(
        self, targets: Collection[TargetId], round_ms: float | None
    ) -> None:
        """Update the link costs of a plan from the token interval of its stream.

        :param targets: engines of the plan, in order.
        :param round_ms: time between two tokens, in milliseconds; ``None`` if too few
            tokens were received.
        """
        reports = [self._reports[t] for t in targets if t in self._reports]
        if round_ms is None or len(reports) < len(targets):
            return
        stages = [
            StageTime(engine, step_time_ms(engine, self._tracker.load(engine.target)))
            for engine in reports
        ]
        observe_round(self._links, stages, round_ms)
