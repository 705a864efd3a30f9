"""Lines on an event loop that ran nothing for a time."""

import asyncio
import os
import signal
import time

import pytest

from cassiaspread_daemon.gateway._loop_monitor import (
    CHECK_INTERVAL_S,
    MIN_LOGGED_DELAY_S,
    LoopMonitor,
)

BLOCKED_S = 0.5


class RecordingLog:
    def __init__(self):
        self.rows = []

    def record(self, event, **fields):
        assert event == "loop.delayed"
        self.rows.append(fields)


def spin(duration_s):
    end_s = time.thread_time() + duration_s
    while time.thread_time() < end_s:
        pass


@pytest.mark.parametrize(("block", "is_busy"), [(spin, True), (time.sleep, False)])
def test_line_tells_a_busy_loop_from_a_paused_process(block, is_busy):
    async def run():
        log, delays_s = RecordingLog(), []
        monitor = asyncio.create_task(LoopMonitor(log, delays_s.append).run())
        await asyncio.sleep(CHECK_INTERVAL_S / 2)
        block(BLOCKED_S)
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        monitor.cancel()
        return log.rows, delays_s

    rows, delays_s = asyncio.run(run())
    row = max(rows, key=lambda row: row["delay_ms"])
    assert row["delay_ms"] >= (BLOCKED_S - CHECK_INTERVAL_S) * 1000
    assert max(delays_s) >= BLOCKED_S - CHECK_INTERVAL_S
    assert (row["busy_ms"] >= BLOCKED_S * 900) == is_busy


def test_short_delay_is_counted_without_a_line():
    log, delays_s = RecordingLog(), []
    monitor = LoopMonitor(log, delays_s.append)
    monitor.check(5.0, 5.0 + MIN_LOGGED_DELAY_S / 2, 0.0)
    monitor.check(5.0, 4.9, 0.0)
    assert log.rows == []
    assert delays_s == [pytest.approx(MIN_LOGGED_DELAY_S / 2), 0.0]


@pytest.mark.parametrize("begin_s", [n * CHECK_INTERVAL_S / 5 for n in range(6)])
@pytest.mark.parametrize("blocked_s", [0.0, 0.15, BLOCKED_S])
def test_signal_was_sent_after_the_time_up_to_which_all_are_handled(begin_s, blocked_s):
    # Counted from when a signal is handled, bounds on its effects are late.
    async def run():
        loop, monitor = asyncio.get_running_loop(), LoopMonitor(RecordingLog(), float)
        handled = loop.create_future()
        loop.add_signal_handler(
            signal.SIGUSR1, lambda: handled.set_result(monitor.signals_handled_s)
        )
        first_s = monitor.signals_handled_s
        task = asyncio.create_task(monitor.run())
        while monitor.signals_handled_s == first_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
        await asyncio.sleep(begin_s)
        sent_s = time.monotonic()
        os.kill(os.getpid(), signal.SIGUSR1)
        # The monitor may be the first to run after a pause.
        time.sleep(blocked_s)
        bound_s = await handled
        task.cancel()
        loop.remove_signal_handler(signal.SIGUSR1)
        assert first_s < bound_s <= sent_s

    asyncio.run(run())


def test_signal_that_another_thread_delivers_late_was_sent_before_the_pause():
    # Guards against streams that are accepted in a planned stop and cut at its end.
    # After a pause the loop ran for 13 ms before the signal was handled, so that the
    # stop was counted from the end of the pause.
    async def run():
        loop, monitor = asyncio.get_running_loop(), LoopMonitor(RecordingLog(), float)
        handled = loop.create_future()
        loop.add_signal_handler(
            signal.SIGUSR1, lambda: handled.set_result(monitor.signals_handled_s)
        )
        task = asyncio.create_task(monitor.run())
        await asyncio.sleep(2.5 * CHECK_INTERVAL_S)
        sent_s = time.monotonic()
        time.sleep(BLOCKED_S)
        loop.call_later(CHECK_INTERVAL_S / 3, os.kill, os.getpid(), signal.SIGUSR1)
        bound_s = await handled
        task.cancel()
        loop.remove_signal_handler(signal.SIGUSR1)
        assert bound_s <= sent_s

    asyncio.run(run())
