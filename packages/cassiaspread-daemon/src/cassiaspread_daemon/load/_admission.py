"""Admission of requests at one daemon, within its share of the domain's capacity."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec

from cassiaspread_core.admission import (
    AdmissionGate,
    AdmissionResult,
    AdmissionTicket,
    DaemonDemand,
    Decision,
    RetryBudget,
    divide_capacity,
    domain_capacity,
)
from cassiaspread_core.base import (
    DomainId,
    Incarnation,
    ModelId,
    OrganisationId,
    Refusal,
    RequestId,
)
from cassiaspread_core.pipeline import EngineReport
from cassiaspread_core.policy import Limits, Policy
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.mesh import Mesh, Sender

TOPIC = "demand"
SHARE_INTERVAL_S = 0.25
PEER_DEMAND_LIFETIME_S = 3.0

# Time for which the last capacity is used while no engine reports are received.
CAPACITY_LIFETIME_S = 5.0

# Largest random extension of the retry delay, as a fraction of it: callers that were
# refused at the same time do not all retry at the same time.
RETRY_SPREAD = 0.25

Demands = dict[ModelId, DaemonDemand]

# Refuses a request that can't begin at a time in seconds on the monotonic clock.
BeginCheck = Callable[[float], None]


class _PeerDemands(msgspec.Struct, frozen=True):
    domain: DomainId
    demands: Demands
    received_s: float


class _Waiting(msgspec.Struct, frozen=True):
    gate: AdmissionGate
    ticket: AdmissionTicket
    check: BeginCheck
    decision: asyncio.Future[AdmissionResult]


class Slot:
    """Slot of an admitted request, with the progress of its answer.

    :param ticket: the request.
    :param max_tokens: maximum number of tokens that the caller requested.
    :param gate: admission control that admitted it.
    """

    def __init__(
        self, ticket: AdmissionTicket, max_tokens: int, gate: AdmissionGate
    ) -> None:
        self.ticket = ticket
        self.max_tokens = max_tokens
        self._gate = gate
        self.n_tokens = 0
        self.is_complete = False

    def with_engine_priority(self, limits: Limits) -> Limits:
        """Return the limits with the priority that is sent to the engines.

        :param limits: limits in force for the request.
        """
        priority = self._gate.engine_priority(self.ticket.organisation, limits.priority)
        return msgspec.structs.replace(limits, priority=priority)

    def record_tokens(self, n_tokens: int, is_complete: bool) -> None:
        """Record received tokens.

        :param n_tokens: number of new tokens.
        :param is_complete: whether the answer is complete.
        """
        self.n_tokens += n_tokens
        self.is_complete = is_complete


class Admission:
    """Admission control for all models at one daemon.

    :param mesh: exchanges the demand with the other daemons.
    :param events: the time line.
    :param policy: returns the configuration in force.
    :param engines: returns the engines of a model that accept new work.
    :param random_state: generator for the retry delays of refused callers.
    """

    def __init__(
        self,
        mesh: Mesh,
        events: EventRing,
        policy: Callable[[], Policy],
        engines: Callable[[ModelId], list[EngineReport]],
        random_state: random.Random,
    ) -> None:
        self._mesh = mesh
        self._events = events
        self._policy = policy
        self._engines = engines
        self._random_state = random_state
        self._gates: dict[ModelId, AdmissionGate] = {}
        self._budgets: dict[ModelId, RetryBudget] = {}
        self._capacities: dict[ModelId, tuple[float, float]] = {}
        self._received: dict[Incarnation, _PeerDemands] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._n_tickets = 0
        mesh.add_topic(TOPIC, self._produce, Demands, self._consume)

    def start(self, supervisor: Supervisor) -> None:
        """Start the tasks.

        :param supervisor: runs them.
        """
        supervisor.start("admission", self.run)

    async def run(self) -> None:
        """Update the shares periodically until cancelled."""
        while True:
            for model in list(self._gates):
                self._update_share(model)
            self._refuse_waiting(time.monotonic())
            await asyncio.sleep(SHARE_INTERVAL_S)

    def take_retry(self, model: ModelId) -> bool:
        """Take one retry from the budget of a model.

        :param model: the model.
        :returns: ``False`` if the budget is used up.
        """
        return self._budget(model).try_acquire()

    @asynccontextmanager
    async def acquire_slot(
        self,
        model: ModelId,
        organisation: OrganisationId,
        request: RequestId,
        n_tokens: int,
        deadline_s: float,
        is_resumed: bool = False,
        check: BeginCheck = lambda now_s: None,
    ) -> AsyncIterator[Slot]:
        """Wait for a slot and hold it for the duration of the context.

        :param model: requested model.
        :param organisation: organisation of the caller.
        :param request: identity of the request.
        :param n_tokens: maximum number of tokens of the answer.
        :param deadline_s: its deadline, on the monotonic clock in seconds.
        :param is_resumed: whether it was running before; it is then admitted at once.
        :param check: refuses it if it can't begin at a time; called while it waits and
            when it gets the slot.
        :raises Refusal: it can't be completed before its deadline, or can't begin.
        """
        gate = self._gate(model)
        self._n_tickets += 1
        ticket = AdmissionTicket(
            number=self._n_tickets,
            organisation=organisation,
            cost=gate.forecast.expected_tokens(n_tokens),
            deadline_s=deadline_s,
        )
        if is_resumed:
            gate.admit_resumed(ticket)
        else:
            await self._admit(gate, ticket, request, check)
        slot = Slot(ticket, n_tokens, gate)
        admitted_s = time.monotonic()
        try:
            check(admitted_s)
            yield slot
        finally:
            self._release(model, slot, admitted_s)

    async def _admit(
        self,
        gate: AdmissionGate,
        ticket: AdmissionTicket,
        request: RequestId,
        check: BeginCheck,
    ) -> None:
        result = gate.submit(ticket, time.monotonic())
        if result.decision is Decision.QUEUED:
            self._events.record("admission.queued", request, n_waiting=gate.n_waiting)
            result = await self._wait_in_queue(gate, ticket, check)
        if result.decision is Decision.REFUSED:
            self._events.record(
                "admission.refused",
                request,
                n_running=gate.n_running,
                n_waiting=gate.n_waiting,
                retry_after_s=result.retry_after_s,
            )
            raise self._refusal(result)

    async def _wait_in_queue(
        self, gate: AdmissionGate, ticket: AdmissionTicket, check: BeginCheck
    ) -> AdmissionResult:
        future: asyncio.Future[AdmissionResult]
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket.number] = _Waiting(gate, ticket, check, future)
        try:
            return await self._wait_until_decided(gate, ticket, future)
        except asyncio.CancelledError:
            if future.done():
                # It was decided in the iteration of the event loop that cancelled it.
                if not future.exception() and (
                    future.result().decision is Decision.ADMITTED
                ):
                    self._deliver(gate.finish(ticket, time.monotonic()))
            else:
                gate.abandon(ticket)
            raise
        finally:
            del self._waiting[ticket.number]

    async def _wait_until_decided(
        self,
        gate: AdmissionGate,
        ticket: AdmissionTicket,
        future: asyncio.Future[AdmissionResult],
    ) -> AdmissionResult:
        while not future.done():
            left_s = gate.latest_start_s(ticket) - time.monotonic()
            if left_s <= 0:
                return gate.refuse_queued(ticket)
            # The forecast, and with it the latest start, may change during the wait.
            await asyncio.wait({future}, timeout=left_s)
        return future.result()

    def _release(self, model: ModelId, slot: Slot, admitted_s: float) -> None:
        gate, now_s = self._gate(model), time.monotonic()
        if slot.is_complete:
            gate.forecast.record(slot.max_tokens, slot.n_tokens, now_s - admitted_s)
            self._budget(model).record_success(self._policy().limits.retry_ratio)
        self._deliver(gate.finish(slot.ticket, now_s))

    def _deliver(self, results: list[AdmissionResult]) -> None:
        for result in results:
            waiting = self._waiting.get(result.ticket.number)
            if waiting is not None and not waiting.decision.done():
                waiting.decision.set_result(result)

    def _refuse_waiting(self, now_s: float) -> None:
        """Refuse the queued requests that can't begin any more."""
        for waiting in list(self._waiting.values()):
            if waiting.decision.done():
                continue
            try:
                waiting.check(now_s)
            except Refusal as refusal:
                waiting.gate.abandon(waiting.ticket)
                waiting.decision.set_exception(refusal)

    def _refusal(self, result: AdmissionResult) -> Refusal:
        factor = 1.0 + RETRY_SPREAD * self._random_state.random()
        retry_after_s = result.retry_after_s * factor
        if result.is_over_share:
            return Refusal(
                429,
                "share-exceeded",
                "The organisation's requests in progress exceed its share, and this "
                "one would end too late.",
                retry_after_s=retry_after_s,
            )
        return Refusal(
            503,
            "overloaded",
            "The request would end too late.",
            retry_after_s=retry_after_s,
        )

    def _gate(self, model: ModelId) -> AdmissionGate:
        if model not in self._gates:
            self._gates[model] = AdmissionGate(self._weight_of)
            self._update_share(model)
        return self._gates[model]

    def _budget(self, model: ModelId) -> RetryBudget:
        return self._budgets.setdefault(model, RetryBudget())

    def _weight_of(self, organisation: OrganisationId) -> float:
        entry = self._policy().organisations.get(organisation)
        return 1.0 if entry is None else entry.weight

    def _update_share(self, model: ModelId) -> None:
        """Recompute the share of a model and deliver the resulting decisions."""
        gate, now_s = self._gates[model], time.monotonic()
        policy = self._policy().models.get(model)
        if policy is not None:
            self._set_share(model, policy.n_layers, now_s)
        self._deliver(gate.expire(now_s))

    def _set_share(self, model: ModelId, n_layers: int, now_s: float) -> None:
        gate = self._gates[model]
        capacity, is_own_domain = self._compute_capacity(model, n_layers, now_s)
        if capacity:
            peers = self._peer_demands(model, is_own_domain, now_s)
            share = divide_capacity(capacity, gate.demand(), peers, self._weight_of)
            self._deliver(gate.set_share(share, now_s))

    def _compute_capacity(
        self, model: ModelId, n_layers: int, now_s: float
    ) -> tuple[float, bool]:
        """Return the capacity and whether only the own domain provides it."""
        engines = self._engines(model)
        domain = self._mesh.sender.domain
        own_domain_engines = [engine for engine in engines if engine.domain == domain]
        slot_ratio = self._policy().limits.slot_ratio
        capacity = domain_capacity(own_domain_engines, n_layers, slot_ratio)
        is_own_domain = capacity > 0
        capacity = capacity or domain_capacity(engines, n_layers, slot_ratio)
        if capacity:
            self._capacities[model] = capacity, now_s
            return capacity, is_own_domain
        last, last_s = self._capacities.get(model, (0.0, 0.0))
        return (last if now_s - last_s < CAPACITY_LIFETIME_S else 0.0), is_own_domain

    def _peer_demands(
        self, model: ModelId, is_own_domain: bool, now_s: float
    ) -> list[DaemonDemand]:
        oldest_s = now_s - PEER_DEMAND_LIFETIME_S
        self._received = {
            i: d for i, d in self._received.items() if d.received_s > oldest_s
        }
        domain = self._mesh.sender.domain
        return [
            received.demands.get(model, DaemonDemand())
            for received in self._received.values()
            if received.domain == domain or not is_own_domain
        ]

    def _produce(self) -> Demands:
        return {
            model: demand
            for model, gate in self._gates.items()
            if (demand := gate.demand()).total
        }

    def _consume(self, demands: Demands, sender: Sender) -> None:
        self._received[sender.incarnation] = _PeerDemands(
            sender.domain, demands, time.monotonic()
        )
