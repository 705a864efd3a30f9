"""Callers' connections: reads complete requests and sends answers."""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Mapping
from enum import Enum
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from cassiaspread_core.admission import (
    ConnectionUse,
    HeldRequest,
    MemoryDecision,
    RequestBounds,
    RequestMemory,
    SenderPace,
    connections_to_end,
)
from cassiaspread_core.base import CassiaspreadError, Refusal, RequestId
from cassiaspread_core.routing import ClientLimits
from cassiaspread_daemon._caller_stream import CallerStream
from cassiaspread_daemon._exchange import ANSWER_MEMORY, MAX_JOINED_BYTES
from cassiaspread_daemon._request_body import RequestBody
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._deliveries import Deliveries

# A timeout is noticed up to this much later.
TIMEOUT_INTERVAL_S = 0.25
# Value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Limits of a process whose settings name none.
DEFAULT_MEMORY_BYTES = 256_000_000
DEFAULT_DESCRIPTORS = 4096
# Bytes of a head that are part of the memory of each connection.
FREE_HEAD_BYTES = 16 * 1024
# After a refusal, so much of the rest of a body is read and dropped, so that its caller
# can read the answer, and until the caller has fallen behind by so much, in seconds.
MAX_DROPPED_BYTES = 8 * 1024 * 1024
MAX_DROP_LAG_S = 3.0


class CallerDisconnected(CassiaspreadError):
    """The caller closed its connection."""


class InboundRequest:
    """One request of a caller, with methods to answer it.

    :param connection: connection that it was received on.
    :param start_line: method and target.
    :param headers: the caller's headers.
    :param body: the complete body.
    :param arrived_s: when its headers were read, on the monotonic clock in seconds.
    :param must_close: returns whether an answer that begins now is the last one.
    :param is_receiving: whether the rest of the body is still to be read and dropped.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes | memoryview,
        arrived_s: float,
        must_close: Callable[[], bool] = lambda: False,
        is_receiving: bool = False,
    ) -> None:
        self._connection = connection
        self._must_close = must_close
        self._version = start_line.version
        # Whether the end of the connection marks the end of the answer.
        self._ends_with_connection = False
        self.method = start_line.method
        self.target = start_line.path
        self.headers = headers
        self.body = body
        self.arrived_s = arrived_s
        # Identifies the request in log lines, once its headers are decoded.
        self.request_id = RequestId("")
        self.status = 0
        self._is_ended = False
        self._is_receiving = is_receiving
        self._is_close_announced = False
        # Answers the request instead of its target.
        self.refusal: Refusal | None = None
        # Whether it was sent to a target, which may have run it.
        self.is_passed_on = False
        # Answers the request if its task is cancelled.
        self.interruption: Refusal | None = None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def is_started(self) -> bool:
        """Whether the answer's headers were sent."""
        return bool(self.status)

    @property
    def is_ended(self) -> bool:
        """Whether the answer was ended as complete."""
        return self._is_ended

    @property
    def is_receiving(self) -> bool:
        """Whether the rest of the body is still to be read and dropped."""
        return self._is_receiving

    @property
    def is_close_announced(self) -> bool:
        """Whether the answer says that the connection closes after it."""
        return self._is_close_announced

    @property
    def stream(self) -> CallerStream:
        """Connection that it was received on."""
        return self._connection.stream

    def start(self, status: int, headers: HTTPHeaders, data: bytes = b"") -> None:
        """Send status and headers of an answer.

        :param status: HTTP status code.
        :param headers: headers; without a content length the body is sent in chunks.
        :param data: beginning of the body.
        """
        try:
            reason = HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        if self._version == "HTTP/1.0" and "Content-Length" not in headers:
            self._ends_with_connection = True
        if self._ends_with_connection or self._must_close():
            self._is_close_announced = True
            headers["Connection"] = "close"
            if self._version == "HTTP/1.0":
                # Tornado would confirm a request for keep-alive.
                self.headers.pop("Connection", None)
        self._connection.write_headers(start_line, headers, data)
        # Not before: headers that can't be sent are followed by a refusal.
        self.status = status

    async def write(self, data: bytes) -> None:
        """Send a part of the body and wait until the connection accepts more.

        :param data: the part.
        :raises CallerDisconnected: the connection is closed.
        """
        try:
            await self._connection.write(data)
        except StreamClosedError:
            raise CallerDisconnected("connection closed") from None

    def end(self) -> None:
        """End the answer as complete."""
        self._is_ended = True
        if not self._is_receiving:
            self._finish()

    def end_receiving(self) -> None:
        """Record that the rest of the body was read and dropped."""
        self._is_receiving = False
        if self._is_ended:
            self._finish()

    def _finish(self) -> None:
        self._connection.finish()
        stream = self._connection.stream
        if self._ends_with_connection and not stream.closed():
            # Done once all data written before has been sent.
            flushed = stream.write(b"")
            flushed.add_done_callback(lambda _: stream.close())

    def abort(self) -> None:
        """Close the connection, so that the answer appears incomplete."""
        stream = self._connection.stream
        if self._ends_with_connection and not stream.closed():
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self._connection.close()

    def answer(
        self, status: int, headers: Mapping[str, str], body: bytes = b""
    ) -> None:
        """Send a complete answer.

        :param status: HTTP status code.
        :param headers: headers without the length.
        :param body: the body.
        """
        all_headers = HTTPHeaders(headers)
        all_headers["Content-Length"] = str(len(body))
        if self.method == "HEAD":
            # Its answer has the headers of one with a body, and none.
            body = b""
        if len(body) <= MAX_JOINED_BYTES:
            self.start(status, all_headers, body)
        else:
            self.start(status, all_headers)
            sent = self._connection.write(body)
            if not sent.done():
                held = ANSWER_MEMORY.hold(lambda _: self.abort())
                sent.add_done_callback(lambda _: held.close())
                held.add(len(body))
        self.end()


