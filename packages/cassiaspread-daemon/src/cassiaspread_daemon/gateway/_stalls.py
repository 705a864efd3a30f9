"""Detection of the engine that a silent stream waits for."""

import asyncio
from collections.abc import Sequence

import msgspec

from cassiaspread_core.base import RequestId
from cassiaspread_core.placement import Engine
from cassiaspread_core.targets import Silence, TargetClosures, TargetHealth, is_gone
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._loss_probe import LossProbe, ProbeResult
from cassiaspread_daemon.gateway._protocols import EngineApi, EngineReport
from cassiaspread_daemon.gateway._routing_state import RoutingState, suspended_clock_s
from cassiaspread_daemon.gateway._shared_calls import SharedCalls

REPORT_TIMEOUT_S = 0.4
# Streams with the same head reuse its report for this long, in seconds.
REPORT_LIFETIME_S = 0.3


class SilentEngine(msgspec.Struct, frozen=True):
    """An engine that a silent stream waits for.

    :param engine: the engine.
    :param reason: how its silence was noticed.
    :param is_restarted: its report came from another process than the one that runs
        the stream.
    :param is_responding: it answers reports, but the stream has no event.
    :param chain: the engines of the stream, if any of them may be the silent one.
    """

    engine: Engine
    reason: str
    is_restarted: bool = False
    is_responding: bool = False
    chain: tuple[Engine, ...] = ()

    @property
    def engines(self) -> tuple[Engine, ...]:
        """The engines of which one is silent."""
        return self.chain or (self.engine,)


class StreamStalled(ExchangeBroken):
    """A stream leaves an engine that is silent or gone.

    :param engines: the engines of which one is silent.
    :param reason: description of the failure.
    """

    def __init__(self, engines: tuple[Engine, ...], reason: str) -> None:
        super().__init__(reason)
        self.engines = engines


class StallDetector:
    """Polls the heads of chains for the engines that their requests wait for.

    :param engine_api: sends requests to engines.
    :param routing_state: the current list of engines.
    :param health: records the engines that do not respond.
    :param closures: engines that want no requests.
    :param log: receives a line for each engine that is marked suspect.
    :param supervisor: runs probes.
    """

    def __init__(
        self,
        engine_api: EngineApi,
        routing_state: RoutingState,
        health: TargetHealth,
        closures: TargetClosures,
        log: DecisionLog,
        supervisor: Supervisor,
    ) -> None:
        self._engine_api = engine_api
        self._routing_state = routing_state
        self._health = health
        self._closures = closures
        self._log = log
        self._supervisor = supervisor
        self._probe = LossProbe()
        self._reports = SharedCalls(self._fetch_report, REPORT_LIFETIME_S)

    def may_ask(self, assignment: Assignment, now_s: float) -> bool:
        """Return whether the head of a chain may be asked for a report.

        :param assignment: the chain.
        :param now_s: current time, in seconds.
        """
        return not self._closures.is_closed(assignment.head, now_s)

    async def find(
        self, request_id: RequestId, assignment: Assignment
    ) -> SilentEngine | None:
        """Find the engine that a silent stream waits for.

        :param request_id: the request.
        :param assignment: assignment of the request.
        :returns: ``None`` if all engines of the chain respond.
        """
        head = assignment.head
        if not self.may_ask(assignment, now()):
            # It wants no requests, also no such ones.
            return None
        try:
            report = await self._reports.result(head.address, now())
        except (ConnectFailed, ExchangeBroken) as error:
            return self._mark_suspect(
                request_id, SilentEngine(head, f"the head is silent: {error}")
            )
        if report.incarnation and head.incarnation not in (0, report.incarnation):
            return SilentEngine(head, "the head was restarted", is_restarted=True)
        self._health.record_slowness(head.target, report.slowness, now())
        addresses = {stall.address for stall in report.stalls}
        for stage in assignment.chain:
            if stage.engine.address in addresses:
                return self._mark_suspect(
                    request_id,
                    SilentEngine(stage.engine, "reported as stalled by the head"),
                )
        return None

    def record_no_events(
        self,
        request_id: RequestId,
        assignment: Assignment,
        duration_s: float,
        n_events: int,
        is_failure: bool,
    ) -> SilentEngine:
        """Record a stream without events although its engines respond.

        :param request_id: the request.
        :param assignment: assignment of the request.
        :param duration_s: time without an event, in seconds.
        :param n_events: number of events that its head has sent before.
        :param is_failure: whether it counts as a failure of the head.
        :returns: the head, which the stream waits for.
        """
        head = assignment.head
        is_suspect = is_failure and self._health.record_failure(head.target, now())
        reason = "the head responds, but sends no events"
        self._log.record(
            "stream.no_events",
            request=request_id,
            head=head.target,
            silent_ms=round(duration_s * 1000),
            n_events=n_events,
            is_suspect=is_suspect,
        )
        return SilentEngine(head, reason, is_responding=True)

    def describe_pause(
        self, assignment: Assignment, pause_s: float, usual_s: float
    ) -> SilentEngine:
        """Describe a pause that is unusual for a stream; any engine may be silent.

        The head's report would not show it yet.

        :param assignment: assignment of the request.
        :param pause_s: time without an event, in seconds.
        :param usual_s: longest of the latest intervals between events, in seconds.
        """
        reason = f"no event for {pause_s:.3f} s, before at most {usual_s:.3f} s"
        return SilentEngine(assignment.head, reason, chain=assignment.engines)

    def check_left(self, request_id: RequestId, engines: Sequence[Engine]) -> None:
        """Mark those of the engines suspect that accept no connection.

        :param request_id: request that left them.
        :param engines: the engines of which one is silent.
        """

        async def check() -> None:
            await asyncio.gather(*(self._check(request_id, e) for e in engines))

        self._supervisor.start_once(f"left-{request_id}-{now()}", check)

    def record_overtaken(self, head: Engine) -> None:
        """Record that a stream went on on a second chain before its head did.

        :param head: a head that has sent events and responds.
        """
        self._health.record_failure(head.target, now())

    async def is_gone(self, silent: SilentEngine, duration_s: float) -> bool:
        """Return whether a silent engine can no longer answer.

        :param silent: the engine.
        :param duration_s: time since the engine last responded, in seconds.
        """
        engine = silent.engine
        listed = self._routing_state.engines.get(engine.target)
        is_current = self._routing_state.engines_age.is_valid(suspended_clock_s())
        is_replaced = listed is not None and listed.incarnation != engine.incarnation
        probe = await self._probe.run(engine.address, now())
        return is_gone(
            Silence(
                duration_s=duration_s,
                is_refused=probe is ProbeResult.REFUSED,
                is_restarted=silent.is_restarted or is_replaced,
                is_leaving=is_current if listed is None else listed.is_leaving,
            )
        )

    async def _check(self, request_id: RequestId, engine: Engine) -> None:
        result = await self._probe.run(engine.address, now())
        if result is not ProbeResult.ALIVE:
            self._mark_suspect(
                request_id, SilentEngine(engine, f"a probe was {result.value}")
            )

    async def _fetch_report(self, address: str) -> EngineReport:
        return await self._engine_api.report(address, timeout_s=REPORT_TIMEOUT_S)

    def _mark_suspect(
        self, request_id: RequestId, silent: SilentEngine
    ) -> SilentEngine:
        target = silent.engine.target
        self._health.record_unreachable(target, now())
        self._log.record(
            "engine.suspected", request=request_id, target=target, reason=silent.reason
        )
        return silent
