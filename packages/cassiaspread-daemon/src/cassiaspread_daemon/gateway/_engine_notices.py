"""What engines say of themselves in their answers: that they leave, or want a pause.

An answer may say so before the list of targets does, and while the list can't be read.
It does not name the process that sent it, and the list may still contain the one before
a restart. A status report contains both.
"""

import asyncio
from collections.abc import Callable

import msgspec

from cassiaspread_core.base import Count, TargetId
from cassiaspread_core.placement import Engine
from cassiaspread_core.targets import TargetClosures
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Dispatcher
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._protocols import (
    EngineApi,
    EngineChange,
    EngineNotice,
)
from cassiaspread_daemon.gateway._routing_state import RoutingState
from cassiaspread_daemon.mesh import DeltaTopic, Mesh, Sender

TOPIC = "leaving"
# No request waits for the report; this bounds how long it may use a connection.
REPORT_TIMEOUT_S = 1.0


class LeavingEngine(msgspec.Struct, frozen=True, array_like=True):
    """An engine that said that it leaves.

    :param target: identifier of the engine.
    :param incarnation: its process.
    """

    target: TargetId
    incarnation: Count


class EngineNotices:
    """Applies the notices of engines and tells other daemons of those that leave.

    :param routing_state: the list of targets.
    :param closures: targets that want no requests.
    :param dispatcher: is told when a target may be used again.
    :param engine_api: requests the report that identifies the process that leaves.
    :param supervisor: runs these requests.
    :param mesh: messages between daemons; ``None`` if they do not communicate.
    :param tell: lets other daemons know soon, instead of with the next gossip.
    :param log: receives a line for each notice that changes something.
    :param metrics: counts notices.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        closures: TargetClosures,
        dispatcher: Dispatcher,
        engine_api: EngineApi,
        supervisor: Supervisor,
        mesh: Mesh | None,
        tell: Callable[[], None],
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._routing_state = routing_state
        self._closures = closures
        self._dispatcher = dispatcher
        self._engine_api = engine_api
        self._supervisor = supervisor
        self._tell = tell
        self._log = log
        self._metrics = metrics
        # What other daemons are told, by target.
        self._told: dict[TargetId, set[LeavingEngine]] = {}
        self._topic = DeltaTopic(LeavingEngine, None, self._receive)
        if mesh is not None:
            mesh.add_delta_topic(TOPIC, self._topic)
        routing_state.engine_callbacks.append(self._handle_engine_change)

    def record(self, engine: Engine, notice: EngineNotice, now_s: float) -> None:
        """Apply what an engine said in an answer.

        :param engine: the engine that answered, as it was when the request was sent.
        :param notice: the notice.
        :param now_s: current time, in seconds.
        """
        leaving = LeavingEngine(engine.target, engine.incarnation)
        if notice.is_leaving and self._record_leaving(leaving):
            self._tell()
            self._supervisor.start_once(
                f"{engine.target}/{engine.incarnation}", lambda: self._identify(engine)
            )
        if notice.pause_s is not None and notice.pause_s > 0:
            self._closures.close(engine, notice.pause_s, now_s)
            opens_in_s = self._closures.opens_in_s(engine, now_s)
            self._metrics.record_notice("pause")
            self._log.record(
                "engine.closed", target=engine.target, for_ms=round(opens_in_s * 1000)
            )
            asyncio.get_running_loop().call_later(
                opens_in_s, self._dispatcher.record_targets_changed
            )

    def record_at(self, address: str, notice: EngineNotice) -> None:
        """Apply what the engine at an address said in an answer.

        :param address: ``host:port``.
        :param notice: the notice.
        """
        for engine in list(self._routing_state.engines.values()):
            if engine.address == address:
                self.record(engine, notice, now())

    async def _identify(self, engine: Engine) -> None:
        """Apply that an engine leaves to the process that runs, if it is another one.

        :param engine: the engine that said so, as it was when the request was sent.
        """
        try:
            report = await self._engine_api.report(engine.address, REPORT_TIMEOUT_S)
        except (ConnectFailed, ExchangeBroken) as error:
            self._log.record(
                "engine.not_asked", target=engine.target, reason=str(error)
            )
            return
        # A process that does not tell its start cannot be told from another one.
        if not report.notice.is_leaving or not report.incarnation:
            return
        if self._record_leaving(LeavingEngine(engine.target, report.incarnation)):
            self._tell()

    def _record_leaving(self, leaving: LeavingEngine) -> bool:
        """Apply that an engine leaves; return whether it was not known."""
        target, incarnation = leaving.target, leaving.incarnation
        if self._routing_state.has_left(target, incarnation):
            return False
        self._metrics.record_notice("leaving")
        self._routing_state.record_left(target, incarnation)
        self._told.setdefault(target, set()).add(leaving)
        self._topic.put(leaving, leaving)
        self._topic.put(leaving, leaving, is_cross_domain=True)
        listed = self._routing_state.engines.get(target)
        if listed is None or listed.incarnation != incarnation:
            self._log.record(
                "engine.leaving_unlisted",
                target=target,
                incarnation=incarnation,
                listed=None if listed is None else listed.incarnation,
            )
            return True
        self._log.record("engine.leaving", target=target, incarnation=incarnation)
        change = msgspec.structs.replace(listed, is_leaving=True)
        self._routing_state.apply_change(EngineChange(target, change))
        return True

    def _handle_engine_change(
        self, before: Engine | None, after: Engine | None
    ) -> None:
        changed = before or after
        if changed is None or (
            before is not None
            and after is not None
            and before.incarnation == after.incarnation
        ):
            return
        # The process that is listed now may be one that is known to leave.
        for leaving in list(self._told.get(changed.target, ())):
            if after is None or leaving.incarnation != after.incarnation:
                self._told[changed.target].discard(leaving)
                self._topic.discard(leaving)
        if not self._told.get(changed.target):
            self._told.pop(changed.target, None)

    def _receive(self, leaving: LeavingEngine, sender: Sender) -> None:
        self._record_leaving(leaving)
