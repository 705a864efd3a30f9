"""Records of the platform's append-only log, as it serves them."""

import msgspec

from cassiaspread_core.base._ids import Offset


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream.

    :param offset: position in the stream.
    :param time_s: when it was appended, by the log's clock.
    :param value: the record's bytes.
    """

    offset: Offset
    time_s: float
    value: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    :param earliest: offset of the earliest record that is kept.
    :param end: one past the last offset of the stream.
    :param records: the records read.
    """

    earliest: Offset
    end: Offset
    records: tuple[LogRecord, ...]
