"""The placement duty: leadership for the placement of layers on engines.

One daemon at a time holds the duty. Only the holder sends placement orders to engines.
Each order carries the holder's fencing token, by which engines refuse the orders of an
earlier holder.

A few daemons of each failure domain apply for the duty. The others hear by gossip that
it is held, and apply when they have not heard so for some time.
"""

import asyncio
import math
import random
from collections.abc import Callable, Mapping

import msgspec

from cassiaspread_core.base import Count, LogUnavailable, SequenceNumber, TargetId
from cassiaspread_core.membership import Member
from cassiaspread_core.placement import (
    Engine,
    LayerRange,
    ModelSpec,
    Move,
    is_candidate,
    plan_layout,
    plan_moves,
)
from cassiaspread_core.routing import Service
from cassiaspread_core.targets import TargetClosures
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._protocols import Duty, EngineApi, OrderOutcome
from cassiaspread_daemon.gateway._routing_state import RoutingState
from cassiaspread_daemon.mesh import Mesh, Sender

TOPIC = "duty"
RENEW_INTERVAL_S = 1.0
PLACE_INTERVAL_S = 0.25
# Engines that start together register within this time, in seconds. The first layout
# waits for them, so that it can place layers on the large engines first.
SETTLE_S = 1.5
ORDER_TIMEOUT_S = 1.0
# An order is considered not carried out if the engine does not report its effect within
# the expected load time plus this time, in seconds.
ORDER_EFFECT_TIMEOUT_S = 4.0
# Concurrent loads slow each other down by up to this factor.
LOAD_TIME_FACTOR = 2.0


class HolderSign(msgspec.Struct, frozen=True, array_like=True):
    """Sign that the duty is held.

    :param age_s: time since the holder's last renewal, in whole seconds.
    :param fencing_token: highest fencing token of a holder that is known.
    """

    age_s: Count
    fencing_token: SequenceNumber = 0


class _PendingOrder(msgspec.Struct):
    layers: LayerRange
    expires_s: float


class _OrderState(msgspec.Struct):
    """State of the orders to one incarnation of an engine.

    :param incarnation: the incarnation.
    :param n_orders: orders that the engine has accepted.
    :param pending: order whose effect the engine has not reported yet, if any.
    """

    incarnation: int
    n_orders: int = 0
    pending: _PendingOrder | None = None


