"""Inter-token time of a stream."""

# Tokens arrive in batches; shorter windows would measure the batching.
N_WINDOW_TOKENS = 8
MILLISECONDS_PER_SECOND = 1000


class InterTokenMeter:
    """Measures the fastest window of a stream, which queueing has delayed the least.

    >>> meter = InterTokenMeter()
    >>> for position in range(17):
    ...     meter.record(position, now_s=position * 0.01)
    >>> meter.min_ms
    10.0
    """

    def __init__(self) -> None:
        self._window_start = -1
        self._window_start_s = 0.0
        self._min_ms: float | None = None

    @property
    def min_ms(self) -> float | None:
        """Inter-token time in milliseconds, ``None`` before the first full window."""
        return self._min_ms

    def record(self, position: int, now_s: float) -> None:
        """Record the arrival of tokens.

        :param position: position of the latest token.
        :param now_s: current time, in seconds.
        """
        if self._window_start < 0:
            self._window_start, self._window_start_s = position, now_s
            return
        n_tokens = position - self._window_start
        if n_tokens < N_WINDOW_TOKENS:
            return
        interval_ms = (
            (now_s - self._window_start_s) / n_tokens * MILLISECONDS_PER_SECOND
        )
        interval_ms = round(interval_ms, 3)
        self._min_ms = min(interval_ms, self._min_ms or interval_ms)
        self._window_start, self._window_start_s = position, now_s
