"""Queue of requests that wait for capacity on a chain of engines."""

import asyncio
from collections.abc import Callable, Iterable

from cassiaspread_core.admission import AdmissionTicket, WaitingQueue
from cassiaspread_core.base import Refusal, ServiceId, TargetId
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._job import NO_ORGANISATION, Job, now
from cassiaspread_daemon.gateway._link_permits import LinkPermits

# Peers report their load many times a second; the queue is rechecked at most once per
# interval, in seconds.
RECHECK_INTERVAL_S = 0.1


class _Waiter:
    def __init__(
        self, job: Job, avoid: frozenset[TargetId], defer: frozenset[TargetId]
    ) -> None:
        self.job = job
        self.avoid = avoid
        self.defer = defer
        self.assigned: asyncio.Future[Assignment] = (
            asyncio.get_running_loop().create_future()
        )


class _ServiceQueue:
    """Requests that wait for capacity on the engines of one service."""

    def __init__(self) -> None:
        self.waiting = WaitingQueue(lambda organisation: 1.0)
        # Requests whose turn came while only targets that they exclude had capacity, in
        # the order of their turns. They do not hold up the others.
        self.passed: list[_Waiter] = []

    def __len__(self) -> int:
        return len(self.waiting) + len(self.passed)


class CapacityQueue:
    """Assigns queued requests to chains whenever capacity may have become free.

    Requests of different services do not wait for each other.

    :param dispatcher: selects chains.
    :param links: gives permits for the links that chains cross.
    :param log: receives a line for each refused request.
    """

    def __init__(
        self, dispatcher: Dispatcher, links: LinkPermits, log: DecisionLog
    ) -> None:
        self._dispatcher = dispatcher
        self._links = links
        self._log = log
        self._queues: dict[ServiceId, _ServiceQueue] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._n_tickets = 0
        self._checked_s = float("-inf")
        dispatcher.capacity_callbacks.append(self._assign_waiting)

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

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
        :raises Refusal: no capacity became free in time; this attempt was not sent.
        """
        end_s = now() + max_wait_s
        while True:
            waiter = _Waiter(job, frozenset(avoid), frozenset(defer))
            assignment = await self._assign(waiter, end_s - now())
            is_permitted = False
            try:
                is_permitted = await self._links.acquire(assignment, job)
            finally:
                if not is_permitted:
                    self._dispatcher.release(assignment, is_end=False)
            if is_permitted:
                return assignment

    async def _assign(self, waiter: _Waiter, max_wait_s: float) -> Assignment:
        job = waiter.job
        queue = self._queues.setdefault(job.service.name, _ServiceQueue())
        is_first = not len(queue.waiting)
        if is_first:
            assignment = self._try_assign(waiter)
            if assignment is not None:
                return assignment
        # Refuse at once if the predicted wait exceeds the limit.
        predicted_s = queue.waiting.wait_s(now())
        if len(queue.waiting) and predicted_s > max_wait_s:
            raise self._refusal(queue, job, predicted_s)
        if is_first and waiter.avoid:
            queue.passed.append(waiter)
        return await self._wait(queue, waiter, max_wait_s)

    def recheck_capacity(self) -> None:
        """Retry the queue after other daemons reported their load."""
        now_s = now()
        if now_s - self._checked_s >= RECHECK_INTERVAL_S:
            self._assign_waiting(None)

    def refuse_waiting(self, check: Callable[[Job], None]) -> None:
        """Refuse the queued requests that must no longer be sent.

        :param check: raises the refusal of such a request.
        """
        for waiter in self._waiters.values():
            if waiter.assigned.done():
                continue
            try:
                check(waiter.job)
            except Refusal as refusal:
                waiter.assigned.set_exception(refusal)

    async def _wait(
        self, queue: _ServiceQueue, waiter: _Waiter, max_wait_s: float
    ) -> Assignment:
        job = waiter.job
        self._n_tickets += 1
        ticket = AdmissionTicket(
            number=self._n_tickets,
            organisation=job.organisation or NO_ORGANISATION,
            cost=float(job.demand.tokens or 1),
            deadline_s=job.deadline_s,
        )
        self._waiters[ticket.number] = waiter
        try:
            if waiter not in queue.passed:
                self._push(queue, ticket, waiter, max_wait_s)
            wait_s = max(0.0, min(max_wait_s, job.remaining_s(now())))
            async with asyncio.timeout(wait_s):
                return await asyncio.shield(waiter.assigned)
        except TimeoutError:
            if waiter.assigned.done():
                return waiter.assigned.result()
            raise self._refusal(queue, job, max_wait_s) from None
        finally:
            del self._waiters[ticket.number]
            queue.waiting.remove(ticket)
            if waiter in queue.passed:
                queue.passed.remove(waiter)
            self._release_if_cancelled(waiter)

    def _push(
        self,
        queue: _ServiceQueue,
        ticket: AdmissionTicket,
        waiter: _Waiter,
        max_wait_s: float,
    ) -> None:
        queue.waiting.push(ticket, waiter.job.priority)

    def _release_if_cancelled(self, waiter: _Waiter) -> None:
        """Release capacity that was assigned just as its request was cancelled."""
        task = asyncio.current_task()
        is_cancelled = task is not None and task.cancelling() > 0
        assigned = waiter.assigned
        if assigned.done() and is_cancelled and assigned.exception() is None:
            self._dispatcher.release(assigned.result())

    def _refusal(self, queue: _ServiceQueue, job: Job, predicted_s: float) -> Refusal:
        retry_after_s = queue.waiting.retry_after_s(now())
        queue.waiting.record_refusal(now())
        self._log.record(
            "request.refused",
            request=job.parameters.request_id,
            service=job.service.name,
            n_waiting=len(queue),
            predicted_ms=round(predicted_s * 1000),
            return_ms=round(retry_after_s * 1000),
        )
        return Refusal(
            503, "no-capacity", "No chain has room for it.", retry_after_s=retry_after_s
        )

    def _assign_waiting(self, ended: ServiceId | None) -> None:
        self._checked_s = now()
        for service, queue in self._queues.items():
            if service == ended:
                queue.waiting.record_completion(now())
            self._assign_in_turn(queue)

    def _assign_in_turn(self, queue: _ServiceQueue) -> None:
        passed, queue.passed = queue.passed, []
        # Targets whose exclusion left no capacity.
        failed: set[frozenset[TargetId]] = set()
        for waiter in passed:
            self._assign_or_pass(queue, waiter, failed)
        while (ticket := queue.waiting.head) is not None:
            waiter = self._waiters[ticket.number]
            if not waiter.avoid and not waiter.assigned.done():
                if not self._end_wait(waiter):
                    return
            else:
                self._assign_or_pass(queue, waiter, failed)
            queue.waiting.pop()

    def _assign_or_pass(
        self,
        queue: _ServiceQueue,
        waiter: _Waiter,
        failed: set[frozenset[TargetId]],
    ) -> None:
        if waiter.assigned.done():
            # Refused; its task has not run since.
            return
        if waiter.avoid in failed or not self._end_wait(waiter):
            failed.add(waiter.avoid)
            queue.passed.append(waiter)

    def _end_wait(self, waiter: _Waiter) -> bool:
        """Assign a queued request; return whether it no longer waits."""
        try:
            assignment = self._try_assign(waiter)
        except Exception as error:
            # It ends this request, not the one that gave its room back.
            waiter.assigned.set_exception(error)
            return True
        if assignment is not None:
            waiter.assigned.set_result(assignment)
        return assignment is not None

    def _try_assign(self, waiter: _Waiter) -> Assignment | None:
        job = waiter.job
        return self._dispatcher.assign(
            job.service, job.demand, now(), waiter.avoid, waiter.defer
        )
