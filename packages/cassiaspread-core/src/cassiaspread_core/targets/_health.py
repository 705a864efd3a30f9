"""Verdicts on targets, from what this daemon's own requests saw of them.

Load pattern: a few targets fail, fall silent or slow down while their health checks
stay good, and the rest must take their work without being suspected in turn.
"""

import msgspec

from cassiaspread_core.base import DomainId, TargetId

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
# Targets of one domain that are unreachable within a time, in seconds, while none of
# it answers, show that the way to the domain is cut.
CUT_TARGETS = 2
CUT_WINDOW_S = 1.5
# Part of a slowness that one more measurement replaces.
SLOWNESS_WEIGHT = 0.5
# How long a measured slowness counts, in seconds: a target that gets no work because it
# was slow is not measured again.
SLOWNESS_LIFETIME_S = 5.0


class _Verdict(msgspec.Struct):
    failure_rate: float = 0.0
    suspect_until_s: float = 0.0
    suspect_s: float = 0.0
    unreachable_s: float = float("-inf")
    renewed_s: float = float("-inf")
    success_s: float = float("-inf")
    slowness: float = 1.0
    slowness_s: float = float("-inf")


class DomainReach:
    """Tells which failure domains cannot be reached.

    Load pattern: a whole domain is cut off, and each of its targets would cost every
    request a connection attempt before the next one is tried.

    >>> reach = DomainReach()
    >>> for target in ("a", "b"):
    ...     reach.note_unreachable("d", target, now_s=1.0)
    >>> reach.is_cut("d", now_s=2.0), reach.is_cut("d", now_s=4.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._failures: dict[DomainId, dict[TargetId, float]] = {}

    def note_unreachable(
        self, domain: DomainId, target: TargetId, now_s: float
    ) -> None:
        """Take in a target that took no connection.

        :param domain: its failure domain.
        :param target: the target.
        :param now_s: present time.
        """
        self._failures.setdefault(domain, {})[target] = now_s

    def note_success(self, domain: DomainId) -> None:
        """Take in that a target of a domain answered.

        :param domain: the failure domain.
        """
        self._failures.pop(domain, None)

    def is_cut(self, domain: DomainId, now_s: float) -> bool:
        """Return whether other domains should be preferred.

        :param domain: the failure domain.
        :param now_s: present time.
        """
        failures = self._failures.get(domain)
        if not failures:
            return False
        recent = sum(now_s - at_s < CUT_WINDOW_S for at_s in failures.values())
        return recent >= CUT_TARGETS


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

    def slowness(self, target: TargetId, now_s: float) -> float:
        """Return a target's time relative to what is usual for its kind.

        :param target: the target.
        :param now_s: present time.
        """
        verdict = self._verdicts.get(target)
        if verdict is None or now_s > verdict.slowness_s + SLOWNESS_LIFETIME_S:
            return 1.0
        return verdict.slowness

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

    def note_slowness(self, target: TargetId, slowness: float, now_s: float) -> None:
        """Take in how slow a target is.

        :param target: the target.
        :param slowness: its time relative to what is usual.
        :param now_s: present time.
        """
        before = self.slowness(target, now_s)
        verdict = self._verdicts.setdefault(target, _Verdict())
        verdict.slowness = before + SLOWNESS_WEIGHT * (slowness - before)
        verdict.slowness_s = now_s

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
