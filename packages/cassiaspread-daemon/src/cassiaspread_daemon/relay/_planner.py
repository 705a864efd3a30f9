"""Choice of the engines of a request: the only module that makes plans."""

from collections.abc import Collection

import msgspec

from cassiaspread_core.base import TargetId
from cassiaspread_core.pipeline import (
    Plan,
    Stage,
    check_plan,
    choose_plan,
    penalize_replacements,
)
from cassiaspread_daemon.fleet import TargetRegistry
from cassiaspread_daemon.load import PlanCosts
from cassiaspread_daemon.relay._request import GenerationRequest

MILLISECONDS_PER_SECOND = 1000

# Target and incarnation: a restarted engine counts as a different one.
EngineIncarnation = tuple[TargetId, str]


class PlannedChain(msgspec.Struct, frozen=True):
    """A plan and data of its engines at the time of planning.

    :param plan: stages in order.
    :param incarnations: incarnation of each engine that takes new work.
    :param step_s: predicted time per token, in seconds.
    """

    plan: Plan
    incarnations: dict[TargetId, str]
    step_s: float


class Planner:
    """Chooses plans.

    :param targets: registry of the targets.
    :param costs: costs of stages and links.
    """

    def __init__(self, targets: TargetRegistry, costs: PlanCosts) -> None:
        self._targets = targets
        self._costs = costs

    def choose(
        self,
        request: GenerationRequest,
        holders: Collection[Stage] = (),
        avoided: Collection[EngineIncarnation] = (),
        excluded: Collection[TargetId] = (),
    ) -> Plan | None:
        """Choose the chain of engines with the lowest predicted cost.

        :param request: request to run.
        :param holders: stages that hold the request's KV cache, to be preferred.
        :param avoided: incarnations of engines to exclude.
        :param excluded: engines to exclude in any incarnation.
        :returns: the plan, or ``None`` when no chain covers the model.
        """
        engines = [
            engine
            for engine in self._targets.engines(request.model)
            if (engine.target, engine.incarnation) not in avoided
            and engine.target not in excluded
        ]
        self._costs.observe(engines)
        plan = choose_plan(
            self._costs.candidates(engines, keep=holders),
            request.n_layers,
            penalize_replacements(self._costs.stage_cost, holders),
            self._costs.link_cost,
        )
        if plan is not None:
            check_plan(plan, request.n_layers)
        return plan

    def describe(self, request: GenerationRequest, plan: Plan) -> PlannedChain:
        """Add incarnations and predicted time per token to a plan.

        :param request: request that the plan runs.
        :param plan: stages in order; engines that take no new work are left out of the
            incarnations and the predicted time.
        """
        engines = {e.target: e for e in self._targets.engines(request.model)}
        reports = [engines[s.engine] for s in plan if s.engine in engines]
        step_ms = sum(engine.step_ms for engine in reports)
        incarnations = {engine.target: engine.incarnation for engine in reports}
        return PlannedChain(plan, incarnations, step_ms / MILLISECONDS_PER_SECOND)
