"""Attempt numbers, and the limit on failed attempts of a request."""

OWNER_BITS = 16
OWNER_MASK = (1 << OWNER_BITS) - 1


def next_attempt(seen: int, owner: int) -> int:
    """Return the attempt number that follows another.

    The low bits identify the daemon, so that two daemons that follow the same number
    never choose the same successor.

    :param seen: highest number seen for the request, 0 for none.
    :param owner: number of the daemon; only its low 16 bits are used.

    >>> next_attempt(0, owner=7) < next_attempt(next_attempt(0, owner=9), owner=7)
    True
    >>> next_attempt(0, owner=7) == next_attempt(0, owner=9)
    False
    """
    return ((seen >> OWNER_BITS) + 1) << OWNER_BITS | (owner & OWNER_MASK)


class AttemptBudget:
    """Limits the consecutive attempts of a request that fail without a new token.

    :param n_attempts: consecutive attempts without a token after which it ends.

    >>> budget = AttemptBudget(n_attempts=2)
    >>> budget.fail(position=0), budget.fail(position=5), budget.fail(position=5)
    (True, True, False)
    >>> budget.has_failed_since_token(5), budget.has_failed_since_token(6)
    (True, False)
    """

    def __init__(self, n_attempts: int) -> None:
        self._n_attempts = n_attempts
        self._n_without_token = 0
        self._position = 0

    def has_failed_since_token(self, position: int) -> bool:
        """Return whether attempts have failed since the last token.

        :param position: position of the next token.
        """
        return self._n_without_token > 0 and position <= self._position

    def fail(self, position: int) -> bool:
        """Count a failed attempt.

        :param position: position of the next token when it failed.
        :returns: whether another attempt may follow.
        """
        if position > self._position:
            self._n_without_token = 0
            self._position = position
        self._n_without_token += 1
        return self._n_without_token < self._n_attempts
