"""Order in which the requests that wait at one daemon begin."""

from collections.abc import Callable, Container, Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

import msgspec

from cassiaspread_core.admission._fair_queue import AdmissionTicket, FairQueue
from cassiaspread_core.base import OrganisationId

# Requests that can still be in time and begin before one that is late already, while
# both wait. An answer that is late is of less use, but not of none.
IN_TIME_TURNS = 3


class WaitingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits for room.

    :param ticket: its ticket.
    :param priority: rank; 0 is served first.
    :param useful_until_s: time until which it can begin and be answered in time, in
        seconds.
    :param is_returning: whether its turn had come before: the chain that it got did not
        run it.
    :param is_sent: whether it was sent before. It may search for another chain for as
        long as its answer lasts, so that its wait says little of that of new requests.
    """

    ticket: AdmissionTicket
    priority: int
    useful_until_s: float
    is_returning: bool = False
    is_sent: bool = False


class WaitingCount(NamedTuple):
    """Number of requests of one priority that wait.

    :param in_time: those that can still be answered in time.
    :param late: those that can't.
    """

    in_time: int = 0
    late: int = 0


class _Class(IntEnum):
    RETURNING = 0
    IN_TIME = 1
    LATE_SENT = 2
    LATE = 3


class EntryOrder:
    """Orders requests by whether they can still be in time, and by priority.

    Among equals, the ones whose turn had come before are first, and organisations have
    fair shares.

    :param weight_of: returns the weight of an organisation, above 0.

    >>> order = EntryOrder(lambda organisation: 1.0)
    >>> for number, useful_until_s in enumerate([1.0, 3.0, 3.0]):
    ...     ticket = AdmissionTicket(
    ...         number=number, organisation="osorno", cost=1.0, deadline_s=9.0
    ...     )
    ...     order.push(
    ...         WaitingRequest(ticket=ticket, priority=1, useful_until_s=useful_until_s)
    ...     )
    >>> order.first(1, now_s=2.0).number, order.first_late(now_s=2.0).number
    (1, 0)
    >>> order.counts(now_s=2.0)
    {1: WaitingCount(in_time=2, late=1)}
    """

    def __init__(self, weight_of: Callable[[OrganisationId], float]) -> None:
        self._weight_of = weight_of
        self._requests: dict[int, WaitingRequest] = {}
        # Class in which each request is queued.
        self._classes: dict[int, _Class] = {}
        self._queues: dict[tuple[int, _Class], FairQueue] = {}
        # Requests in time that began since the last late one.
        self._n_turns = 0

    @property
    def is_turn_of_late(self) -> bool:
        """Whether a request that is late goes before those in time."""
        return self._n_turns >= IN_TIME_TURNS

    def __len__(self) -> int:
        return len(self._requests)

    def push(self, request: WaitingRequest) -> None:
        """Add a request.

        :param request: the request.
        """
        number = request.ticket.number
        self._requests[number] = request
        is_returning = request.is_returning
        self._enqueue(request, _Class.RETURNING if is_returning else _Class.IN_TIME)

    def remove(self, ticket: AdmissionTicket) -> None:
        """Remove a request; does nothing if it does not wait.

        :param ticket: the request.
        """
        request = self._requests.pop(ticket.number, None)
        if request is not None:
            self._dequeue(request)

    def priorities(self) -> list[int]:
        """List the priorities of the requests that wait, the most urgent first."""
        return sorted({request.priority for request in self._requests.values()})

    def is_sent(self, ticket: AdmissionTicket) -> bool:
        """Return whether a request that waits was sent before.

        :param ticket: the request.
        """
        return self._requests[ticket.number].is_sent

    def priority_of(self, ticket: AdmissionTicket) -> int:
        """Return the priority of a request that waits.

        :param ticket: the request.
        """
        return self._requests[ticket.number].priority

    def first(
        self, priority: int, now_s: float, excluded: Container[int] = ()
    ) -> AdmissionTicket | None:
        """Return the next request of a priority in time, which goes on waiting.

        :param priority: the priority.
        :param now_s: current time, in seconds.
        :param excluded: numbers of tickets to pass over.
        :returns: ``None`` if there is no other one.
        """
        self._move_late(now_s)
        keys = [(priority, _Class.RETURNING), (priority, _Class.IN_TIME)]
        return self._first_of(keys, excluded)

    def first_late(
        self, now_s: float, excluded: Container[int] = (), after: int = -1
    ) -> AdmissionTicket | None:
        """Return the next request that is late, which goes on waiting.

        :param now_s: current time, in seconds.
        :param excluded: numbers of tickets to pass over.
        :param after: priority; the requests are less urgent than it.
        :returns: ``None`` if there is no other one.
        """
        self._move_late(now_s)
        # An answer that has begun is lost to its caller after some time.
        kinds = (_Class.LATE_SENT, _Class.LATE)
        keys = [(p, kind) for kind in kinds for p in self.priorities() if p > after]
        return self._first_of(keys, excluded)

    def _first_of(
        self, keys: Iterable[tuple[int, _Class]], excluded: Container[int]
    ) -> AdmissionTicket | None:
        queues = (self._queues[key] for key in keys if key in self._queues)
        tickets = (queue.first(excluded) for queue in queues)
        return next((ticket for ticket in tickets if ticket is not None), None)

    def begin(self, ticket: AdmissionTicket) -> None:
        """Remove a request that begins.

        :param ticket: the request, which waits.
        """
        priority = self._requests.pop(ticket.number).priority
        kind = self._classes.pop(ticket.number)
        self._queues[priority, kind].take(ticket)
        self._n_turns = 0 if kind >= _Class.LATE_SENT else self._n_turns + 1

    def late(self, now_s: float) -> list[AdmissionTicket]:
        """List the requests that can't be answered in time and were not sent.

        :param now_s: current time, in seconds.
        """
        self._move_late(now_s)
        return [
            request.ticket
            for number, request in self._requests.items()
            if self._classes[number] is _Class.LATE
        ]

    def counts(self, now_s: float) -> Mapping[int, WaitingCount]:
        """Return the number of requests that wait and were not sent, by priority.

        :param now_s: current time, in seconds.
        """
        self._move_late(now_s)
        counts: dict[int, WaitingCount] = {}
        for number, request in self._requests.items():
            if request.is_sent:
                continue
            in_time, late = counts.get(request.priority, WaitingCount())
            if self._classes[number] is _Class.LATE:
                late += 1
            else:
                in_time += 1
            counts[request.priority] = WaitingCount(in_time, late)
        return counts

    def _move_late(self, now_s: float) -> None:
        for number, request in self._requests.items():
            is_late = self._classes[number] >= _Class.LATE_SENT
            if not is_late and now_s > request.useful_until_s:
                self._dequeue(request)
                kind = _Class.LATE_SENT if request.is_sent else _Class.LATE
                self._enqueue(request, kind)

    def _enqueue(self, request: WaitingRequest, kind: _Class) -> None:
        self._classes[request.ticket.number] = kind
        queue = self._queues.get((request.priority, kind))
        if queue is None:
            queue = FairQueue(self._weight_of)
            self._queues[request.priority, kind] = queue
        queue.push(request.ticket)

    def _dequeue(self, request: WaitingRequest) -> None:
        kind = self._classes.pop(request.ticket.number)
        self._queues[request.priority, kind].remove(request.ticket)
