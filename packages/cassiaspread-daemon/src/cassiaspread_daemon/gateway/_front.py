"""Callers' connections: whole requests in, answers out."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from cassiaspread_core.base import CassiaspreadError

# Passes of the loop after which a request that was read has reached its handler.
LOOP_PASSES = 8


class CallerGone(CassiaspreadError):
    """The caller closed its connection."""


class Ingress:
    """One request of a caller and the way to answer it.

    :param connection: where it came from.
    :param start_line: method and target.
    :param headers: the caller's headers.
    :param body: the whole body.
    :param arrived_s: when its headers were read, on the monotonic clock in seconds.
    :param is_last: returns whether no further request is taken from its connection.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        arrived_s: float,
        is_last: Callable[[], bool] = lambda: False,
    ) -> None:
        self._connection = connection
        self._is_last = is_last
        self.method = start_line.method
        self.target = start_line.path
        self.headers = headers
        self.body = body
        self.arrived_s = arrived_s
        self.status = 0

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def is_started(self) -> bool:
        """Whether the answer's headers were sent."""
        return bool(self.status)

    def start(self, status: int, headers: HTTPHeaders, data: bytes = b"") -> None:
        """Send status and headers of an answer.

        :param status: HTTP status code.
        :param headers: headers; without a length the body is sent in chunks.
        :param data: beginning of the body.
        """
        self.status = status
        try:
            reason = HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        if self._is_last():
            headers["Connection"] = "close"
        self._connection.write_headers(start_line, headers, data)

    async def write(self, data: bytes) -> None:
        """Send a part of the body and wait until the connection takes more.

        :param data: the part.
        :raises CallerGone: the connection is closed.
        """
        try:
            await self._connection.write(data)
        except StreamClosedError:
            raise CallerGone("connection closed") from None

    def end(self) -> None:
        """End the answer as whole."""
        self._connection.finish()
        stream = self._connection.stream
        if self._is_last() and not stream.closed():
            # Ends once all that was written before has left.
            flushed = stream.write(b"")
            flushed.add_done_callback(lambda _: stream.close())

    def abort(self) -> None:
        """Close the connection, so that the answer does not look whole."""
        self._connection.close()

    def answer(
        self, status: int, headers: Mapping[str, str], body: bytes = b""
    ) -> None:
        """Send a whole answer.

        :param status: HTTP status code.
        :param headers: headers without the length.
        :param body: the body.
        """
        all_headers = HTTPHeaders(headers)
        all_headers["Content-Length"] = str(len(body))
        self.start(status, all_headers, body)
        self.end()


Handler = Callable[[Ingress], Awaitable[None]]


class Front(HTTPServerConnectionDelegate):
    """Starts one task for each request and cancels it when its caller is gone.

    :param handler: answers a request.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._is_leaving = False
        self._tasks: set[asyncio.Task[None]] = set()
        # Since when no request is in progress on each open connection.
        self._idle_since_s: dict[HTTP1ServerConnection, float | None] = {}

    @property
    def n_requests(self) -> int:
        """Requests in progress."""
        return len(self._tasks)

    @property
    def is_leaving(self) -> bool:
        """Whether each answer is the last one on its connection."""
        return self._is_leaving

    @property
    def n_connections(self) -> int:
        """Open connections."""
        return len(self._idle_since_s)

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Read one request.

        :param server_conn: identifies the connection.
        :param request_conn: the request's side of it.
        """
        self._idle_since_s.setdefault(server_conn, time.monotonic())
        return _RequestReader(self, server_conn, request_conn)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Forget a closed connection; its request notices by itself.

        :param server_conn: identifies the connection.
        """
        self._idle_since_s.pop(server_conn, None)

    def note_busy(self, server_conn: HTTP1ServerConnection, is_busy: bool) -> None:
        """Take note that a request begins or ends on a connection.

        :param server_conn: identifies the connection.
        :param is_busy: whether a request is in progress.
        """
        if server_conn in self._idle_since_s:
            self._idle_since_s[server_conn] = None if is_busy else time.monotonic()

    def leave(self) -> None:
        """Make each answer from now on the last one on its connection."""
        self._is_leaving = True

    async def close_idle(self, idle_s: float) -> None:
        """Close the connections on which no request is in progress.

        :param idle_s: how long a connection must have been idle, in seconds.
        """
        for _ in range(LOOP_PASSES):
            await asyncio.sleep(0)
        limit_s = time.monotonic() - idle_s
        for server_conn in list(self._idle_since_s):
            # Nothing else runs between this look and the close: a request that begins
            # is never cut.
            since_s = self._idle_since_s.get(server_conn)
            if since_s is not None and since_s <= limit_s:
                server_conn.stream.close()

    def run(
        self, ingress: Ingress, server_conn: HTTP1ServerConnection
    ) -> asyncio.Task[None]:
        """Answer a request in a task of its own.

        :param ingress: the request.
        :param server_conn: identifies its connection.
        """
        task = asyncio.create_task(self._run(ingress))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self.note_busy(server_conn, False))
        return task

    async def _run(self, ingress: Ingress) -> None:
        try:
            await self._handler(ingress)
        except BaseException:
            # An answer that is not whole must not look so.
            ingress.abort()
            raise


class _RequestReader(HTTPMessageDelegate):
    def __init__(
        self,
        front: Front,
        server_conn: HTTP1ServerConnection,
        connection: HTTP1Connection,
    ) -> None:
        self._front = front
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
        self._front.note_busy(self._server_conn, True)

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        if self._connection.stream.closed():
            # Nobody can be answered: passed on, it would run for nothing.
            self._front.note_busy(self._server_conn, False)
            return
        ingress = Ingress(
            self._connection,
            self._start_line,
            self._headers,
            b"".join(self._chunks),
            self._arrived_s,
            lambda: self._front.is_leaving,
        )
        task = self._front.run(ingress, self._server_conn)
        self._connection.set_close_callback(task.cancel)

    def on_connection_close(self) -> None:
        self._chunks.clear()
