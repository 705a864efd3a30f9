"""Records of the platform's append-only log, and how access to it fails."""

import msgspec

from cassiaspread_core.base._errors import CassiaspreadError
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


class LogUnavailable(CassiaspreadError):
    """The log could not be read."""


class AppendNotSent(CassiaspreadError):
    """The append did not take effect and never will."""


class AppendAmbiguous(CassiaspreadError):
    """The append may have taken effect, or may still."""


class Truncated(CassiaspreadError):
    """Records were asked for that retention has removed.

    :param earliest: offset of the earliest record that is kept.
    """

    def __init__(self, earliest: Offset) -> None:
        super().__init__(f"records before offset {earliest} are gone")
        self.earliest = earliest
