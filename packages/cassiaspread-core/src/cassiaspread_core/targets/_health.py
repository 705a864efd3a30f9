"""Health of targets, derived from the results of this daemon's own requests.

Targets may fail, stop answering or slow down while their health checks still pass. The
other targets have to take over their requests without becoming suspect themselves.
"""

from collections.abc import Callable

import msgspec

from cassiaspread_core.base import DomainId, TargetId

# Weight of a new result in the moving average of the failure rate.
RESULT_WEIGHT = 0.2
SUSPECT_FAILURE_RATE = 0.35
# Bounds of the time for which other targets are preferred to one that failed or did not
# answer, in seconds. The time doubles with each consecutive failure.
MIN_SUSPECT_S = 1.0
MAX_SUSPECT_S = 8.0
# Bounds of the time for which a target that turned a request away, or was named as the
# cause, gets none, in seconds. The time doubles with each request after it.
MIN_AVOIDED_S = 0.5
MAX_AVOIDED_S = 4.0
# Maximum delay between the writing and the reading of a target's renewal, in seconds.
RENEWAL_LAG_S = 1.2
# Another daemon's report of an unreachable target is ignored if the target answered
# this daemon at most this long before, in seconds.
SUCCESS_PRECEDENCE_S = 1.0
# A domain is considered unreachable when at least this many of its targets were
# unreachable within the window, in seconds, and none of its targets answered since.
MIN_UNREACHABLE_TARGETS = 2
UNREACHABLE_WINDOW_S = 1.5
# Weight of a new measurement in the moving average of the slowness.
SLOWNESS_WEIGHT = 0.5
# Time for which a measured slowness is used, in seconds. It has to expire, since a
# target that gets no requests because it was slow isn't measured again.
SLOWNESS_LIFETIME_S = 5.0


class _HealthRecord(msgspec.Struct):
    failure_rate: float = 0.0
    suspect_until_s: float = 0.0
    suspect_duration_s: float = 0.0
    unreachable_at_s: float = float("-inf")
    renewed_at_s: float = float("-inf")
    succeeded_at_s: float = float("-inf")
    avoided_until_s: float = float("-inf")
    avoided_duration_s: float = 0.0
    is_avoidance_reported: bool = False
    slowness: float = 1.0
    slowness_at_s: float = float("-inf")


