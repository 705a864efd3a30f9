"""Buffer of the latest records, for peers that can't read the log."""

from collections import deque
from collections.abc import Iterable

import msgspec

from cassiaspread_core.base import Offset
from cassiaspread_daemon.adapters import LogRecord

MAX_KEPT_BYTES = 1_048_576
MAX_REPLY_BYTES = 262_144


class RecordsReply(msgspec.Struct, frozen=True):
    """Consecutive records from the requested offset.

    :param records: the records, ``None`` if the offset is outside the buffer.
    """

    records: tuple[LogRecord, ...] | None


class RecentRecords:
    """Buffer of consecutive records, bounded by ``MAX_KEPT_BYTES``."""

    def __init__(self) -> None:
        self._records: deque[LogRecord] = deque()
        self._start = Offset(0)
        self._end = Offset(0)
        self._n_bytes = 0

    def clear(self, next_offset: Offset) -> None:
        """Remove all records.

        :param next_offset: offset of the next record.
        """
        self._records.clear()
        self._n_bytes = 0
        self._start = self._end = next_offset

    def extend(self, next_offset: Offset, records: Iterable[LogRecord]) -> None:
        """Append records and evict the oldest beyond the size limit.

        :param next_offset: one past the last offset covered after the call.
        :param records: the records.
        """
        for record in records:
            self._records.append(record)
            self._n_bytes += len(record.value)
        self._end = next_offset
        while self._n_bytes > MAX_KEPT_BYTES:
            oldest = self._records.popleft()
            self._n_bytes -= len(oldest.value)
            self._start = Offset(oldest.offset + 1)

    def read(self, start: Offset) -> RecordsReply:
        """Return the records from an offset on, as many as fit a message.

        The reply ends with the record that brings it to ``MAX_REPLY_BYTES``.

        :param start: offset of the first requested record.
        """
        if not self._start <= start <= self._end:
            return RecordsReply(None)
        found: list[LogRecord] = []
        n_bytes = 0
        for record in self._records:
            if record.offset < start:
                continue
            found.append(record)
            n_bytes += len(record.value)
            if n_bytes >= MAX_REPLY_BYTES:
                break
        return RecordsReply(tuple(found))
