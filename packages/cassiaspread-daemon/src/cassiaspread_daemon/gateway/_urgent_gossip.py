"""Rounds of gossip that do not wait for the next second, limited in number."""

import asyncio
from collections.abc import Callable


class UrgentGossip:
    """Begins rounds of gossip at once, or as soon as the interval between them allows.

    A round tells all that this daemon knows when it begins, so one round serves all
    that have asked for it. Whoever asks says how far it has to be from the last one.

    :param begin: begins a round.
    """

    def __init__(self, begin: Callable[[], None]) -> None:
        self._begin = begin
        self._begun_s = float("-inf")
        self._due_s = float("inf")
        self._timer: asyncio.TimerHandle | None = None

    def request(self, min_interval_s: float, now_s: float) -> None:
        """Ask for a round; one that would come too early is put off, not dropped.

        :param min_interval_s: minimum time since the last round, in seconds.
        :param now_s: current time on the clock of the event loop, in seconds.
        """
        due_s = max(now_s, self._begun_s + min_interval_s)
        if due_s >= self._due_s:
            return
        self._cancel()
        if due_s <= now_s:
            self._run(now_s)
            return
        self._due_s = due_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(due_s - now_s, lambda: self._run(loop.time()))

    def _run(self, now_s: float) -> None:
        self._cancel()
        self._begun_s = now_s
        self._begin()

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._due_s = None, float("inf")
