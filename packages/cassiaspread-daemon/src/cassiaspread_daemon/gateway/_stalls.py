"""Detection of the engine that a silent stream waits for."""

from cassiaspread_core.base import RequestId, TargetId
from cassiaspread_core.targets import TargetHealth
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._protocols import EngineApi, EngineReport
from cassiaspread_daemon.gateway._shared_calls import SharedCalls

REPORT_TIMEOUT_S = 0.4
# Streams with the same head reuse its report for this long, in seconds.
REPORT_LIFETIME_S = 0.3


class StreamStalled(ExchangeBroken):
    """An engine of the chain does not respond.

    :param target: the engine.
    :param reason: description of the failure.
    """

    def __init__(self, target: TargetId, reason: str) -> None:
        super().__init__(reason)
        self.target = target


class StallDetector:
    """Polls the heads of chains for the engines that their requests wait for.

    :param engine_api: sends requests to engines.
    :param health: records the engines that do not respond.
    :param log: receives a line for each engine that is marked suspect.
    """

    def __init__(
        self, engine_api: EngineApi, health: TargetHealth, log: DecisionLog
    ) -> None:
        self._engine_api = engine_api
        self._health = health
        self._log = log
        self._reports = SharedCalls(self._fetch_report, REPORT_LIFETIME_S)

    async def check(self, request_id: RequestId, assignment: Assignment) -> None:
        """Check whether a silent stream waits for an engine that does not respond.

        :param request_id: the request.
        :param assignment: assignment of the request.
        :raises StreamStalled: the stream waits for such an engine.
        """
        head = assignment.head
        try:
            report = await self._reports.result(head.address, now())
        except (ConnectFailed, ExchangeBroken) as error:
            self._mark_suspect(request_id, head.target, str(error))
            raise StreamStalled(head.target, f"head is silent: {error}") from None
        self._health.record_slowness(head.target, report.slowness, now())
        addresses = {stall.address for stall in report.stalls}
        for stage in assignment.chain:
            if stage.engine.address in addresses:
                target = stage.engine.target
                self._mark_suspect(
                    request_id, target, "reported as stalled by the head"
                )
                raise StreamStalled(target, "an engine of the chain is silent")

    async def _fetch_report(self, address: str) -> EngineReport:
        return await self._engine_api.report(address, timeout_s=REPORT_TIMEOUT_S)

    def _mark_suspect(
        self, request_id: RequestId, target: TargetId, reason: str
    ) -> None:
        self._health.record_unreachable(target, now())
        self._log.record(
            "engine.suspected", request=request_id, target=target, reason=reason
        )
