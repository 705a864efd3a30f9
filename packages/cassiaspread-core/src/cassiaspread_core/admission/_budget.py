"""Retry budget that grows with the number of successful requests."""

# Maximum number of saved retries. Large enough that a single target that fails with
# many requests in flight does not use up the budget at once.
BURST = 128.0


class RetryBudget:
    """Bounds the retries of one class of targets, so that they can't amplify overload.

    :param burst: maximum number of saved retries; the budget starts with as many.

    >>> budget = RetryBudget(burst=1.0)
    >>> budget.try_acquire(), budget.try_acquire()
    (True, False)
    >>> for _ in range(10):
    ...     budget.record_success(ratio=0.1)
    >>> budget.try_acquire()
    True
    """

    def __init__(self, burst: float = BURST) -> None:
        self._burst = burst
        self._saved = burst

    @property
    def saved(self) -> float:
        """Number of retries available now."""
        return self._saved

    def record_success(self, ratio: float) -> None:
        """Add part of a retry to the budget.

        :param ratio: retries allowed per successful request.
        """
        self._saved = min(self._burst, self._saved + ratio)

    def try_acquire(self) -> bool:
        """Take one retry from the budget.

        :returns: whether a retry was available.
        """
        # Due to rounding errors, a sum of ratios such as 0.1 may be slightly below 1.
        if self._saved < 1.0 - 1e-9:
            return False
        self._saved -= 1.0
        return True
