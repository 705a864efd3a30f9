"""Queue of waiting requests that is ordered across the daemons of a failure domain."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from cassiaspread_core.admission import (
    AdmissionTicket,
    DomainQueue,
    PriorityReport,
    WaitingRequest,
)
from cassiaspread_core.base import Incarnation, Refusal, ServiceId, TargetId
from cassiaspread_core.chains import links_of
from cassiaspread_daemon.gateway._capacity_queue import (
    RECHECK_INTERVAL_S,
    CapacityQueue,
    _ServiceQueue,
    _Waiter,
)
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._job import Job, now
from cassiaspread_daemon.gateway._link_permits import LinkPermits

# Part of the objective within which a request has to begin so that its first event can
# be in time; the chain needs the rest for the prompt.
BEGIN_RATIO = 0.75
# Longest predicted wait of the most urgent requests of a domain, as a multiple of the
# objective. Others may wait for as long as any request.
MAX_URGENT_WAIT_OBJECTIVES = 1.0
# Ranks of routes; an organisation's rank goes before them.
N_ROUTE_RANKS = 10


class _OrderedWaiter(_Waiter):
    # Whether its turn came before, and whether it was admitted to the queue.
    is_returning = False
    is_admitted = False

    def renew(self) -> None:
        """Let it wait once more, first among its priority."""
        self.assigned = asyncio.get_running_loop().create_future()
        self.is_returning = True


class _OrderedQueue(_ServiceQueue):
    """Requests that wait for capacity on the engines of one service, and elsewhere."""

    def __init__(self, random_state: random.Random) -> None:
        super().__init__()
        self.waiting = DomainQueue(lambda organisation: 1.0, random_state)
        # The request that asks for the links of its chain. The others wait for the
        # answer, which is likely to be theirs as well.
        self.asking: _Waiter | None = None
        self.recheck: asyncio.TimerHandle | None = None


class DomainCapacityQueue(CapacityQueue):
    """Assigns queued requests in an order that the daemons of a domain share.

    :param dispatcher: selects chains.
    :param links: gives permits for the links that chains cross.
    :param log: receives a line for each refused request and each one held back.
    :param random_state: random number generator.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        links: LinkPermits,
        log: DecisionLog,
        random_state: random.Random,
    ) -> None:
        super().__init__(dispatcher, links, log)
        self._random_state = random_state
        self._counts = Counter(held_back=0, refused_at_once=0, refused_after_wait=0)
        # Called when the other daemons should learn at once of a request that waits, or
        # of room that a request here leaves to theirs.
        self.on_news: Callable[[], None] = lambda: None

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of times that requests were held back or refused."""
        return self._counts

    async def assign(
        self,
        job: Job,
        avoid: Iterable[TargetId],
        max_wait_s: float,
        defer: Iterable[TargetId] = (),
    ) -> Assignment:
        """Wait for capacity and return the assignment of a request.

        :param job: the request.
        :param avoid: targets to exclude.
        :param max_wait_s: longest wait in seconds.
        :param defer: targets to use only if no other healthy ones have capacity.
        :raises Refusal: no capacity became free in time, or none will; this attempt was
            not sent.
        """
        end_s = now() + max_wait_s
        queue = self._queue_of(job.service.name)
        waiter = _OrderedWaiter(job, frozenset(avoid), frozenset(defer))
        # One that was sent before has been admitted, and did not run or has to go on.
        waiter.is_returning = waiter.is_admitted = job.inbound.is_passed_on
        while True:
            if await self._try_turn(queue, waiter, end_s):
                queue.waiting.record_start(_rank(job), now())
                return waiter.assigned.result()
            waiter.renew()

    def record_report(
        self, peer: Incarnation, reports: Mapping[ServiceId, Sequence[PriorityReport]]
    ) -> None:
        """Record what another daemon of the domain reported.

        :param peer: incarnation of the daemon.
        :param reports: its requests, by service and priority.
        """
        for service, queue in self._queues.items():
            queue.waiting.record_report(peer, reports.get(service), now())

    def report(self) -> dict[ServiceId, tuple[PriorityReport, ...]]:
        """Return what this daemon reports to the others of its domain."""
        reports = {
            service: queue.waiting.report(now())
            for service, queue in self._queues.items()
        }
        return {s: report for s, report in reports.items() if report is not None}

    def count_domain_waiting(self) -> int:
        """Return the number of requests that wait at all daemons of the domain."""
        return sum(q.waiting.count_waiting(now()) for q in self._queues.values())

    def _queue_of(self, service: ServiceId) -> _OrderedQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = _OrderedQueue(self._random_state)
        return queue

    async def _try_turn(
        self, queue: _OrderedQueue, waiter: _OrderedWaiter, end_s: float
    ) -> bool:
        """Wait for a chain; return whether the links that it crosses were given."""
        is_refused = False
        try:
            assignment = await self._wait(queue, waiter, end_s - now())
            is_permitted = False
            try:
                is_permitted = await self._links.acquire(assignment, waiter.job)
                is_refused = not is_permitted
            finally:
                if not is_permitted:
                    self._dispatcher.release(assignment, is_end=False)
        finally:
            if queue.asking is waiter:
                queue.asking = None
                # One that was refused a link is the next to ask.
                if not is_refused:
                    self._assign_in_turn(queue)
        return is_permitted

    def _push(
        self,
        queue: _OrderedQueue,
        ticket: AdmissionTicket,
        waiter: _OrderedWaiter,
        max_wait_s: float,
    ) -> None:
        job = waiter.job
        rank = _rank(job)
        forecast = queue.waiting.forecast(rank, now(), waiter.is_returning)
        useful_s = job.inbound.arrived_s + BEGIN_RATIO * job.route.objective_s
        wait_end_s = min(ticket.deadline_s, now() + max_wait_s)
        queue.waiting.push(
            WaitingRequest(
                ticket=msgspec.structs.replace(ticket, deadline_s=wait_end_s),
                priority=rank,
                useful_until_s=useful_s,
                is_returning=waiter.is_returning,
                is_sent=job.inbound.is_passed_on,
            )
        )
        self._assign_in_turn(queue)
        if waiter.is_admitted or waiter.assigned.done():
            return
        if queue.waiting.is_most_urgent(rank, now()):
            objective_s = MAX_URGENT_WAIT_OBJECTIVES * job.route.objective_s
            max_wait_s = min(max_wait_s, objective_s)
        if forecast.n_ahead and forecast.wait_s > max_wait_s:
            raise self._refusal_at_once(queue, job, forecast.wait_s, forecast.n_ahead)
        waiter.is_admitted = True
        self.on_news()

    def _refusal_at_once(
        self, queue: _OrderedQueue, job: Job, predicted_s: float, n_ahead: int
    ) -> Refusal:
        self._counts["refused_at_once"] += 1
        return self._to_refusal(
            queue,
            job,
            is_at_once=True,
            n_ahead=n_ahead,
            predicted_ms=round(predicted_s * 1000),
        )

    def _refusal(self, queue: _OrderedQueue, job: Job, predicted_s: float) -> Refusal:
        self._counts["refused_after_wait"] += 1
        return self._to_refusal(queue, job, is_at_once=False)

    def _to_refusal(self, queue: _OrderedQueue, job: Job, **details: object) -> Refusal:
        rank = _rank(job)
        retry_after_s = queue.waiting.retry_after_s(rank, now())
        queue.waiting.record_refusal(rank, now())
        self._log.record(
            "request.refused",
            request=job.parameters.request_id,
            service=job.service.name,
            rank=rank,
            age_ms=round((now() - job.inbound.arrived_s) * 1000),
            n_waiting=len(queue),
            n_waiting_in_domain=queue.waiting.count_waiting(now()),
            return_ms=round(retry_after_s * 1000),
            **details,
        )
        return Refusal(
            503, "no-capacity", "No chain has room for it.", retry_after_s=retry_after_s
        )

    def _assign_waiting(self, ended: ServiceId | None) -> None:
        self._checked_s = now()
        for queue in self._queues.values():
            self._assign_in_turn(queue)

    def _assign_in_turn(self, queue: _OrderedQueue) -> None:
        self._refuse_hopeless(queue)
        # Requests for which only targets that they exclude have capacity; they do not
        # hold up the others.
        excluded: set[int] = set()
        while queue.asking is None:
            ticket = queue.waiting.first(now(), excluded)
            if ticket is None:
                self._hold_back(queue, excluded)
                return
            waiter = self._waiters[ticket.number]
            if waiter.assigned.done() or self._end_wait(waiter):
                queue.waiting.begin(ticket, now())
            elif waiter.avoid:
                excluded.add(ticket.number)
            else:
                return

    def _refuse_hopeless(self, queue: _OrderedQueue) -> None:
        """Refuse the requests that would wait in vain; none of them was sent."""
        for ticket in queue.waiting.hopeless(now()):
            waiter = self._waiters[ticket.number]
            if not waiter.assigned.done():
                waiter.assigned.set_exception(self._refusal(queue, waiter.job, 0.0))

    def _hold_back(self, queue: _OrderedQueue, excluded: set[int]) -> None:
        """Leave room to more urgent requests of other daemons, and look again soon."""
        ticket = queue.waiting.held(now(), excluded)
        if ticket is None:
            return
        job = self._waiters[ticket.number].job
        has_room = self._dispatcher.has_room(job.service, job.demand, now())
        if has_room and queue.waiting.record_room(ticket, now()):
            self._counts["held_back"] += 1
            self._log.record(
                "request.held_back",
                request=job.parameters.request_id,
                service=job.service.name,
                rank=_rank(job),
                n_waiting_in_domain=queue.waiting.count_waiting(now()),
            )
            self.on_news()
        if queue.recheck is None:
            loop = asyncio.get_running_loop()
            queue.recheck = loop.call_later(RECHECK_INTERVAL_S, self._recheck, queue)

    def _recheck(self, queue: _OrderedQueue) -> None:
        queue.recheck = None
        self._assign_in_turn(queue)

    def _end_wait(self, waiter: _Waiter) -> bool:
        is_ended = super()._end_wait(waiter)
        if is_ended and waiter.assigned.exception() is None:
            queue = self._queue_of(waiter.job.service.name)
            if links_of(waiter.assigned.result().chain):
                queue.asking = waiter
        return is_ended


def _rank(job: Job) -> int:
    """Return the rank of a request; 0 is first.

    Among organisations of the same rank, requests are ordered by their routes.
    """
    return N_ROUTE_RANKS * job.priority + min(N_ROUTE_RANKS - 1, job.route.priority)
