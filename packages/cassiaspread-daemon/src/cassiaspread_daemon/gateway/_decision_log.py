"""Structured log on standard output: decisions and changes of state.

Lines are buffered and written without blocking: if the reader stops reading, lines are
lost but requests are not delayed. Each kind of line has a rate limit; suppressed lines
are counted in a separate line.
"""

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Callable
from pathlib import Path

import msgspec

FLUSH_INTERVAL_S = 0.1
MAX_BUFFERED_BYTES = 256 * 1024
# Burst size of one kind of line, and its rate limit after that.
BURST_LINES = 200
LINES_PER_S = 100.0


class _Budget(msgspec.Struct):
    available: float
    refilled_s: float
    n_suppressed: int = 0

    def take(self, now_s: float) -> bool:
        refill = (now_s - self.refilled_s) * LINES_PER_S
        self.available = min(BURST_LINES, self.available + refill)
        self.refilled_s = now_s
        if self.available < 1.0:
            self.n_suppressed += 1
            return False
        self.available -= 1.0
        return True


class DecisionLog:
    """Writes one JSON object per line.

    :param process: name of this process, included in each line.
    :param descriptor: open file descriptor for the output; standard output by default.
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
        self._n_lost_reported = 0
        os.set_blocking(self._descriptor, False)

    def record(self, event: str, **fields: object) -> None:
        """Add one line unless its kind exceeds the rate limit.

        :param event: kind of the line, ``subject.verb``.
        :param fields: the decision and its inputs.
        """
        now_s = time.monotonic()
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = _Budget(BURST_LINES, now_s)
        if budget.take(now_s):
            self._add(event, fields)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        for event, budget in self._budgets.items():
            if budget.n_suppressed and budget.available >= 1.0:
                self._add("log.left_out", {"of": event, "n_lines": budget.n_suppressed})
                budget.n_suppressed = 0
        if self.n_lost > self._n_lost_reported:
            n_lost = self.n_lost
            self._add("log.lost", {"n_lines": n_lost - self._n_lost_reported})
            self._n_lost_reported = n_lost
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
        """Flush the buffer at regular intervals."""
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


def describe_error(error: BaseException) -> dict[str, object]:
    """Return the fields of a line on an unexpected error.

    :param error: the error; it was raised.
    """
    frames = traceback.extract_tb(error.__traceback__)
    return {
        "error": type(error).__name__,
        "reason": str(error),
        "frames": [f"{Path(f.filename).name}:{f.lineno} {f.name}" for f in frames],
    }
