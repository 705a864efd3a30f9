"""A second start writes only in its turn, and its end is counted."""

import asyncio

import pytest

from cassiaspread_core.base import Refusal
from cassiaspread_daemon._events import EventBuffer
from cassiaspread_daemon.gateway._second_start import (
    AttemptResult,
    SecondStart,
    Turn,
)


def test_second_start_waits_with_its_first_event_for_its_turn():
    written = []

    async def attempt(turn):
        await turn.take()
        written.append("event")
        return AttemptResult.COMPLETE

    async def run():
        second = SecondStart(None, attempt)
        assert not second.has_event
        await asyncio.wait(second.futures, return_when=asyncio.FIRST_COMPLETED)
        assert second.has_event
        assert not written
        assert await second.proceed() is AttemptResult.COMPLETE

    asyncio.run(run())
    assert written == ["event"]


@pytest.mark.parametrize("result", list(AttemptResult))
def test_second_start_that_ended_before_its_turn_keeps_its_result(result):
    async def attempt(turn):
        return result

    async def run():
        second = SecondStart(None, attempt)
        await asyncio.wait(second.futures, return_when=asyncio.FIRST_COMPLETED)
        assert second.has_ended
        assert not second.has_event
        return await second.stop()

    assert asyncio.run(run()) is result


def test_stopped_second_start_may_have_run_and_releases_its_connection():
    released = []

    async def attempt(turn):
        try:
            await turn.take()
        finally:
            released.append(True)

    async def run():
        second = SecondStart(None, attempt)
        await asyncio.sleep(0)
        return await second.stop()

    assert asyncio.run(run()) is AttemptResult.BROKEN
    assert released == [True]


def test_second_start_that_is_stopped_at_once_releases_its_chain():
    # The code of a task that is cancelled before it has begun does not run at all.
    released = []

    async def attempt(turn):
        try:
            await turn.take()
        finally:
            released.append(True)

    async def run():
        return await SecondStart(None, attempt).stop()

    assert asyncio.run(run()) is AttemptResult.BROKEN
    assert released == [True]


def test_second_start_at_its_deadline_counts_as_run():
    async def attempt(turn):
        raise Refusal(504, "timeout", "No answer came in time.")

    async def run():
        second = SecondStart(None, attempt)
        await asyncio.wait(second.futures, return_when=asyncio.FIRST_COMPLETED)
        return await second.stop()

    assert asyncio.run(run()) is AttemptResult.BROKEN


def test_turn_that_is_granted_does_not_wait():
    async def run():
        await asyncio.wait_for(Turn(is_granted=True).take(), 1.0)

    asyncio.run(run())


def test_fork_of_a_stream_begins_after_its_last_event():
    events = EventBuffer("3")
    events.feed(b"id: 4\ndata: a\n\nid: 5\nda")
    fork = events.fork()
    assert (fork.last_id, fork.n_events, fork.is_inside_event) == ("4", 1, False)
    fork.feed(b"id: 5\ndata: b\n\n")
    assert (events.last_id, fork.last_id) == ("4", "5")
