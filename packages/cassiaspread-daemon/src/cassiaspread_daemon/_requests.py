"""Counts the requests in progress, so that a leaving daemon can wait for their end."""

import asyncio


class RequestCount:
    """Requests in progress of one daemon.

    >>> count = RequestCount()
    >>> count.begin()
    >>> count.n_requests
    1
    >>> count.end()
    >>> count.n_requests
    0
    """

    def __init__(self) -> None:
        self._n_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._begun = asyncio.Event()

    @property
    def n_requests(self) -> int:
        """How many requests are in progress."""
        return self._n_requests

    def begin(self) -> None:
        """Count a request in progress."""
        self._n_requests += 1
        self._idle.clear()
        self._begun.set()

    def end(self) -> None:
        """Count a request as ended."""
        self._n_requests -= 1
        if not self._n_requests:
            self._idle.set()

    async def wait_quiet(self, quiet_s: float) -> None:
        """Wait until nothing is in progress and nothing has begun for a while.

        A request that comes on a connection that is already open begins the wait
        again, so that such connections work until they are idle.

        :param quiet_s: how long nothing may begin, in seconds.
        """
        while True:
            await self._idle.wait()
            self._begun.clear()
            try:
                await asyncio.wait_for(self._begun.wait(), quiet_s)
            except TimeoutError:
                if not self._n_requests:
                    return
