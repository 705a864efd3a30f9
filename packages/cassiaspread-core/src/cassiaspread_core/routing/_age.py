"""How long knowledge may be acted upon after it was last known to be current."""

import msgspec

# Part of the bound that is used: the rest covers clocks that run at different rates.
USED_SHARE_OF_BOUND = 0.96


class KnowledgeAge(msgspec.Struct):
    """When a copy of shared state was last known to be current.

    :param bound_s: longest time in seconds that the copy may be acted upon.
    :param current_at_s: last time at which it was current, ``None`` before the first.
    """

    bound_s: float
    current_at_s: float | None = None

    def confirm(self, at_s: float) -> None:
        """Note that the copy was current.

        :param at_s: when, on a clock that also counts suspended time.
        """
        if self.current_at_s is None or at_s > self.current_at_s:
            self.current_at_s = at_s

    def age_s(self, now_s: float) -> float:
        """Return the age in seconds, infinite before the first confirmation.

        :param now_s: present time.
        """
        if self.current_at_s is None:
            return float("inf")
        return now_s - self.current_at_s

    def is_valid(self, now_s: float) -> bool:
        """Return whether the copy may still be acted upon.

        :param now_s: present time.

        >>> age = KnowledgeAge(bound_s=5.0)
        >>> age.is_valid(10.0)
        False
        >>> age.confirm(10.0)
        >>> age.is_valid(14.0), age.is_valid(15.0)
        (True, False)
        """
        return self.age_s(now_s) < self.bound_s * USED_SHARE_OF_BOUND
