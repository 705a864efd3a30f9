"""Splitting of an event stream, so that it can resume elsewhere after any event."""

import re
from collections.abc import Iterator
from itertools import islice

from cassiaspread_daemon._exchange import AnswerTooLarge, ExchangeBroken

# An event ends with an empty line; lines end with "\n" or "\r\n".
SEPARATORS = (b"\n\n", b"\n\r\n")
MAX_SEPARATOR_BYTES = 3
LINE_ENDS = b"\r\n"
# An event of an identifier, data or both, which spares the search for other fields.
USUAL_EVENT = re.compile(
    rb"(?:id: ?([0-9]+)\r?\n)?(?:data:[^\r\n]*\r?\n)+\r?\n", re.ASCII
)
# Any event with its separator.
EVENT = re.compile(rb".*?\n\r?\n", re.DOTALL)
# A line that is neither empty nor a comment, and one that holds an identifier.
FIELD_LINE = re.compile(rb"(?<![^\r\n])[^:\r\n]")
LONE_RETURN = re.compile(rb"\r(?!\n)")
ID_LINE = re.compile(rb"(?<![^\r\n])id(?::([^\r\n]*))?(?![^\r\n])")
# Identifiers are compared as numbers of 64 bits at most.
MAX_ID_DIGITS = 18
# An event of a few tokens has a few hundred bytes. The comments between two events have
# no more than this either.
MAX_EVENT_BYTES = 256 * 1024


class MisplacedEvents(ExchangeBroken):
    """What an engine sends does not go on where the stream stopped.

    :param expected: identifier that the next event must have.
    :param found: identifiers that the event has; ``None`` if there is no event.
    """

    def __init__(self, expected: str, found: list[str] | None) -> None:
        what = "no event" if found is None else f"an event with the ids {found}"
        super().__init__(f"{what} where {expected} follows")
        self.expected = expected
        self.found = found


