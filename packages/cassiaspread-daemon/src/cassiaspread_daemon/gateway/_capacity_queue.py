"""Queue of requests that wait for capacity on a chain of engines."""

import asyncio
from collections.abc import Callable, Iterable

from cassiaspread_core.admission import AdmissionTicket, WaitingQueue
from cassiaspread_core.base import Refusal, TargetId
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._job import NO_ORGANISATION, Job, now

# Peers report their load many times a second; the queue is rechecked at most once per
# interval, in seconds.
RECHECK_INTERVAL_S = 0.1


class _Waiter:
    def __init__(self, job: Job, avoid: frozenset[TargetId]) -> None:
        self.job = job
        self.avoid = avoid
        self.assigned: asyncio.Future[Assignment] = (
            asyncio.get_running_loop().create_future()
        )


class CapacityQueue:
    """Assigns queued requests to chains whenever capacity may have become free.

    :param dispatcher: selects chains.
    :param log: receives a line for each refused request.
    """

    def __init__(self, dispatcher: Dispatcher, log: DecisionLog) -> None:
        self._dispatcher = dispatcher
        self._log = log
        self._queue = WaitingQueue(lambda organisation: 1.0)
        self._waiters: dict[int, _Waiter] = {}
        self._n_tickets = 0
        self._checked_s = float("-inf")
        dispatcher.capacity_callbacks.append(self._assign_waiting)

    def __len__(self) -> int:
        return len(self._queue)

    async def assign(
        self, job: Job, avoid: Iterable[TargetId], max_wait_s: float
    ) -> Assignment:
        """Wait for capacity and return the assignment of a request.

        :param job: the request.
        :param avoid: targets to exclude.
        :param max_wait_s: longest wait in seconds.
        :raises Refusal: no capacity became free in time; this attempt was not sent.
        """
        waiter = _Waiter(job, frozenset(avoid))
        if not len(self._queue):
            assignment = self._try_assign(waiter)
            if assignment is not None:
                return assignment
        # Refuse at once if the predicted wait exceeds the limit.
        predicted_s = self._queue.wait_s(now())
        if len(self._queue) and predicted_s > max_wait_s:
            raise self._refusal(job, predicted_s)
        return await self._wait(waiter, max_wait_s)

    def recheck_capacity(self) -> None:
        """Retry the queue after other daemons reported their load."""
        now_s = now()
        if now_s - self._checked_s >= RECHECK_INTERVAL_S:
            self._assign_waiting(is_end=False)

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

    async def _wait(self, waiter: _Waiter, max_wait_s: float) -> Assignment:
        job = waiter.job
        self._n_tickets += 1
        ticket = AdmissionTicket(
            number=self._n_tickets,
            organisation=job.organisation or NO_ORGANISATION,
            cost=float(job.demand.tokens or 1),
            deadline_s=job.deadline_s,
        )
        self._waiters[ticket.number] = waiter
        self._queue.push(ticket, job.priority)
        try:
            async with asyncio.timeout(min(max_wait_s, job.remaining_s(now()))):
                return await asyncio.shield(waiter.assigned)
        except TimeoutError:
            if waiter.assigned.done():
                return waiter.assigned.result()
            raise self._refusal(job, max_wait_s) from None
        finally:
            del self._waiters[ticket.number]
            self._queue.remove(ticket)
            self._release_if_cancelled(waiter)

    def _release_if_cancelled(self, waiter: _Waiter) -> None:
        """Release capacity that was assigned just as its request was cancelled."""
        task = asyncio.current_task()
        is_cancelled = task is not None and task.cancelling() > 0
        assigned = waiter.assigned
        if assigned.done() and is_cancelled and assigned.exception() is None:
            self._dispatcher.release(assigned.result())

    def _refusal(self, job: Job, predicted_s: float) -> Refusal:
        retry_after_s = self._queue.retry_after_s(now())
        self._queue.record_refusal(now())
        self._log.record(
            "request.refused",
            request=job.parameters.request_id,
            n_waiting=len(self._queue),
            predicted_ms=round(predicted_s * 1000),
            return_ms=round(retry_after_s * 1000),
        )
        return Refusal(
            503, "no-capacity", "No chain has room for it.", retry_after_s=retry_after_s
        )

    def _assign_waiting(self, is_end: bool) -> None:
        if is_end:
            self._queue.record_completion(now())
        self._checked_s = now()
        while (ticket := self._queue.head) is not None:
            waiter = self._waiters[ticket.number]
            if waiter.assigned.done():
                # Refused; its task has not run since.
                self._queue.pop()
                continue
            assignment = self._try_assign(waiter)
            if assignment is None:
                return
            self._queue.pop()
            waiter.assigned.set_result(assignment)

    def _try_assign(self, waiter: _Waiter) -> Assignment | None:
        job = waiter.job
        return self._dispatcher.assign(job.service, job.demand, now(), waiter.avoid)
