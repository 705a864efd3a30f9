"""Answers of the log to reads, cut off or empty."""

import msgspec
import pytest

from cassiaspread_core.base import (
    LogPage,
    LogRecord,
    LogUnavailable,
    Offset,
    Truncated,
    decode_read,
)


def page(earliest, end, *offsets):
    records = tuple(LogRecord(Offset(n), 1.0, b"value") for n in offsets)
    return msgspec.json.encode(LogPage(Offset(earliest), Offset(end), records))


def test_page_that_is_cut_off_states_the_end_of_the_stream():
    assert decode_read(200, page(0, 9, 5, 6), Offset(5)).end == 9


def test_page_without_the_records_that_the_stream_has_is_an_outage():
    # Guards against readers that take such a page for the end of the stream, or ask for
    # it again without a pause.
    with pytest.raises(LogUnavailable, match="offset 5 on, but the stream ends at 9"):
        decode_read(200, page(0, 9), Offset(5))
    assert decode_read(200, page(0, 5), Offset(5)).records == ()


@pytest.mark.parametrize(("earliest", "error"), [(7, Truncated), (5, LogUnavailable)])
def test_removed_records(earliest, error):
    with pytest.raises(error):
        decode_read(410, page(earliest, 9), Offset(5))