Handler = Callable[[InboundRequest], Awaitable[None]]


class CloseReason(Enum):
    """Why the gateway closes a connection."""

    IDLE = "idle"
    HEAD_TIMEOUT = "head timeout"
    HEAD_TOO_LARGE = "head too large"
    MALFORMED = "malformed request"
    ABORTED = "answer broken off"
    LEAVING = "leaving"
    REFUSED = "request refused before its end"
    MEMORY = "memory for requests full"
    CROWDED = "connections full"


class _Connection:
    """State of one open connection.

    :param stream: the connection.
    """

    def __init__(self, stream: CallerStream) -> None:
        self.stream = stream
        # Since when the next request is awaited; None while one is in progress.
        self.waiting_since_s: float | None = None
        # The largest of each limit that was in force since then, or since the request
        # in progress was awaited.
        self.limits = ClientLimits()
        self.n_requests = 0
        # Whether a request is in progress that was not received to its end.
        self.is_receiving = False
        self.inbound: InboundRequest | None = None
        self.reason: CloseReason | None = None
        # Memory of a long head that is not complete, and of the request after it.
        self.held_head: HeldRequest | None = None
        self.held: HeldRequest | None = None
        # When the request was refused whose body is read and dropped, and its sender.
        self.refused_s: float | None = None
        self.drop_pace: SenderPace | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has arrived.

        It holds for the current step of the event loop.
        """
        return (
            self.waiting_since_s is not None
            and not self.stream.n_buffered
            and not self.stream.has_unread
        )

    def begin_wait(self, limits: ClientLimits, now_s: float) -> None:
        """Begin to wait for a request.

        :param limits: limits in force.
        :param now_s: current time on the monotonic clock, in seconds.
        """
        self.waiting_since_s = now_s
        self.inbound = None
        self.is_receiving = False
        self.held = None
        self.limits = limits

    def release_head(self, now_s: float) -> None:
        """Give back the memory of a head.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        if self.held_head is not None:
            self.held_head.close(now_s)
            self.held_head = None

    def find_use(self, now_s: float) -> tuple[ConnectionUse, float]:
        """Return what the connection is used for, and for how long in seconds.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        if self.refused_s is not None:
            return ConnectionUse.REFUSED, now_s - self.refused_s
        if self.waiting_since_s is not None:
            return ConnectionUse.WAITING, now_s - self.waiting_since_s
        if self.is_receiving and self.held is not None and not self.held.is_waiting:
            return ConnectionUse.BODY, self.held.lag_s(now_s)
        return ConnectionUse.BUSY, 0.0

    def raise_limits(self, limits: ClientLimits) -> None:
        """Apply larger limits; smaller ones hold from the next wait.

        :param limits: limits in force from now on.
        """
        before = self.limits
        self.limits = ClientLimits(
            max(before.max_header_bytes, limits.max_header_bytes),
            max(before.max_body_bytes, limits.max_body_bytes),
            max(before.header_timeout_s, limits.header_timeout_s),
            max(before.idle_timeout_s, limits.idle_timeout_s),
        )

    def find_expired(self, now_s: float) -> CloseReason | None:
        """Return which timeout the caller has exceeded, if any.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        if self.drop_pace is not None:
            is_over = self.drop_pace.lag_s(now_s) >= MAX_DROP_LAG_S
            return CloseReason.REFUSED if is_over else None
        if self.waiting_since_s is None:
            return None
        if not self.stream.n_buffered:
            is_over = now_s - self.waiting_since_s >= self.limits.idle_timeout_s
            return CloseReason.IDLE if is_over and self.is_idle else None
        # A head may begin before the answer to the request before it has ended.
        arriving_since_s = max(self.waiting_since_s, self.stream.arriving_since_s)
        is_over = now_s - arriving_since_s >= self.limits.header_timeout_s
        # The process may have been suspended while the rest of the head arrived.
        if is_over and not self.stream.has_unread:
            return CloseReason.HEAD_TIMEOUT
        return None

    def close(self, reason: CloseReason) -> None:
        """Close the connection.

        :param reason: the reason.
        """
        self.reason = reason
        self.stream.close()


