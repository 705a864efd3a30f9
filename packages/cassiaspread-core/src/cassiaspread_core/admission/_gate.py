"""Admits, queues or refuses the requests of one class of targets."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

import msgspec

from cassiaspread_core.admission._fair_queue import AdmissionTicket, FairQueue
from cassiaspread_core.admission._forecast import Forecast
from cassiaspread_core.admission._shares import DaemonDemand, Share, count_demand
from cassiaspread_core.base import OrganisationId

MAX_QUEUED = 2_000
MIN_RETRY_AFTER_S = 1.0

# Organisations within their share are admitted until the requests in progress reach
# this multiple of the quota.
RESERVE_RATIO = 1.25


class Decision(Enum):
    """Result of admission control for a request."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class AdmissionResult(msgspec.Struct, frozen=True):
    """Decision on one request.

    :param ticket: the request.
    :param decision: whether the request is admitted, queued or refused.
    :param retry_after_s: for a refusal, seconds until the queue is expected to be short
        enough.
    :param is_over_share: for a refusal, whether the organisation's own requests exceed
        its fair share and cause the wait.
    """

    ticket: AdmissionTicket
    decision: Decision
    retry_after_s: float = 0.0
    is_over_share: bool = False


class AdmissionGate:
    """Admission control for the requests of one class at one daemon.

    :param weight_of: returns the weight that the policy gives an organisation.
    """

    def __init__(self, weight_of: Callable[[OrganisationId], float]) -> None:
        self._share = Share(float("inf"))
        self._policy_weight_of = weight_of
        self._queue = FairQueue(self._weight_of)
        self._running: Counter[OrganisationId] = Counter()
        self._waiting: Counter[OrganisationId] = Counter()
        self._n_running = 0
        self.forecast = Forecast()

    @property
    def n_running(self) -> int:
        """Number of requests in progress."""
        return self._n_running

    @property
    def n_waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def share(self) -> Share:
        """Share of the capacity that this daemon may use."""
        return self._share

    def demand(self) -> DaemonDemand:
        """Return the demand that is reported to the peers."""
        return count_demand(self._running + self._waiting)

    def set_share(self, share: Share, now_s: float) -> list[AdmissionResult]:
        """Set the share of the capacity that this daemon may use.

        :param share: the new share.
        :param now_s: current time, in seconds.
        :returns: decisions on waiting requests.
        """
        self._share = share
        return self._admit_queued(now_s)

    def engine_priority(self, organisation: OrganisationId, priority: int) -> int:
        """Return the priority that is sent to the engines with a request.

        There is one level between two priorities of the policy: requests of an
        organisation that demands more than its share rank below the others' requests
        of the same priority.

        :param organisation: organisation of the request.
        :param priority: priority in the policy; higher values run first.
        """
        return 2 * priority - (organisation in self._share.weight_factors)

    def submit(self, ticket: AdmissionTicket, now_s: float) -> AdmissionResult:
        """Decide on a new request immediately.

        :param ticket: the request.
        :param now_s: current time, in seconds.
        """
        if self._can_run_now(ticket.organisation):
            # Not checked against the deadline: the predicted duration is uncertain, and
            # no other request waits for the slot.
            self._queue.charge(ticket)
            self._admit(ticket)
            return AdmissionResult(ticket, Decision.ADMITTED)
        wait_s = self._predict_wait_s(ticket.organisation)
        overrun_s = wait_s + self._duration_s(ticket) - (ticket.deadline_s - now_s)
        if overrun_s > 0 or len(self._queue) >= MAX_QUEUED:
            return self._refuse(ticket, overrun_s)
        self._queue.push(ticket)
        self._waiting[ticket.organisation] += 1
        return AdmissionResult(ticket, Decision.QUEUED)

    def admit_resumed(self, ticket: AdmissionTicket) -> None:
        """Admit a request that was running before, such as a resumed stream.

        :param ticket: the request.
        """
        self._queue.charge(ticket)
        self._admit(ticket)

    def finish(self, ticket: AdmissionTicket, now_s: float) -> list[AdmissionResult]:
        """Record that an admitted request ended.

        :param ticket: the request.
        :param now_s: current time, in seconds.
        :returns: decisions on waiting requests.
        """
        self._n_running -= 1
        _decrease(self._running, ticket.organisation)
        return self._admit_queued(now_s)

    def abandon(self, ticket: AdmissionTicket) -> None:
        """Remove a waiting request whose caller closed the connection.

        :param ticket: the request.
        """
        self._queue.remove(ticket)
        _decrease(self._waiting, ticket.organisation)

    def expire(self, now_s: float) -> list[AdmissionResult]:
        """Refuse waiting requests that can no longer meet their deadline.

        :param now_s: current time, in seconds.
        :returns: the refusals.
        """
        late = [t for t in self._queue if self._is_late(t, now_s)]
        return [self.refuse_queued(ticket) for ticket in late]

    def latest_start_s(self, ticket: AdmissionTicket) -> float:
        """Return until when a request can start and still meet its deadline.

        It changes with the forecast. On the clock of ``now_s``, in seconds.

        :param ticket: the request.
        """
        return ticket.deadline_s - self._duration_s(ticket)

    def refuse_queued(self, ticket: AdmissionTicket) -> AdmissionResult:
        """Remove a waiting request and refuse it.

        :param ticket: the request.
        """
        self.abandon(ticket)
        return self._refuse(ticket, self._predict_wait_s(ticket.organisation))

    def _can_run_now(self, organisation: OrganisationId) -> bool:
        """Return whether a request may run immediately.

        An organisation that demands no more than its share doesn't wait for those that
        use its spare capacity: it may exceed the quota up to ``RESERVE_RATIO``.
        """
        if not self._queue and self._n_running < self._share.quota:
            return True
        is_over_share = organisation in self._share.weight_factors
        return (
            not is_over_share
            and not self._waiting[organisation]
            and self._has_reserve()
        )

    def _admit_queued(self, now_s: float) -> list[AdmissionResult]:
        results = []
        while (ticket := self._pop_next()) is not None:
            _decrease(self._waiting, ticket.organisation)
            if self._is_late(ticket, now_s):
                results.append(self._refuse(ticket, 0.0))
                continue
            self._admit(ticket)
            results.append(AdmissionResult(ticket, Decision.ADMITTED))
        return results

    def _pop_next(self) -> AdmissionTicket | None:
        if self._n_running < self._share.quota:
            return self._queue.pop()
        if not self._has_reserve():
            return None
        if all(o in self._share.weight_factors for o in self._waiting):
            return None
        return self._queue.pop(lambda o: o not in self._share.weight_factors)

    def _has_reserve(self) -> bool:
        return self._n_running + 1 <= RESERVE_RATIO * self._share.quota

    def _admit(self, ticket: AdmissionTicket) -> None:
        self._n_running += 1
        self._running[ticket.organisation] += 1

    def _is_late(self, ticket: AdmissionTicket, now_s: float) -> bool:
        return now_s > self.latest_start_s(ticket)

    def _duration_s(self, ticket: AdmissionTicket) -> float:
        return ticket.cost * self.forecast.s_per_token

    def _predict_wait_s(self, organisation: OrganisationId) -> float:
        """Return the seconds until the requests ahead and a new one have ended."""
        n_ahead = self._queue.count_ahead(organisation) + 1
        n_over = max(0.0, self._n_running - self._share.quota)
        return (n_ahead + n_over) / self._completion_rate()

    def _completion_rate(self) -> float:
        """Return the predicted number of requests that end here per second."""
        if not self.forecast.mean_duration_s:
            return float("inf")
        n_busy = max(1.0, min(self._share.quota, self._n_running))
        return n_busy / self.forecast.mean_duration_s

    def _refuse(self, ticket: AdmissionTicket, overrun_s: float) -> AdmissionResult:
        n_own = self._waiting[ticket.organisation] + self._running[ticket.organisation]
        n_total = self._n_running + len(self._queue)
        weights = {
            o: self._weight_of(o) for o in self._running.keys() | self._waiting.keys()
        }
        weights.setdefault(ticket.organisation, self._weight_of(ticket.organisation))
        fair_share = n_total * weights[ticket.organisation] / sum(weights.values())
        return AdmissionResult(
            ticket,
            Decision.REFUSED,
            max(MIN_RETRY_AFTER_S, overrun_s),
            is_over_share=len(weights) > 1 and n_own > fair_share,
        )

    def _weight_of(self, organisation: OrganisationId) -> float:
        factor = self._share.weight_factors.get(organisation, 1.0)
        return max(1e-6, self._policy_weight_of(organisation) * factor)


def _decrease(counter: Counter[OrganisationId], organisation: OrganisationId) -> None:
    counter[organisation] -= 1
    if counter[organisation] <= 0:
        del counter[organisation]
