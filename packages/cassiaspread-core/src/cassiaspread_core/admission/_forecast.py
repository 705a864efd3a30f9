"""Forecast of request durations of a class from its completed requests."""

# Smallest weight of a new measurement in the moving averages.
MIN_SMOOTHING = 0.1


class Forecast:
    """Moving averages of answer length and of time per token and per request.

    The predicted times are 0 until the first request has completed.

    >>> forecast = Forecast()
    >>> forecast.s_per_token
    0.0
    >>> forecast.record(max_tokens=100, n_tokens=50, elapsed_s=1.0)
    >>> forecast.s_per_token, forecast.expected_tokens(200)
    (0.02, 100.0)
    """

    def __init__(self) -> None:
        self._s_per_token = 0.0
        self._used_ratio = 1.0
        self._mean_duration_s = 0.0
        self._n_requests = 0

    @property
    def s_per_token(self) -> float:
        """Mean time per token in seconds; 0 before the first measurement."""
        return self._s_per_token

    @property
    def mean_duration_s(self) -> float:
        """Mean duration of a request in seconds; 0 before the first measurement."""
        return self._mean_duration_s

    def expected_tokens(self, max_tokens: int) -> float:
        """Predict the length of an answer, in tokens.

        :param max_tokens: maximum number of tokens that the caller requests.
        """
        return max(1.0, max_tokens * self._used_ratio)

    def record(self, max_tokens: int, n_tokens: int, elapsed_s: float) -> None:
        """Update the averages with a completed request.

        :param max_tokens: maximum number of tokens that the caller requested.
        :param n_tokens: number of tokens of the answer.
        :param elapsed_s: time since the request was admitted, in seconds.
        """
        self._n_requests += 1
        smoothing = max(MIN_SMOOTHING, 1 / self._n_requests)
        n_tokens = max(1, n_tokens)
        used_ratio = min(1.0, n_tokens / max(1, max_tokens))
        self._s_per_token += smoothing * (elapsed_s / n_tokens - self._s_per_token)
        self._used_ratio += smoothing * (used_ratio - self._used_ratio)
        self._mean_duration_s += smoothing * (elapsed_s - self._mean_duration_s)
