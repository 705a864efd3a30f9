"""Connections to targets and to the platform, and a pool of those that are kept."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from enum import Enum
from typing import NamedTuple

from cassiaspread_core.base import RequestId, parse_count
from cassiaspread_daemon._exchange import Exchange, ResponseStream

# A target closes a connection that has been idle for the time that it announces, and a
# request sent at that moment is lost; connections are dropped this much earlier.
IDLE_MARGIN_S = 1.0
# Idle time of a connection whose target announces none.
DEFAULT_IDLE_S = 4.0
# No connection is kept for longer, whatever its target announces.
MAX_IDLE_S = 3600
MAX_IDLE_PER_ADDRESS = 32
# Bounds the memory for the identifiers of the requests that a connection has carried.
MAX_REQUESTS_PER_CONNECTION = 128


class UnaskedWhen(Enum):
    """When bytes that no request asked for were found.

    BEHIND: behind the answer to a request.
    IDLE: they arrived while no request was in progress.
    BEFORE: they had arrived when the next request was to be sent.
    """

    BEHIND = "behind"
    IDLE = "idle"
    BEFORE = "before"


class UnaskedBytes(NamedTuple):
    """Bytes that no request asked for, which end their connection.

    :param address: ``host:port`` of their sender.
    :param request_id: last request that the connection has carried; ``None`` for calls
        without an identifier.
    :param n_bytes: how many there are at least.
    :param when: when they were found.
    """

    address: str
    request_id: RequestId | None
    n_bytes: int
    when: UnaskedWhen


class _Idle(NamedTuple):
    """Connection on which no request is in progress.

    :param expires_s: until when it may be used, on the event loop's clock in seconds.
    :param stream: the connection.
    :param request_id: last request that it has carried.
    """

    expires_s: float
    stream: ResponseStream
    request_id: RequestId


class ConnectionPool:
    """Owns idle connections; a context manager."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Idle]] = {}
        self.n_opened = 0
        # Called with bytes that no request asked for.
        self.on_unasked: Callable[[UnaskedBytes], None] = lambda unasked: None

    def __enter__(self) -> "ConnectionPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for address in list(self._idle):
            self.drop(address)

    @asynccontextmanager
    async def exchange(
        self,
        address: str,
        connect_timeout_s: float,
        request_id: RequestId,
        is_new: bool = False,
    ) -> AsyncIterator[Exchange]:
        """Provide a connection for one request and keep it if it stays usable.

        An earlier request may be answered on it a second time: the response has to name
        the request, whose identifier no earlier one on the connection had.

        :param address: ``host:port``.
        :param connect_timeout_s: longest wait for a new connection, in seconds.
        :param request_id: the request.
        :param is_new: whether a new connection is required.
        :raises ConnectFailed: no connection could be opened.
        """
        stream = None if is_new else self._take_idle(address, request_id)
        if stream is None:
            self.n_opened += 1
            exchange = await Exchange.open(
                address, connect_timeout_s, keeps_connection=True
            )
        else:
            exchange = Exchange(stream, address, keeps_connection=True)
        try:
            yield exchange
        finally:
            self._return_connection(exchange, request_id)

    @asynccontextmanager
    async def single_exchange(
        self, address: str, connect_timeout_s: float
    ) -> AsyncIterator[Exchange]:
        """Provide a new connection for one call and close it afterwards.

        The first response on it is that of the call, although it need not name it.

        :param address: ``host:port``.
        :param connect_timeout_s: longest wait for the connection, in seconds.
        :raises ConnectFailed: no connection could be opened.
        """
        self.n_opened += 1
        with await Exchange.open(address, connect_timeout_s) as exchange:
            try:
                yield exchange
            finally:
                self._report_unread(exchange, None)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address.

        :param address: ``host:port``.
        """
        for idle in self._idle.pop(address, ()):
            idle.stream.set_close_callback(None)
            idle.stream.close()

    def _take_idle(self, address: str, request_id: RequestId) -> ResponseStream | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        for entry in reversed(idle.copy()):
            stream = entry.stream
            if stream.has_carried(request_id):
                continue
            idle.remove(entry)
            stream.set_close_callback(None)
            if entry.expires_s > now_s and stream.is_silent:
                return stream
            self._report(address, entry.request_id, stream.n_unread, UnaskedWhen.BEFORE)
            stream.close()
        return None

    def _report_unread(self, exchange: Exchange, request_id: RequestId | None) -> None:
        self._report(
            exchange.address, request_id, exchange.n_unread, UnaskedWhen.BEHIND
        )

    def _report(
        self,
        address: str,
        request_id: RequestId | None,
        n_bytes: int,
        when: UnaskedWhen,
    ) -> None:
        if n_bytes:
            self.on_unasked(UnaskedBytes(address, request_id, n_bytes, when))

    def _return_connection(self, exchange: Exchange, request_id: RequestId) -> None:
        address, headers = exchange.address, exchange.headers
        self._report_unread(exchange, request_id)
        stream = exchange.release()
        if stream is None:
            return
        now_s = asyncio.get_running_loop().time()
        expires_s = now_s + _idle_time_s(headers.get("Keep-Alive", ""))
        idle = self._idle.setdefault(address, [])
        stream.record_carried(request_id)
        if (
            expires_s <= now_s
            or len(idle) >= MAX_IDLE_PER_ADDRESS
            or exchange.n_requests >= MAX_REQUESTS_PER_CONNECTION
        ):
            stream.close()
            return
        entry = _Idle(expires_s, stream, request_id)
        idle.append(entry)
        # The exchange holds its answer, so that no callback may refer to it.
        stream.unasked_callback = lambda n_bytes: self._report(
            address, request_id, n_bytes, UnaskedWhen.IDLE
        )
        stream.begin_idle()
        # Setting the callback also makes the stream detect that the peer closes it.
        stream.set_close_callback(lambda: _discard(idle, entry))


def _discard(idle: list[_Idle], entry: _Idle) -> None:
    if entry in idle:
        idle.remove(entry)


def _idle_time_s(keep_alive: str) -> float:
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        timeout_s = parse_count(value) if name == "timeout" else None
        if timeout_s is not None:
            return min(timeout_s, MAX_IDLE_S) - IDLE_MARGIN_S
    return DEFAULT_IDLE_S
