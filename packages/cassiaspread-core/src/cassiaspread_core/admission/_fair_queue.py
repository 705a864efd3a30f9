"""Start-time fair queueing of requests by organisation."""

import heapq
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator

import msgspec

from cassiaspread_core.base import OrganisationId


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """One request that asks to be admitted.

    :param number: identifies the ticket in its daemon.
    :param organisation: who asks.
    :param cost: expected work, in tokens.
    :param deadline_s: end of its time, on the clock of ``now_s``.
    """

    number: int
    organisation: OrganisationId
    cost: float
    deadline_s: float


class FairQueue:
    """Gives each organisation with requests waiting its weighted share of the work.

    Each request gets a virtual start time: the end of the organisation's request
    before it, or the present virtual time if that is later. Its length is its cost
    over the organisation's weight, so that heavy use puts only one's own requests off.

    :param weight_of: returns the weight of an organisation, above 0.

    >>> queue = FairQueue(lambda organisation: 1.0)
    >>> for number, name in enumerate(["large", "large", "large", "small"]):
    ...     ticket = Ticket(
    ...         number=number, organisation=name, cost=10.0, deadline_s=9.0
    ...     )
    ...     queue.push(ticket)
    >>> [queue.pop().organisation for _ in range(4)]
    ['large', 'small', 'large', 'large']
    """

    def __init__(self, weight_of: Callable[[OrganisationId], float]) -> None:
        self._weight_of = weight_of
        self._virtual = 0.0
        self._ends: dict[OrganisationId, float] = {}
        self._heap: list[tuple[float, int, Ticket]] = []
        self._starts: list[float] = []
        self._removed: set[int] = set()

    def __len__(self) -> int:
        return len(self._starts)

    def __iter__(self) -> Iterator[Ticket]:
        return (t for _, _, t in self._heap if t.number not in self._removed)

    def count_ahead(self, organisation: OrganisationId) -> int:
        """Count the waiting requests that a new one of an organisation would follow.

        :param organisation: who would ask.
        """
        return bisect_left(self._starts, self._start_of(organisation))

    def push(self, ticket: Ticket) -> None:
        """Add a request.

        :param ticket: the request.
        """
        start = self._start_of(ticket.organisation)
        cost = ticket.cost / self._weight_of(ticket.organisation)
        self._ends[ticket.organisation] = start + cost
        heapq.heappush(self._heap, (start, ticket.number, ticket))
        insort(self._starts, start)

    def charge(self, ticket: Ticket) -> None:
        """Count a request that was admitted without waiting.

        :param ticket: the request.
        """
        start = self._start_of(ticket.organisation)
        cost = ticket.cost / self._weight_of(ticket.organisation)
        self._ends[ticket.organisation] = start + cost
        if not self._starts:
            self._advance(start)

    def pop(
        self, accepts: Callable[[OrganisationId], bool] | None = None
    ) -> Ticket | None:
        """Remove and return the next request, ``None`` when none waits.

        :param accepts: tells which organisations' requests to look at; all if none.
        """
        if accepts is not None:
            return self._pop_accepted(accepts)
        while self._heap:
            start, number, ticket = heapq.heappop(self._heap)
            if number in self._removed:
                self._removed.discard(number)
                continue
            self._forget_start(start)
            self._advance(start)
            return ticket
        return None

    def remove(self, ticket: Ticket) -> None:
        """Take a request out; one that does not wait is ignored.

        :param ticket: the request.
        """
        for start, number, _ in self._heap:
            if number == ticket.number and number not in self._removed:
                self._removed.add(number)
                self._forget_start(start)
                return

    def _pop_accepted(self, accepts: Callable[[OrganisationId], bool]) -> Ticket | None:
        ticket = min(
            (item for item in self._heap if accepts(item[2].organisation)),
            default=None,
            key=lambda item: (item[1] in self._removed, item[:2]),
        )
        if ticket is None or ticket[1] in self._removed:
            return None
        self._removed.add(ticket[1])
        self._forget_start(ticket[0])
        return ticket[2]

    def _start_of(self, organisation: OrganisationId) -> float:
        return max(self._virtual, self._ends.get(organisation, 0.0))

    def _forget_start(self, start: float) -> None:
        del self._starts[bisect_left(self._starts, start)]

    def _advance(self, start: float) -> None:
        self._virtual = max(self._virtual, start)
        if len(self._ends) > 2 * len(self._starts) + 64:
            self._ends = {o: e for o, e in self._ends.items() if e > self._virtual}
