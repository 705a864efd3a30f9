"""Bytes of a stream between its engine and its caller."""

import asyncio
from collections.abc import Awaitable

from cassiaspread_core.admission import HeldAnswer

# Received bytes that wait to be relayed; beyond them no more are read.
MAX_RECEIVED_BYTES = 64 * 1024


class ReceiveBuffer:
    """Received bytes that have not been processed yet.

    :param held: accounts for them, and for those that are being relayed.
    """

    def __init__(self, held: HeldAnswer) -> None:
        self._held = held
        self._data: list[bytes] = []
        self._n_bytes = 0
        self._event = asyncio.Event()
        self._has_room = asyncio.Event()

    @property
    def has_arrived(self) -> bool:
        """Whether there are bytes, or the stream has ended."""
        return self._event.is_set()

    def put(self, data: bytes) -> Awaitable[object] | None:
        """Add bytes.

        :param data: the bytes.
        :returns: what to wait for before more are read, if anything.
        """
        self._held.add(len(data))
        if not self._held.is_open:
            return None
        self._data.append(data)
        self._n_bytes += len(data)
        self._event.set()
        if self._n_bytes <= MAX_RECEIVED_BYTES:
            return None
        self._has_room.clear()
        return self._has_room.wait()

    def wake(self) -> None:
        """Let :meth:`wait` return at the end of the stream."""
        self._event.set()

    async def arrival(self) -> None:
        """Wait for bytes or the end of the stream."""
        await self._event.wait()

    def take(self) -> bytes:
        """Return the received bytes and remove them."""
        self._event.clear()
        data = b"".join(self._data)
        self._data.clear()
        self._n_bytes = 0
        self._has_room.set()
        return data

    def release(self, n_bytes: int) -> None:
        """Stop accounting for bytes that were relayed.

        :param n_bytes: their number.
        """
        self._held.add(-n_bytes)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for bytes or the end of the stream.

        :param timeout_s: longest wait in seconds.
        :returns: ``False`` on timeout.
        """
        if self._event.is_set():
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            return False
        return True
