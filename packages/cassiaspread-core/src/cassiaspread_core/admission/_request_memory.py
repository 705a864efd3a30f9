"""Memory of the requests that one process holds, all together.

Callers that are not controlled may send many large bodies at once, stop just short of
their end and stay open. A body is read only as far as its request has been granted
memory. A request keeps what it was granted until it ends, since its body may be sent to
a target once more.
"""

from collections.abc import Callable
from enum import Enum
from typing import Self

import msgspec

from cassiaspread_core.admission._waiting import (
    MAX_RETRY_AFTER_S,
    MIN_COMPLETIONS_PER_S,
    MIN_RETRY_AFTER_S,
)
from cassiaspread_core.base import EventRate

MIB = 1024 * 1024
# Of a process without requests, and of the answers that it holds (AnswerMemory).
RESTING_BYTES = 56 * MIB
# Memory for requests of a process that has been given less than it needs at rest.
MIN_SPARE_BYTES = 16 * MIB
# Parts of the rest: bodies and long heads, the state of the connections, and bytes that
# wait in the kernel and in the buffers of connections that are not read. What is left
# is for copies and for fragments that the allocator can't return.
BODY_SHARE = 3 / 4
CONNECTION_SHARE = 1 / 8
UNREAD_SHARE = 1 / 16
# State of one connection, and its buffers while it waits: the receive buffer in the
# kernel, which is twice what is asked for, and one or two blocks that were read.
CONNECTION_BYTES = 16 * 1024
RECEIVE_BUFFER_BYTES = 32 * 1024
UNREAD_BYTES = 4 * RECEIVE_BUFFER_BYTES
# Descriptors that are not for sockets; half of the others are for callers, since each
# of their requests may take a connection to a target.
N_RESERVED_DESCRIPTORS = 200
CALLERS_SHARE = 1 / 2
MIN_CONNECTIONS = 16
# A request up to this size never makes way for larger ones, which leave a part of the
# memory free.
SMALL_BYTES = 64 * 1024
SMALL_SHARE = 1 / 16
# Memory is granted in steps of this part of what has arrived, so that slow senders do
# not occupy what they have not sent yet.
STEP_SHARE = 1 / 4
# Bodies that arrive evenly have sent half of their length on average. Newcomers leave
# them a part of the memory to grow.
EXPECTED_FACTOR = 2
NEWCOMERS_SHARE = 7 / 8
# Longest wait for memory, in seconds. A caller that is refused may find another daemon.
MAX_WAIT_S = 1.0
# A sender that is slower falls behind by one second in each second; one that is faster
# catches up. Far below any access network, in bytes per second.
MIN_BYTES_PER_S = 32 * 1024
# Once others wait, a sender that is this far behind is ended, in seconds: longer than
# the pauses of a caller whose packets are lost and sent again.
MAX_LAG_S = 3.0


