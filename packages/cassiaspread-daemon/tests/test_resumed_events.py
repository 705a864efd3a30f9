"""Events of an engine that goes on where another one stopped."""

import pytest

from cassiaspread_daemon._events import MAX_ID_DIGITS, EventBuffer, MisplacedEvents
from cassiaspread_daemon._exchange import AnswerTooLarge


def event(event_id, end="\n"):
    return f"id: {event_id}{end}data: t{event_id}{end}{end}".encode()


def buffer_after(*ids):
    events = EventBuffer()
    events.feed(b"".join(map(event, ids)))
    return events


@pytest.mark.parametrize("end", ["\n", "\r\n"])
@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_continuation_passes_however_its_bytes_are_split(size, end):
    events = buffer_after(1, 2).fork()
    data = b"".join(event(n, end) for n in range(3, 40))
    blocks = [data[at : at + size] for at in range(0, len(data), size)]
    assert b"".join(map(events.feed, blocks)) == data
    assert (events.last_id, events.n_events, events.next_id) == ("39", 39, "40")


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_events_behind_a_misplaced_one_are_never_returned(size):
    events = buffer_after(1, 2).fork()
    data = event(3) + event(5) + event(6)
    returned = []

    def feed():
        for at in range(0, len(data), size):
            returned.append(events.feed(data[at : at + size]))

    with pytest.raises(MisplacedEvents, match="4 follows") as raised:
        feed()
    assert (raised.value.expected, raised.value.found) == ("4", ["5"])
    assert b"".join(returned) in (b"", event(3))
    # The next attempt resumes after what was returned.
    n_returned = b"".join(returned).count(b"id:")
    assert (events.next_id, events.n_events) == (str(3 + n_returned), 2 + n_returned)


@pytest.mark.parametrize(
    "first", [b"retry: 9\n\n", b": ping\n\n", b"event: x\ndata: y\n\n", b"\n\n"]
)
def test_events_of_a_first_engine_pass_unchanged(first):
    events = EventBuffer()
    data = first + event(7) + event(7) + event("x") + event(1) + b"data: z\n\n"
    assert events.feed(data) == data
    assert not events.may_resume


@pytest.mark.parametrize("first", [b"", b": ping\n\n", b"\n\n"])
def test_stream_without_an_event_may_begin_anywhere(first):
    events = EventBuffer()
    events.feed(first)
    assert events.may_resume
    assert events.fork().feed(event(5)) == event(5)


@pytest.mark.parametrize("field", [b"retry: 9\n\n", b"event: x\ndata: y\n\n"])
def test_event_without_id_hides_the_place_until_the_next_id(field):
    events = buffer_after(1, 2)
    events.feed(field)
    assert not events.may_resume
    events.feed(event(3))
    assert events.next_id == "4"


@pytest.mark.parametrize("ids", [(1, 3), (10, 20, 30), (2, 1), (1, 1), (1, "x", 2)])
def test_stream_that_is_not_numbered_one_by_one_does_not_resume(ids):
    assert not buffer_after(*ids).may_resume


@pytest.mark.parametrize(
    "last_id", ["x", "", "-1", "04", "\u0664", "1.0", "9" * (MAX_ID_DIGITS + 1)]
)
def test_last_id_of_a_caller_that_is_no_number_proves_nothing(last_id):
    events = EventBuffer(last_id, is_continuation=True)
    assert events.feed(event(1)) == event(1)


def test_largest_id_is_followed_by_one_with_another_digit():
    events = EventBuffer("9" * MAX_ID_DIGITS, is_continuation=True)
    following = event(10**MAX_ID_DIGITS)
    assert events.feed(following) == following
    with pytest.raises(MisplacedEvents):
        events.fork().feed(following)


@pytest.mark.parametrize(
    "inside", [b"\revent: error\rdata: HTTP/1.1 500\r", b"\rid: 9\r"]
)
def test_event_within_an_event_is_no_continuation(inside):
    # Readers of events take a lone carriage return as the end of a line.
    events = EventBuffer("3", is_continuation=True)
    with pytest.raises(MisplacedEvents):
        events.feed(b"id: 4\rdata: own\r" + inside + b"\n\n")


def test_more_events_than_allowed_are_not_read():
    events = EventBuffer(max_events=3)
    assert events.feed(event(1) + event(2)) == event(1) + event(2)
    with pytest.raises(AnswerTooLarge):
        events.fork().feed(event(3) * 10_000)
    assert events.fork().feed(event(3)) == event(3)
