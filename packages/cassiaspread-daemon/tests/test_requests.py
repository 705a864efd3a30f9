"""Counting of requests in progress."""

import asyncio

from cassiaspread_daemon._requests import RequestCount

QUIET_S = 0.05


def test_waits_for_the_last_request_and_for_those_that_come_meanwhile():
    async def run():
        count = RequestCount()
        count.begin()
        waiting = asyncio.create_task(count.wait_quiet(QUIET_S))
        await asyncio.sleep(2 * QUIET_S)
        count.end()
        await asyncio.sleep(0)
        count.begin()
        await asyncio.sleep(3 * QUIET_S)
        was_done = waiting.done()
        count.end()
        await waiting
        return was_done, count.n_requests

    assert asyncio.run(run()) == (False, 0)
