"""Estimate of how long a request will run, from the latest runs of its kind."""

from collections import deque

# Number of runs from which the duration of the next one is estimated, and the share of
# them that took no longer than the estimate.
MAX_DURATIONS = 64
DURATION_QUANTILE = 0.95
MAX_KINDS = 1024


class RunDurations:
    """How long the latest runs of each kind of request took.

    >>> durations = RunDurations()
    >>> for duration_s in (0.2, 0.9, 0.3):
    ...     durations.record("book", duration_s)
    >>> durations.estimate_s("book"), durations.estimate_s("draft")
    (0.9, None)
    """

    def __init__(self) -> None:
        self._durations_s: dict[str, deque[float]] = {}

    def record(self, kind: str, duration_s: float) -> None:
        """Record a run that ended.

        :param kind: kind of the request.
        :param duration_s: time from its beginning to the end of its answer, in seconds.
        """
        durations_s = self._durations_s.get(kind)
        if durations_s is None:
            if len(self._durations_s) >= MAX_KINDS:
                del self._durations_s[next(iter(self._durations_s))]
            durations_s = self._durations_s[kind] = deque(maxlen=MAX_DURATIONS)
        durations_s.append(duration_s)

    def estimate_s(self, kind: str) -> float | None:
        """Return the duration that few runs exceed, in seconds.

        :param kind: kind of the request.
        :returns: ``None`` if no run was recorded.
        """
        durations_s = sorted(self._durations_s.get(kind, ()))
        if not durations_s:
            return None
        return durations_s[int(DURATION_QUANTILE * (len(durations_s) - 1) + 0.5)]
