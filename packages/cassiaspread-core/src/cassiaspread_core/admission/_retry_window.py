"""Retries of one daemon within a sliding window that all daemons share.

Load pattern: an engine is lost with many streams on it, which all have to go on
elsewhere within a second, at a few daemons; and callers that repeat too often, whose
repeats must not multiply at the engines.
"""

from collections import deque

# Part of the shared retries that daemons use up together, so that counting at other
# moments than the targets does not exceed the bound.
USED_SHARE = 0.8


class RetryWindow:
    """Counts requests and retries of a service at one daemon.

    :param ratio: retries allowed for each request in the window.
    :param slack: retries allowed in the window beyond that, over all daemons.
    :param window_s: length of the window in seconds.

    >>> window = RetryWindow(ratio=0.2, slack=10.0, window_s=10.0)
    >>> [window.take(now_s=1.0, n_daemons=4) for _ in range(3)]
    [True, True, False]
    >>> window.take(now_s=12.0, n_daemons=4)
    True
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count a request that a caller sent.

        :param now_s: present time.
        """
        self._forget(now_s)
        self._requests.append(now_s)

    def take(self, now_s: float, n_daemons: int) -> bool:
        """Use up one retry.

        :param now_s: present time.
        :param n_daemons: daemons that share the slack.
        :returns: whether there was one.
        """
        self._forget(now_s)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, n_daemons)
        if len(self._retries) + 1 > USED_SHARE * allowed:
            return False
        self._retries.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
