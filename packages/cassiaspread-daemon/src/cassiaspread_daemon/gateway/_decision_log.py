"""Structured lines on standard output: decisions and changes of belief.

Lines are collected and written without ever waiting: a reader that stopped reading
loses lines, not time. Each kind of line has a budget; what is left out is counted in
a line of its own.
"""

import asyncio
import os
import sys
import time
from collections.abc import Callable

import msgspec

FLUSH_INTERVAL_S = 0.1
MAX_BUFFERED_BYTES = 256 * 1024
# Lines of one kind that may come at once, and in a second after that.
BURST_LINES = 200
LINES_PER_S = 100.0


class _Budget(msgspec.Struct):
    saved: float
    refilled_s: float
    n_left_out: int = 0

    def take(self, now_s: float) -> bool:
        refill = (now_s - self.refilled_s) * LINES_PER_S
        self.saved = min(BURST_LINES, self.saved + refill)
        self.refilled_s = now_s
        if self.saved < 1.0:
            self.n_left_out += 1
            return False
        self.saved -= 1.0
        return True


class DecisionLog:
    """Writes one JSON object a line.

    :param process: name of this process, a part of each line.
    :param descriptor: open file descriptor that is written to.
    :param clock: returns the time of day in seconds.
    """

    def __init__(
        self,
        process: str,
        descriptor: int | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._process = process
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._clock = clock
        self._budgets: dict[str, _Budget] = {}
        self._buffer = bytearray()
        self._encoder = msgspec.json.Encoder(enc_hook=str, decimal_format="number")
        self.n_lost = 0
        self._n_lost_told = 0
        os.set_blocking(self._descriptor, False)

    def record(self, event: str, **fields: object) -> None:
        """Add one line unless its kind's budget is used up.

        :param event: kind of the line, ``subject.verb``.
        :param fields: what was decided and from which inputs.
        """
        now_s = time.monotonic()
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = _Budget(BURST_LINES, now_s)
        if budget.take(now_s):
            self._add(event, fields)

    def flush(self) -> None:
        """Write what is buffered, as far as the descriptor takes it."""
        for event, budget in self._budgets.items():
            if budget.n_left_out and budget.saved >= 1.0:
                self._add("log.left_out", {"of": event, "n_lines": budget.n_left_out})
                budget.n_left_out = 0
        if self.n_lost > self._n_lost_told:
            n_lost = self.n_lost
            self._add("log.lost", {"n_lines": n_lost - self._n_lost_told})
            self._n_lost_told = n_lost
        if not self._buffer:
            return
        try:
            n_written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            self.n_lost += self._buffer.count(b"\n")
            self._buffer.clear()
            return
        del self._buffer[:n_written]

    async def run(self) -> None:
        """Write at intervals."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def _add(self, event: str, fields: dict[str, object]) -> None:
        line = {"time_s": round(self._clock(), 4), "process": self._process}
        line["event"] = event
        line.update(fields)
        data = self._encoder.encode(line)
        if len(self._buffer) + len(data) >= MAX_BUFFERED_BYTES:
            self.n_lost += 1
            return
        self._buffer += data
        self._buffer += b"\n"
