"""Age limit of copies of shared state."""

import msgspec

# Fraction of the bound that is used. The rest allows for clocks that run at different
# rates.
USABLE_BOUND_RATIO = 0.96


class StateAge(msgspec.Struct):
    """Time at which a copy of shared state was last confirmed to be current.

    :param bound_s: maximum age at which the copy may be used, in seconds.
    :param current_at_s: last time at which the copy was confirmed to be current;
        ``None`` before the first confirmation.
    :param behind_bound_s: maximum age while the copy is known to lack newer content,
        in seconds.
    :param is_behind: whether it is known to lack newer content.
    """

    bound_s: float
    current_at_s: float | None = None
    behind_bound_s: float = float("inf")
    is_behind: bool = False

    def confirm(self, at_s: float) -> None:
        """Record that the copy was current; earlier times are ignored.

        :param at_s: time in seconds, on a clock that also counts suspended time.
        """
        if self.current_at_s is None or at_s > self.current_at_s:
            self.current_at_s = at_s

    def age_s(self, now_s: float) -> float:
        """Return the age in seconds; infinite before the first confirmation.

        :param now_s: current time, in seconds.
        """
        if self.current_at_s is None:
            return float("inf")
        return now_s - self.current_at_s

    def is_valid(self, now_s: float) -> bool:
        """Return whether the copy may still be used.

        :param now_s: current time, in seconds.

        >>> age = StateAge(bound_s=5.0)
        >>> age.is_valid(10.0)
        False
        >>> age.confirm(10.0)
        >>> age.is_valid(14.0), age.is_valid(15.0)
        (True, False)
        """
        bound_s = self.bound_s
        if self.is_behind:
            bound_s = min(bound_s, self.behind_bound_s)
        return self.age_s(now_s) < bound_s * USABLE_BOUND_RATIO
