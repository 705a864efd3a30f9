"""When a pause between two events of a stream is unusual for this stream.

Load: an engine of a chain ends under dozens of streams whose events came every few
hundredths of a second. A stream that looks for another chain only after the longest
pause that its route allows is late in any case. One that does so after a pause which is
unusual for it has the rest of the allowed pause left for the first event of the other
chain.
"""

from collections import deque

# The latest intervals, which show the load at present.
N_INTERVALS = 16
# Fewer intervals do not show what is usual.
MIN_INTERVALS = 4
# A pause is unusual from this multiple of the longest of these intervals on.
UNUSUAL_RATIO = 2.0
# Bounds of the pause after which another chain may begin, as fractions of the longest
# pause allowed. What is left has to suffice for a connection and for the prompt.
MIN_PAUSE_RATIO = 0.3
MAX_PAUSE_RATIO = 0.6


class EventIntervals:
    """Latest intervals between the events of one attempt.

    :param max_pause_s: longest pause that the route allows, in seconds.

    >>> intervals = EventIntervals(max_pause_s=0.25)
    >>> for n in range(6):
    ...     intervals.record(now_s=0.05 * n)
    >>> intervals.unusual_pause_s()
    0.1
    """

    def __init__(self, max_pause_s: float) -> None:
        self._max_pause_s = max_pause_s
        self._last_s: float | None = None
        self._intervals_s: deque[float] = deque(maxlen=N_INTERVALS)

    @property
    def longest_s(self) -> float:
        """Longest of the latest intervals in seconds; 0 if there is none."""
        return max(self._intervals_s, default=0.0)

    def record(self, now_s: float) -> None:
        """Record that events arrived.

        :param now_s: current time, in seconds.
        """
        if self._last_s is not None:
            self._intervals_s.append(now_s - self._last_s)
        self._last_s = now_s

    def unusual_pause_s(self) -> float | None:
        """Return the pause after which another chain may begin, in seconds.

        :returns: ``None`` if too little is known, or if too little of the allowed pause
            would be left.
        """
        if len(self._intervals_s) < MIN_INTERVALS:
            return None
        pause_s = max(
            MIN_PAUSE_RATIO * self._max_pause_s, UNUSUAL_RATIO * self.longest_s
        )
        if pause_s > MAX_PAUSE_RATIO * self._max_pause_s:
            return None
        return round(pause_s, 6)