class DomainReachability:
    """Detects failure domains that cannot be reached.

    Without it, every request would try to connect to each target of an unreachable
    domain in turn before it is sent to another domain.

    >>> reach = DomainReachability()
    >>> for target in ("a", "b"):
    ...     reach.record_unreachable("d", target, now_s=1.0)
    >>> reach.is_unreachable("d", now_s=2.0), reach.is_unreachable("d", now_s=4.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._failures: dict[DomainId, dict[TargetId, float]] = {}

    def record_unreachable(
        self, domain: DomainId, target: TargetId, now_s: float
    ) -> None:
        """Record that a target did not accept a connection or stopped answering.

        :param domain: failure domain of the target.
        :param target: the target.
        :param now_s: current time, in seconds.
        """
        self._failures.setdefault(domain, {})[target] = now_s

    def record_success(self, domain: DomainId) -> None:
        """Record that a target of a domain answered.

        :param domain: the failure domain.
        """
        self._failures.pop(domain, None)

    def is_unreachable(self, domain: DomainId, now_s: float) -> bool:
        """Return whether other domains should be preferred.

        :param domain: the failure domain.
        :param now_s: current time, in seconds.
        """
        failures = self._failures.get(domain)
        if not failures:
            return False
        n_recent = sum(
            now_s - at_s < UNREACHABLE_WINDOW_S for at_s in failures.values()
        )
        return n_recent >= MIN_UNREACHABLE_TARGETS


class TargetHealth:
    """Tracks failures and slowness of each target.

    >>> health = TargetHealth()
    >>> health.record_unreachable("t", now_s=0.0)
    >>> health.is_suspect("t", now_s=1.5)
    True
    >>> health.record_renewal("t", now_s=1.6)
    >>> health.is_suspect("t", now_s=1.6)
    False
    """

    def __init__(self) -> None:
        self._records: dict[TargetId, _HealthRecord] = {}
        # Called with each target that failed a request of this daemon, and the time.
        self.failure_callbacks: list[Callable[[TargetId, float], None]] = []

    def is_suspect(self, target: TargetId, now_s: float) -> bool:
        """Return whether other targets should be preferred.

        :param target: the target.
        :param now_s: current time, in seconds.
        """
        record = self._records.get(target)
        if record is None:
            return False
        # A target that is unreachable for all daemons also stops renewing its entry.
        is_silent = (
            record.renewed_at_s < record.unreachable_at_s + RENEWAL_LAG_S
            and now_s < record.unreachable_at_s + MAX_SUSPECT_S
        )
        return is_silent or now_s < record.suspect_until_s

    def is_avoided(self, target: TargetId, now_s: float) -> bool:
        """Return whether a request to a target would be turned away again.

        :param target: the target.
        :param now_s: current time, in seconds.
        """
        record = self._records.get(target)
        return record is not None and now_s < record.avoided_until_s

    def unreachable_ages_s(self, now_s: float) -> dict[TargetId, float]:
        """Return the time since this daemon last found each target unreachable.

        :param now_s: current time, in seconds.
        :returns: age in seconds by target, if less than ``MIN_SUSPECT_S``.
        """
        return {
            target: now_s - record.unreachable_at_s
            for target, record in self._records.items()
            if now_s - record.unreachable_at_s < MIN_SUSPECT_S
        }

    def avoided_s(self, now_s: float) -> dict[TargetId, float]:
        """Return for how much longer targets are avoided, in seconds.

        :param now_s: current time, in seconds.
        """
        return {
            target: record.avoided_until_s - now_s
            for target, record in self._records.items()
            if record.avoided_until_s > now_s and not record.is_avoidance_reported
        }

    def slowness(self, target: TargetId, now_s: float) -> float:
        """Return the response time of a target relative to the usual time of its kind.

        :param target: the target.
        :param now_s: current time, in seconds.
        """
        record = self._records.get(target)
        if record is None or now_s > record.slowness_at_s + SLOWNESS_LIFETIME_S:
            return 1.0
        return record.slowness

    def record_renewal(self, target: TargetId, now_s: float) -> None:
        """Record that a target renewed its entry in the list of targets.

        :param target: the target.
        :param now_s: current time, in seconds.
        """
        self._records.setdefault(target, _HealthRecord()).renewed_at_s = now_s

    def record_reported_unreachable(
        self, target: TargetId, at_s: float, now_s: float
    ) -> None:
        """Record that another daemon found a target unreachable.

        :param target: the target.
        :param at_s: time at which the daemon found it unreachable, in seconds.
        :param now_s: current time, in seconds.
        """
        record = self._records.setdefault(target, _HealthRecord())
        if record.succeeded_at_s < at_s - SUCCESS_PRECEDENCE_S:
            self._mark_suspect(record, now_s)

    def record_success(self, target: TargetId, now_s: float) -> None:
        """Record a request that was answered.

        :param target: the target.
        :param now_s: current time, in seconds.
        """
        record = self._records.setdefault(target, _HealthRecord())
        record.succeeded_at_s = now_s
        record.avoided_until_s = float("-inf")
        record.avoided_duration_s = 0.0
        if record.failure_rate:
            record.unreachable_at_s = float("-inf")
            record.failure_rate *= 1.0 - RESULT_WEIGHT
            if record.failure_rate < SUSPECT_FAILURE_RATE:
                record.suspect_duration_s = 0.0
                record.suspect_until_s = 0.0

    def record_recovery(self, target: TargetId, now_s: float) -> None:
        """Record that a suspect target answers; it is no longer suspect.

        :param target: the target.
        :param now_s: current time, in seconds.
        """
        self.record_success(target, now_s)
        record = self._records[target]
        record.failure_rate = min(record.failure_rate, RESULT_WEIGHT)
        record.suspect_until_s = now_s
        record.unreachable_at_s = float("-inf")

    def record_failure(self, target: TargetId, now_s: float) -> bool:
        """Record a request that the target failed or refused.

        :param target: the target.
        :param now_s: current time, in seconds.
        :returns: whether the target is now suspect.
        """
        record = self._records.setdefault(target, _HealthRecord())
        record.failure_rate += RESULT_WEIGHT * (1.0 - record.failure_rate)
        self._notify_failure(target, now_s)
        if record.failure_rate < SUSPECT_FAILURE_RATE:
            return False
        self._mark_suspect(record, now_s)
        return True

    def record_unreachable(self, target: TargetId, now_s: float) -> None:
        """Record that a target did not accept a connection or stopped answering.

        :param target: the target.
        :param now_s: current time, in seconds.
        """
        record = self._records.setdefault(target, _HealthRecord())
        record.failure_rate += RESULT_WEIGHT * (1.0 - record.failure_rate)
        record.unreachable_at_s = now_s
        self._notify_failure(target, now_s)
        self._mark_suspect(record, now_s)

    def record_rejection(self, target: TargetId, now_s: float) -> bool:
        """Record that a request did not run since a target can't take it.

        :param target: the target.
        :param now_s: current time, in seconds.
        :returns: whether the target is avoided from now on.
        """
        record = self._records.setdefault(target, _HealthRecord())
        if now_s < record.avoided_until_s:
            return False
        record.avoided_duration_s = min(
            MAX_AVOIDED_S, max(MIN_AVOIDED_S, 2 * record.avoided_duration_s)
        )
        record.avoided_until_s = now_s + record.avoided_duration_s
        record.is_avoidance_reported = False
        return True

    def record_reported_avoidance(
        self, target: TargetId, duration_s: float, now_s: float
    ) -> None:
        """Record that another daemon avoids a target, whose requests it turned away.

        :param target: the target.
        :param duration_s: for how much longer, in seconds.
        :param now_s: current time, in seconds.
        """
        record = self._records.setdefault(target, _HealthRecord())
        until_s = now_s + min(duration_s, MAX_AVOIDED_S)
        is_newer = now_s - record.succeeded_at_s > SUCCESS_PRECEDENCE_S
        if is_newer and until_s > record.avoided_until_s:
            record.avoided_until_s = until_s
            record.is_avoidance_reported = True

    def record_slowness(self, target: TargetId, slowness: float, now_s: float) -> None:
        """Record a measurement of the slowness of a target.

        :param target: the target.
        :param slowness: response time relative to the usual time.
        :param now_s: current time, in seconds.
        """
        previous = self.slowness(target, now_s)
        record = self._records.setdefault(target, _HealthRecord())
        record.slowness = previous + SLOWNESS_WEIGHT * (slowness - previous)
        record.slowness_at_s = now_s

    def forget(self, target: TargetId) -> None:
        """Delete the record of a target that was removed or restarted.

        :param target: the target.
        """
        self._records.pop(target, None)

    def _notify_failure(self, target: TargetId, now_s: float) -> None:
        for callback in self.failure_callbacks:
            callback(target, now_s)

    def _mark_suspect(self, record: _HealthRecord, now_s: float) -> None:
        if now_s < record.suspect_until_s:
            return
        record.suspect_duration_s = min(
            MAX_SUSPECT_S, max(MIN_SUSPECT_S, 2 * record.suspect_duration_s)
        )
        record.suspect_until_s = now_s + record.suspect_duration_s
