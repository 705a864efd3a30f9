"""Bytes of one request body while they arrive."""

import mmap

# A longer body gets pages of its own.
MAX_ARRAY_BYTES = 64 * 1024
# Their number grows by doubling.
GROWTH = 2


class RequestBody:
    """Collects the parts of a body.

    A long body has pages of its own: they take memory only once bytes have arrived, and
    are given back to the system at once. Arrays that grow beside each other would leave
    gaps in the heap as large as themselves.

    :param max_bytes: length of the body at most.

    >>> body = RequestBody(max_bytes=100)
    >>> body.add(b"or")
    >>> body.add(b"der")
    >>> len(body), bytes(body.data)
    (5, b'order')
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._array = bytearray()
        self._pages: mmap.mmap | None = None
        self._n_bytes = 0

    def __len__(self) -> int:
        return self._n_bytes

    @property
    def max_bytes(self) -> int:
        """Length of the body at most."""
        return self._max_bytes

    @property
    def data(self) -> bytes | memoryview:
        """The body, as far as it has arrived."""
        if self._pages is None:
            return bytes(self._array)
        return memoryview(self._pages)[: self._n_bytes]

    def add(self, part: bytes) -> None:
        """Add the next part.

        :param part: the part.
        """
        begin, self._n_bytes = self._n_bytes, self._n_bytes + len(part)
        if self._pages is None:
            self._array += part
            if self._n_bytes > MAX_ARRAY_BYTES:
                flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
                self._pages = mmap.mmap(-1, self._next_size(), flags)
                self._pages[: self._n_bytes] = bytes(self._array)
                self._array = bytearray()
            return
        if self._n_bytes > len(self._pages):
            self._pages.resize(self._next_size())
        self._pages[begin : self._n_bytes] = part

    def _next_size(self) -> int:
        # The limit may have been raised meanwhile.
        return max(self._n_bytes, min(GROWTH * self._n_bytes, self._max_bytes))

    def clear(self) -> None:
        """Drop what has arrived; pages are given back once :attr:`data` is unused."""
        self._array, self._pages, self._n_bytes = bytearray(), None, 0