class Frontend(HTTPServerConnectionDelegate):
    """Starts a task for each request and cancels it when its caller disconnects.

    :param handler: answers a request.
    :param log: receives a line for each connection that the gateway closes, if any.
    :param memory: bounds the requests of the process.
    """

    def __init__(
        self,
        handler: Handler,
        log: DecisionLog | None = None,
        memory: RequestMemory | None = None,
    ) -> None:
        self._handler = handler
        self._log = log
        if memory is None:
            memory = RequestMemory(
                RequestBounds.of_process(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS)
            )
        self._memory = memory
        self._n_crowded = 0
        self._limits = ClientLimits()
        self._is_leaving = False
        self._tasks: dict[InboundRequest, asyncio.Task[None]] = {}
        self._connections: dict[HTTP1ServerConnection, _Connection] = {}
        self._deliveries = Deliveries(log)

    @property
    def n_requests(self) -> int:
        """Requests in progress."""
        return len(self._tasks)

    @property
    def is_leaving(self) -> bool:
        """Whether each connection closes after its next answer."""
        return self._is_leaving

    @property
    def n_undelivered(self) -> int:
        """Answers that ended and are not known to have reached their callers."""
        return len(self._deliveries)

    @property
    def n_connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    @property
    def n_not_read(self) -> dict[str, int]:
        """Requests and connections that were refused or ended to bound their memory."""
        return {
            "refused": self._memory.n_refused,
            "too_slow": self._memory.n_ended,
            "connections": self._n_crowded,
        }

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of one request.

        :param server_conn: identifies the connection.
        :param request_conn: connection to read the request from.
        """
        stream = server_conn.stream
        connection = self._connections.get(server_conn)
        if connection is None and not stream.closed():
            # Tornado's server doesn't tell its delegate that a connection is closed.
            stream.closed_callback = lambda: self.on_close(server_conn)
            connection = self._connections[server_conn] = _Connection(stream)
            stream.received_callback = lambda: self._check_head(connection)
        if connection is not None:
            self._begin_wait(connection)
        return _RequestReader(self, server_conn, request_conn)

    def _begin_wait(self, connection: _Connection) -> None:
        answered = connection.inbound
        connection.begin_wait(self._limits, time.monotonic())
        if answered is None:
            return
        # A request that arrived behind an answer without "Connection: close" is
        # answered, also by a daemon that is leaving.
        may_close = self._is_leaving and connection.is_idle
        is_refused = connection.refused_s is not None
        connection.refused_s = connection.drop_pace = None
        if answered.is_close_announced or may_close:
            connection.close(CloseReason.REFUSED if is_refused else CloseReason.LEAVING)

    def _check_head(self, connection: _Connection) -> None:
        """Account for a head that is longer than usual and not complete."""
        n_bytes = connection.stream.n_buffered
        if connection.waiting_since_s is None or n_bytes <= FREE_HEAD_BYTES:
            return
        loop, now_s = asyncio.get_running_loop(), time.monotonic()

        def close(decision: MemoryDecision) -> None:
            # The connection is in the middle of a read.
            loop.call_soon(connection.close, CloseReason.MEMORY)

        if connection.held_head is None:
            connection.held_head = self._memory.hold(close)
        if not connection.held_head.is_open:
            return
        decision = connection.held_head.ask(n_bytes, now_s)
        if decision is not MemoryDecision.READ:
            connection.held_head.close(now_s)
            close(decision)

    def count_free(self) -> int:
        """Return how many connections may be accepted; make room if it is none."""
        n_free = self._memory.bounds.max_connections - len(self._connections)
        if n_free > 0:
            return n_free
        now_s = time.monotonic()
        to_end = connections_to_end(
            (connection, *connection.find_use(now_s))
            for connection in self._connections.values()
        )
        for connection in to_end:
            self._n_crowded += 1
            connection.close(CloseReason.CROWDED)
        return len(to_end)

    def hold(
        self,
        server_conn: HTTP1ServerConnection,
        decide: Callable[[MemoryDecision], None],
    ) -> HeldRequest:
        """Start to account for the request in progress on a connection.

        :param server_conn: identifies the connection.
        :param decide: called with decisions on the request.
        """
        held = self._memory.hold(decide)
        connection = self._connections.get(server_conn)
        if connection is not None:
            connection.held = held
        return held

    def refuse(
        self,
        server_conn: HTTP1ServerConnection,
        refusal: Refusal,
        n_received: int,
        n_bytes: int,
    ) -> None:
        """Record that a request is refused before its end.

        :param server_conn: identifies its connection.
        :param refusal: the refusal.
        :param n_received: bytes of its body that were received.
        :param n_bytes: bytes that it was to have, as far as is known.
        """
        connection = self._connections.get(server_conn)
        if connection is not None:
            connection.refused_s = time.monotonic()
            connection.drop_pace = SenderPace(connection.refused_s)
        if self._log is not None:
            self._log.record(
                "request.not_read",
                reason=refusal.code,
                caller=server_conn.stream.peer,
                n_received=n_received,
                n_bytes=n_bytes,
                n_held_bytes=self._memory.n_bytes,
                max_held_bytes=self._memory.bounds.max_bytes,
                n_waiting=self._memory.n_waiting,
            )
        self._limit_refused()

    def _limit_refused(self) -> None:
        """Close those refused first, if the rest of too many bodies is being dropped.

        The buffers of their connections are full, as those of requests that wait.
        """
        refused = [
            connection
            for connection in self._connections.values()
            if connection.refused_s is not None
        ]
        n_over = len(refused) - self._memory.bounds.max_waiting
        refused.sort(key=lambda connection: connection.refused_s)
        for connection in refused[: max(0, n_over)]:
            if connection.inbound is not None and connection.inbound.is_ended:
                connection.close(CloseReason.REFUSED)

    def drop(self, server_conn: HTTP1ServerConnection, n_bytes: int) -> None:
        """Record that a part of a refused body was read and dropped.

        :param server_conn: identifies the connection.
        :param n_bytes: bytes of that part.
        """
        connection = self._connections.get(server_conn)
        if connection is not None and connection.drop_pace is not None:
            connection.drop_pace.receive(n_bytes, time.monotonic())

    def close_refused(self, server_conn: HTTP1ServerConnection) -> None:
        """Close a connection whose body goes on long after it was refused.

        :param server_conn: identifies the connection.
        """
        connection = self._connections.get(server_conn)
        if connection is not None:
            connection.close(CloseReason.REFUSED)

    def retry_after_s(self) -> float:
        """Return when a request that finds no memory should come back, in seconds."""
        return self._memory.retry_after_s(time.monotonic())

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a closed connection; its request is cancelled by its own callback.

        :param server_conn: identifies the connection.
        """
        connection = self._connections.pop(server_conn, None)
        if connection is None:
            return
        connection.release_head(time.monotonic())
        if self._log is None:
            return
        self._deliveries.close(connection.stream, time.monotonic())
        reason = connection.reason or self._find_reason(connection)
        if reason is None:
            return
        idle_s = None
        if connection.waiting_since_s is not None:
            idle_s = time.monotonic() - connection.waiting_since_s
        limit_s = connection.limits.idle_timeout_s
        if reason is CloseReason.HEAD_TIMEOUT:
            limit_s = connection.limits.header_timeout_s
        self._log.record(
            "connection.closed",
            reason=reason.value,
            idle_ms=None if idle_s is None else round(idle_s * 1000, 1),
            limit_ms=round(limit_s * 1000, 1),
            n_requests=connection.n_requests,
            is_receiving=connection.is_receiving or connection.stream.n_buffered > 0,
        )

    def _find_reason(self, connection: _Connection) -> CloseReason | None:
        """Return why tornado closed a connection; None if its caller ended it."""
        stream = connection.stream
        if isinstance(stream.error, UnsatisfiableReadError):
            return CloseReason.HEAD_TOO_LARGE
        if stream.is_ended or stream.error is not None:
            return None
        if connection.is_receiving or connection.waiting_since_s is not None:
            return CloseReason.MALFORMED
        if connection.inbound is not None and not connection.inbound.is_ended:
            return CloseReason.ABORTED
        return CloseReason.LEAVING if self._is_leaving else None

    def limits_of(self, server_conn: HTTP1ServerConnection) -> ClientLimits:
        """Return the limits on the request in progress on a connection.

        :param server_conn: identifies the connection.
        """
        connection = self._connections.get(server_conn)
        return self._limits if connection is None else connection.limits

    def set_busy(self, server_conn: HTTP1ServerConnection) -> None:
        """Record that a request begins on a connection.

        :param server_conn: identifies the connection.
        """
        connection = self._connections.get(server_conn)
        if connection is not None:
            connection.release_head(time.monotonic())
            connection.waiting_since_s = None
            connection.is_receiving = True
            connection.n_requests += 1

    def apply_limits(self, limits: ClientLimits) -> None:
        """Bring limits into force.

        A connection that waits for a request keeps the largest limits that were in
        force since it began to wait, so that a caller can rely on each of them.

        :param limits: the limits.
        """
        self._limits = limits
        for connection in self._connections.values():
            connection.raise_limits(limits)

    def record_dropped(
        self, start_line: RequestStartLine, server_conn: HTTP1ServerConnection
    ) -> None:
        """Record a request that was read on a connection that is closed.

        :param start_line: method and target of the request.
        :param server_conn: identifies the connection.
        """
        if self._log is None:
            return
        connection = self._connections.get(server_conn)
        is_by_caller = connection is None or connection.reason is None
        self._log.record(
            "request.dropped",
            method=start_line.method,
            path=start_line.path.partition("?")[0],
            closed_by="caller" if is_by_caller else "gateway",
        )

    def leave(self) -> None:
        """Close each connection after its next answer from now on."""
        self._is_leaving = True

    def interrupt(self, refusal: Refusal) -> None:
        """Cancel the requests in progress.

        :param refusal: answers those whose answers have not begun.
        """
        loop = asyncio.get_running_loop()
        for inbound, task in self._tasks.items():
            if inbound.interruption is None:
                inbound.interruption = refusal
                # A task that has not begun yet begins before, so that it can answer.
                loop.call_soon(task.cancel)

    def close_idle(self, idle_s: float, now_s: float) -> None:
        """Close the connections on which no byte of a request has arrived.

        :param idle_s: how long a connection must have been idle, in seconds.
        :param now_s: current time on the monotonic clock, in seconds.
        """
        for connection in list(self._connections.values()):
            # No other task runs between this check and the close, so a request that
            # has begun is never cut off.
            if connection.is_idle and now_s - connection.waiting_since_s >= idle_s:
                connection.close(CloseReason.LEAVING)

    def close_expired(self, now_s: float) -> None:
        """Close the connections whose callers have exceeded a timeout.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        for connection in list(self._connections.values()):
            reason = connection.find_expired(now_s)
            if reason is not None:
                connection.close(reason)

    async def run_timeouts(self) -> None:
        """Close connections whose callers have exceeded a timeout, at intervals."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(TIMEOUT_INTERVAL_S)
            now_s = time.monotonic()
            self.close_expired(now_s)
            self._deliveries.check(now_s)
            # After a suspension, what arrived meanwhile is read first.
            if now_s - began_s < 2 * TIMEOUT_INTERVAL_S:
                self._memory.check(now_s)

    def run(
        self, inbound: InboundRequest, server_conn: HTTP1ServerConnection
    ) -> asyncio.Task[None]:
        """Answer a request in a separate task.

        :param inbound: the request.
        :param server_conn: identifies its connection.
        """
        connection = self._connections.get(server_conn)
        if connection is not None:
            connection.is_receiving = inbound.is_receiving
            connection.inbound = inbound
        task = asyncio.create_task(self._run(inbound))
        self._tasks[inbound] = task
        task.add_done_callback(lambda _: self._tasks.pop(inbound))
        return task

    async def _run(self, inbound: InboundRequest) -> None:
        try:
            await self._handler(inbound)
        except BaseException:
            # An incomplete answer must not appear complete.
            inbound.abort()
            raise
        if inbound.is_ended:
            self._deliveries.add(inbound.stream, inbound.request_id, time.monotonic())