class RequestBounds(msgspec.Struct, frozen=True):
    """Bounds on the requests of one process.

    :param max_bytes: bytes of all requests together.
    :param max_waiting: requests that wait for memory.
    :param max_connections: connections of callers.

    >>> bounds = RequestBounds.of_process(300 * MIB, 4100)
    >>> bounds.max_bytes // MIB, bounds.max_waiting, bounds.max_connections
    (183, 122, 1950)
    """

    max_bytes: int
    max_waiting: int
    max_connections: int

    @classmethod
    def of_process(cls, n_memory_bytes: int, n_descriptors: int) -> Self:
        """Derive the bounds from the limits of a process.

        :param n_memory_bytes: memory that it may use.
        :param n_descriptors: descriptors that it may open.
        """
        spare = max(MIN_SPARE_BYTES, n_memory_bytes - RESTING_BYTES)
        return cls.of_requests(spare, n_descriptors)

    @classmethod
    def of_requests(cls, n_request_bytes: int, n_descriptors: int) -> Self:
        """Derive the bounds from the memory for requests alone.

        :param n_request_bytes: memory for requests and the connections of callers.
        :param n_descriptors: descriptors that the process may open.

        >>> bounds = RequestBounds.of_requests(16 * MIB, 4100)
        >>> bounds.max_bytes // MIB, bounds.max_waiting, bounds.max_connections
        (12, 8, 128)
        """
        n_sockets = n_descriptors - N_RESERVED_DESCRIPTORS
        n_connections = min(
            n_request_bytes * CONNECTION_SHARE // CONNECTION_BYTES,
            n_sockets * CALLERS_SHARE,
        )
        return cls(
            max_bytes=int(n_request_bytes * BODY_SHARE),
            max_waiting=int(n_request_bytes * UNREAD_SHARE // UNREAD_BYTES),
            max_connections=max(MIN_CONNECTIONS, int(n_connections)),
        )


class MemoryDecision(Enum):
    """What a request may do.

    READ: read on, up to the size that was asked for.
    WAIT: read no more until the next decision.
    REFUSE: it can't be held; it has not run and may come back.
    END: others wait for the memory that its slow sender occupies; it has not run.
    """

    READ = "read"
    WAIT = "wait"
    REFUSE = "refuse"
    END = "end"


class _State(Enum):
    NEW = "new"
    RECEIVING = "receiving"
    WAITING = "waiting"
    COMPLETE = "complete"
    CLOSED = "closed"


# Tells the owner of a request a decision after WAIT, or END while it is read.
Decide = Callable[[MemoryDecision], None]


class RequestMemory:
    """Grants memory to requests before they are read.

    Requests wait in order, those that hold memory before newcomers. Once one waits,
    senders that have fallen behind are ended, the largest first, so that a crowd that
    stands still gives way to callers that go on. If all memory is held by requests that
    wait for more, the one that has received least is refused. In calm no one is ended
    or refused.

    :param bounds: bounds on all requests together.

    >>> memory = RequestMemory(RequestBounds(8 * MIB, 1, 16))
    >>> stalled, other = memory.hold(print), memory.hold(print)
    >>> stalled.ask(6 * MIB, now_s=0.0).value
    'read'
    >>> other.ask(4 * MIB, now_s=1.0).value
    'wait'
    >>> memory.hold(print).ask(10_000, now_s=1.0).value
    'read'
    >>> memory.check(now_s=1.5)
    >>> memory.check(now_s=2.1)
    MemoryDecision.REFUSE
    >>> memory.hold(print).ask(4 * MIB, now_s=3.5).value
    MemoryDecision.END
    'read'
    """

    def __init__(self, bounds: RequestBounds) -> None:
        self._bounds = bounds
        self._max_large_bytes = int(bounds.max_bytes * (1 - SMALL_SHARE))
        self._n_bytes = 0
        self._n_large_bytes = 0
        self._n_expected_bytes = 0
        self._receiving: set[HeldRequest] = set()
        # In the order in which they began to wait.
        self._waiting: dict[HeldRequest, None] = {}
        self._completions = EventRate()
        self._refusals = EventRate()
        # Gets its decision as an answer.
        self._asking: HeldRequest | None = None
        self._n_decided = {MemoryDecision.REFUSE: 0, MemoryDecision.END: 0}

    @property
    def bounds(self) -> RequestBounds:
        """Bounds on all requests together."""
        return self._bounds

    @property
    def n_bytes(self) -> int:
        """Bytes that were granted to requests and not given back."""
        return self._n_bytes

    @property
    def n_waiting(self) -> int:
        """Requests that wait for memory."""
        return len(self._waiting)

    @property
    def n_refused(self) -> int:
        """Requests that were refused."""
        return self._n_decided[MemoryDecision.REFUSE]

    @property
    def n_ended(self) -> int:
        """Requests that were ended because of their slow senders."""
        return self._n_decided[MemoryDecision.END]

    def hold(self, decide: Decide) -> "HeldRequest":
        """Start to account for a request.

        :param decide: called with a decision that is not the answer to a question.
        """
        return HeldRequest(self, decide)

    def retry_after_s(self, now_s: float) -> float:
        """Return the time after which a refused caller should retry, in seconds.

        :param now_s: current time, in seconds.
        """
        n_ahead = len(self._waiting) + self._refusals.count(now_s) + 1
        completions_per_s = max(MIN_COMPLETIONS_PER_S, self._completions.per_s(now_s))
        wait_s = n_ahead / completions_per_s
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def check(self, now_s: float) -> None:
        """Refuse requests that have waited too long, and end slow senders.

        To be called a few times a second.

        :param now_s: current time, in seconds.
        """
        self._make_room(now_s)
        for request in list(self._waiting):
            if request.is_waiting and now_s - request.since_s >= MAX_WAIT_S:
                self._decide(request, MemoryDecision.REFUSE, now_s)

    def ask(self, request: "HeldRequest", n_bytes: int, now_s: float) -> MemoryDecision:
        """Decide whether a request may be read up to a size.

        :param request: the request.
        :param n_bytes: its size from now on.
        :param now_s: current time, in seconds.
        """
        is_newcomer = not request.n_bytes
        request.n_wanted = n_bytes
        is_next = not (self._waiting and is_newcomer and request.wants_large)
        if is_next and self._fits(request, n_bytes):
            self._grant(request, n_bytes, now_s)
            return MemoryDecision.READ
        n_ahead = sum(other.n_missing for other in self._waiting)
        request.begin_wait(now_s)
        self._receiving.discard(request)
        self._waiting[request] = None
        self._asking = request
        self._make_room(now_s)
        self._asking = None
        if not request.is_open:
            return MemoryDecision.REFUSE
        if not request.is_waiting:
            return MemoryDecision.READ
        is_too_long = n_ahead and n_ahead + request.n_missing > self._max_large_bytes
        is_full = len(self._waiting) > self._bounds.max_waiting
        if is_full or (is_newcomer and is_too_long):
            self._record(MemoryDecision.REFUSE, now_s)
            request.close(now_s)
            return MemoryDecision.REFUSE
        return MemoryDecision.WAIT

    def complete(self, request: "HeldRequest", n_bytes: int, now_s: float) -> None:
        """Record that a request was received to its end.

        :param request: the request.
        :param n_bytes: its size.
        :param now_s: current time, in seconds.
        """
        self._receiving.discard(request)
        self._resize(request, n_bytes, n_bytes)
        self._admit(now_s)

    def release(self, request: "HeldRequest", now_s: float) -> None:
        """Take back what a request holds.

        :param request: the request.
        :param now_s: current time, in seconds.
        """
        self._receiving.discard(request)
        self._waiting.pop(request, None)
        if request.n_bytes:
            self._resize(request, 0, 0)
            self._completions.record(now_s)
        self._admit(now_s)

    def _fits(self, request: "HeldRequest", n_bytes: int) -> bool:
        n_total = self._n_bytes + n_bytes - request.n_bytes
        n_large = self._n_large_bytes + n_bytes - request.n_large_bytes
        if n_bytes > self._max_large_bytes:
            # Served, but beside no other large request.
            return n_large == n_bytes
        if n_total > self._bounds.max_bytes:
            return False
        if not request.wants_large or n_large == n_bytes:
            return True
        if request.n_bytes or request.n_expected <= n_bytes:
            return n_large <= self._max_large_bytes
        n_expected = self._n_expected_bytes + request.n_expected
        return (
            n_large <= NEWCOMERS_SHARE * self._max_large_bytes
            and n_expected <= EXPECTED_FACTOR * self._max_large_bytes
        )

    def _resize(self, request: "HeldRequest", n_bytes: int, n_expected: int) -> None:
        self._n_bytes -= request.n_bytes
        self._n_large_bytes -= request.n_large_bytes
        self._n_expected_bytes -= request.n_expected_bytes
        request.n_bytes, request.n_expected = n_bytes, n_expected
        self._n_bytes += n_bytes
        self._n_large_bytes += request.n_large_bytes
        self._n_expected_bytes += request.n_expected_bytes

    def _grant(self, request: "HeldRequest", n_bytes: int, now_s: float) -> None:
        self._waiting.pop(request, None)
        self._resize(request, n_bytes, request.n_expected)
        self._receiving.add(request)
        request.begin_receiving(now_s)

    def _admit(self, now_s: float) -> None:
        """Grant memory to those that wait, as far as it goes."""
        is_blocked = False
        for request in sorted(self._waiting, key=lambda waiting: not waiting.n_bytes):
            if not request.is_waiting:
                continue
            is_next = not (is_blocked and request.wants_large)
            if is_next and self._fits(request, request.n_wanted):
                self._grant(request, request.n_wanted, now_s)
                if request is not self._asking:
                    request.decide(MemoryDecision.READ)
            else:
                is_blocked = True

    def _make_room(self, now_s: float) -> None:
        """End slow senders for as long as requests wait."""
        self._admit(now_s)
        while self._waiting:
            slow = [
                request
                for request in self._receiving
                if request.lag_s(now_s) >= MAX_LAG_S
            ]
            if not slow:
                break
            largest = max(slow, key=lambda request: request.n_bytes)
            if not largest.is_large and self._is_small_part_free():
                break
            self._decide(largest, MemoryDecision.END, now_s)
        while self._is_stuck():
            least = min(
                (request for request in self._waiting if request.n_bytes),
                key=lambda request: request.n_bytes,
            )
            self._decide(least, MemoryDecision.REFUSE, now_s)

    def _is_stuck(self) -> bool:
        """Return whether all large requests that hold memory wait for more."""
        held = [request.n_large_bytes for request in self._waiting if request.n_bytes]
        return len(held) > 1 and sum(held) == self._n_large_bytes

    def _is_small_part_free(self) -> bool:
        """Return whether small requests are not in the way of those that wait."""
        n_small_bytes = self._n_bytes - self._n_large_bytes
        n_left_free = self._bounds.max_bytes - self._max_large_bytes
        return n_small_bytes <= n_left_free and all(
            request.wants_large for request in self._waiting
        )

    def _decide(
        self, request: "HeldRequest", decision: MemoryDecision, now_s: float
    ) -> None:
        self._record(decision, now_s)
        if request is not self._asking:
            request.decide(decision)
        request.close(now_s)

    def _record(self, decision: MemoryDecision, now_s: float) -> None:
        self._n_decided[decision] += 1
        self._refusals.record(now_s)


class SenderPace:
    """By how much a sender has fallen behind.

    :param now_s: current time, in seconds.

    >>> pace = SenderPace(now_s=0.0)
    >>> pace.receive(100_000, now_s=2.0)
    >>> pace.lag_s(now_s=2.5)
    0.5
    """

    def __init__(self, now_s: float) -> None:
        self._lag_s = 0.0
        # Since when it may send and nothing has arrived.
        self._since_s: float | None = now_s

    def lag_s(self, now_s: float) -> float:
        """Return by how much it has fallen behind, in seconds.

        :param now_s: current time, in seconds.
        """
        if self._since_s is None:
            return self._lag_s
        return self._lag_s + max(0.0, now_s - self._since_s)

    def receive(self, n_bytes: int, now_s: float) -> None:
        """Record bytes that arrived.

        :param n_bytes: their number.
        :param now_s: current time, in seconds.
        """
        self._lag_s = max(0.0, self.lag_s(now_s) - n_bytes / MIN_BYTES_PER_S)
        self._since_s = now_s

    def pause(self, now_s: float) -> None:
        """Record that it is not read, which is no fault of its own.

        :param now_s: current time, in seconds.
        """
        self._lag_s, self._since_s = self.lag_s(now_s), None

    def go_on(self, now_s: float) -> None:
        """Record that it may send.

        :param now_s: current time, in seconds.
        """
        if self._since_s is None:
            self._since_s = now_s


class HeldRequest:
    """Memory of one request.

    :param memory: accounts for it.
    :param decide: called with decisions that are not answers to :meth:`ask`.
    """

    def __init__(self, memory: RequestMemory, decide: Decide) -> None:
        self._memory = memory
        self._decide = decide
        self._state = _State.NEW
        self._pace: SenderPace | None = None
        #: Since when it waits, in seconds.
        self.since_s = 0.0
        #: Bytes that it was granted.
        self.n_bytes = 0
        #: Bytes that it asked for last.
        self.n_wanted = 0
        #: Bytes that it will have, if that is known.
        self.n_expected = 0

    @property
    def is_waiting(self) -> bool:
        """Whether it must not be read."""
        return self._state is _State.WAITING

    @property
    def is_open(self) -> bool:
        """Whether it is accounted for."""
        return self._state is not _State.CLOSED

    @property
    def is_large(self) -> bool:
        """Whether it holds memory of the part that large requests share."""
        return max(self.n_bytes, self.n_expected) > SMALL_BYTES

    @property
    def wants_large(self) -> bool:
        """Whether what it asked for is of that part."""
        return self.is_large or self.n_wanted > SMALL_BYTES

    @property
    def n_large_bytes(self) -> int:
        """Bytes that it holds of that part."""
        return self.n_bytes if self.is_large else 0

    @property
    def n_expected_bytes(self) -> int:
        """Bytes that it will hold of that part, as far as is known."""
        return max(self.n_bytes, self.n_expected) if self.n_large_bytes else 0

    @property
    def n_missing(self) -> int:
        """Bytes that it does not hold yet, as far as is known."""
        return max(self.n_wanted, self.n_expected) - self.n_bytes

    def begin(self, n_bytes: int, now_s: float) -> MemoryDecision:
        """Ask whether a request of known length may be read.

        It is granted a first step; :meth:`ask_more` asks for the next ones.

        :param n_bytes: bytes of the request in all.
        :param now_s: current time, in seconds.
        :returns: READ, REFUSE, or WAIT until a decision is made.
        """
        self.n_expected = n_bytes
        return self.ask(min(n_bytes, SMALL_BYTES), now_s)

    def ask(self, n_bytes: int, now_s: float) -> MemoryDecision:
        """Ask whether the request may be read up to a size.

        :param n_bytes: bytes of the request.
        :param now_s: current time, in seconds.
        :returns: READ, REFUSE, or WAIT until a decision is made.
        """
        if not self.is_open:
            return MemoryDecision.REFUSE
        if n_bytes <= self.n_bytes:
            return MemoryDecision.READ
        return self._memory.ask(self, n_bytes, now_s)

    def ask_more(self, n_bytes: int, max_bytes: int, now_s: float) -> MemoryDecision:
        """Ask for the next step of a request.

        :param n_bytes: bytes of the request so far.
        :param max_bytes: bytes that it can have at most.
        :param now_s: current time, in seconds.
        :returns: READ, REFUSE, or WAIT until a decision is made.
        """
        if n_bytes <= self.n_bytes:
            return self.ask(n_bytes, now_s)
        step = n_bytes + max(SMALL_BYTES, int(STEP_SHARE * n_bytes))
        return self.ask(max(n_bytes, min(step, max_bytes)), now_s)

    def receive(self, n_bytes: int, now_s: float) -> None:
        """Record bytes of the body that arrived.

        :param n_bytes: their number.
        :param now_s: current time, in seconds.
        """
        if self._pace is not None:
            self._pace.receive(n_bytes, now_s)

    def complete(self, n_bytes: int, now_s: float) -> None:
        """Record that the request was received to its end.

        :param n_bytes: bytes of the request.
        :param now_s: current time, in seconds.
        """
        if self.is_open:
            self._state = _State.COMPLETE
            self._memory.complete(self, n_bytes, now_s)

    def close(self, now_s: float) -> None:
        """Give the memory back.

        :param now_s: current time, in seconds.
        """
        if self.is_open:
            self._state = _State.CLOSED
            self._memory.release(self, now_s)

    def lag_s(self, now_s: float) -> float:
        """Return by how much its sender has fallen behind, in seconds.

        :param now_s: current time, in seconds.
        """
        return 0.0 if self._pace is None else self._pace.lag_s(now_s)

    def begin_wait(self, now_s: float) -> None:
        """Record that it waits for memory; called by :class:`RequestMemory`.

        :param now_s: current time, in seconds.
        """
        if self._pace is not None:
            self._pace.pause(now_s)
        self._state = _State.WAITING
        self.since_s = now_s

    def begin_receiving(self, now_s: float) -> None:
        """Record that it may be read; called by :class:`RequestMemory`.

        :param now_s: current time, in seconds.
        """
        if self._pace is None:
            self._pace = SenderPace(now_s)
        self._pace.go_on(now_s)
        self._state = _State.RECEIVING

    def decide(self, decision: MemoryDecision) -> None:
        """Tell its owner; called by :class:`RequestMemory`.

        :param decision: the decision.
        """
        self._decide(decision)
