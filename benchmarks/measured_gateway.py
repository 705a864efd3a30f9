"""Runs one gateway and writes what its processor time was spent on.

Run by ``benchmarks.bench_deployment``. The first argument is the file that gets a line
of JSON each second; the others are those of ``cassiaspread_platform``. Each step of a
task is measured, so that a step costs about a microsecond more than in the product.
"""

import argparse
import asyncio
import os
import sys
import time
from collections import defaultdict
from collections.abc import Coroutine, Generator
from pathlib import Path
from typing import Any

import msgspec

from cassiaspread_daemon.reload_signal import ReloadSignal
from cassiaspread_platform.gateway import PlatformSettings, read_settings, serve

WRITE_INTERVAL_S = 1.0
# The longest matching prefix of a task's name decides.
GROUP_BY_PREFIX = {
    "gossip": "gossip",
    "reply-": "gossip",
    "close-idle": "gossip",
    "feed-": "feeds",
    "configuration-": "feeds",
    "engines-": "feeds",
    "suspects-": "quarantine",
    "expiry": "quarantine",
    "probe-": "quarantine",
    "duty": "duty",
    "placement": "duty",
    "log": "logs",
    "measurement": "measurement",
}
OTHER_TASKS = "requests"


class _MeasuredCoroutine(Coroutine[Any, Any, Any]):
    """Forwards to a coroutine and adds the processor time of its steps to a group."""

    def __init__(self, coroutine: Any, seconds: dict[str, float], group: str) -> None:
        self._coroutine = coroutine
        self._seconds = seconds
        self._group = group

    def send(self, value: Any) -> Any:
        started_s = time.thread_time()
        try:
            return self._coroutine.send(value)
        finally:
            self._seconds[self._group] += time.thread_time() - started_s

    def throw(self, *error: Any) -> Any:
        started_s = time.thread_time()
        try:
            return self._coroutine.throw(*error)
        finally:
            self._seconds[self._group] += time.thread_time() - started_s

    def close(self) -> None:
        self._coroutine.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        return self._coroutine.__await__()


def _group_of(coroutine: Any) -> str:
    frame = getattr(coroutine, "cr_frame", None)
    name = frame.f_locals.get("name", "") if frame else ""
    if getattr(coroutine, "__name__", "") == "write_measurement":
        name = "measurement"
    for prefix, group in GROUP_BY_PREFIX.items():
        if str(name).startswith(prefix):
            return group
    return OTHER_TASKS


async def _serve(
    path: Path, settings: PlatformSettings, reload_signal: ReloadSignal
) -> None:
    started_s = time.process_time()
    seconds: dict[str, float] = defaultdict(float)

    def make_task(
        loop: asyncio.AbstractEventLoop, coroutine: Any, **options: Any
    ) -> asyncio.Task[Any]:
        measured = _MeasuredCoroutine(coroutine, seconds, _group_of(coroutine))
        return asyncio.Task(measured, loop=loop, **options)

    async def write_measurement() -> None:
        with path.open("a", buffering=1) as file:
            while True:
                line = {
                    "time_s": time.monotonic(),
                    "start_s": started_s,
                    "process_s": time.process_time(),
                    "main_thread_s": time.thread_time(),
                    **seconds,
                }
                file.write(msgspec.json.encode(line).decode() + "\n")
                await asyncio.sleep(WRITE_INTERVAL_S)

    asyncio.get_running_loop().set_task_factory(make_task)
    task = asyncio.create_task(write_measurement())
    await serve(settings, reload_signal)
    task.cancel()


def main() -> None:
    """Serve until the process receives a signal to stop."""
    reload_signal = ReloadSignal()
    reload_signal.hold()
    path = Path(sys.argv.pop(1))
    parser = argparse.ArgumentParser()
    parser.add_argument("--metrics-port", type=int)
    arguments = parser.parse_args()
    settings = read_settings(os.environ, arguments.metrics_port)
    asyncio.run(_serve(path, settings, reload_signal))


if __name__ == "__main__":
    main()
