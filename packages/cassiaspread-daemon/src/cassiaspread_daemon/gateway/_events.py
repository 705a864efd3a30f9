"""Splitting of an event stream, so that it can resume elsewhere after any event."""

ID_FIELD = b"id:"
SEPARATOR = b"\n\n"


class EventBuffer:
    r"""Buffers the bytes of an event stream and returns complete events.

    :param last_id: last event that the caller received, if any.

    >>> events = EventBuffer()
    >>> events.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> events.last_id, events.n_events
    ('1', 1)
    >>> events.feed(b"ta: b\n\n")
    b'id: 2\ndata: b\n\n'
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.n_events = 0
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    def feed(self, data: bytes) -> bytes:
        """Add received bytes.

        :param data: the bytes.
        :returns: the events that are complete now.
        """
        data = self._remainder + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._remainder = data
            return b""
        end += len(SEPARATOR)
        complete, self._remainder = data[:end], data[end:]
        self.n_events += complete.count(SEPARATOR)
        self._record_last_id(complete)
        return complete

    def drop_remainder(self) -> None:
        """Discard an event that its engine did not complete."""
        self._remainder = b""

    def _record_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + ID_FIELD)
        start = 0 if start < 0 else start + 1
        line, _, _ = events[start:].partition(b"\n")
        if line.startswith(ID_FIELD):
            self.last_id = line[len(ID_FIELD) :].strip().decode("latin1")
