"""Second start of a stream on another chain, beside a silent first one.

The attempt whose next event comes first goes on, and the other one ends.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

from cassiaspread_core.base import Refusal
from cassiaspread_daemon.gateway._stalls import SilentEngine


class AttemptResult(Enum):
    """Result of one attempt.

    COMPLETE: the caller has the complete answer.
    NOT_RUN: the chain guarantees that the request did not run.
    BROKEN: the connection ended, or the stream left its engine.
    FAILED: the chain answered with a failure.
    """

    COMPLETE = "whole"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    FAILED = "failed"


class Turn:
    """Permission of one attempt to write to the caller.

    :param is_granted: whether it is granted from the beginning.
    """

    def __init__(self, is_granted: bool) -> None:
        self._requested: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._granted = asyncio.Event()
        if is_granted:
            self.grant()

    @property
    def is_granted(self) -> bool:
        """Whether the attempt may write."""
        return self._granted.is_set()

    @property
    def requested(self) -> asyncio.Future[None]:
        """Done once the attempt has an event for the caller."""
        return self._requested

    def grant(self) -> None:
        """Let the attempt write."""
        self._granted.set()

    async def take(self) -> None:
        """Wait for the permission."""
        if not self._requested.done():
            self._requested.set_result(None)
        await self._granted.wait()


class SecondStart:
    """An attempt beside a silent one; it owns the task of the attempt.

    :param silent: the silent engine.
    :param run: makes the attempt.
    """

    def __init__(
        self,
        silent: SilentEngine,
        run: Callable[[Turn], Awaitable[AttemptResult]],
    ) -> None:
        self.silent = silent
        self._turn = Turn(is_granted=False)
        self._task = asyncio.ensure_future(run(self._turn))

    @property
    def has_event(self) -> bool:
        """Whether the attempt has an event for the caller."""
        return self._turn.requested.done() and not self._task.done()

    @property
    def has_ended(self) -> bool:
        """Whether the attempt ended before its turn."""
        return self._task.done()

    @property
    def futures(self) -> set[asyncio.Future[Any]]:
        """What to wait for: its first event, or its end."""
        return {self._turn.requested, self._task}

    async def proceed(self) -> AttemptResult:
        """Let the attempt write to the caller and wait for its end.

        :raises Refusal: the deadline has passed.
        """
        self._turn.grant()
        return await self._task

    async def stop(self) -> AttemptResult:
        """End the attempt.

        :returns: its result; ``BROKEN`` if it was in progress.
        """
        # It begins first if it has not yet, so that it releases what it owns.
        asyncio.get_running_loop().call_soon(self._task.cancel)
        await asyncio.wait({self._task})
        if self._task.cancelled():
            return AttemptResult.BROKEN
        error = self._task.exception()
        if error is None:
            return self._task.result()
        if isinstance(error, Refusal):
            return AttemptResult.BROKEN
        raise error
