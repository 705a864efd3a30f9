"""Pool of keep-alive connections to targets and to the platform."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from enum import Enum

from cassiaspread_core.base import parse_count
from cassiaspread_daemon._exchange import Exchange, ResponseStream

# A target closes a connection that has been idle for the time that it announces, and a
# request sent at that moment is lost; connections are dropped this much earlier.
IDLE_MARGIN_S = 1.0
# Idle time of a connection whose target announces none.
DEFAULT_IDLE_S = 4.0
# No connection is kept for longer, whatever its target announces.
MAX_IDLE_S = 3600
MAX_IDLE_PER_ADDRESS = 32


class Lane(Enum):
    """Kind of calls that share connections.

    A second answer to a call of one lane is never read as the answer to one of another.
    REQUESTS: requests of callers.
    CONTROL: status reports and orders.
    """

    REQUESTS = "requests"
    CONTROL = "control"


class ConnectionPool:
    """Owns idle connections; a context manager."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, Lane], list[tuple[float, ResponseStream]]] = {}
        self.n_opened = 0
        # Called with the address and the number of bytes that no request asked for.
        self.on_unasked: Callable[[str, int], None] = lambda address, n_bytes: None

    def __enter__(self) -> "ConnectionPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for address, _ in list(self._idle):
            self.drop(address)

    @asynccontextmanager
    async def exchange(
        self,
        address: str,
        connect_timeout_s: float,
        is_new: bool = False,
        lane: Lane = Lane.REQUESTS,
    ) -> AsyncIterator[Exchange]:
        """Provide a connection for one request and keep it if it stays usable.

        :param address: ``host:port``.
        :param connect_timeout_s: longest wait for a new connection, in seconds.
        :param is_new: whether a new connection is required.
        :param lane: kind of the call.
        :raises ConnectFailed: no connection could be opened.
        """
        stream = None if is_new else self._take_idle(address, lane)
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
            self._return_connection(exchange, lane)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address.

        :param address: ``host:port``.
        """
        for lane in Lane:
            for _, stream in self._idle.pop((address, lane), ()):
                stream.set_close_callback(None)
                stream.close()

    def _take_idle(self, address: str, lane: Lane) -> ResponseStream | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get((address, lane), [])
        while idle:
            expires_s, stream = idle.pop()
            stream.set_close_callback(None)
            if expires_s > now_s and stream.is_silent:
                return stream
            stream.close()
        return None

    def _return_connection(self, exchange: Exchange, lane: Lane) -> None:
        headers = exchange.headers
        n_unread = exchange.n_unread
        if n_unread:
            self.on_unasked(exchange.address, n_unread)
        stream = exchange.release()
        if stream is None:
            return
        now_s = asyncio.get_running_loop().time()
        expires_s = now_s + _idle_time_s(headers.get("Keep-Alive", ""))
        idle = self._idle.setdefault((exchange.address, lane), [])
        if expires_s <= now_s or len(idle) >= MAX_IDLE_PER_ADDRESS:
            stream.close()
            return
        entry = (expires_s, stream)
        idle.append(entry)
        stream.unasked_callback = lambda n: self.on_unasked(exchange.address, n)
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
