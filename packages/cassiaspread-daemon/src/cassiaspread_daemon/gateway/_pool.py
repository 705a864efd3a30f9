"""Connections to targets and to the platform, and a pool of those that are kept."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

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


class ConnectionPool:
    """Owns idle connections; a context manager."""

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[float, ResponseStream]]] = {}
        self.n_opened = 0
        # Called with the address and the number of bytes that no request asked for.
        self.on_unasked: Callable[[str, int], None] = lambda address, n_bytes: None

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
                self._report_unread(exchange)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address.

        :param address: ``host:port``.
        """
        for _, stream in self._idle.pop(address, ()):
            stream.set_close_callback(None)
            stream.close()

    def _take_idle(self, address: str, request_id: RequestId) -> ResponseStream | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        for entry in reversed(idle.copy()):
            expires_s, stream = entry
            if stream.has_carried(request_id):
                continue
            idle.remove(entry)
            stream.set_close_callback(None)
            if expires_s > now_s and stream.is_silent:
                return stream
            stream.close()
        return None

    def _report_unread(self, exchange: Exchange) -> None:
        n_unread = exchange.n_unread
        if n_unread:
            self.on_unasked(exchange.address, n_unread)

    def _return_connection(self, exchange: Exchange, request_id: RequestId) -> None:
        address, headers = exchange.address, exchange.headers
        self._report_unread(exchange)
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
        entry = (expires_s, stream)
        idle.append(entry)
        # The exchange holds its answer, so that no callback may refer to it.
        stream.unasked_callback = lambda n: self.on_unasked(address, n)
        stream.begin_idle()
        # Setting the callback also makes the stream detect that the peer closes it.
        stream.set_close_callback(lambda: _discard(idle, entry))


def _discard(
    idle: list[tuple[float, ResponseStream]], entry: tuple[float, ResponseStream]
) -> None:
    if entry in idle:
        idle.remove(entry)


def _idle_time_s(keep_alive: str) -> float:
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        timeout_s = parse_count(value) if name == "timeout" else None
        if timeout_s is not None:
            return min(timeout_s, MAX_IDLE_S) - IDLE_MARGIN_S
    return DEFAULT_IDLE_S
