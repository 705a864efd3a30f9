"""Inter-token time of a stream."""

# Tokens arrive in batches; shorter windows would measure the batching.
N_WINDOW_TOKENS = 8
MILLISECONDS_PER_SECOND = 1000


class PaceMeter:
    """Measures the fastest window of a stream, which queueing has delayed the least.

    >>> meter = PaceMeter()
    >>> for position in range(17):
    ...     meter.note(position, now_s=position * 0.01)
    >>> meter.best_ms
    10.0
    """

    def __init__(self) -> None:
        self._window_position = -1
        self._window_s = 0.0
        self._best_ms: float | None = None

    @property
    def best_ms(self) -> float | None:
        """Inter-token time in milliseconds, ``None`` before the first full window."""
        return self._best_ms

    def note(self, position: int, now_s: float) -> None:
        """Record the arrival of tokens.

        :param position: position of the latest token.
        :param now_s: current time, in seconds.
        """
        if self._window_position < 0:
            self._window_position, self._window_s = position, now_s
            return
        n_tokens = position - self._window_position
        if n_tokens < N_WINDOW_TOKENS:
            return
        pace_ms = (now_s - self._window_s) / n_tokens * MILLISECONDS_PER_SECOND
        pace_ms = round(pace_ms, 3)
        self._best_ms = min(pace_ms, self._best_ms or pace_ms)
        self._window_position, self._window_s = position, now_s
