"""Search for another chain while a stream waits for a silent engine."""

import asyncio
from collections.abc import Iterable
from types import TracebackType
from typing import Self

from cassiaspread_core.base import Refusal, TargetId
from cassiaspread_daemon.gateway._capacity_queue import CapacityQueue
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._job import Job, now


class ChainSearch:
    """Waits for room on another chain; a context manager.

    The stream stays on its own chain until one is taken.

    :param capacity_queue: selects chains.
    :param dispatcher: releases a chain that is not taken.
    """

    def __init__(self, capacity_queue: CapacityQueue, dispatcher: Dispatcher) -> None:
        self._capacity_queue = capacity_queue
        self._dispatcher = dispatcher
        self._task: asyncio.Task[Assignment] | None = None
        self._avoid: frozenset[TargetId] = frozenset()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    @property
    def tasks(self) -> set[asyncio.Task[Assignment]]:
        """What to wait for: the search, if one is in progress."""
        return set() if self._task is None else {self._task}

    def start(
        self, job: Job, avoid: Iterable[TargetId], defer: Iterable[TargetId] = ()
    ) -> None:
        """Search unless such a search is in progress.

        :param job: the request.
        :param avoid: targets to exclude.
        :param defer: targets to use only if no other healthy ones have capacity.
        """
        if self._avoid != frozenset(avoid):
            self.stop()
            self._avoid = frozenset(avoid)
        if self._task is None:
            self._task = asyncio.create_task(
                self._capacity_queue.assign(job, avoid, job.remaining_s(now()), defer)
            )

    def stop(self) -> None:
        """End the search and give back what it has found."""
        found = self.take()
        if found is not None:
            self._dispatcher.release(found, is_end=False)
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def take(self) -> Assignment | None:
        """Return the chain that was found, if any; its owner has to release it."""
        task = self._task
        if task is None or not task.done():
            return None
        self._task = None
        try:
            return task.result()
        except Refusal:
            # The queue has logged it; the stream goes on waiting for its engine.
            return None
