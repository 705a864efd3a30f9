"""Reads a body that ends with its connection, with one call for each arrival.

A token stream brings a few bytes at a time. Waiting for each of them on the stream's
own interface costs two futures, a task switch and a read that finds nothing.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

READ_BYTES = 65_536


class BodyReader:
    """Passes on what arrives on a connection whose headers were read.

    :param stream: the connection, which nothing else reads.
    :param on_data: called with each arrival.
    :param on_end: called once when the other end has closed the connection.
    """

    def __init__(
        self,
        stream: IOStream,
        on_data: Callable[[bytes], None],
        on_end: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._socket = stream.socket
        self._on_data = on_data
        self._on_end = on_end
        self._is_direct = False

    async def run(self) -> None:
        """Pass on what the stream has buffered, then read the socket directly."""
        n_bytes = READ_BYTES
        with suppress(StreamClosedError):
            while n_bytes == READ_BYTES:
                data = await self._stream.read_bytes(READ_BYTES, partial=True)
                n_bytes = len(data)
                self._on_data(data)
        if self._stream.closed():
            self._on_end()
            return
        IOLoop.current().remove_handler(self._stream)
        asyncio.get_running_loop().add_reader(self._socket, self._read)
        self._is_direct = True

    def close(self) -> None:
        """Stop reading."""
        if self._is_direct:
            self._is_direct = False
            asyncio.get_running_loop().remove_reader(self._socket)

    def _read(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if data:
            self._on_data(data)
        else:
            self.close()
            self._on_end()
