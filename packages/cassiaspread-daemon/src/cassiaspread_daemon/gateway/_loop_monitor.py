"""Record of the times in which the event loop ran nothing that was due."""

import asyncio
import time
from collections.abc import Callable

from cassiaspread_daemon.gateway._decision_log import DecisionLog

CHECK_INTERVAL_S = 0.1
# Shorter delays are only counted, in seconds.
MIN_LOGGED_DELAY_S = 0.1
# Steps of the loop after which a signal that was sent before the first of them has been
# handled: one finds it, the next one calls its handler.
N_SIGNAL_STEPS = 3


class LoopMonitor:
    """Measures how late a timer runs.

    The processor time used meanwhile tells a loop that was busy from a process that was
    paused or had no processor.

    :param log: receives a line for each long delay.
    :param record_delay: called with each delay, in seconds.
    """

    def __init__(self, log: DecisionLog, record_delay: Callable[[float], None]) -> None:
        self._log = log
        self._record_delay = record_delay
        self._signals_handled_s = time.monotonic()

    @property
    def signals_handled_s(self) -> float:
        """Time before which no signal was sent that has not been handled yet.

        A signal may be handled long after it was sent, if the loop was busy or the
        process was paused. In seconds, on the monotonic clock.
        """
        return self._signals_handled_s

    def check(self, due_s: float, now_s: float, busy_s: float) -> None:
        """Record one run of the timer.

        :param due_s: when the timer was due, in seconds.
        :param now_s: current time on the same clock, in seconds.
        :param busy_s: processor time of the loop's thread since the last run, in
            seconds.
        """
        delay_s = max(0.0, now_s - due_s)
        self._record_delay(delay_s)
        if delay_s >= MIN_LOGGED_DELAY_S:
            self._log.record(
                "loop.delayed",
                delay_ms=round(delay_s * 1000),
                busy_ms=round(busy_s * 1000),
            )

    async def run(self) -> None:
        """Measure at regular intervals."""
        busy_s = time.thread_time()
        last_s = time.monotonic()
        while True:
            due_s = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            busy_before_s, busy_s = busy_s, time.thread_time()
            now_s = time.monotonic()
            self.check(due_s, now_s, busy_s - busy_before_s)
            for _ in range(N_SIGNAL_STEPS):
                await asyncio.sleep(0)
            # After a pause of the process, another thread may take the signal and wait
            # for a processor, while the loop runs already. It has one interval for it.
            self._signals_handled_s, last_s = last_s, now_s
