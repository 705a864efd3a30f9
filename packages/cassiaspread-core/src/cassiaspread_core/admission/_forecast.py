"""How long requests of a class take, from those that ended."""

SMOOTHING = 0.1


class Forecast:
    """Moving averages of the tokens wanted and the time per token.

    Knows nothing, and predicts no time, until the first request ended.

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
        self._n_notes = 0

    @property
    def token_s(self) -> float:
        """Mean time per token in seconds, 0 while unknown."""
        return self._token_s

    @property
    def mean_s(self) -> float:
        """Mean duration of a request in seconds, 0 while unknown."""
        return self._mean_s

    def expected_tokens(self, n_wanted: int) -> float:
        """Predict the length of an answer.

        :param n_wanted: most tokens that the caller asks for.
        """
        return max(1.0, n_wanted * self._used_ratio)

    def note(self, n_wanted: int, n_tokens: int, elapsed_s: float) -> None:
        """Take in a request that ended in full.

        :param n_wanted: most tokens that the caller asked for.
        :param n_tokens: tokens that it got.
        :param elapsed_s: time since it was admitted, in seconds.
        """
        self._n_notes += 1
        smoothing = max(SMOOTHING, 1 / self._n_notes)
        n_tokens = max(1, n_tokens)
        used_ratio = min(1.0, n_tokens / max(1, n_wanted))
        self._token_s += smoothing * (elapsed_s / n_tokens - self._token_s)
        self._used_ratio += smoothing * (used_ratio - self._used_ratio)
        self._mean_s += smoothing * (elapsed_s - self._mean_s)
