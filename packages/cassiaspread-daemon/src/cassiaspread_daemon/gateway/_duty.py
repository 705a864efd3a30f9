"""The placement duty: orders to engines, given by one daemon at a time."""

import asyncio
import random
from collections.abc import Mapping

import msgspec

from cassiaspread_core.base import LogUnavailable, TargetId
from cassiaspread_core.placement import (
    Engine,
    LayerRange,
    ModelSpec,
    Move,
    plan_layout,
    plan_moves,
)
from cassiaspread_core.routing import Service
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._knowledge import Knowledge
from cassiaspread_daemon.gateway._terms import Duty, EngineCalls, OrderOutcome

RENEW_INTERVAL_S = 1.0
PLACE_INTERVAL_S = 0.25
# Engines that start together register within this time, in seconds; a layout that
# waits for them can place the large ones first.
SETTLE_S = 1.5
ORDER_TIMEOUT_S = 1.0
# An order whose effect does not show in the engine's own words within this time beyond
# the usual time of the load is taken not to have been carried out, in seconds.
ORDER_EFFECT_S = 4.0
# Loads that run side by side slow each other down by up to this factor.
LOAD_TIME_FACTOR = 2.0


class _Given(msgspec.Struct):
    layers: LayerRange
    expires_s: float


class _OrderBook(msgspec.Struct):
    """What is known of the orders to one start of an engine."""

    incarnation: int
    n_orders: int = 0
    given: _Given | None = None


class PlacementDuty:
    """Asks for the duty and, while it is held, gives orders to engines.

    :param duty: gives the duty to one daemon at a time.
    :param calls: orders to engines.
    :param knowledge: configuration and engines.
    :param log: gets a line for each order and each change of the duty.
    :param metrics: counts orders.
    :param random_state: spreads the renewals of many daemons.
    """

    def __init__(
        self,
        duty: Duty,
        calls: EngineCalls,
        knowledge: Knowledge,
        log: DecisionLog,
        metrics: GatewayMetrics,
        random_state: random.Random,
    ) -> None:
        self._duty = duty
        self._calls = calls
        self._knowledge = knowledge
        self._log = log
        self._metrics = metrics
        self._random_state = random_state
        self._number = 0
        self._is_holder = False
        self._books: dict[TargetId, _OrderBook] = {}
        self._changed_s = now()
        knowledge.engine_callbacks.append(self._note_change)

    @property
    def is_holder(self) -> bool:
        """Whether this daemon gives the orders."""
        return self._is_holder

    async def renew(self) -> None:
        """Ask for the duty and keep it until cancelled."""
        while True:
            try:
                state = await self._duty.renew(self._number)
                self._set_holder(state.is_holder, state.number)
            except LogUnavailable as error:
                # The holder goes on: engines refuse it once another one has the duty.
                self._log.record("duty.not_renewed", reason=str(error))
            await asyncio.sleep(RENEW_INTERVAL_S * self._random_state.uniform(0.9, 1.1))

    async def leave(self) -> None:
        """Give the duty up."""
        self._set_holder(False, self._number)
        try:
            await self._duty.leave()
        except LogUnavailable as error:
            self._log.record("duty.not_left", reason=str(error))

    async def place(self) -> None:
        """Give orders while the duty is held."""
        while True:
            await asyncio.sleep(PLACE_INTERVAL_S)
            table = self._knowledge.table
            if not self._is_holder or table is None:
                continue
            for service in list(table.services.values()):
                if service.model is not None:
                    await self._place_service(service)

    async def _place_service(self, service: Service) -> None:
        engines = self._knowledge.engines_of(service.name)
        moves = self._plan(service, engines)
        if moves and service.model is not None:
            model = service.model
            await asyncio.gather(*(self._order(model, move) for move in moves))

    def _plan(self, service: Service, engines: list[Engine]) -> list[Move]:
        assert service.model is not None
        held = self._held(engines)
        if not held and now() - self._changed_s < SETTLE_S:
            return []
        by_target = {engine.target: engine for engine in engines}
        chosen = plan_layout(service.model, engines, held)
        moves = [
            Move(by_target[target], layers)
            for target, layers in chosen.items()
            if not by_target[target].is_loading
        ]
        if moves:
            return moves
        moving = {e.target for e in engines if e.is_loading or self._book(e).given}
        return plan_moves(service.model, engines, held, moving)

    def _held(self, engines: list[Engine]) -> Mapping[TargetId, LayerRange]:
        now_s = now()
        held: dict[TargetId, LayerRange] = {}
        for engine in engines:
            book = self._book(engine)
            given = book.given
            if given is not None and (
                engine.layers == given.layers or now_s > given.expires_s
            ):
                book.given = given = None
            if given is not None:
                held[engine.target] = given.layers
            elif engine.layers:
                held[engine.target] = engine.layers
        return held

    def _book(self, engine: Engine) -> _OrderBook:
        book = self._books.get(engine.target)
        if book is None or book.incarnation != engine.incarnation:
            book = self._books[engine.target] = _OrderBook(engine.incarnation)
        return book

    async def _order(self, model: ModelSpec, move: Move) -> None:
        engine, book = move.engine, self._book(move.engine)
        load_s = model.load_s * len(move.layers) / model.n_layers
        effect_s = LOAD_TIME_FACTOR * load_s + ORDER_EFFECT_S
        book.given = _Given(move.layers, now() + effect_s)
        outcome = await self._send(engine, move.layers, book.n_orders)
        self._metrics.note_order(outcome.value)
        self._log.record(
            "order.given",
            target=engine.target,
            layers=[move.layers.begin, move.layers.end],
            fencing_token=self._number,
            n_orders=book.n_orders,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.FENCED:
            self._set_holder(False, self._number)
        elif outcome is OrderOutcome.BEGUN:
            book.n_orders += 1
        elif outcome is not OrderOutcome.DONE:
            await self._look_again(engine, book)

    async def _look_again(self, engine: Engine, book: _OrderBook) -> None:
        try:
            report = await self._calls.report(engine.address, ORDER_TIMEOUT_S)
        except (ConnectFailed, ExchangeBroken) as error:
            self._log.record(
                "engine.not_asked", target=engine.target, reason=str(error)
            )
            return
        book.n_orders = report.n_orders
        if not report.is_loading:
            book.given = None

    async def _send(
        self, engine: Engine, layers: LayerRange, n_orders: int
    ) -> OrderOutcome:
        try:
            return await self._calls.place(
                engine, layers, self._number, n_orders, ORDER_TIMEOUT_S
            )
        except ConnectFailed:
            return OrderOutcome.REJECTED
        except ExchangeBroken:
            return OrderOutcome.UNKNOWN

    def _set_holder(self, is_holder: bool, number: int) -> None:
        if is_holder != self._is_holder or (is_holder and number != self._number):
            self._log.record("duty.changed", is_holder=is_holder, number=number)
        self._is_holder = is_holder
        self._number = number

    def _note_change(self, before: Engine | None, after: Engine | None) -> None:
        if before is None:
            self._changed_s = now()
