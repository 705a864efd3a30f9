"""Chooses the engines of a request: the one place where a plan is made."""

from collections.abc import Collection

import msgspec

from cassiaspread_core.base import TargetId
from cassiaspread_core.pipeline import (
    Plan,
    Stage,
    check_plan,
    choose_plan,
    prefer_holders,
)
from cassiaspread_daemon.fleet import TargetRegistry
from cassiaspread_daemon.load import PlanCosts
from cassiaspread_daemon.relay._request import GenerationRequest

MILLISECONDS_PER_SECOND = 1000

# An engine and its start: one that restarted is another one.
EngineStart = tuple[TargetId, str]


class PlannedChain(msgspec.Struct, frozen=True):
    """A plan and what was known of its engines.

    :param plan: stages in order.
    :param starts: the starts of the engines that were planned on.
    :param step_s: predicted time of one token in seconds.
    """

    plan: Plan
    starts: dict[TargetId, str]
    step_s: float


class Planner:
    """Chooses plans.

    :param targets: known targets.
    :param costs: costs of stages and links.
    """

    def __init__(self, targets: TargetRegistry, costs: PlanCosts) -> None:
        self._targets = targets
        self._costs = costs

    def choose(
        self,
        request: GenerationRequest,
        holders: Collection[Stage] = (),
        avoided: Collection[EngineStart] = (),
        crowded: Collection[TargetId] = (),
    ) -> Plan | None:
        """Choose the chain of engines with the lowest predicted cost.

        :param request: what is to be run.
        :param holders: stages that hold the request's KV cache, which are kept.
        :param avoided: starts of engines that may not be used.
        :param crowded: engines that may not be used now, whatever their start.
        :returns: the plan, or ``None`` when no chain covers the model.
        """
        engines = [
            engine
            for engine in self._targets.engines(request.model)
            if (engine.target, engine.incarnation) not in avoided
            and engine.target not in crowded
        ]
        self._costs.observe(engines)
        plan = choose_plan(
            self._costs.candidates(engines, keep=holders),
            request.n_layers,
            prefer_holders(self._costs.stage_cost, holders),
            self._costs.link_cost,
        )
        if plan is not None:
            check_plan(plan, request.n_layers)
        return plan

    def describe(self, request: GenerationRequest, plan: Plan) -> PlannedChain:
        """Add to a plan what is known of its engines.

        :param request: what is run.
        :param plan: stages in order; one whose engine is unknown adds nothing.
        """
        engines = {e.target: e for e in self._targets.engines(request.model)}
        known = [engines[s.engine] for s in plan if s.engine in engines]
        step_ms = sum(engine.step_ms for engine in known)
        starts = {engine.target: engine.incarnation for engine in known}
        return PlannedChain(plan, starts, step_ms / MILLISECONDS_PER_SECOND)
