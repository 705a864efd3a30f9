"""Forecast of request durations of a class from its completed requests."""

# Smallest weight of a new measurement in the moving averages.
MIN_SMOOTHING = 0.1


class Forecast:
    """Moving averages of answer length and of time per token and per request.

    The predicted times are 0 until the first request has completed.

    >>> forecast = Forecast()
    >>> forecast.token_s
    0.0
    >>> forecast.note(n_wanted=100, n_tokens=50, elapsed_s=1.0)
    >>> forecast.token_s, forecast.expected_tokens(200)
    (0.02, 100.0)
    """

    def __init__(self) -> None:
        self._token_s = 0.0
        self._used_ratio = 1.0
        self._mean_s = 0.0
        self._n_requests = 0

    @property
    def token_s(self) -> float:
        """Mean time per token in seconds; 0 before the first measurement."""
        return self._token_s

    @property
    def mean_s(self) -> float:
        """Mean duration of a request in seconds; 0 before the first measurement."""
        return self._mean_s

    def expected_tokens(self, n_wanted: int) -> float:
        """Predict the length of an answer, in tokens.

        :param n_wanted: maximum number of tokens that the caller requests.
        """
        return max(1.0, n_wanted * self._used_ratio)

    def note(self, n_wanted: int, n_tokens: int, elapsed_s: float) -> None:
        """Update the averages with a completed request.

        :param n_wanted: maximum number of tokens that the caller requested.
        :param n_tokens: number of tokens of the answer.
        :param elapsed_s: time since the request was admitted, in seconds.
        """
        self._n_requests += 1
        smoothing = max(MIN_SMOOTHING, 1 / self._n_requests)
        n_tokens = max(1, n_tokens)
        used_ratio = min(1.0, n_tokens / max(1, n_wanted))
        self._token_s += smoothing * (elapsed_s / n_tokens - self._token_s)
        self._used_ratio += smoothing * (used_ratio - self._used_ratio)
        self._mean_s += smoothing * (elapsed_s - self._mean_s)
