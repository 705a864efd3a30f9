"""Adaptive timeout for token streams."""

# Weights of a new interval in the smoothed mean and deviation, and number of
# deviations in the bound: the values that TCP uses (RFC 6298).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
N_DEVIATIONS = 4
MAX_BACKOFF = 8.0


class SilenceMonitor:
    """Estimates the time between tokens as TCP estimates its retransmission timeout.

    The bound is the smoothed interval plus four smoothed deviations, clamped between
    a lowest and a highest bound. Before the first token, which needs a prefill, it is
    the highest. Each probe that finds the engines working doubles the bound, up to
    ``MAX_BACKOFF`` times, until the next token arrives.

    :param expected_s: predicted interval between tokens in seconds.
    :param min_silence_s: lowest bound in seconds.
    :param max_silence_s: highest bound in seconds, before it is doubled.
    :param now_s: current time, in seconds.

    >>> monitor = SilenceMonitor(0.03, 0.2, 1.0, now_s=10.0)
    >>> monitor.record_tokens(1, now_s=10.0)
    >>> monitor.is_silent(10.1), monitor.is_silent(10.2)
    (False, True)
    """

    def __init__(
        self,
        expected_s: float,
        min_silence_s: float,
        max_silence_s: float,
        now_s: float,
    ) -> None:
        self._mean_s = expected_s
        self._deviation_s = expected_s / 2
        self._min_silence_s = min_silence_s
        self._max_silence_s = max(min_silence_s, max_silence_s)
        self._backoff = 1.0
        self._silent_since_s = now_s
        self._has_token = False

    @property
    def bound_s(self) -> float:
        """Time without a token after which the stream is probed, in seconds."""
        estimate_s = self._mean_s + N_DEVIATIONS * self._deviation_s
        if not self._has_token:
            return self._max_silence_s * self._backoff
        bound_s = min(max(estimate_s, self._min_silence_s), self._max_silence_s)
        return bound_s * self._backoff

    @property
    def deadline_s(self) -> float:
        """Time at which the stream counts as silent unless a token arrives."""
        return self._silent_since_s + self.bound_s

    def next_check_s(self, now_s: float) -> float:
        """Return the time until the stream is to be checked again, in seconds.

        The first token may shorten the bound, so the check comes earlier before it.

        :param now_s: current time, in seconds.
        """
        wait_s = self.deadline_s - now_s
        return wait_s if self._has_token else min(wait_s, self._min_silence_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether the bound has passed.

        :param now_s: current time, in seconds.
        """
        return now_s >= self.deadline_s

    def record_tokens(self, n_tokens: int, now_s: float) -> None:
        """Record the arrival of tokens and update the estimate.

        :param n_tokens: number of tokens that arrived together.
        :param now_s: current time, in seconds.
        """
        if self._has_token:
            error_s = (now_s - self._silent_since_s) / n_tokens - self._mean_s
            self._mean_s += MEAN_GAIN * error_s
            self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
        self._has_token = True
        self._backoff = 1.0
        self._silent_since_s = now_s

    def back_off(self, now_s: float) -> None:
        """Record that a probe found the engines working, and back off.

        :param now_s: current time, in seconds.
        """
        self._silent_since_s = now_s
        self._backoff = min(2 * self._backoff, MAX_BACKOFF)
