"""Connection that tells which bytes no request asked for, and paces chunks."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream

from cassiaspread_core.admission import AnswerPacer
from cassiaspread_core.base import RequestId
from cassiaspread_daemon._peek import peek

# Even empty chunks cost some 25 microseconds each.
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
# Bytes in the kernel are counted up to this number; more of them tell nothing more.
MAX_COUNTED_BYTES = 4096


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
