"""Event rate over a sliding window."""

from collections import deque

# Length of the window, in seconds.
RATE_WINDOW_S = 2.0


class EventRate:
    """Counts events within the last ``RATE_WINDOW_S`` seconds.

    >>> rate = EventRate()
    >>> rate.record(1.0)
    >>> rate.record(1.5)
    >>> rate.per_s(2.0), rate.count(3.2)
    (1.0, 1)
    """

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def record(self, now_s: float) -> None:
        """Record an event.

        :param now_s: current time, in seconds.
        """
        self._times.append(now_s)

    def count(self, now_s: float) -> int:
        """Return the number of events within the window.

        :param now_s: current time, in seconds.
        """
        while self._times and self._times[0] < now_s - RATE_WINDOW_S:
            self._times.popleft()
        return len(self._times)

    def per_s(self, now_s: float) -> float:
        """Return the mean number of events per second within the window.

        :param now_s: current time, in seconds.
        """
        return self.count(now_s) / RATE_WINDOW_S
