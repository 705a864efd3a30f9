"""HTTP request over a new connection or one kept from an earlier request.

Concurrent requests never share a connection. The sender can thus determine whether any
byte of a request may have been sent, and a silent connection affects one request only.
"""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from enum import Enum
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from cassiaspread_core.admission import AnswerMemory, AnswerPacer, HeldAnswer
from cassiaspread_core.base import (
    CassiaspreadError,
    MalformedDocument,
    RequestId,
    parse_address,
)
from cassiaspread_daemon._peek import peek

# Bound on a response that is passed on while it arrives.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Status and headers of a response take less than 2 KB.
MAX_HEAD_BYTES = 16 * 1024
# Bounds on one response that is kept until it is complete, and on all responses of this
# process that are kept; within what control and streams leave of 256 MB at the target
# size.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_HELD_BYTES = 16 * 1024 * 1024
# Small pieces of a response are joined up to this size, since each has an overhead.
BLOCK_BYTES = 64 * 1024
ANSWER_MEMORY = AnswerMemory(MAX_HELD_BYTES, MAX_ANSWER_BYTES)
# Reading at this rate takes a few percent of a core. A stream of tokens stays far below
# the rate that is not limited.
BYTE_PACER = AnswerPacer(64e6, unpaced=64 * 1024, unpaced_rate=256e3)
# The same for chunks, of which even empty ones cost some 25 microseconds.
CHUNK_PACER = AnswerPacer(4e3, unpaced=256, unpaced_rate=500.0)
# An answer that is kept until it is complete is dropped if it has more chunks than
# this, they are still paced after this time, in seconds, and are smaller on average:
# at that rate it reaches no bound on bytes before its deadline. The time alone proves
# nothing: a process without processor time reads sound answers slowly too. The number
# is reached in 3.5 s even if many answers leave each other only the unpaced rate.
MAX_TINY_CHUNKS = 2000
MAX_TINY_CHUNKS_S = 1.0
MIN_CHUNK_BYTES = 64
# Shorter pauses are left out, in seconds.
MIN_PAUSE_S = 0.001
# A stray response does not answer the request that waits on the connection. After this
# many, or after one that is not complete in this time, in seconds, the response to the
# request is not waited for any longer: a sound target sends none. On a new connection,
# the response to the request has to begin in this time too.
MAX_STRAY_RESPONSES = 3
STRAY_TIMEOUT_S = 0.25
# If the timer of a stray response is later than this, in seconds, the process was held
# up and has not read yet what arrived meanwhile: it waits once more.
MAX_TIMER_DELAY_S = 0.02
# Bytes in the kernel are counted up to this number; more of them tell nothing more.
MAX_COUNTED_BYTES = 4096
# Of an interim and of a final response; tornado takes any three digits.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
# Their responses have no body, so that they end with their headers.
BODILESS_STATUSES = (204, 304)

DataCallback = Callable[[bytes], Awaitable[None] | None]
# Decides from the status and headers whether a response belongs to the request.
AnswerFilter = Callable[[int, HTTPHeaders], bool]


class ConnectFailed(CassiaspreadError):
    """No connection could be opened: no byte of the request was sent."""


class ConnectRefused(ConnectFailed):
    """Nothing listens at the address."""


class ConnectTimedOut(ConnectFailed):
    """The other end did not respond to the attempt to connect."""


class ExchangeBroken(CassiaspreadError):
    """The connection ended or stayed silent after the request may have been sent."""


class ConnectionSpoiled(ExchangeBroken):
    """What a kept connection carried hides the response to the request.

    The request may have run; it is the connection that is of no use, not the target.
    """


class AnswerTooLarge(ExchangeBroken):
    """The response exceeds a bound and was not read to its end."""


