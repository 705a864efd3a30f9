"""Counter of the requests in progress, whose end a leaving daemon awaits."""

import asyncio


class RequestCounter:
    """Counts the requests in progress of one daemon.

    >>> counter = RequestCounter()
    >>> counter.begin()
    >>> counter.n_requests
    1
    >>> counter.end()
    >>> counter.n_requests
    0
    """

    def __init__(self) -> None:
        self._n_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._started = asyncio.Event()

    @property
    def n_requests(self) -> int:
        """Number of requests in progress."""
        return self._n_requests

    def begin(self) -> None:
        """Count a request as started."""
        self._n_requests += 1
        self._idle.clear()
        self._started.set()

    def end(self) -> None:
        """Count a request as ended."""
        self._n_requests -= 1
        if not self._n_requests:
            self._idle.set()

    async def wait_idle(self, idle_s: float) -> None:
        """Wait until no request is in progress and none has started for some time.

        A request on a connection that is already open restarts the wait, so that such
        connections are served until they are idle.

        :param idle_s: time without a new request, in seconds.
        """
        while True:
            await self._idle.wait()
            self._started.clear()
            try:
                async with asyncio.timeout(idle_s):
                    await self._started.wait()
            except TimeoutError:
                if not self._n_requests:
                    return
