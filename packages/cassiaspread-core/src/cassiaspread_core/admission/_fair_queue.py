"""Start-time fair queueing of requests by organisation."""

import heapq
from bisect import bisect_left, insort
from collections.abc import Callable, Container, Iterator

import msgspec

from cassiaspread_core.base import OrganisationId


class AdmissionTicket(msgspec.Struct, frozen=True, kw_only=True):
    """One request that is subject to admission.

    :param number: unique number of the ticket at its daemon.
    :param organisation: organisation of the request.
    :param cost: expected work, in tokens.
    :param deadline_s: time by which the request must end, on the clock of ``now_s``.
    """

    number: int
    organisation: OrganisationId
    cost: float
    deadline_s: float


class FairQueue:
    """Queue that serves organisations in proportion to their weights.

    Each request gets a virtual start time: the virtual finish time of the previous
    request of its organisation, or the current virtual time if that is later. Its
    virtual duration is its cost divided by the organisation's weight, so that heavy
    use delays only the requests of the same organisation.

    :param weight_of: returns the weight of an organisation, above 0.

    >>> queue = FairQueue(lambda organisation: 1.0)
    >>> for number, name in enumerate(["large", "large", "large", "small"]):
    ...     ticket = AdmissionTicket(
    ...         number=number, organisation=name, cost=10.0, deadline_s=9.0
    ...     )
    ...     queue.push(ticket)
    >>> [queue.pop().organisation for _ in range(4)]
    ['large', 'small', 'large', 'large']
    """

    def __init__(self, weight_of: Callable[[OrganisationId], float]) -> None:
        self._weight_of = weight_of
        self._virtual_time = 0.0
        self._finish_times: dict[OrganisationId, float] = {}
        self._heap: list[tuple[float, int, AdmissionTicket]] = []
        self._start_times: list[float] = []
        self._removed: set[int] = set()

    def __len__(self) -> int:
        return len(self._start_times)

    def __iter__(self) -> Iterator[AdmissionTicket]:
        return (t for _, _, t in self._heap if t.number not in self._removed)

    def count_ahead(self, organisation: OrganisationId) -> int:
        """Return the number of requests ahead of a new request of an organisation.

        :param organisation: organisation of the new request.
        """
        return bisect_left(self._start_times, self._next_start(organisation))

    def push(self, ticket: AdmissionTicket) -> None:
        """Add a request.

        :param ticket: the request.
        """
        start = self._next_start(ticket.organisation)
        cost = ticket.cost / self._weight_of(ticket.organisation)
        self._finish_times[ticket.organisation] = start + cost
        heapq.heappush(self._heap, (start, ticket.number, ticket))
        insort(self._start_times, start)

    def charge(self, ticket: AdmissionTicket) -> None:
        """Account for a request that was admitted without waiting.

        :param ticket: the request.
        """
        start = self._next_start(ticket.organisation)
        cost = ticket.cost / self._weight_of(ticket.organisation)
        self._finish_times[ticket.organisation] = start + cost
        if not self._start_times:
            self._advance_virtual_time(start)

    def pop(
        self, accepts: Callable[[OrganisationId], bool] | None = None
    ) -> AdmissionTicket | None:
        """Remove and return the next request, or ``None`` if there is none.

        :param accepts: returns whether requests of an organisation may be returned;
            ``None`` accepts all.
        """
        if accepts is not None:
            return self._pop_accepted(accepts)
        while self._heap:
            start, number, ticket = heapq.heappop(self._heap)
            if number in self._removed:
                self._removed.discard(number)
                continue
            self._remove_start(start)
            self._advance_virtual_time(start)
            return ticket
        return None

    def first(self, excluded: Container[int]) -> AdmissionTicket | None:
        """Return the next request, which stays in the queue.

        :param excluded: numbers of tickets to pass over.
        :returns: ``None`` if there is no other one.
        """
        self._drop_removed()
        entries = (
            item
            for item in self._heap
            if item[1] not in self._removed and item[1] not in excluded
        )
        entry = min(entries, default=None, key=lambda item: item[:2])
        return None if entry is None else entry[2]

    def take(self, ticket: AdmissionTicket) -> None:
        """Remove a request that begins.

        :param ticket: the request, which is in the queue.
        """
        start = next(s for s, number, _ in self._heap if number == ticket.number)
        self.remove(ticket)
        self._advance_virtual_time(start)

    def remove(self, ticket: AdmissionTicket) -> None:
        """Remove a request; does nothing if it is not in the queue.

        :param ticket: the request.
        """
        for start, number, _ in self._heap:
            if number == ticket.number and number not in self._removed:
                self._removed.add(number)
                self._remove_start(start)
                return

    def _pop_accepted(
        self, accepts: Callable[[OrganisationId], bool]
    ) -> AdmissionTicket | None:
        entry = min(
            (item for item in self._heap if accepts(item[2].organisation)),
            default=None,
            key=lambda item: (item[1] in self._removed, item[:2]),
        )
        if entry is None or entry[1] in self._removed:
            return None
        self._removed.add(entry[1])
        self._remove_start(entry[0])
        return entry[2]

    def _next_start(self, organisation: OrganisationId) -> float:
        return max(self._virtual_time, self._finish_times.get(organisation, 0.0))

    def _drop_removed(self) -> None:
        while self._heap and self._heap[0][1] in self._removed:
            self._removed.discard(heapq.heappop(self._heap)[1])

    def _remove_start(self, start: float) -> None:
        del self._start_times[bisect_left(self._start_times, start)]

    def _advance_virtual_time(self, start: float) -> None:
        self._virtual_time = max(self._virtual_time, start)
        if len(self._finish_times) > 2 * len(self._start_times) + 64:
            self._finish_times = {
                o: e for o, e in self._finish_times.items() if e > self._virtual_time
            }
