"""Highest value of a count within a sliding window."""

from collections import deque


class PeakCount:
    """Remembers the highest recent value of a count that may be too low at times.

    :param window_s: length of the window in seconds.

    >>> peak = PeakCount(window_s=10.0)
    >>> peak.record(9, now_s=1.0), peak.record(3, now_s=5.0)
    (9, 9)
    >>> peak.record(3, now_s=11.5)
    3
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        # Decreasing values with their times.
        self._values: deque[tuple[int, float]] = deque()

    def record(self, value: int, now_s: float) -> int:
        """Record a value and return the highest one of the window.

        :param value: the value.
        :param now_s: current time, in seconds.
        """
        while self._values and self._values[-1][0] <= value:
            self._values.pop()
        self._values.append((value, now_s))
        while self._values[0][1] <= now_s - self._window_s:
            self._values.popleft()
        return self._values[0][0]
