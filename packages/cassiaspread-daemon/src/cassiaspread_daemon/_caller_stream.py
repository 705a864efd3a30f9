"""Connections of callers that know what has arrived and was not consumed yet."""

import asyncio
import fcntl
import socket
import struct
import termios
import time
from asyncio import Future
from collections.abc import Callable
from contextlib import suppress

from tornado.iostream import IOStream

from cassiaspread_core.admission import AnswerPacer
from cassiaspread_daemon._peek import peek

# Number of bytes in the answer of the ioctl that reads a socket's send queue.
N_BYTES = struct.Struct("i")
# Bytes read at a time. A connection that is not read on holds up to two such blocks.
READ_BLOCK_BYTES = 16 * 1024
# Lengths of chunks are read at this rate, those of all bodies in many chunks together,
# which takes about a tenth of a core. Those of one body are read as they arrive up to a
# number that grows with its age.
CHUNK_PACER = AnswerPacer(20e3, unpaced=256, unpaced_rate=50.0)
# Counted so many at a time.
CHUNK_BATCH = 64
# Bytes read at most from a connection that is being closed.
MAX_DROPPED_BYTES = 1024 * 1024


class CallerStream(IOStream):
    """Connection of a caller.

    :param connection: the connected socket.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection, read_chunk_size=READ_BLOCK_BYTES)
        self._n_unconsumed = 0
        self._n_head_bytes: int | None = 0
        self._arriving_since_s = 0.0
        # Lengths of chunks that were read since the last head, and when it was.
        self._n_chunks = 0
        self._head_s = 0.0
        self._is_delayed = False
        self._is_ended_by_caller = False
        self._n_unacknowledged_at_close = 0
        self._is_abandoned = False
        #: Called once the connection is closed, in the same step of the event loop.
        self.closed_callback: Callable[[], None] | None = None
        #: Called when bytes were received; it must not close the connection at once.
        self.received_callback: Callable[[], None] | None = None

    @property
    def n_buffered(self) -> int:
        """Bytes received that belong to a message which is not complete."""
        return self._n_unconsumed

    @property
    def n_head_bytes(self) -> int:
        """Bytes of the head that was read last, 0 if it is not complete."""
        return self._n_head_bytes or 0

    @property
    def arriving_since_s(self) -> float:
        """When the first of these bytes was received, on the monotonic clock."""
        return self._arriving_since_s

    @property
    def is_delayed(self) -> bool:
        """Whether the length of a chunk is read later to limit their rate."""
        return self._is_delayed

    @property
    def has_unread(self) -> bool:
        """Whether bytes wait in the kernel that were not received yet."""
        return bool(peek(self.socket))

    @property
    def n_unacknowledged(self) -> int:
        """Bytes written that the caller's end has not acknowledged.

        Of a closed connection, the number when it was closed.
        """
        if self.closed():
            return self._n_unacknowledged_at_close
        n_queued = self._total_write_index - self._total_write_done_index
        try:
            answer = fcntl.ioctl(self.socket, termios.TIOCOUTQ, N_BYTES.pack(0))
        except OSError:
            # The kernel does not tell, for example after a reset.
            return n_queued
        return n_queued + N_BYTES.unpack(answer)[0]

    @property
    def peer(self) -> str | None:
        """IP address of the caller, if the connection is open."""
        try:
            return self.socket.getpeername()[0]
        except OSError:
            return None

    @property
    def is_ended(self) -> bool:
        """Whether the caller has closed or reset the connection."""
        return self._is_ended_by_caller

    def close(self, exc_info: object = False) -> None:
        """Close the connection.

        :param exc_info: error to keep, or whether to keep the current one.
        """
        was_closed = self.closed()
        if not was_closed:
            self._n_unacknowledged_at_close = self.n_unacknowledged
            self._drop_unread()
        super().close(exc_info)
        callback, self.closed_callback = self.closed_callback, None
        self.received_callback = None
        if callback is not None and not was_closed:
            callback()

    def abandon_read(self) -> None:
        """Read no more and free what was received, of a connection about to close.

        Also in the middle of a read: tornado reads a head on for as long as its bytes
        arrive, and only a garbage collection frees the buffer of a closed connection.
        """
        self._is_abandoned = True
        self._read_buffer = bytearray()
        self._read_buffer_size = 0

    def _drop_unread(self) -> None:
        """Read what has arrived.

        Closing a socket with unread bytes resets the connection, and the end of an
        answer that the kernel has not sent yet is lost.
        """
        n_bytes = 0
        # An error means that nothing more can be read.
        with suppress(OSError):
            while n_bytes < MAX_DROPPED_BYTES:
                n_read = len(self.socket.recv(self.read_chunk_size))
                if not n_read:
                    return
                n_bytes += n_read

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into a buffer; called by tornado.

        :param buf: the buffer.
        """
        if self._is_abandoned:
            return None
        if self._read_buffer_size and not self.reading():
            # To notice its end, tornado reads from a connection that nothing is
            # expected from, up to the bound of the read before.
            return None
        try:
            n_bytes = super().read_from_fd(buf)
        except OSError:
            self._is_ended_by_caller = True
            raise
        if n_bytes == 0:
            self._is_ended_by_caller = True
        elif n_bytes is not None:
            if not self._n_unconsumed:
                self._arriving_since_s = time.monotonic()
            self._n_unconsumed += n_bytes
            if self.received_callback is not None:
                self.received_callback()
        return n_bytes

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> "Future[bytes]":
        """Read up to the end of a match.

        :param regex: the expression.
        :param max_bytes: the connection closes if no match ends within so many bytes.
        """
        self._n_head_bytes = None
        self._n_chunks = 0
        return self._follow_read(super().read_until_regex(regex, max_bytes))

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> "Future[bytes]":
        """Read up to the end of a delimiter, such as the length of a chunk.

        :param delimiter: the delimiter.
        :param max_bytes: the connection closes if it is not within so many bytes.
        """
        delay_s = self._chunk_delay_s(time.monotonic())
        if not delay_s:
            return self._follow_read(super().read_until(delimiter, max_bytes))
        return asyncio.ensure_future(self._read_later(delay_s, delimiter, max_bytes))

    async def _read_later(
        self, delay_s: float, delimiter: bytes, max_bytes: int | None
    ) -> bytes:
        self._is_delayed = True
        await asyncio.sleep(delay_s)
        self._is_delayed = False
        return await self._follow_read(super().read_until(delimiter, max_bytes))

    def _chunk_delay_s(self, now_s: float) -> float:
        """Return how long to wait before the length of the next chunk is read.

        :param now_s: current time on the monotonic clock, in seconds.
        """
        if not self._n_chunks:
            self._head_s = now_s
        self._n_chunks += 1
        if self._n_chunks % CHUNK_BATCH:
            return 0.0
        age_s = now_s - self._head_s
        return CHUNK_PACER.delay_s(self._n_chunks, CHUNK_BATCH, age_s, now_s)

    def read_bytes(self, num_bytes: int, partial: bool = False) -> "Future[bytes]":
        """Read a number of bytes.

        :param num_bytes: the number.
        :param partial: whether any bytes up to this number suffice.
        """
        return self._follow_read(super().read_bytes(num_bytes, partial))

    def _follow_read(self, read: "Future[bytes]") -> "Future[bytes]":
        if read.done():
            self._record_consumed(read)
        else:
            # Runs before whatever awaits the read, without another task in between.
            read.add_done_callback(self._record_consumed)
        return read

    def _record_consumed(self, read: "Future[bytes]") -> None:
        if not read.cancelled() and read.exception() is None:
            n_bytes = len(read.result())
            self._n_unconsumed -= n_bytes
            if self._n_head_bytes is None:
                self._n_head_bytes = n_bytes
