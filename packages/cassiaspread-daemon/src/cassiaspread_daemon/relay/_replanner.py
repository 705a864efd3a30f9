"""Choice of the engines for each attempt of one request."""

import asyncio

from cassiaspread_core.base import TargetId
from cassiaspread_core.pipeline import Plan, Stage
from cassiaspread_core.policy import Limits
from cassiaspread_daemon.fleet import TargetRegistry
from cassiaspread_daemon.load import RequestWatch
from cassiaspread_daemon.relay._attempt import EndKind
from cassiaspread_daemon.relay._diagnosis import Diagnosis
from cassiaspread_daemon.relay._planner import EngineIncarnation, PlannedChain, Planner
from cassiaspread_daemon.relay._request import GenerationRequest

REPLAN_POLL_S = 0.02
MILLISECONDS_PER_SECOND = 1000


class Replanner:
    """Plans attempts without the engines that failed the request.

    :param request: request to run.
    :param limits: limits in force for it.
    :param planner: chooses plans.
    :param targets: registry of the targets.
    :param watch: restricts the targets of the request if it crashes them.
    """

    def __init__(
        self,
        request: GenerationRequest,
        limits: Limits,
        planner: Planner,
        targets: TargetRegistry,
        watch: RequestWatch,
    ) -> None:
        self._request = request
        self._timeout_s = limits.replan_timeout_ms / MILLISECONDS_PER_SECOND
        self._planner = planner
        self._targets = targets
        self._watch = watch
        self._avoided: set[EngineIncarnation] = set()

    async def choose(
        self, holders: list[Stage], *, may_avoid: bool = True
    ) -> PlannedChain | None:
        """Choose a chain; a suspect request waits here until it can run alone on one.

        :param holders: stages that hold the request's KV cache, to be preferred.
        :param may_avoid: whether engines that failed the request are excluded.
        :returns: the chain, or ``None`` when no chain covers the model.
        :raises Refusal: the request is quarantined, or no targets were free in time.
        """
        avoided = self._avoided if may_avoid else set()

        def choose(excluded: frozenset[TargetId]) -> Plan | None:
            return self._planner.choose(self._request, holders, avoided, excluded)

        plan = await self._watch.choose(choose, self._request.deadline_s)
        return None if plan is None else self._planner.describe(self._request, plan)

    async def replace(self, holders: list[Stage]) -> PlannedChain | None:
        """Choose a new chain, waiting up to the replan timeout for missing engines.

        In the second half of the wait, engines that failed the request are
        considered again.

        :param holders: stages that hold the request's KV cache, to be preferred.
        :returns: the chain, or ``None`` when none was found in time.
        :raises Refusal: the request is quarantined, or no targets were free in time.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while (waited_s := loop.time() - began_s) < self._timeout_s:
            is_early = waited_s < self._timeout_s / 2
            chain = await self.choose(holders, may_avoid=is_early)
            if chain is not None:
                return chain
            await asyncio.sleep(REPLAN_POLL_S)
        return None

    async def record_failure(
        self,
        chain: PlannedChain,
        diagnosis: Diagnosis,
        position: int,
        *,
        is_repeated: bool,
    ) -> None:
        """Avoid the engines at fault; the only place that marks engines as lost.

        :param chain: chain that failed.
        :param diagnosis: cause of the failure.
        :param position: position of the next token.
        :param is_repeated: whether the previous attempt produced no token either, so
            that an engine reported as at fault is avoided even if it answers.
        :raises Refusal: the request is quarantined now.
        """
        suspects = set(diagnosis.unanswered)
        if diagnosis.end.engine is not None and is_repeated:
            suspects.add(diagnosis.end.engine)
        self._avoided |= {
            (engine, chain.incarnations.get(engine, "")) for engine in suspects
        }
        for engine in diagnosis.lost:
            self._targets.mark_failed(engine)
        await self._count_loss(chain, diagnosis, position)

    async def _count_loss(
        self, chain: PlannedChain, diagnosis: Diagnosis, position: int
    ) -> None:
        """Count the loss of an engine against the request.

        Engines lost in one attempt count once: the failure of a VM or rack takes down
        several stages and is not the fault of any request. After a silent stream, the
        result of its probes is used without probing again. An engine that the request
        did not reach is not counted, since the request can't have caused its loss.
        """
        if not diagnosis.end.was_reached:
            return
        is_silent = diagnosis.end.kind is EndKind.SILENT
        count = self._watch.record_loss if is_silent else self._watch.probe_failure
        suspects = diagnosis.lost if is_silent else (diagnosis.end.engine,)
        for stage in chain.plan:
            if stage.engine in suspects:
                incarnation = chain.incarnations.get(stage.engine, "")
                await count(stage.engine, stage.address, incarnation, position)
                return