class EventBuffer:
    r"""Buffers the bytes of an event stream and returns complete events.

    The first engine of a stream sends its own answer, which is returned unchanged.
    Another one has to go on with the next identifier; comments, which belong to no
    event, are left out of what it sends. Comments before the first event wait for it,
    so that they begin no answer. The cost is linear in the bytes received, however they
    are split.

    :param last_id: last event that the caller received, if any.
    :param is_continuation: whether the first event must follow that one; it has no
        effect if ``last_id`` is not a number.
    :param max_events: largest number of events, if there is one.

    >>> events = EventBuffer()
    >>> events.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> events.last_id, events.n_events, events.is_inside_event
    ('1', 1, True)
    >>> events.feed(b"ta: b\n\n")
    b'id: 2\ndata: b\n\n'
    >>> events.next_id
    '3'
    """

    def __init__(
        self,
        last_id: str | None = None,
        is_continuation: bool = False,
        max_events: int | None = None,
    ) -> None:
        self.last_id = last_id
        self.n_events = 0
        self._max_events = max_events
        # Last identifier, if it is a number; whether all were and went up one by one;
        # and whether the last event had one.
        self._number = _parse_id(last_id)
        self._is_numbered = True
        self._is_placed = True
        self._has_begun = False
        self._is_continuation = is_continuation and self._number is not None
        self._remainder = bytearray()
        # Comments before the first event, and bytes of comments since the last one.
        self._waiting = bytearray()
        self._n_comment_bytes = 0

    @property
    def remainder(self) -> bytes:
        """Bytes that were received and not returned."""
        return bytes(self._waiting + self._remainder)

    @property
    def n_open_bytes(self) -> int:
        """Number of bytes that were received and not returned."""
        return len(self._waiting) + len(self._remainder)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that is not complete."""
        return bool(self._remainder.strip(LINE_ENDS))

    @property
    def next_id(self) -> str | None:
        """Identifier that follows the last event.

        ``None`` if that event has no number, or if the numbers have not gone up one by
        one, so that a missing event would not be noticed.
        """
        if self._number is None or not (self._is_numbered and self._is_placed):
            return None
        return str(self._number + 1)

    @property
    def has_begun(self) -> bool:
        """Whether there was an event, apart from that of ``last_id``."""
        return self._has_begun

    @property
    def may_resume(self) -> bool:
        """Whether another engine can be shown to go on after the last event."""
        return not self._has_begun or self.next_id is not None

    def fork(self) -> "EventBuffer":
        """Return a buffer for another attempt that resumes after the last event."""
        events = EventBuffer(self.last_id, max_events=self._max_events)
        events._number = self._number
        events._is_continuation = self._is_continuation or self._has_begun
        events.n_events = self.n_events
        events._has_begun = self._has_begun
        return events

    def feed(self, data: bytes) -> bytes:
        """Add received bytes.

        :param data: the bytes.
        :returns: the events that are complete now, with the comments around them.
        :raises AnswerTooLarge: an event, or the comments since the last one, exceed
            their largest size, or there are too many events; these are not read any
            further.
        :raises MisplacedEvents: an event does not follow the one before.
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
        if not complete:
            return complete
        self._check_number(complete)
        n_events_before, n_bytes = self.n_events, len(complete)
        if self._is_continuation:
            complete = self._place(complete)
        else:
            self._record_ids(complete)
        if self.n_events > n_events_before:
            self._n_comment_bytes = 0
        else:
            self._record_comments(n_bytes)
        if not self._has_begun:
            self._waiting += complete
            return b""
        if self._waiting:
            complete = bytes(self._waiting) + complete
            self._waiting.clear()
        return complete

    def _check_number(self, events: bytes) -> None:
        if self._max_events is None:
            return
        n_left = self._max_events - self.n_events
        # There are no more events than separators, which are cheaper to count.
        if sum(map(events.count, SEPARATORS)) <= n_left:
            return
        if sum(1 for _ in islice(_split_events(events), n_left + 1)) > n_left:
            raise AnswerTooLarge(f"more than {self._max_events} events")

    def _record_comments(self, n_bytes: int) -> None:
        self._n_comment_bytes += n_bytes
        if self._n_comment_bytes > MAX_EVENT_BYTES:
            raise AnswerTooLarge(
                f"more than {MAX_EVENT_BYTES} bytes of comments without an event"
            )

    def _record_ids(self, events: bytes) -> None:
        for _, ids in _split_events(events):
            self.n_events += 1
            self._has_begun = True
            self._is_placed = bool(ids)
            if ids:
                before, self._number = self._number, _parse_id(ids[-1])
                self.last_id = ids[-1]
                self._is_numbered &= self._number is not None and (
                    before is None or self._number == before + 1
                )

    def _place(self, events: bytes) -> bytes:
        """Check that events go on one by one; none of them counts otherwise."""
        assert self._number is not None, "a stream without a place does not resume"
        number = self._number
        placed = []
        for event, ids in _split_events(events):
            # Readers of events take a lone carriage return as the end of a line.
            if ids != [str(number + 1)] or LONE_RETURN.search(event):
                raise MisplacedEvents(str(number + 1), ids)
            number += 1
            placed.append(event)
        if placed:
            self.n_events += len(placed)
            self._number = number
            self.last_id = str(number)
            self._has_begun = True
        return b"".join(placed)


def _split_events(data: bytes) -> Iterator[tuple[bytes, list[str]]]:
    """Yield events without comments between them, each with its identifiers."""
    begin = 0
    while begin < len(data):
        usual = USUAL_EVENT.match(data, begin)
        if usual is not None:
            begin = usual.end()
            yield usual[0], [] if usual[1] is None else [usual[1].decode()]
            continue
        other = EVENT.match(data, begin)
        if other is None:
            return
        begin = other.end()
        if FIELD_LINE.search(other[0]):
            yield other[0], _find_ids(other[0])


def _find_ids(event: bytes) -> list[str]:
    return [text.strip().decode("latin1") for text in ID_LINE.findall(event)]


def _parse_id(text: str | None) -> int | None:
    if text is None or len(text) > MAX_ID_DIGITS:
        return None
    if not (text.isascii() and text.isdigit()):
        return None
    number = int(text)
    return number if str(number) == text else None


def _end_of_last(separator: bytes, data: bytearray, start: int) -> int:
    begin = data.rfind(separator, start)
    return 0 if begin < 0 else begin + len(separator)
