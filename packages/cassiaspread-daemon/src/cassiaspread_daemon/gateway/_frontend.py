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

from cassiaspread_core.base import CassiaspreadError
from cassiaspread_daemon._caller_stream import CallerStream
from cassiaspread_daemon._exchange import ANSWER_MEMORY
from cassiaspread_daemon.gateway._decision_log import DecisionLog

# Iterations of the event loop within which a request that was read reaches its handler.
LOOP_ITERATIONS = 8
# Value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# A longer body is not copied to be sent together with its headers.
MAX_JOINED_BYTES = 64 * 1024


class CallerDisconnected(CassiaspreadError):
    """The caller closed its connection."""


class InboundRequest:
    """One request of a caller, with methods to answer it.

    :param connection: connection that it was received on.
    :param start_line: method and target.
    :param headers: the caller's headers.
    :param body: the complete body.
    :param arrived_s: when its headers were read, on the monotonic clock in seconds.
    :param must_close: returns whether the connection closes after the answer.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        arrived_s: float,
        must_close: Callable[[], bool] = lambda: False,
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
        self.status = 0
        self._is_ended = False

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
    def _is_last(self) -> bool:
        return self._ends_with_connection or self._must_close()

    def start(self, status: int, headers: HTTPHeaders, data: bytes = b"") -> None:
        """Send status and headers of an answer.

        :param status: HTTP status code.
        :param headers: headers; without a content length the body is sent in chunks.
        :param data: beginning of the body.
        """
        self.status = status
        try:
            reason = HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        if self._version == "HTTP/1.0" and "Content-Length" not in headers:
            self._ends_with_connection = True
            # Tornado would confirm a request for keep-alive.
            self.headers.pop("Connection", None)
        if self._is_last:
            headers["Connection"] = "close"
        self._connection.write_headers(start_line, headers, data)

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
        self._connection.finish()
        stream = self._connection.stream
        if self._is_last and not stream.closed():
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


class _Connection:
    """State of one open connection.

    :param stream: the connection.
    """

    def __init__(self, stream: CallerStream) -> None:
        self.stream = stream
        # Since when no request is in progress; None while one is.
        self.idle_since_s: float | None = None
        self.timeout_s: float | None = None
        self.n_requests = 0
        # Whether a request is in progress that was not received to its end.
        self.is_receiving = False
        self.inbound: InboundRequest | None = None
        self.reason: CloseReason | None = None


class Frontend(HTTPServerConnectionDelegate):
    """Starts a task for each request and cancels it when its caller disconnects.

    :param handler: answers a request.
    :param log: receives a line for each connection that the gateway closes, if any.
    """

    def __init__(self, handler: Handler, log: DecisionLog | None = None) -> None:
        self._handler = handler
        self._log = log
        self._is_leaving = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: dict[HTTP1ServerConnection, _Connection] = {}

    @property
    def n_requests(self) -> int:
        """Requests in progress."""
        return len(self._tasks)

    @property
    def is_leaving(self) -> bool:
        """Whether each connection closes after its next answer."""
        return self._is_leaving

    @property
    def n_connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of one request.

        :param server_conn: identifies the connection.
        :param request_conn: connection to read the request from.
        """
        stream = server_conn.stream
        if server_conn not in self._connections and not stream.closed():
            # Tornado's server doesn't tell its delegate that a connection is closed.
            stream.closed_callback = lambda: self.on_close(server_conn)
            connection = _Connection(stream)
            connection.idle_since_s = time.monotonic()
            self._connections[server_conn] = connection
        if server_conn in self._connections:
            # Tornado reads the timeout once, when it begins to wait for a request.
            params = getattr(server_conn, "params", None)
            connection = self._connections[server_conn]
            connection.timeout_s = params and params.header_timeout
        return _RequestReader(self, server_conn, request_conn)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a closed connection; its request is cancelled by its own callback.

        :param server_conn: identifies the connection.
        """
        connection = self._connections.pop(server_conn, None)
        if connection is None or self._log is None:
            return
        reason = connection.reason or self._find_reason(connection)
        if reason is None:
            return
        idle_s = None
        if connection.idle_since_s is not None:
            idle_s = time.monotonic() - connection.idle_since_s
        timeout_s = connection.timeout_s
        self._log.record(
            "connection.closed",
            reason=reason.value,
            idle_ms=None if idle_s is None else round(idle_s * 1000, 1),
            limit_ms=None if timeout_s is None else round(timeout_s * 1000, 1),
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
        if connection.is_receiving:
            return CloseReason.MALFORMED
        if connection.idle_since_s is None:
            if connection.inbound is not None and not connection.inbound.is_ended:
                return CloseReason.ABORTED
            return CloseReason.LEAVING if self._is_leaving else None
        idle_s = time.monotonic() - connection.idle_since_s
        if idle_s < (connection.timeout_s or 0.0):
            return CloseReason.MALFORMED
        return CloseReason.HEAD_TIMEOUT if stream.n_buffered else CloseReason.IDLE

    def set_busy(self, server_conn: HTTP1ServerConnection, is_busy: bool) -> None:
        """Record that a request begins or ends on a connection.

        :param server_conn: identifies the connection.
        :param is_busy: whether a request is in progress.
        """
        connection = self._connections.get(server_conn)
        if connection is None:
            return
        connection.idle_since_s = None if is_busy else time.monotonic()
        connection.is_receiving = is_busy
        connection.n_requests += is_busy

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

    async def close_idle(self, idle_s: float) -> None:
        """Close the connections on which no request is in progress.

        :param idle_s: how long a connection must have been idle, in seconds.
        """
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        idle_before_s = time.monotonic() - idle_s
        for connection in list(self._connections.values()):
            # No other task runs between this check and the close, so a request that
            # has begun is never cut off.
            idle_since_s = connection.idle_since_s
            is_idle = idle_since_s is not None and idle_since_s <= idle_before_s
            # The answer may not have been sent to its end yet.
            if is_idle and not connection.stream.writing():
                connection.reason = CloseReason.LEAVING
                connection.stream.close()

    def run(
        self, inbound: InboundRequest, server_conn: HTTP1ServerConnection
    ) -> asyncio.Task[None]:
        """Answer a request in a separate task.

        :param inbound: the request.
        :param server_conn: identifies its connection.
        """
        connection = self._connections.get(server_conn)
        if connection is not None:
            connection.is_receiving = False
            connection.inbound = inbound
        task = asyncio.create_task(self._run(inbound))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self.set_busy(server_conn, False))
        return task

    async def _run(self, inbound: InboundRequest) -> None:
        try:
            await self._handler(inbound)
        except BaseException:
            # An incomplete answer must not appear complete.
            inbound.abort()
            raise


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
        self._chunks: list[bytes] = []

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._arrived_s = time.monotonic()
        self._frontend.set_busy(self._server_conn, True)

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        if self._connection.stream.closed():
            # The caller can't be answered, so running the request would be useless.
            self._frontend.record_dropped(self._start_line, self._server_conn)
            self._frontend.set_busy(self._server_conn, False)
            return
        inbound = InboundRequest(
            self._connection,
            self._start_line,
            self._headers,
            b"".join(self._chunks),
            self._arrived_s,
            lambda: self._frontend.is_leaving,
        )
        task = self._frontend.run(inbound, self._server_conn)
        self._connection.set_close_callback(task.cancel)

    def on_connection_close(self) -> None:
        self._chunks.clear()
