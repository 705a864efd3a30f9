"""Supervision of background tasks."""

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

from absl import logging

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
# A task that ran for longer than this is restarted with the minimum delay.
STABLE_RUN_S = 30.0


class Supervisor:
    """Runs tasks, restarts those that fail and cancels all of them on exit.

    A supervisor may have child supervisors. Leaving the context stops the children
    first, in the reverse order of their creation.

    :param name: name for log lines.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._children: list[Supervisor] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stop()

    def add_child(self, name: str) -> "Supervisor":
        """Create a child supervisor, which stops before this one.

        :param name: name of the child.
        """
        child = Supervisor(f"{self._name}/{name}")
        self._children.append(child)
        return child

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task that is restarted whenever it fails.

        :param name: name of the task, unique in this supervisor.
        :param run: the task; it is not restarted once it returns.
        """
        if name in self._tasks and not self._tasks[name].done():
            raise ValueError(f"task {name} is running")
        self._tasks[name] = asyncio.create_task(self._run_with_restarts(name, run))

    def start_once(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task unless it is running; a failure is logged and ends it.

        :param name: name of the task, unique in this supervisor.
        :param run: the task.
        """
        if name not in self._tasks:
            task = asyncio.create_task(self._run_once(name, run))
            self._tasks[name] = task
            task.add_done_callback(lambda _: self._tasks.pop(name, None))

    async def cancel(self, name: str) -> None:
        """Cancel a task and wait for its end.

        :param name: name of the task; an unknown name is ignored.
        """
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
            # Does not raise what the task raises, but passes on a cancellation of the
            # caller.
            await asyncio.wait([task])

    async def stop(self) -> None:
        """Stop all children, then cancel all tasks."""
        for child in reversed(self._children):
            await child.stop()
        for name in reversed(list(self._tasks)):
            await self.cancel(name)

    async def _run_once(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        try:
            await run()
        except Exception:
            logging.exception("%s/%s failed", self._name, name)

    async def _run_with_restarts(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        loop = asyncio.get_running_loop()
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_s = loop.time()
            try:
                await run()
                return
            except Exception:
                logging.exception("%s/%s failed; restarting", self._name, name)
            if loop.time() - started_s > STABLE_RUN_S:
                delay_s = MIN_RESTART_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)
