"""Urgent rounds of gossip are limited in number, and none is lost by that."""

import asyncio
import selectors

import pytest

from cassiaspread_daemon.gateway._urgent_gossip import UrgentGossip

INTERVAL_S = 0.2


class Clock(selectors.SelectSelector):
    """Passes the time for which an event loop would wait."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        self.now_s += timeout or 0.0
        return super().select(0.0)


def begin_times(requests, end_s):
    """Return when rounds begin that are asked for at (time, interval)."""
    clock = Clock()
    loop = asyncio.SelectorEventLoop(clock)
    loop.time = lambda: clock.now_s
    times_s = []
    gossip = UrgentGossip(lambda: times_s.append(clock.now_s))

    async def run():
        for time_s, interval_s in requests:
            await asyncio.sleep(time_s - clock.now_s)
            gossip.request(interval_s, clock.now_s)
        await asyncio.sleep(end_s - clock.now_s)

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(run())
    return times_s


def test_round_that_is_asked_for_too_early_is_put_off_and_not_dropped():
    times_s = begin_times([(0.0, INTERVAL_S), (0.05, INTERVAL_S)], 1.0)
    assert times_s == pytest.approx([0.0, INTERVAL_S])


def test_many_that_ask_for_rounds_get_no_more_than_one_an_interval():
    asked = [(0.01 * n, INTERVAL_S) for n in range(100)]
    times_s = begin_times(asked, 2.0)
    assert times_s == pytest.approx([0.0, 0.2, 0.4, 0.6, 0.8, 1.0])


def test_what_may_be_told_sooner_does_not_wait_for_what_may_not():
    times_s = begin_times([(0.0, 1.0), (0.05, 1.0), (0.1, INTERVAL_S)], 3.0)
    assert times_s == pytest.approx([0.0, INTERVAL_S])
    times_s = begin_times([(0.0, 1.0), (0.05, INTERVAL_S), (0.1, 1.0)], 3.0)
    assert times_s == pytest.approx([0.0, INTERVAL_S])


def test_round_after_a_pause_begins_at_once():
    times_s = begin_times([(0.0, INTERVAL_S), (0.1, INTERVAL_S), (0.5, INTERVAL_S)], 1)
    assert times_s == pytest.approx([0.0, INTERVAL_S, 0.5])
