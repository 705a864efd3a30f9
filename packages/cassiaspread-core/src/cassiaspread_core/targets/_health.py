"""Verdicts on targets, from what this daemon's own requests saw of them.

Load pattern: a few targets fail, fall silent or slow down while their health checks
stay good, and the rest must take their work without being suspected in turn.
"""

import msgspec

from cassiaspread_core.base import TargetId

# Part of a failure rate that one more result replaces.
RESULT_WEIGHT = 0.2
SUSPECT_FAILURE_RATE = 0.35
# How long a target that failed a connection or fell silent gets no work if there are
# others, in seconds. Doubles with each failure in a row.
MIN_SUSPECT_S = 1.0
MAX_SUSPECT_S = 8.0
# A target's renewal may have been written this long before it was read, in seconds.
RENEWAL_LAG_S = 1.2
# What others say of a target counts less than an own success within this time.
OWN_SUCCESS_S = 1.0
# Part of a slowness that one more measurement replaces.
SLOWNESS_WEIGHT = 0.3


class _Verdict(msgspec.Struct):
    failure_rate: float = 0.0
    suspect_until_s: float = 0.0
    suspect_s: float = 0.0
    unreachable_s: float = float("-inf")
    renewed_s: float = float("-inf")
    success_s: float = float("-inf")
    slowness: float = 1.0


class TargetHealth:
    """Keeps one verdict for each target.

    >>> health = TargetHealth()
    >>> health.note_unreachable("t", now_s=0.0)
    >>> health.is_suspect("t", now_s=1.5)
    True
    >>> health.note_renewal("t", now_s=1.6)
    >>> health.is_suspect("t", now_s=1.6)
    False
    """

    def __init__(self) -> None:
        self._verdicts: dict[TargetId, _Verdict] = {}

    def is_suspect(self, target: TargetId, now_s: float) -> bool:
        """Return whether other targets should be preferred.

        :param target: the target.
        :param now_s: present time.
        """
        verdict = self._verdicts.get(target)
        if verdict is None:
            return False
        # A target that fell silent for everyone also stops renewing its entry.
        is_silent = (
            verdict.renewed_s < verdict.unreachable_s + RENEWAL_LAG_S
            and now_s < verdict.unreachable_s + MAX_SUSPECT_S
        )
        return is_silent or now_s < verdict.suspect_until_s

    def unreachable_ages_s(self, now_s: float) -> dict[TargetId, float]:
        """Return how long ago targets were found unreachable by this daemon.

        :param now_s: present time.
        :returns: seconds, of the targets that are suspect for it.
        """
        return {
            target: now_s - verdict.unreachable_s
            for target, verdict in self._verdicts.items()
            if now_s - verdict.unreachable_s < MIN_SUSPECT_S
        }

    def slowness(self, target: TargetId) -> float:
        """Return a target's time relative to what is usual for its kind.

        :param target: the target.
        """
        verdict = self._verdicts.get(target)
        return 1.0 if verdict is None else verdict.slowness

    def note_renewal(self, target: TargetId, now_s: float) -> None:
        """Take in that a target renewed its entry in the list of targets.

        :param target: the target.
        :param now_s: present time.
        """
        self._verdicts.setdefault(target, _Verdict()).renewed_s = now_s

    def hear_unreachable(self, target: TargetId, at_s: float, now_s: float) -> None:
        """Take in that another daemon found a target unreachable.

        :param target: the target.
        :param at_s: when it found it so.
        :param now_s: present time.
        """
        verdict = self._verdicts.setdefault(target, _Verdict())
        if verdict.success_s < at_s - OWN_SUCCESS_S:
            self._suspect(verdict, now_s)

    def note_success(self, target: TargetId, now_s: float) -> None:
        """Take in a request that was answered.

        :param target: the target.
        :param now_s: present time.
        """
        verdict = self._verdicts.setdefault(target, _Verdict())
        verdict.success_s = now_s
        if verdict.failure_rate:
            verdict.unreachable_s = float("-inf")
            verdict.failure_rate *= 1.0 - RESULT_WEIGHT
            if verdict.failure_rate < SUSPECT_FAILURE_RATE:
                verdict.suspect_s = 0.0
                verdict.suspect_until_s = 0.0

    def note_failure(self, target: TargetId, now_s: float) -> bool:
        """Take in a request that the target failed or refused.

        :param target: the target.
        :param now_s: present time.
        :returns: whether the target is suspect now.
        """
        verdict = self._verdicts.setdefault(target, _Verdict())
        verdict.failure_rate += RESULT_WEIGHT * (1.0 - verdict.failure_rate)
        if verdict.failure_rate < SUSPECT_FAILURE_RATE:
            return False
        self._suspect(verdict, now_s)
        return True

    def note_unreachable(self, target: TargetId, now_s: float) -> None:
        """Take in a target that took no connection or fell silent.

        :param target: the target.
        :param now_s: present time.
        """
        verdict = self._verdicts.setdefault(target, _Verdict())
        verdict.failure_rate += RESULT_WEIGHT * (1.0 - verdict.failure_rate)
        verdict.unreachable_s = now_s
        self._suspect(verdict, now_s)

    def note_slowness(self, target: TargetId, slowness: float) -> None:
        """Take in how slow a target is.

        :param target: the target.
        :param slowness: its time relative to what is usual.
        """
        verdict = self._verdicts.setdefault(target, _Verdict())
        verdict.slowness += SLOWNESS_WEIGHT * (slowness - verdict.slowness)

    def forget(self, target: TargetId) -> None:
        """Drop the verdict on a target that is gone or started anew.

        :param target: the target.
        """
        self._verdicts.pop(target, None)

    def _suspect(self, verdict: _Verdict, now_s: float) -> None:
        if now_s < verdict.suspect_until_s:
            return
        verdict.suspect_s = min(
            MAX_SUSPECT_S, max(MIN_SUSPECT_S, 2 * verdict.suspect_s)
        )
        verdict.suspect_until_s = now_s + verdict.suspect_s
