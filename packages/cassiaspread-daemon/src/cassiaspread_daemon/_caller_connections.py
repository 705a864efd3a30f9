"""Open connections of callers, and the bounds on what they hold together."""

import asyncio
import socket
import time
from collections.abc import Awaitable
from typing import NoReturn

from absl import logging
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from cassiaspread_core.admission import (
    RECEIVE_BUFFER_BYTES,
    ConnectionUse,
    HeldRequest,
    MemoryDecision,
    RequestMemory,
    SenderPace,
    connections_to_end,
    senders_to_end,
)
from cassiaspread_daemon._caller_stream import CallerStream

# Interval of the checks, in seconds.
CHECK_INTERVAL_S = 0.25
# Bytes of a head that are part of the memory of each connection.
FREE_HEAD_BYTES = 16 * 1024
# Receive buffer in the kernel of a connection that waits for a request, or was not
# accepted yet, in bytes; a head and a small body fit in.
HEAD_BUFFER_BYTES = 8 * 1024
# After a refusal, so much of the rest of a body is read and dropped, so that its caller
# can read the answer, and until the caller has fallen behind by so much, in seconds.
MAX_DROPPED_BYTES = 8 * 1024 * 1024
MAX_DROP_LAG_S = 3.0


class CallerConnection:
    """State of one open connection.

    :param stream: the connection.
    :param memory: bounds the requests of the process.
    :param now_s: current time on the monotonic clock, in seconds.
    """

    def __init__(
        self,
        stream: CallerStream,
        memory: RequestMemory,
        now_s: float,
    ) -> None:
        self._stream = stream
        self._memory = memory
        # Since when the next request is awaited, or the one in progress is handled.
        self._since_s = now_s
        self._is_waiting = True
        self._is_receiving = False
        # Memory of a long head that is not complete, and of the request after it.
        self._held_head: HeldRequest | None = None
        self._held: HeldRequest | None = None
        # When the request was answered whose body is read and dropped, and its sender.
        self._refused_s: float | None = None
        self._drop_pace: SenderPace | None = None
        self._n_dropped = 0
        self._has_large_buffer = False

    @property
    def stream(self) -> CallerStream:
        """The connection."""
        return self._stream

    def begin_wait(self, now_s: float) -> None:
        """Begin to wait for a request, unless the one before was refused early.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        if self._refused_s is not None:
            self._stream.close()
        self._since_s = now_s
        self._is_waiting = True
        self._is_receiving = False
        self._held = None
        if self._has_large_buffer:
            self._resize_buffer(HEAD_BUFFER_BYTES)

    def begin_request(self, now_s: float) -> None:
        """Record that the head of a request was received.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        self.release_head(now_s)
        self._n_dropped = 0
        self._since_s = now_s
        self._is_waiting = False
        self._is_receiving = True

    def hold(self, held: HeldRequest) -> None:
        """Record the memory of the request in progress.

        :param held: the memory.
        """
        self._held = held

    def begin_body(self, n_announced: int | None) -> None:
        """Record that a body is read from now on.

        :param n_announced: its announced length in bytes, ``None`` if it is not known.
        """
        if n_announced is None or n_announced > HEAD_BUFFER_BYTES:
            self._resize_buffer(RECEIVE_BUFFER_BYTES)

    def end_receiving(self) -> None:
        """Record that a request was received to its end."""
        self._is_receiving = False

    def refuse(self, now_s: float) -> None:
        """Record that a request was answered before its end.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        self._refused_s = now_s
        self._drop_pace = SenderPace(now_s)

    def drop(self, n_bytes: int) -> None:
        """Count bytes that follow an answer; close the connection if they are many.

        :param n_bytes: their number.
        """
        self._n_dropped += n_bytes
        if self._drop_pace is not None:
            self._drop_pace.receive(n_bytes, time.monotonic())
        if self._n_dropped > MAX_DROPPED_BYTES:
            self._stream.close()

    def check_head(self) -> None:
        """Account for a head that is longer than usual and not complete."""
        n_bytes = self._stream.n_buffered
        if not self._is_waiting or n_bytes <= FREE_HEAD_BYTES:
            return
        now_s = time.monotonic()
        if self._held_head is None:
            self._held_head = self._memory.hold(self._close_head)
        if not self._held_head.is_open:
            return
        decision = self._held_head.ask(n_bytes, now_s)
        if decision is not MemoryDecision.READ:
            self._held_head.close(now_s)
            self._close_head(decision)

    def release_head(self, now_s: float) -> None:
        """Give back the memory of a head.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        if self._held_head is not None:
            self._held_head.close(now_s)
            self._held_head = None

    def lag_s(self, now_s: float) -> float:
        """Return by how much its sender has fallen behind, in seconds.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        use, time_s = self.find_use(now_s)
        return time_s if use in (ConnectionUse.BODY, ConnectionUse.REFUSED) else 0.0

    def end_sender(self) -> None:
        """End a request whose sender has fallen behind."""
        if self._held is not None and self._held.is_open:
            self._held.decide(MemoryDecision.END)
        else:
            # It was answered, and its caller goes on.
            self._stream.close()

    def end(self) -> None:
        """Free what a closed connection holds."""
        if self._held_head is not None:
            self._stream.abandon_read()
            self.release_head(time.monotonic())

    def find_use(self, now_s: float) -> tuple[ConnectionUse, float]:
        """Return what the connection is used for, and for how long in seconds.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        if self._refused_s is not None:
            return ConnectionUse.REFUSED, now_s - self._refused_s
        if self._is_waiting:
            # The first bytes of a request may have arrived just now.
            is_new = not self._stream.n_buffered and self._stream.has_unread
            return ConnectionUse.WAITING, 0.0 if is_new else now_s - self._since_s
        if not self._is_receiving:
            return ConnectionUse.BUSY, 0.0
        if self._held is None or not self._held.is_open:
            return ConnectionUse.BODY, now_s - self._since_s
        if self._held.is_waiting:
            return ConnectionUse.BUSY, 0.0
        return ConnectionUse.BODY, self._held.lag_s(now_s)

    def is_expired(self, now_s: float) -> bool:
        """Return whether an answered request goes on for too long.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        pace = self._drop_pace
        return pace is not None and pace.lag_s(now_s) >= MAX_DROP_LAG_S

    def _resize_buffer(self, n_bytes: int) -> None:
        self._has_large_buffer = n_bytes > HEAD_BUFFER_BYTES
        if not self._stream.closed():
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, n_bytes)

    def _close_head(self, decision: MemoryDecision) -> None:
        logging.log_every_n_seconds(
            logging.WARNING,
            "connection of %s closed at %d bytes of a head that is not complete: "
            "requests hold %d of %d bytes",
            1,
            self._stream.peer,
            self._stream.n_buffered,
            self._memory.n_bytes,
            self._memory.bounds.max_bytes,
        )
        # The connection is in the middle of a read.
        self._stream.abandon_read()
        asyncio.get_running_loop().call_soon(self._stream.close)


class CallerConnections:
    """Open connections of a server, and the bounds on what they hold.

    :param memory: bounds the requests of the process.
    """

    def __init__(self, memory: RequestMemory) -> None:
        self._memory = memory
        self._connections: dict[CallerStream, CallerConnection] = {}
        self._n_ended = 0
        self._n_small_chunks = 0

    @property
    def n_open(self) -> int:
        """Open connections."""
        return len(self._connections)

    @property
    def n_not_read(self) -> dict[str, int]:
        """Requests and connections that were refused or ended to bound their memory."""
        return {
            "refused": self._memory.n_refused,
            "too_slow": self._memory.n_ended,
            "small_chunks": self._n_small_chunks,
            "connections": self._n_ended,
        }

    def find(self, stream: CallerStream) -> CallerConnection:
        """Return the state of a connection.

        :param stream: the connection.
        """
        connection = self._connections.get(stream)
        if connection is None:
            connection = CallerConnection(stream, self._memory, time.monotonic())
            if not stream.closed():
                self._connections[stream] = connection
                stream.closed_callback = lambda: self._forget(connection)
                stream.received_callback = connection.check_head
        return connection

    def count_free(self) -> int:
        """Return how many connections may be accepted; make room if it is none."""
        max_connections = self._memory.bounds.max_connections
        n_free = max_connections - len(self._connections)
        if n_free > 0:
            return n_free
        now_s = time.monotonic()
        to_end = connections_to_end(
            (connection, *connection.find_use(now_s))
            for connection in self._connections.values()
        )
        for connection in to_end:
            self._n_ended += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                "connection of %s closed for others: all %d are taken",
                1,
                connection.stream.peer,
                max_connections,
            )
            connection.stream.close()
        return len(to_end)

    def check(self, now_s: float) -> None:
        """End the requests that go on for too long.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        for connection in list(self._connections.values()):
            if connection.is_expired(now_s):
                connection.stream.close()
        to_end = senders_to_end(
            (connection, connection.lag_s(now_s))
            for connection in self._connections.values()
            if connection.stream.is_delayed
        )
        for connection in to_end:
            self._n_small_chunks += 1
            connection.end_sender()

    async def run_checks(self) -> NoReturn:
        """Check connections and the memory of requests at intervals."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = time.monotonic()
            self.check(now_s)
            # After a suspension, what arrived meanwhile is read first.
            if now_s - began_s < 2 * CHECK_INTERVAL_S:
                self._memory.check(now_s)

    def _forget(self, connection: CallerConnection) -> None:
        del self._connections[connection.stream]
        connection.end()


class FollowedApplication(HTTPServerConnectionDelegate):
    """Application whose connections are followed.

    :param application: handles the requests.
    :param callers: connections of its server.
    """

    def __init__(
        self, application: HTTPServerConnectionDelegate, callers: CallerConnections
    ) -> None:
        self._application = application
        self._callers = callers

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the delegate of the next request on a connection.

        :param server_conn: the connection.
        :param request_conn: connection to read the request from.
        """
        connection = self._callers.find(server_conn.stream)
        connection.begin_wait(time.monotonic())
        delegate = self._application.start_request(server_conn, request_conn)
        return _RequestFollower(connection, delegate)


class _RequestFollower(HTTPMessageDelegate):
    """Tells a connection how far its request was received."""

    def __init__(
        self, connection: CallerConnection, delegate: HTTPMessageDelegate
    ) -> None:
        self._connection = connection
        self._delegate = delegate

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._connection.begin_request(time.monotonic())
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._connection.end_receiving()
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()
