"""Reads the body of one request as far as memory was granted to it."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from cassiaspread_core.admission import MemoryDecision, RequestMemory
from cassiaspread_core.base import Refusal
from cassiaspread_daemon._request_body import RequestBody

# Bytes counted for each byte of a body: it is held as received and, while it is decoded
# or forwarded, in another form.
COPIES = 2


class BodyReader:
    """Reads the body of one request.

    :param memory: bounds the requests of the process.
    :param n_announced: announced length in bytes, ``None`` if it is not known.
    :param max_bytes: limit on the body, in bytes.
    :param refuse: called with the refusal of a request that is not read to its end.
    """

    def __init__(
        self,
        memory: RequestMemory,
        n_announced: int | None,
        max_bytes: int,
        refuse: Callable[[Refusal], None],
    ) -> None:
        self._memory = memory
        self._n_announced = n_announced
        self._max_bytes = max_bytes
        self._refuse = refuse
        #: Memory of the request.
        self.held = memory.hold(self._decide)
        self._body = RequestBody(max_bytes if n_announced is None else n_announced)
        self._may_read: asyncio.Future[None] | None = None
        self._is_complete = False
        # Refusal of a complete request.
        self._refusal: Refusal | None = None

    @property
    def n_received(self) -> int:
        """Bytes received and kept."""
        return len(self._body)

    def begin(self) -> Awaitable[None] | None:
        """Ask for the memory of the announced length.

        :returns: what to wait for before the body is read, if anything.
        """
        if self._n_announced is not None and self._n_announced > self._max_bytes:
            self._refuse_too_large()
            return None
        n_bytes = COPIES * (self._n_announced or 0)
        return self._follow(self.held.begin(n_bytes, time.monotonic()))

    def receive(self, chunk: bytes) -> Awaitable[None] | None:
        """Add a chunk.

        :param chunk: the chunk.
        :returns: what to wait for before more is read, if anything.
        """
        now_s = time.monotonic()
        self.held.receive(len(chunk), now_s)
        n_bytes = len(self._body) + len(chunk)
        if n_bytes > self._body.max_bytes:
            self._refuse_too_large()
            return None
        self._body.add(chunk)
        return self._follow(
            self.held.ask_more(COPIES * n_bytes, COPIES * self._body.max_bytes, now_s)
        )

    def complete(self) -> bytes:
        """Return the body, which was received to its end."""
        self._is_complete = True
        body = bytes(self._body.data)
        self._body.clear()
        self.held.complete(COPIES * len(body), time.monotonic())
        return body

    async def hold(self, n_bytes: int) -> None:
        """Hold more than was granted to a complete request, or less.

        :param n_bytes: bytes that it holds from now on.
        :raises Refusal: they are not free.
        """
        may_hold = self._follow(self.held.ask(n_bytes, time.monotonic()))
        if may_hold is not None:
            await may_hold
        if self._refusal is not None:
            raise self._refusal
        self.held.complete(n_bytes, time.monotonic())

    def close(self) -> None:
        """Give the memory back."""
        self._body.clear()
        self.held.close(time.monotonic())
        self._resume()

    def _follow(self, decision: MemoryDecision) -> Awaitable[None] | None:
        if decision is MemoryDecision.WAIT:
            self._may_read = asyncio.get_running_loop().create_future()
            return self._may_read
        self._decide(decision)
        return None

    def _decide(self, decision: MemoryDecision) -> None:
        if decision is MemoryDecision.REFUSE:
            self._end(
                Refusal(
                    503,
                    "memory-full",
                    "No memory is free for requests of this size.",
                    retry_after_s=self._memory.retry_after_s(time.monotonic()),
                )
            )
        elif decision is MemoryDecision.END:
            self._end(
                Refusal(
                    408,
                    "body-too-slow",
                    "The body arrived too slowly while others waited.",
                )
            )
        self._resume()

    def _refuse_too_large(self) -> None:
        detail = f"At most {self._max_bytes} bytes of body."
        self._end(Refusal(413, "body-too-large", detail))

    def _end(self, refusal: Refusal) -> None:
        if self._is_complete:
            self._refusal = refusal
        else:
            self._refuse(refusal)
        self.close()

    def _resume(self) -> None:
        """Read on, if the request waits for memory."""
        if self._may_read is not None and not self._may_read.done():
            self._may_read.set_result(None)