class PlacementDuty:
    """Acquires the placement duty and sends orders to engines while holding it.

    :param duty: grants the duty to one daemon at a time.
    :param engine_api: sends requests to engines.
    :param routing_state: configuration and engines.
    :param mesh: messages between daemons; ``None`` if they do not communicate.
    :param fleet: the daemons among which the candidates are selected.
    :param closures: engines that want no requests.
    :param log: receives a line for each order and each change of the duty.
    :param metrics: counts orders.
    :param random_state: spreads the renewals of many daemons.
    :param is_lost: returns whether an engine has ended although it is listed.
    """

    def __init__(
        self,
        duty: Duty,
        engine_api: EngineApi,
        routing_state: RoutingState,
        mesh: Mesh | None,
        fleet: FleetView,
        closures: TargetClosures,
        log: DecisionLog,
        metrics: GatewayMetrics,
        random_state: random.Random,
        is_lost: Callable[[Engine], bool] = lambda engine: False,
    ) -> None:
        self._is_lost = is_lost
        self._mesh = mesh
        self._fleet = fleet
        self._closures = closures
        self._started_s = now()
        # Time of the last sign of a holder; none was seen at first.
        self._held_s = float("-inf")
        self._highest_token = 0
        if mesh is not None:
            mesh.add_topic(TOPIC, self._produce, HolderSign, self._consume)
        self._duty = duty
        self._engine_api = engine_api
        self._routing_state = routing_state
        self._log = log
        self._metrics = metrics
        self._random_state = random_state
        self._fencing_token = 0
        self._is_holder = False
        self._order_states: dict[TargetId, _OrderState] = {}
        self._last_engine_added_s = now()
        routing_state.engine_callbacks.append(self._record_engine_added)

    @property
    def is_holder(self) -> bool:
        """Whether this daemon holds the duty."""
        return self._is_holder

    async def renew(self) -> None:
        """Apply for the duty and renew it until cancelled."""
        while True:
            if self._must_renew(now()):
                await self._renew_once()
            await asyncio.sleep(RENEW_INTERVAL_S * self._random_state.uniform(0.9, 1.1))

    async def _renew_once(self) -> None:
        try:
            state = await self._duty.renew(self._fencing_token)
        except LogUnavailable as error:
            # The holder continues: engines refuse its fencing token once another
            # daemon holds the duty.
            self._log.record("duty.not_renewed", reason=str(error))
            return
        self._set_holder(state.is_holder, state.fencing_token)
        if state.is_holder:
            self._held_s = now()
            self._highest_token = max(self._highest_token, state.fencing_token)

    def _must_renew(self, now_s: float) -> bool:
        if self._is_holder or self._mesh is None:
            return True
        own: Member = self._mesh.own_member
        members = self._fleet.members(now_s)
        since_s = max(self._held_s, self._started_s)
        return is_candidate(own, members, now_s - since_s)

    def _produce(self) -> HolderSign | None:
        if math.isinf(self._held_s):
            return None
        return HolderSign(math.ceil(now() - self._held_s), self._highest_token)

    def _consume(self, sign: HolderSign, sender: Sender) -> None:
        self._held_s = max(self._held_s, now() - sign.age_s)
        self._highest_token = max(self._highest_token, sign.fencing_token)
        if self._is_holder and sign.fencing_token > self._fencing_token:
            # The store turned this daemon away while it passed the duty on.
            self._set_holder(False, self._fencing_token)

    async def leave(self) -> None:
        """Release the duty."""
        self._set_holder(False, self._fencing_token)
        try:
            await self._duty.leave()
        except LogUnavailable as error:
            self._log.record("duty.not_left", reason=str(error))

    async def place(self) -> None:
        """Send placement orders while holding the duty, until cancelled."""
        while True:
            await asyncio.sleep(PLACE_INTERVAL_S)
            table = self._routing_state.table
            if not self._is_holder or table is None:
                continue
            for service in list(table.services.values()):
                if service.model is not None:
                    await self._place_service(service)

    async def _place_service(self, service: Service) -> None:
        engines = [
            engine
            for engine in self._routing_state.engines_of(service.name)
            if not self._is_lost(engine)
        ]
        moves = [
            move
            for move in self._plan(service, engines)
            if not self._closures.is_closed(move.engine, now())
        ]
        if moves and service.model is not None:
            model = service.model
            await asyncio.gather(*(self._order(model, move) for move in moves))

    def _plan(self, service: Service, engines: list[Engine]) -> list[Move]:
        assert service.model is not None
        held = self._held_layers(engines)
        if not held and now() - self._last_engine_added_s < SETTLE_S:
            return []
        by_target = {engine.target: engine for engine in engines}
        layout = plan_layout(service.model, engines, held)
        moves = [
            Move(by_target[target], layers)
            for target, layers in layout.items()
            if not by_target[target].is_loading
        ]
        if moves:
            return moves
        moving = {
            e.target for e in engines if e.is_loading or self._order_state(e).pending
        }
        return plan_moves(service.model, engines, held, moving)

    def _held_layers(self, engines: list[Engine]) -> Mapping[TargetId, LayerRange]:
        now_s = now()
        held: dict[TargetId, LayerRange] = {}
        for engine in engines:
            order_state = self._order_state(engine)
            pending = order_state.pending
            if pending is not None and (
                engine.layers == pending.layers or now_s > pending.expires_s
            ):
                order_state.pending = pending = None
            if pending is not None:
                held[engine.target] = pending.layers
            elif engine.layers:
                held[engine.target] = engine.layers
        return held

    def _order_state(self, engine: Engine) -> _OrderState:
        order_state = self._order_states.get(engine.target)
        if order_state is None or order_state.incarnation != engine.incarnation:
            order_state = self._order_states[engine.target] = _OrderState(
                engine.incarnation
            )
        return order_state

    async def _order(self, model: ModelSpec, move: Move) -> None:
        engine, order_state = move.engine, self._order_state(move.engine)
        load_s = model.load_s * len(move.layers) / model.n_layers
        effect_s = LOAD_TIME_FACTOR * load_s + ORDER_EFFECT_TIMEOUT_S
        order_state.pending = _PendingOrder(move.layers, now() + effect_s)
        outcome = await self._send(engine, move.layers, order_state.n_orders)
        self._metrics.record_order(outcome.value)
        self._log.record(
            "order.given",
            target=engine.target,
            layers=[move.layers.begin, move.layers.end],
            fencing_token=self._fencing_token,
            n_orders=order_state.n_orders,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.FENCED:
            self._set_holder(False, self._fencing_token)
        elif outcome is OrderOutcome.BEGUN:
            order_state.n_orders += 1
        elif outcome is not OrderOutcome.DONE:
            await self._refresh_order_state(engine, order_state)

    async def _refresh_order_state(
        self, engine: Engine, order_state: _OrderState
    ) -> None:
        try:
            report = await self._engine_api.report(engine.address, ORDER_TIMEOUT_S)
        except (ConnectFailed, ExchangeBroken) as error:
            self._log.record(
                "engine.not_asked", target=engine.target, reason=str(error)
            )
            return
        order_state.n_orders = report.n_orders
        if not report.is_loading:
            order_state.pending = None

    async def _send(
        self, engine: Engine, layers: LayerRange, n_orders: int
    ) -> OrderOutcome:
        try:
            return await self._engine_api.place(
                engine, layers, self._fencing_token, n_orders, ORDER_TIMEOUT_S
            )
        except ConnectFailed:
            return OrderOutcome.REJECTED
        except ExchangeBroken:
            return OrderOutcome.UNKNOWN

    def _set_holder(self, is_holder: bool, fencing_token: int) -> None:
        if is_holder != self._is_holder or (
            is_holder and fencing_token != self._fencing_token
        ):
            self._log.record("duty.changed", is_holder=is_holder, number=fencing_token)
        self._is_holder = is_holder
        self._fencing_token = fencing_token

    def _record_engine_added(self, before: Engine | None, after: Engine | None) -> None:
        if before is None:
            self._last_engine_added_s = now()
