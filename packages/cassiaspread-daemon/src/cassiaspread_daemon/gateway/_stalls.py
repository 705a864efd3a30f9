"""Finds out which engine a silent stream waits for."""

import asyncio

from cassiaspread_core.base import RequestId, TargetId
from cassiaspread_core.targets import TargetHealth
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._terms import EngineCalls, EngineReport

REPORT_TIMEOUT_S = 0.4
# Streams with the same head share one report for this long, in seconds.
REPORT_LIFETIME_S = 0.3


class StreamStalled(ExchangeBroken):
    """An engine of the chain does not answer the others.

    :param target: the engine.
    """

    def __init__(self, target: TargetId, reason: str) -> None:
        super().__init__(reason)
        self.target = target


class StallWatch:
    """Asks the heads of chains what their requests wait for.

    :param calls: questions to engines.
    :param health: told which engines do not answer.
    :param log: gets a line for each verdict.
    """

    def __init__(
        self, calls: EngineCalls, health: TargetHealth, log: DecisionLog
    ) -> None:
        self._calls = calls
        self._health = health
        self._log = log
        self._reports: dict[str, tuple[float, asyncio.Task[EngineReport]]] = {}

    async def check(self, request_id: RequestId, assignment: Assignment) -> None:
        """Find out why a stream is silent.

        :param request_id: the request.
        :param assignment: where it runs.
        :raises StreamStalled: it waits for an engine that does not answer.
        """
        head = assignment.head
        try:
            report = await self._report(head.address)
        except (ConnectFailed, ExchangeBroken) as error:
            self._suspect(request_id, head.target, str(error))
            raise StreamStalled(head.target, f"head is silent: {error}") from None
        self._health.note_slowness(head.target, report.slowness, now())
        addresses = {stall.address for stall in report.stalls}
        for stage in assignment.chain:
            if stage.engine.address in addresses:
                target = stage.engine.target
                self._suspect(request_id, target, "listed as stalled")
                raise StreamStalled(target, "an engine of the chain is silent")

    async def _report(self, address: str) -> EngineReport:
        made_s, task = self._reports.get(address, (float("-inf"), None))
        if task is None or now() - made_s > REPORT_LIFETIME_S:
            task = asyncio.ensure_future(
                self._calls.report(address, timeout_s=REPORT_TIMEOUT_S)
            )
            self._reports[address] = (now(), task)
        return await asyncio.shield(task)

    def _suspect(self, request_id: RequestId, target: TargetId, reason: str) -> None:
        self._health.note_unreachable(target, now())
        self._log.record(
            "engine.suspected", request=request_id, target=target, reason=reason
        )
