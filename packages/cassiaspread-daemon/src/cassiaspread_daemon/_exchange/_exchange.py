"""HTTP request over a new connection or one kept from an earlier request.

Concurrent requests never share a connection. The sender can thus determine whether any
byte of a request may have been sent, and a silent connection affects one request only.
"""

import asyncio
import socket
import time
from collections.abc import Mapping
from contextlib import suppress
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import StreamClosedError

from cassiaspread_core.base import MalformedDocument, parse_address
from cassiaspread_daemon._exchange._errors import (
    ConnectFailed,
    ConnectRefused,
    ConnectTimedOut,
    ExchangeBroken,
)
from cassiaspread_daemon._exchange._reader import (
    MAX_STRAY_RESPONSES,
    AnswerFilter,
    DataCallback,
    Delimiter,
    ResponseReader,
)
from cassiaspread_daemon._exchange._stream import ResponseStream

# Bound on a response that is passed on while it arrives.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# A longer body is not copied to be sent together with its headers.
MAX_JOINED_BYTES = 64 * 1024
# Status and headers of a response take less than 2 KB.
MAX_HEAD_BYTES = 16 * 1024


class Response(NamedTuple):
    """A complete response.

    :param status: HTTP status code.
    :param headers: response headers.
    :param body: response body, empty if it was passed to a callback.
    """

    status: int
    headers: HTTPHeaders
    body: bytes


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
        self._reader: ResponseReader | None = None
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
        body: bytes | memoryview = b"",
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
        self._reader = ResponseReader(self._stream, on_data, is_expected, self.fail)
        all_headers = HTTPHeaders({"Host": "target"})
        if not self._keeps_connection:
            all_headers["Connection"] = "close"
        all_headers.update(headers or {})
        all_headers["Content-Length"] = str(len(body))
        # Read the response while writing the request: a target may refuse a long body
        # before it has read all of it. The reader detects a closed connection.
        is_joined = len(body) <= MAX_JOINED_BYTES
        self._connection.write_headers(
            RequestStartLine(method, path, "HTTP/1.1"),
            all_headers,
            body if is_joined else b"",
        )
        if not is_joined:
            self._connection.write(body)
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

    async def _read(self, reader: ResponseReader) -> None:
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
