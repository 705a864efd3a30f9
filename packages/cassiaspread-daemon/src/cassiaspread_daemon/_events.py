"""Splitting of an event stream, so that it can resume elsewhere after any event."""

from cassiaspread_daemon._exchange import AnswerTooLarge

ID_FIELD = b"id:"
# An event ends with an empty line; lines end with "\n" or "\r\n".
SEPARATORS = (b"\n\n", b"\n\r\n")
MAX_SEPARATOR_BYTES = 3
LINE_ENDS = b"\r\n"
# An event of a few tokens has a few hundred bytes.
MAX_EVENT_BYTES = 256 * 1024


class EventBuffer:
    r"""Buffers the bytes of an event stream and returns complete events.

    The cost is linear in the bytes received, however they are split.

    :param last_id: last event that the caller received, if any.

    >>> events = EventBuffer()
    >>> events.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> events.last_id, events.n_events, events.is_inside_event
    ('1', 1, True)
    >>> events.feed(b"ta: b\n\n")
    b'id: 2\ndata: b\n\n'
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.n_events = 0
        self._remainder = bytearray()

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._remainder)

    @property
    def n_open_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._remainder)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that is not complete."""
        return bool(self._remainder.strip(LINE_ENDS))

    def fork(self) -> "EventBuffer":
        """Return a buffer for another attempt that resumes after the last event."""
        events = EventBuffer(self.last_id)
        events.n_events = self.n_events
        return events

    def feed(self, data: bytes) -> bytes:
        """Add received bytes.

        :param data: the bytes.
        :returns: the events that are complete now.
        :raises AnswerTooLarge: an event exceeds its largest size.
        """
        # A separator may begin in bytes that were received before.
        start = max(0, len(self._remainder) - MAX_SEPARATOR_BYTES + 1)
        self._remainder += data
        end = max(
            _end_of_last(separator, self._remainder, start) for separator in SEPARATORS
        )
        complete = bytes(self._remainder[:end])
        del self._remainder[:end]
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise AnswerTooLarge(f"an event of more than {MAX_EVENT_BYTES} bytes")
        if complete:
            self.n_events += sum(map(complete.count, SEPARATORS))
            self._record_last_id(complete)
        return complete

    def _record_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + ID_FIELD)
        start = 0 if start < 0 else start + 1
        line, _, _ = events[start:].partition(b"\n")
        if line.startswith(ID_FIELD):
            self.last_id = line[len(ID_FIELD) :].strip().decode("latin1")


def _end_of_last(separator: bytes, data: bytearray, start: int) -> int:
    begin = data.rfind(separator, start)
    return 0 if begin < 0 else begin + len(separator)
