"""Sharing of the result of one call among all that ask for it within a short time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

Result = TypeVar("Result")


class SharedCalls(Generic[Result]):
    """Makes at most one call for a key within a short time.

    :param call: makes the call for a key.
    :param lifetime_s: time from the start of a call for which its result is used, in
        seconds.
    """

    def __init__(
        self, call: Callable[[str], Awaitable[Result]], lifetime_s: float
    ) -> None:
        self._call = call
        self._lifetime_s = lifetime_s
        self._calls: dict[str, tuple[float, asyncio.Future[Result]]] = {}

    def __len__(self) -> int:
        return len(self._calls)

    async def result(self, key: str, now_s: float) -> Result:
        """Return the result of a recent call, or of a new one.

        :param key: key of the call.
        :param now_s: current time, in seconds.
        """
        self._calls = {
            k: (started_s, task)
            for k, (started_s, task) in self._calls.items()
            if now_s - started_s <= self._lifetime_s
        }
        if key not in self._calls:
            self._calls[key] = now_s, asyncio.ensure_future(self._call(key))
        return await asyncio.shield(self._calls[key][1])