class _RequestReader(HTTPMessageDelegate):
    def __init__(
        self,
        frontend: Frontend,
        server_conn: HTTP1ServerConnection,
        connection: HTTP1Connection,
    ) -> None:
        self._frontend = frontend
        self._server_conn = server_conn
        self._connection = connection
        self._body = RequestBody(0)
        self._length: int | None = None
        self._n_dropped = 0
        self._held: HeldRequest | None = None
        self._may_read: asyncio.Future[None] | None = None
        # Set once the request is refused before its end.
        self._inbound: InboundRequest | None = None
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._arrived_s = time.monotonic()
        self._frontend.set_busy(self._server_conn)
        limits = self._frontend.limits_of(self._server_conn)
        self._n_head_bytes = self._server_conn.stream.n_head_bytes
        try:
            self._length = announced_length(headers)
        except ValueError:
            # Answered by tornado.
            return None
        if self._n_head_bytes > limits.max_header_bytes:
            detail = f"At most {limits.max_header_bytes} bytes of headers."
            self._refuse(Refusal(431, "headers-too-large", detail))
            return None
        if self._length is not None and self._length > limits.max_body_bytes:
            self._refuse_too_large(limits.max_body_bytes)
            return None
        self._body = RequestBody(
            limits.max_body_bytes if self._length is None else self._length
        )
        self._held = self._frontend.hold(self._server_conn, self._decide)
        if self._length is None:
            decision = self._held.ask(self._n_head_bytes, self._arrived_s)
        else:
            n_bytes = self._n_head_bytes + self._length
            decision = self._held.begin(n_bytes, self._arrived_s)
        return self._follow(decision)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._inbound is not None:
            self._drop(chunk)
            return None
        assert self._held is not None
        now_s = time.monotonic()
        self._held.receive(len(chunk), now_s)
        limit = self._frontend.limits_of(self._server_conn).max_body_bytes
        if len(self._body) + len(chunk) > limit:
            self._refuse_too_large(limit)
            return None
        self._body.add(chunk)
        return self._follow(
            self._held.ask_more(
                self._n_head_bytes + len(self._body),
                self._n_head_bytes + self._body.max_bytes,
                now_s,
            )
        )

    def finish(self) -> None:
        if self._inbound is not None:
            self._inbound.end_receiving()
            self._connection.set_close_callback(self._task.cancel)
            return
        if self._connection.stream.closed():
            # The caller can't be answered, so running the request would be useless.
            self._frontend.record_dropped(self._start_line, self._server_conn)
            self._release()
            return
        if self._held is not None:
            self._held.complete(self._n_head_bytes + len(self._body), time.monotonic())
        inbound = InboundRequest(
            self._connection,
            self._start_line,
            self._headers,
            self._body.data,
            self._arrived_s,
            lambda: self._frontend.is_leaving,
        )
        task = self._frontend.run(inbound, self._server_conn)
        task.add_done_callback(lambda _: self._end(inbound))
        self._connection.set_close_callback(task.cancel)

    def on_connection_close(self) -> None:
        self._release()
        if self._task is not None:
            self._task.cancel()

    def _end(self, inbound: InboundRequest) -> None:
        inbound.body = b""
        self._release()

    def _release(self) -> None:
        """Give back the memory of the request."""
        self._body.clear()
        if self._held is not None:
            self._held.close(time.monotonic())
        self._resume()

    def _follow(self, decision: MemoryDecision) -> Awaitable[None] | None:
        if decision is MemoryDecision.WAIT:
            self._may_read = asyncio.get_running_loop().create_future()
            return self._may_read
        self._decide(decision)
        return None

    def _decide(self, decision: MemoryDecision) -> None:
        if decision is MemoryDecision.REFUSE:
            retry_after_s = self._frontend.retry_after_s()
            detail = "No memory is free for requests of this size."
            self._refuse(
                Refusal(503, "memory-full", detail, retry_after_s=retry_after_s)
            )
        elif decision is MemoryDecision.END:
            detail = "The body arrived too slowly while others waited for memory."
            self._refuse(Refusal(408, "body-too-slow", detail))
        self._resume()

    def _resume(self) -> None:
        """Read on, if the request waits for memory."""
        if self._may_read is not None and not self._may_read.done():
            self._may_read.set_result(None)

    def _refuse_too_large(self, limit: int) -> None:
        detail = f"At most {limit} bytes of body."
        self._refuse(Refusal(413, "body-too-large", detail))

    def _refuse(self, refusal: Refusal) -> None:
        """Answer now; the rest of the body is read and dropped, within bounds.

        :param refusal: the answer.
        """
        if self._connection.stream.closed():
            return
        n_received = len(self._body)
        n_bytes = n_received if self._length is None else self._length
        self._frontend.refuse(self._server_conn, refusal, n_received, n_bytes)
        # A caller that asks whether to send its body is not told to go on. Whether it
        # does is not known, so nothing else can follow.
        is_last = self._headers.pop("Expect", None) is not None
        # What stands still would have to be waited for.
        is_last |= refusal.status == 408
        self._inbound = InboundRequest(
            self._connection,
            self._start_line,
            self._headers,
            b"",
            self._arrived_s,
            lambda: is_last or self._frontend.is_leaving,
            is_receiving=True,
        )
        self._inbound.refusal = refusal
        self._task = self._frontend.run(self._inbound, self._server_conn)
        self._release()

    def _drop(self, chunk: bytes) -> None:
        self._n_dropped += len(chunk)
        self._frontend.drop(self._server_conn, len(chunk))
        if self._n_dropped > MAX_DROPPED_BYTES and self._inbound.is_ended:
            self._frontend.close_refused(self._server_conn)


def announced_length(headers: HTTPHeaders) -> int | None:
    """Return the length of a body, if it is announced.

    :param headers: headers of a request.
    :raises ValueError: the length or its combination with chunks is malformed.

    >>> announced_length(HTTPHeaders({"Content-Length": "12"}))
    12
    """
    is_chunked = "Transfer-Encoding" in headers
    if "Content-Length" not in headers:
        return None if is_chunked else 0
    # The same length may be repeated.
    lengths = {text.strip() for text in headers["Content-Length"].split(",")}
    [text] = lengths
    if is_chunked or not (text.isascii() and text.isdigit()):
        raise ValueError(f"malformed length {text[:20]!r}")
    return int(text)
