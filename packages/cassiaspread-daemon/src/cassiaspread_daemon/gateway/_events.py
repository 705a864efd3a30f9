"""Whole events of a stream, so that it can go on elsewhere after any of them."""

ID_FIELD = b"id:"
SEPARATOR = b"\n\n"


class EventBuffer:
    r"""Cuts the bytes of an event stream behind whole events.

    :param last_id: the last event that the caller has, if any.

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
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes behind the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Take in bytes.

        :param data: the bytes.
        :returns: the events that are whole now.
        """
        data = self._rest + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._rest = data
            return b""
        end += len(SEPARATOR)
        whole, self._rest = data[:end], data[end:]
        self.n_events += whole.count(SEPARATOR)
        self._note_last_id(whole)
        return whole

    def drop_rest(self) -> None:
        """Forget the part of an event that its engine did not finish."""
        self._rest = b""

    def _note_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + ID_FIELD)
        start = 0 if start < 0 else start + 1
        line, _, _ = events[start:].partition(b"\n")
        if line.startswith(ID_FIELD):
            self.last_id = line[len(ID_FIELD) :].strip().decode("latin1")
