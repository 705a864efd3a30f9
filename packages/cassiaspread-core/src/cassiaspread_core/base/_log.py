"""Records of the platform's append-only log, and the errors of its operations."""

from itertools import pairwise

import msgspec

from cassiaspread_core.base._decode import MalformedDocument, decode_json
from cassiaspread_core.base._errors import CassiaspreadError
from cassiaspread_core.base._ids import Offset

# Status of an answer to a read of records that have been removed.
TRUNCATED_STATUS = 410


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream.

    :param offset: position in the stream.
    :param time_s: time of the append by the clock of the log, in seconds.
    :param value: content of the record.
    """

    offset: Offset
    time_s: float
    value: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    :param earliest: offset of the earliest retained record.
    :param end: one past the last offset of the stream.
    :param records: records of the page.
    """

    earliest: Offset
    end: Offset
    records: tuple[LogRecord, ...]


def decode_page(data: bytes, start: Offset) -> LogPage:
    """Decode the answer to a read of a stream.

    :param data: the answer.
    :param start: offset of the first record that was requested.
    :raises MalformedDocument: the answer is no page, or its records do not follow each
        other from ``start`` to its end.
    """
    page = decode_json(data, LogPage)
    check_order(page.records, start)
    if page.records and page.records[-1].offset >= page.end:
        raise MalformedDocument(
            f"record {page.records[-1].offset} is past the end of its page, {page.end}"
        )
    return page


def decode_read(status: int, data: bytes, start: Offset) -> LogPage:
    """Decode what the log answered to a read of a stream.

    :param status: HTTP status code of the answer.
    :param data: its body.
    :param start: offset of the first record that was requested.
    :raises Truncated: records from ``start`` on have been removed.
    :raises LogUnavailable: the log returned no page, or one without any of the records
        that the stream has by its own account, from which no reader could go on.
    :raises MalformedDocument: the body is no page.
    """
    if status not in (200, TRUNCATED_STATUS):
        raise LogUnavailable(f"the log answered {status}")
    page = decode_page(data, start)
    if status == TRUNCATED_STATUS:
        if page.earliest <= start:
            raise LogUnavailable(
                f"offset {start} is refused as removed, but the earliest is "
                f"{page.earliest}"
            )
        raise Truncated(page.earliest)
    if not page.records and start < page.end:
        raise LogUnavailable(
            f"no record from offset {start} on, but the stream ends at {page.end}"
        )
    return page


def check_order(records: tuple[LogRecord, ...], start: Offset) -> None:
    """Check that records follow each other.

    :param records: the records.
    :param start: offset before which none of them may lie.
    :raises MalformedDocument: they do not.
    """
    offsets = [start - 1, *(record.offset for record in records)]
    if any(after <= before for before, after in pairwise(offsets)):
        raise MalformedDocument(f"records from offset {start} on are out of order")


class LogUnavailable(CassiaspreadError):
    """The log could not be read."""


class AppendNotSent(CassiaspreadError):
    """The append has not taken effect and never will."""


class AppendAmbiguous(CassiaspreadError):
    """The append may have taken effect, or may still take effect."""


class Truncated(CassiaspreadError):
    """The requested records have been removed by retention.

    :param earliest: offset of the earliest retained record.
    """

    def __init__(self, earliest: Offset) -> None:
        super().__init__(f"records before offset {earliest} are gone")
        self.earliest = earliest


class Restored(Truncated):
    """The log was restored from an older copy and has lost its latest records.

    :param before: era of the position that was read from.
    :param era: present era.
    """

    def __init__(self, before: int, era: int) -> None:
        super().__init__(Offset(0))
        self.args = (f"the log was restored: era {era}, {before} before",)
