"""Limit on the retries of all daemons within a sliding window.

When an engine with many streams is lost, a few daemons have to resume all of them on
other engines within a second, so that retries are allowed in bursts. Callers that
repeat requests too often must not multiply the load on the engines, so that the number
of retries in any window is bounded.
"""

from collections import deque
from typing import NamedTuple

# Fraction of the allowed retries that the daemons use together. The margin keeps the
# bound although targets count retries at other times than the daemons.
USED_RATIO = 0.8
# Fraction of its share of the slack that a daemon uses within a window after its start.
# The process that it replaces may have used its share; together with USED_RATIO the
# bound holds even if all daemons are restarted within one window.
START_RATIO = 0.25
# Fraction of its free retries that a daemon lends at once.
LENT_RATIO = 0.5


class RetryUsage(NamedTuple):
    """Counts of a window at one moment.

    :param n_requests: requests in the window.
    :param n_retries: retries in the window.
    :param n_daemons: daemons that share the slack.
    """

    n_requests: int
    n_retries: int
    n_daemons: int


class RetryWindow:
    """Counts the requests and retries of a service at one daemon.

    :param ratio: number of retries allowed for each request in the window.
    :param slack: number of additional retries allowed in the window, over all daemons.
    :param window_s: length of the window in seconds.
    :param started_s: when the daemon started, in seconds.

    >>> window = RetryWindow(ratio=0.2, slack=10.0, window_s=10.0)
    >>> [window.try_acquire(now_s=1.0, n_daemons=4) for _ in range(3)]
    [True, True, False]
    >>> window.try_acquire(now_s=12.0, n_daemons=4)
    True
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        started_s: float = float("-inf"),
    ) -> None:
        self._started_s = started_s
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a request that a caller sent.

        :param now_s: current time, in seconds.
        """
        self._remove_expired(now_s)
        self._requests.append(now_s)

    def try_acquire(self, now_s: float, n_daemons: int) -> bool:
        """Take one retry if the limit allows it.

        :param now_s: current time, in seconds.
        :param n_daemons: number of daemons that share the slack.
        :returns: whether the retry is allowed.
        """
        if self._n_free(now_s, n_daemons) < 1:
            return False
        self._retries.append(now_s)
        return True

    def lend(self, n_asked: int, now_s: float, n_daemons: int) -> int:
        """Take retries for another daemon; they count as this one's.

        :param n_asked: number of retries asked.
        :param now_s: current time, in seconds.
        :param n_daemons: number of daemons that share the slack.
        :returns: number of retries lent.
        """
        n_free = self._n_free(now_s, n_daemons)
        n_lent = max(0, min(n_asked, int(n_free * LENT_RATIO)))
        self._retries.extend([now_s] * n_lent)
        return n_lent

    def _n_free(self, now_s: float, n_daemons: int) -> float:
        self._remove_expired(now_s)
        share = self._slack / max(1, n_daemons)
        if now_s < self._started_s + self._window_s:
            share *= START_RATIO
        allowed = self._ratio * len(self._requests) + share
        return USED_RATIO * allowed - len(self._retries)

    def usage(self, now_s: float, n_daemons: int) -> RetryUsage:
        """Return the counts that a decision is based on.

        :param now_s: current time, in seconds.
        :param n_daemons: number of daemons that share the slack.
        """
        self._remove_expired(now_s)
        return RetryUsage(len(self._requests), len(self._retries), n_daemons)

    def _remove_expired(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
