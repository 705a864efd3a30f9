"""Retries allowed as a share of successes."""

# A target that fails with many requests in flight must not use up the budget at once.
BURST = 128.0


class RetryBudget:
    """Bounds the retries of one class of targets, so that they can't feed an overload.

    :param burst: retries that may be saved up.

    >>> budget = RetryBudget(burst=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> for _ in range(10):
    ...     budget.note_success(ratio=0.1)
    >>> budget.take()
    True
    """

    def __init__(self, burst: float = BURST) -> None:
        self._burst = burst
        self._saved = burst

    @property
    def saved(self) -> float:
        """Retries that may be made now."""
        return self._saved

    def note_success(self, ratio: float) -> None:
        """Earn part of a retry.

        :param ratio: retries allowed per success.
        """
        self._saved = min(self._burst, self._saved + ratio)

    def take(self) -> bool:
        """Use up one retry.

        :returns: whether there was one.
        """
        # Sums of ratios such as 0.1 fall short of 1 by rounding.
        if self._saved < 1.0 - 1e-9:
            return False
        self._saved -= 1.0
        return True
