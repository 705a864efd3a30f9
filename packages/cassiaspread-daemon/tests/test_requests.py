"""Counting of requests in progress."""

import asyncio

from cassiaspread_daemon._requests import RequestCounter

IDLE_S = 0.05


def test_wait_includes_requests_that_start_while_waiting():
    async def run():
        counter = RequestCounter()
        counter.begin()
        waiting = asyncio.create_task(counter.wait_idle(IDLE_S))
        await asyncio.sleep(2 * IDLE_S)
        counter.end()
        await asyncio.sleep(0)
        counter.begin()
        await asyncio.sleep(3 * IDLE_S)
        was_done = waiting.done()
        counter.end()
        await waiting
        return was_done, counter.n_requests

    assert asyncio.run(run()) == (False, 0)
