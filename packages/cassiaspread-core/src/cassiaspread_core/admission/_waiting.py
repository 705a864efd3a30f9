"""Queue of the requests that wait for free KV cache, and retry times of refused ones.

After a burst or the loss of engines there are more requests than the KV caches hold. A
few may wait, since streams end all the time. The others are refused immediately, with
retry times spread over the time that the queued and the previously refused requests
are expected to take.
"""

from collections.abc import Callable

from cassiaspread_core.admission._fair_queue import AdmissionTicket, FairQueue
from cassiaspread_core.base import EventRate, OrganisationId

# Bounds of the time after which a refused caller should retry, in seconds.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 6.0
# Lower bound of the completed requests per second in predictions: a daemon that has
# just started, or has few requests, observes too few for an estimate.
MIN_COMPLETIONS_PER_S = 1.0


class WaitingQueue:
    """Queue ordered by priority, and by fair shares of the organisations within each.

    :param weight_of: returns the weight of an organisation, above 0.

    >>> queue = WaitingQueue(lambda organisation: 1.0)
    >>> def ticket(number, organisation):
    ...     return AdmissionTicket(
    ...         number=number, organisation=organisation, cost=1.0, deadline_s=9.0
    ...     )
    >>> for number, (name, priority) in enumerate(
    ...     [("large", 1), ("large", 1), ("small", 1), ("small", 0)]
    ... ):
    ...     queue.push(ticket(number, name), priority)
    >>> [queue.pop().number for _ in range(4)]
    [3, 0, 2, 1]
    """

    def __init__(self, weight_of: Callable[[OrganisationId], float]) -> None:
        self._weight_of = weight_of
        self._queues: dict[int, FairQueue] = {}
        self._head: AdmissionTicket | None = None
        self._completions = EventRate()
        self._refusals = EventRate()

    def __len__(self) -> int:
        return sum(map(len, self._queues.values())) + (self._head is not None)

    @property
    def head(self) -> AdmissionTicket | None:
        """The next request; it stays the next until it is popped."""
        if self._head is None:
            for priority in sorted(self._queues):
                self._head = self._queues[priority].pop()
                if self._head is not None:
                    break
        return self._head

    def push(self, ticket: AdmissionTicket, priority: int) -> None:
        """Add a request.

        :param ticket: the request.
        :param priority: rank; 0 is served first.
        """
        queue = self._queues.get(priority)
        if queue is None:
            queue = self._queues[priority] = FairQueue(self._weight_of)
        queue.push(ticket)

    def pop(self) -> AdmissionTicket | None:
        """Remove and return the next request, or ``None`` if there is none."""
        ticket, self._head = self.head, None
        return ticket

    def remove(self, ticket: AdmissionTicket) -> None:
        """Remove a request; does nothing if it is not in the queue.

        :param ticket: the request.
        """
        if self._head is not None and self._head.number == ticket.number:
            self._head = None
            return
        for queue in self._queues.values():
            queue.remove(ticket)

    def record_completion(self, now_s: float) -> None:
        """Record that a request ended and released its KV cache.

        :param now_s: current time, in seconds.
        """
        self._completions.record(now_s)

    def record_refusal(self, now_s: float) -> None:
        """Record that a request was refused with a retry time.

        :param now_s: current time, in seconds.
        """
        self._refusals.record(now_s)

    def wait_s(self, now_s: float) -> float:
        """Predict the wait of a new request, in seconds.

        :param now_s: current time, in seconds.
        """
        return self._completion_time_s(len(self) + 1, now_s)

    def retry_after_s(self, now_s: float) -> float:
        """Return the time after which a refused caller should retry, in seconds.

        :param now_s: current time, in seconds.
        """
        n_ahead = len(self) + self._refusals.count(now_s) + 1
        return min(
            MAX_RETRY_AFTER_S,
            max(MIN_RETRY_AFTER_S, self._completion_time_s(n_ahead, now_s)),
        )

    def _completion_time_s(self, n_requests: int, now_s: float) -> float:
        return n_requests / max(MIN_COMPLETIONS_PER_S, self._completions.per_s(now_s))
