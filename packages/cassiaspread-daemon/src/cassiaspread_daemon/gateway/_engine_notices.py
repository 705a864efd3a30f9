"""What engines say of themselves in their answers: that they leave, or want a pause.

An answer may say so before the list of targets does, and while the list can't be read.
"""

import asyncio
from collections.abc import Callable

import msgspec

from cassiaspread_core.base import Count, TargetId
from cassiaspread_core.placement import Engine
from cassiaspread_core.targets import TargetClosures
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Dispatcher
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._protocols import EngineChange, EngineNotice
from cassiaspread_daemon.gateway._routing_state import RoutingState
from cassiaspread_daemon.mesh import DeltaTopic, Mesh, Sender

TOPIC = "leaving"


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
        mesh: Mesh | None,
        tell: Callable[[], None],
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._routing_state = routing_state
        self._closures = closures
        self._dispatcher = dispatcher
        self._tell = tell
        self._log = log
        self._metrics = metrics
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

    def _record_leaving(self, leaving: LeavingEngine) -> bool:
        """Apply that an engine leaves; return whether it was not known."""
        if self._routing_state.has_left(leaving.target, leaving.incarnation):
            return False
        self._metrics.record_notice("leaving")
        self._log.record("engine.leaving", target=leaving.target)
        self._routing_state.record_left(leaving.target, leaving.incarnation)
        self._topic.put(leaving.target, leaving)
        self._topic.put(leaving.target, leaving, is_cross_domain=True)
        listed = self._routing_state.engines.get(leaving.target)
        if listed is not None and listed.incarnation == leaving.incarnation:
            change = msgspec.structs.replace(listed, is_leaving=True)
            self._routing_state.apply_change(EngineChange(listed.target, change))
        return True

    def _handle_engine_change(
        self, before: Engine | None, after: Engine | None
    ) -> None:
        if before is None:
            return
        if after is None or after.incarnation != before.incarnation:
            self._topic.discard(before.target)

    def _receive(self, leaving: LeavingEngine, sender: Sender) -> None:
        self._record_leaving(leaving)
