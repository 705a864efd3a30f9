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
# Part of a slowness that one more measurement replaces.
SLOWNESS_WEIGHT = 0.3


class _Verdict(msgspec.Struct):
    failure_rate: float = 0.0
    suspect_until_s: float = 0.0
    suspect_s: float = 0.0
    slowness: float = 1.0


class TargetHealth:
    """Keeps one verdict for each target.

    >>> health = TargetHealth()
    >>> health.note_unreachable("t", now_s=0.0)
    >>> health.is_suspect("t", now_s=0.5), health.is_suspect("t", now_s=1.5)
    (True, False)
    """

    def __init__(self) -> None:
        self._verdicts: dict[TargetId, _Verdict] = {}

    def is_suspect(self, target: TargetId, now_s: float) -> bool:
        """Return whether other targets should be preferred.

        :param target: the target.
        :param now_s: present time.
        """
        verdict = self._verdicts.get(target)
        return verdict is not None and now_s < verdict.suspect_until_s

    def slowness(self, target: TargetId) -> float:
        """Return a target's time relative to what is usual for its kind.

        :param target: the target.
        """
        verdict = self._verdicts.get(target)
        return 1.0 if verdict is None else verdict.slowness

    def note_success(self, target: TargetId) -> None:
        """Take in a request that was answered.

        :param target: the target.
        """
        verdict = self._verdicts.get(target)
        if verdict is not None:
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