class Delimiter(Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # The body ends with the connection, which also closes when the sender fails.
    CLOSE = "close"


class Response(NamedTuple):
    """A complete response.

    :param status: HTTP status code.
    :param headers: response headers.
    :param body: response body, empty if it was passed to a callback.
    """

    status: int
    headers: HTTPHeaders
    body: bytes


class ResponseStream(IOStream):
    """Connection whose responses are read at a limited rate of chunks.

    Chunks reach the reader of a response in batches, so their number is only seen here.
    """

    _n_chunks = 0
    _begin_s = 0.0
    _n_requests = 0
    _is_idle = False
    _is_ended_by_target = False
    #: Called with the number of bytes if some arrive that no request asked for.
    unasked_callback: Callable[[int], None] | None = None

    def __init__(self, connection: socket.socket, read_chunk_size: int) -> None:
        super().__init__(connection, read_chunk_size=read_chunk_size)
        # Hashes of the identifiers of the requests that it carried.
        self._request_hashes: set[int] = set()

    @property
    def n_requests(self) -> int:
        """Number of requests that were sent over this connection."""
        return self._n_requests

    @property
    def is_ended_by_target(self) -> bool:
        """Whether the target has closed or reset the connection."""
        # A reset is noticed while reading or while writing.
        return self._is_ended_by_target or isinstance(self.error, OSError)

    @property
    def is_silent(self) -> bool:
        """Whether nothing has arrived that was not read, not even the end."""
        return (
            not self.closed()
            and not self._read_buffer_size
            and peek(self.socket) is None
        )

    @property
    def n_unread(self) -> int:
        """Number of bytes that have arrived and belong to no response so far.

        At least this number: the kernel may hold more than the largest one counted.
        """
        waiting = None if self.closed() else peek(self.socket, MAX_COUNTED_BYTES)
        return self._read_buffer_size + len(waiting or b"")

    def has_carried(self, request_id: RequestId) -> bool:
        """Return whether a request with this identifier may have been sent over it.

        :param request_id: the identifier.
        """
        return hash(request_id) in self._request_hashes

    def record_carried(self, request_id: RequestId) -> None:
        """Record the identifier of a request that was sent over it.

        :param request_id: the identifier.
        """
        self._request_hashes.add(hash(request_id))

    def begin_idle(self) -> None:
        """From now on no request waits: the connection ends if any byte arrives."""
        self._is_idle = True

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into a buffer; called by tornado.

        :param buf: the buffer.
        """
        n_bytes = super().read_from_fd(buf)
        if n_bytes == 0:
            self._is_ended_by_target = True
        elif n_bytes and self._is_idle:
            if self.unasked_callback is not None:
                self.unasked_callback(n_bytes)
            # As at its end, so that tornado closes the connection.
            return 0
        return n_bytes

    def begin_response(self, now_s: float) -> None:
        """Count another request, and start to count the chunks of its response.

        :param now_s: current time, in seconds.
        """
        self._is_idle = False
        self._n_requests += 1
        self._n_chunks = 0
        self._begin_s = now_s

    def has_tiny_chunks(self, n_bytes: int, now_s: float) -> bool:
        """Return whether a response consists of tiny chunks at a high rate.

        :param n_bytes: bytes of the response that were read so far.
        :param now_s: current time, in seconds.
        """
        age_s = now_s - self._begin_s
        return (
            self._n_chunks > MAX_TINY_CHUNKS
            and age_s > MAX_TINY_CHUNKS_S
            and n_bytes < self._n_chunks * MIN_CHUNK_BYTES
            and CHUNK_PACER.is_paced(self._n_chunks, age_s)
        )

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read up to a delimiter, here the end of a chunk's length.

        :param delimiter: the delimiter.
        :param max_bytes: largest number of bytes to read.
        """
        future = super().read_until(delimiter, max_bytes)
        now_s = time.monotonic()
        self._n_chunks += 1
        age_s = now_s - self._begin_s
        delay_s = CHUNK_PACER.delay_s(self._n_chunks, 1, age_s, now_s)
        if delay_s < MIN_PAUSE_S:
            return future
        return asyncio.ensure_future(_delay(future, delay_s))


async def _delay(future: Awaitable[bytes], delay_s: float) -> bytes:
    await asyncio.sleep(delay_s)
    return await future


class _ResponseReader(HTTPMessageDelegate):
    def __init__(
        self,
        stream: ResponseStream,
        on_data: DataCallback | None,
        is_expected: AnswerFilter | None,
        fail: Callable[[ExchangeBroken], None],
    ) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.started = asyncio.get_running_loop().create_future()
        self.finished = asyncio.get_running_loop().create_future()
        self.n_strays = 0
        self.is_stray = False
        self.is_ended = False
        self._stream = stream
        self._on_data = on_data
        self._is_expected = is_expected
        self._fail = fail
        self._held = ANSWER_MEMORY.hold(self.drop)
        self._blocks: list[bytearray] = []
        self._n_bytes = 0
        self._started_s = time.monotonic()
        self._stray_timeout: asyncio.TimerHandle | None = None

    @property
    def body(self) -> bytes:
        """The part of the body that was received and kept."""
        return b"".join(self._blocks)

    @property
    def held(self) -> HeldAnswer:
        """Accounts for the body."""
        return self._held

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < MIN_STATUS:
            # It could not be passed on: a status has three digits.
            self._fail(self._spoiled_error(f"response with status {start_line.code}"))
            return
        if start_line.code < MIN_FINAL_STATUS:
            return
        self.is_stray = self._is_expected is not None and not self._is_expected(
            start_line.code, headers
        )
        if self.is_stray:
            self._begin_stray(start_line.code, headers)
            return
        self._end_stray()
        self.status = start_line.code
        self.headers = headers
        if not self.started.done():
            self.started.set_result(None)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._n_bytes += len(chunk)
        consumed = None if self.is_stray else self._consume(chunk)
        now_s = time.monotonic()
        if self._on_data is None and self._stream.has_tiny_chunks(self._n_bytes, now_s):
            self._held.drop(
                f"more than {MAX_TINY_CHUNKS} chunks of less than {MIN_CHUNK_BYTES} "
                "bytes on average"
            )
        age_s = now_s - self._started_s
        delay_s = BYTE_PACER.delay_s(self._n_bytes, len(chunk), age_s, now_s)
        if delay_s < MIN_PAUSE_S:
            return consumed
        return _consume_and_pause(consumed, delay_s)

    def _consume(self, chunk: bytes) -> Awaitable[None] | None:
        if self._on_data is not None and self.status == 200:
            try:
                return self._on_data(chunk)
            except ExchangeBroken as error:
                self._fail(error)
                return None
        self._held.add(len(chunk))
        if not self._held.is_open:
            return None
        if self._blocks and len(self._blocks[-1]) + len(chunk) <= BLOCK_BYTES:
            self._blocks[-1] += chunk
        else:
            self._blocks.append(bytearray(chunk))
        return None

    def _begin_stray(self, status: int, headers: HTTPHeaders) -> None:
        self.n_strays += 1
        if find_delimiter(status, headers) is Delimiter.CLOSE:
            self._fail(self._strays_error())
            return
        if self._stray_timeout is None:
            self._await_stray()

    def _await_stray(self, is_repeated: bool = False) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + STRAY_TIMEOUT_S

        def check() -> None:
            if loop.time() - due_s > MAX_TIMER_DELAY_S and not is_repeated:
                self._await_stray(is_repeated=True)
            else:
                self._fail(self._strays_error())

        self._stray_timeout = loop.call_at(due_s, check)

    def _end_stray(self) -> None:
        if self._stray_timeout is not None:
            self._stray_timeout.cancel()
            self._stray_timeout = None

    def _strays_error(self) -> ExchangeBroken:
        return self._spoiled_error(
            f"{self.n_strays} responses that do not name the request"
        )

    @property
    def _is_kept(self) -> bool:
        # On a new connection, all that comes is the target's own answer.
        return self._stream.n_requests > 1

    def _spoiled_error(self, reason: str) -> ExchangeBroken:
        return ConnectionSpoiled(reason) if self._is_kept else ExchangeBroken(reason)

    def drop(self, reason: str) -> None:
        """End an answer that exceeds a bound."""
        self._blocks.clear()
        self._fail(AnswerTooLarge(reason))

    def finish(self) -> None:
        if self._is_kept:
            # The request may run for long behind the answer to an earlier one.
            self._end_stray()
        self.is_ended = True
        if self.is_framed and not self.is_stray:
            self.set_result(None)

    @property
    def is_complete(self) -> bool:
        """Whether the complete response was received."""
        # Cancelling the task that awaits the future also cancels the future.
        future = self.finished
        return future.done() and not future.cancelled() and not future.exception()

    @property
    def delimiter(self) -> Delimiter:
        """What marks the end of the body."""
        return find_delimiter(self.status, self.headers)

    @property
    def is_framed(self) -> bool:
        """Whether the headers delimit the body."""
        return self.delimiter is not Delimiter.CLOSE

    def complete_at_close(self) -> None:
        """Complete a response whose body ends with the close of the connection."""
        if self.is_ended and not self.is_stray:
            self.set_result(None)

    def on_connection_close(self) -> None:
        if self._stream.is_ended_by_target or self.started.done():
            error = ExchangeBroken("connection closed before the response ended")
        elif self.n_strays:
            error = self._strays_error()
        else:
            error = self._spoiled_error("bytes that are no response")
        self.set_result(error)

    def set_result(self, error: ExchangeBroken | None) -> None:
        """Set the result unless there is one.

        :param error: the failure; ``None`` for a complete response.
        """
        self._end_stray()
        for future in (self.started, self.finished):
            if future.done():
                continue
            if error is None:
                future.set_result(None)
            else:
                future.set_exception(error)
                future.exception()


def find_delimiter(status: int, headers: HTTPHeaders) -> Delimiter:
    """Return what marks the end of a response's body.

    :param status: HTTP status code.
    :param headers: headers of the response.
    """
    if "Transfer-Encoding" in headers:
        return Delimiter.CHUNKS
    if "Content-Length" in headers or status in BODILESS_STATUSES:
        return Delimiter.LENGTH
    return Delimiter.CLOSE


class Exchange:
    """Owns the connection of one request; a context manager.

    :param stream: an open connection.
    :param address: ``host:port`` of the other end.
    :param keeps_connection: whether the connection may serve another request after
        this one; see :meth:`release`.
    """

    def __init__(
        self, stream: ResponseStream, address: str = "", keeps_connection: bool = False
    ) -> None:
        self._stream = stream
        self._address = address
        self._keeps_connection = keeps_connection
        self._connection = HTTP1Connection(
            stream,
            is_client=True,
            params=HTTP1ConnectionParameters(
                no_keep_alive=True,
                max_header_size=MAX_HEAD_BYTES,
                max_body_size=MAX_RESPONSE_BYTES,
            ),
        )
        self._reader: _ResponseReader | None = None
        self._read_task: asyncio.Task[None] | None = None

    def __enter__(self) -> "Exchange":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    @property
    def address(self) -> str:
        """``host:port`` of the other end."""
        return self._address

    @property
    def n_requests(self) -> int:
        """Number of requests that were sent over the connection, with this one."""
        return self._stream.n_requests

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the response, empty before it starts."""
        return self._reader.headers if self._reader is not None else HTTPHeaders()

    @property
    def n_unread(self) -> int:
        """Number of bytes that followed the end of the response."""
        is_complete = self._reader is not None and self._reader.is_complete
        return self._stream.n_unread if is_complete else 0

    @property
    def is_answered(self) -> bool:
        """Whether the headers of the response have arrived, or will not."""
        return self._reader is not None and self._reader.started.done()

    @property
    def delimiter(self) -> Delimiter:
        """What marks the end of the response; known once it has started."""
        assert self._reader is not None
        return self._reader.delimiter

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may serve another request.

        One that brought a byte that no request asked for may bring more of them.
        """
        reader = self._reader
        return (
            self._keeps_connection
            and reader is not None
            and reader.is_complete
            and reader.is_framed
            and not reader.n_strays
            and not _is_closing(reader.headers)
            and not self._stream.writing()
            and self._stream.is_silent
        )

    def release(self) -> ResponseStream | None:
        """Release the connection after a complete response.

        :returns: the connection if it is reusable; otherwise it is closed.
        """
        if self.is_reusable:
            self._reader.held.close()
            return self._stream
        self.close()
        return None

    @classmethod
    async def open(
        cls, address: str, timeout_s: float, keeps_connection: bool = False
    ) -> "Exchange":
        """Open a connection.

        :param address: ``host:port``.
        :param timeout_s: longest wait in seconds.
        :param keeps_connection: whether it may serve another request later.
        :raises ConnectFailed: no connection was opened.
        """
        try:
            # No name is accepted: a resolver would block the loop or use a thread.
            host, port = parse_address(address)
        except MalformedDocument as error:
            raise ConnectFailed(str(error)) from None
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            new_socket = socket.socket(family)
        except OSError as error:
            # No descriptor or buffer is free.
            raise ConnectFailed(f"{address}: {error}") from None
        stream = ResponseStream(new_socket, read_chunk_size=MAX_HEAD_BYTES)
        try:
            connecting = stream.connect((host.strip("[]"), port))
            await asyncio.wait([connecting], timeout=timeout_s)
            # Only the result tells: the event loop may have been held up meanwhile.
            if not connecting.done():
                stream.close()
                raise ConnectTimedOut(f"{address}: no response in time")
            await connecting
        except (OSError, StreamClosedError) as error:
            stream.close()
            reason = getattr(error, "real_error", None) or error
            is_refused = isinstance(reason, ConnectionRefusedError)
            failure = ConnectRefused if is_refused else ConnectFailed
            raise failure(f"{address}: {reason or type(reason).__name__}") from None
        except asyncio.CancelledError:
            stream.close()
            raise
        stream.set_nodelay(True)
        return cls(stream, address, keeps_connection)

    async def is_closed_within(self, timeout_s: float) -> bool:
        """Return whether the other end closes a connection that carries no request.

        :param timeout_s: longest wait in seconds.
        """
        closed = asyncio.Event()
        self._stream.set_close_callback(closed.set)
        try:
            async with asyncio.timeout(timeout_s):
                await closed.wait()
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()
        if self._read_task is not None:
            self._read_task.cancel()
        if self._reader is not None:
            self._reader.held.close()

    def fail(self, error: ExchangeBroken) -> None:
        """Close the connection and end the exchange with an error.

        :param error: the error.
        """
        if self._reader is not None:
            self._reader.set_result(error)
        self._stream.close()

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        on_data: DataCallback | None = None,
        is_expected: AnswerFilter | None = None,
    ) -> int:
        """Send the request and wait for the status of the response.

        :param method: HTTP method.
        :param path: path and query.
        :param body: request body.
        :param headers: additional headers.
        :param on_data: called with each chunk of the body of a 200 response, and may
            raise :exc:`ExchangeBroken`; otherwise the body is kept for :meth:`finish`.
        :param is_expected: returns from the status and headers whether a response
            belongs to this request; others belong to earlier requests and are dropped.
        :returns: the status code.
        :raises ExchangeBroken: the connection ended before the status was received.
        """
        self._stream.begin_response(time.monotonic())
        self._reader = _ResponseReader(self._stream, on_data, is_expected, self.fail)
        all_headers = HTTPHeaders({"Host": "target"})
        if not self._keeps_connection:
            all_headers["Connection"] = "close"
        all_headers.update(headers or {})
        all_headers["Content-Length"] = str(len(body))
        # Read the response while writing the request: a target may refuse a long body
        # before it has read all of it. The reader detects a closed connection.
        self._connection.write_headers(
            RequestStartLine(method, path, "HTTP/1.1"), all_headers, body
        )
        self._connection.finish()
        self._read_task = asyncio.create_task(self._read(self._reader))
        await self._reader.started
        return self._reader.status

    async def finish(self) -> Response:
        """Wait for the end of the response.

        :returns: the complete response.
        :raises ExchangeBroken: the connection ended before the response did.
        :raises AnswerTooLarge: the response exceeds a bound.
        """
        assert self._reader is not None
        await self._reader.finished
        reader = self._reader
        return Response(reader.status, reader.headers, reader.body)

    async def _read(self, reader: _ResponseReader) -> None:
        try:
            with suppress(StreamClosedError):
                while await self._connection.read_response(reader):
                    if not reader.is_stray:
                        break
                    if reader.n_strays >= MAX_STRAY_RESPONSES:
                        return
                # Tornado ends a body without a length on a reset as well as on a close;
                # only a close completes it.
                if self._stream.error is None:
                    reader.complete_at_close()
        finally:
            reader.on_connection_close()


def _is_closing(headers: HTTPHeaders) -> bool:
    options = headers.get("Connection", "").lower().split(",")
    return "close" in map(str.strip, options)


async def _consume_and_pause(consumed: Awaitable[None] | None, pause_s: float) -> None:
    if consumed is not None:
        await consumed
    await asyncio.sleep(pause_s)


async def fetch(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    connect_timeout_s: float,
    timeout_s: float,
) -> Response:
    """Send one request over a new connection and return the complete response.

    :param address: ``host:port``.
    :param method: HTTP method.
    :param path: path and query.
    :param body: request body.
    :param headers: additional headers.
    :param connect_timeout_s: longest wait for the connection, in seconds.
    :param timeout_s: longest wait for the response after that, in seconds.
    :raises ConnectFailed: nothing was sent.
    :raises ExchangeBroken: the request may have been received.
    """
    with await Exchange.open(address, connect_timeout_s) as exchange:
        try:
            async with asyncio.timeout(timeout_s):
                await exchange.send(method, path, body, headers)
                return await exchange.finish()
        except TimeoutError:
            raise ExchangeBroken(f"no response within {timeout_s:g} s") from None
