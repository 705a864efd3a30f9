"""Order of the requests that wait for room at all daemons of a failure domain.

When engines are lost, each daemon of a domain has a few requests that wait for the same
chains. Ordered at each daemon alone, a request that may wait begins at one daemon
before an urgent one at another. Daemons therefore tell each other what waits and what
began, and one with room holds back its less urgent requests for a moment.
"""

import random
from collections.abc import Callable, Container, Sequence
from typing import NamedTuple

import msgspec

from cassiaspread_core.admission._entry_order import (
    IN_TIME_TURNS,
    EntryOrder,
    WaitingCount,
    WaitingRequest,
)
from cassiaspread_core.admission._fair_queue import AdmissionTicket
from cassiaspread_core.admission._waiting import (
    MAX_RETRY_AFTER_S,
    MIN_COMPLETIONS_PER_S,
    MIN_RETRY_AFTER_S,
)
from cassiaspread_core.base import RATE_WINDOW_S, Count, EventRate, OrganisationId

# Time for which a report of another daemon is used, in seconds. Daemons report at least
# once a second, so that the loss of one report does not matter.
REPORT_LIFETIME_S = 2.0
# Part of the domain's starts that requests get while more urgent ones wait. Callers of
# the least urgent work are served more slowly, but are served.
MINIMUM_SHARE = 0.125
# Factor on it while they got less than it within the last seconds.
CATCH_UP = 3.0
# Rank of requests that are late, after all others.
LATE = 2**31
# Time for which a request leaves room that it could use to more urgent ones elsewhere,
# in seconds. A round of gossip has reached the other daemons by then; if there is still
# room, they have no use for it.
HOLD_S = 0.2
# Requests are held back for up to this multiple, at random, so that they do not all use
# the same room.
HOLD_SPREAD = 2.0


class PriorityReport(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon reports of the requests of one service and priority.

    :param priority: rank; 0 is served first.
    :param n_in_time: requests that wait and can still be answered in time.
    :param n_late: requests that wait and can't.
    :param n_starts: requests that began within the last ``RATE_WINDOW_S`` seconds.
    :param n_refused: requests that were refused within them.
    """

    priority: Count
    n_in_time: Count
    n_late: Count
    n_starts: Count
    n_refused: Count


class Forecast(NamedTuple):
    """Predicted start of a request.

    :param n_ahead: requests of the domain that begin before it.
    :param wait_s: its predicted wait in seconds.
    """

    n_ahead: int
    wait_s: float


class _Rates:
    def __init__(self) -> None:
        self.starts = EventRate()
        self.refusals = EventRate()


class DomainQueue:
    """Requests that wait at this daemon for one service, and what waits elsewhere.

    :param weight_of: returns the weight of an organisation, above 0.
    :param random_state: random number generator.

    >>> queue = DomainQueue(lambda organisation: 1.0, random.Random(0))
    >>> ticket = AdmissionTicket(
    ...     number=1, organisation="osorno", cost=1.0, deadline_s=9.0
    ... )
    >>> queue.push(WaitingRequest(ticket=ticket, priority=2, useful_until_s=9.0))
    >>> queue.record_report("peer", (PriorityReport(0, 1, 0, 0, 0),), now_s=1.0)
    >>> queue.first(now_s=1.1) is None, queue.held(now_s=1.1).number
    (True, 1)
    >>> queue.first(now_s=1.1 + REPORT_LIFETIME_S).number
    1
    """

    def __init__(
        self,
        weight_of: Callable[[OrganisationId], float],
        random_state: random.Random,
    ) -> None:
        self._order = EntryOrder(weight_of)
        self._random_state = random_state
        self._rates: dict[int, _Rates] = {}
        self._reports: dict[str, tuple[float, Sequence[PriorityReport] | None]] = {}
        # Starts that less urgent requests are due, and when this was last computed.
        self._credit = 0.0
        self._credited_s = float("-inf")
        # Times until which requests leave the room that they have seen to others.
        self._held_until_s: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._order)

    def push(self, request: WaitingRequest) -> None:
        """Add a request.

        :param request: the request.
        """
        self._order.push(request)

    def remove(self, ticket: AdmissionTicket) -> None:
        """Remove a request; does nothing if it does not wait.

        :param ticket: the request.
        """
        self._order.remove(ticket)
        self._held_until_s.pop(ticket.number, None)

    def first(
        self, now_s: float, excluded: Container[int] = ()
    ) -> AdmissionTicket | None:
        """Return the request that may use room, if there is any.

        :param now_s: current time, in seconds.
        :param excluded: numbers of tickets that can't use the room.
        :returns: ``None`` if no other request waits or all are held back.
        """
        priorities = self._order.priorities()
        if not priorities:
            return None
        self._update_credit(now_s)
        if self._credit >= 1.0:
            ticket = self._oldest_less_urgent(now_s, excluded)
            if ticket is not None:
                return ticket
        if self._order.is_turn_of_late:
            ticket = self._order.first_late(now_s, excluded)
            if ticket is not None:
                return ticket
        for priority in priorities:
            ticket = self._order.first(priority, now_s, excluded)
            if ticket is not None:
                return None if self._is_held(ticket, priority, now_s) else ticket
        # Late ones leave room to those in time as less urgent ones do.
        ticket = self._order.first_late(now_s, excluded)
        if ticket is None or self._is_held(ticket, LATE, now_s):
            return None
        return ticket

    def held(
        self, now_s: float, excluded: Container[int] = ()
    ) -> AdmissionTicket | None:
        """Return the next request if it leaves room to more urgent ones elsewhere.

        :param now_s: current time, in seconds.
        :param excluded: numbers of tickets that can't use the room.
        """
        for priority in self._order.priorities():
            ticket = self._order.first(priority, now_s, excluded)
            if ticket is not None:
                return ticket if self._is_held(ticket, priority, now_s) else None
        ticket = self._order.first_late(now_s, excluded)
        is_held = ticket is not None and self._is_held(ticket, LATE, now_s)
        return ticket if is_held else None

    def hopeless(self, now_s: float) -> list[AdmissionTicket]:
        """List the requests that are late and are predicted not to begin in their wait.

        :param now_s: current time, in seconds.
        """
        late = self._order.late(now_s)
        end_s = now_s + self._late_wait_s(now_s) if late else now_s
        return [ticket for ticket in late if end_s > ticket.deadline_s]

    def begin(self, ticket: AdmissionTicket, now_s: float) -> None:
        """Remove a request that has got room.

        :param ticket: the request, as returned by ``first``.
        :param now_s: current time, in seconds.
        """
        if ticket == self._oldest_less_urgent(now_s, ()):
            self._credit = max(0.0, self._credit - 1.0)
        self._order.begin(ticket)
        self._held_until_s.pop(ticket.number, None)

    def record_room(self, ticket: AdmissionTicket, now_s: float) -> bool:
        """Record that there is room for a request that is held back.

        :param ticket: the request.
        :param now_s: current time, in seconds.
        :returns: whether it is the first time for this request.
        """
        if ticket.number in self._held_until_s:
            return False
        hold_s = HOLD_S * self._random_state.uniform(1.0, HOLD_SPREAD)
        self._held_until_s[ticket.number] = now_s + hold_s
        return True

    def record_start(self, priority: int, now_s: float) -> None:
        """Record that a request was sent to its chain.

        :param priority: its rank.
        :param now_s: current time, in seconds.
        """
        self._rates.setdefault(priority, _Rates()).starts.record(now_s)

    def record_refusal(self, priority: int, now_s: float) -> None:
        """Record that a request was refused with a retry time.

        :param priority: its rank.
        :param now_s: current time, in seconds.
        """
        self._rates.setdefault(priority, _Rates()).refusals.record(now_s)

    def record_report(
        self, peer: str, reports: Sequence[PriorityReport] | None, now_s: float
    ) -> None:
        """Replace what another daemon of the domain reported.

        :param peer: name of the daemon.
        :param reports: its requests, by priority; ``None`` if it reported none since it
            knows of none that wait.
        :param now_s: current time, in seconds.
        """
        self._reports[peer] = (now_s, reports)

    def report(self, now_s: float) -> tuple[PriorityReport, ...] | None:
        """Return what this daemon reports to the others of its domain.

        :param now_s: current time, in seconds.
        :returns: ``None`` while nothing waits in the domain and none was refused.
        """
        if any(_is_waiting(r) or r.n_refused for r in self._all_reports(now_s)):
            return tuple(self._own_reports(now_s))
        return None

    def forecast(
        self, priority: int, now_s: float, is_returning: bool = False
    ) -> Forecast:
        """Predict when a request that does not wait yet begins.

        :param priority: its rank.
        :param now_s: current time, in seconds.
        :param is_returning: whether its turn had come before.
        """
        n_ahead = self._count_ahead(priority, now_s, is_returning)
        return Forecast(n_ahead, self._wait_s(priority, n_ahead + 1, now_s))

    def retry_after_s(self, priority: int, now_s: float) -> float:
        """Return the time after which a refused caller should retry, in seconds.

        Callers that were refused before return earlier, and so do more urgent ones.

        :param priority: rank of the request.
        :param now_s: current time, in seconds.
        """
        n_refused = sum(
            r.n_refused for r in self._all_reports(now_s) if r.priority <= priority
        )
        n_before = self._count_ahead(priority, now_s) + n_refused + 1
        wait_s = n_before / self._starts_per_s(priority, now_s)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def is_most_urgent(self, priority: int, now_s: float) -> bool:
        """Return whether the domain has no more urgent requests.

        :param priority: rank of a request.
        :param now_s: current time, in seconds.
        """
        return all(r.priority >= priority for r in self._all_reports(now_s))

    def count_waiting(self, now_s: float) -> int:
        """Return the number of requests that wait in the domain.

        :param now_s: current time, in seconds.
        """
        return sum(r.n_in_time + r.n_late for r in self._all_reports(now_s))

    def _most_urgent(self, now_s: float) -> int:
        """Return the rank of the most urgent request in time that waits anywhere."""
        waiting = (r for r in self._all_reports(now_s) if r.n_in_time)
        return min((r.priority for r in waiting), default=0)

    def _is_held(self, ticket: AdmissionTicket, priority: int, now_s: float) -> bool:
        if self._order.is_sent(ticket):
            return False
        is_elsewhere = any(
            r.priority < priority and r.n_in_time
            for reports in self._peer_reports(now_s)
            for r in reports
        )
        return is_elsewhere and now_s < self._held_until_s.get(
            ticket.number, float("inf")
        )

    def _update_credit(self, now_s: float) -> None:
        """Give the daemons whose requests are held back their part of the share."""
        # They wait meanwhile only if this is called often.
        elapsed_s = min(now_s - self._credited_s, HOLD_S)
        self._credited_s = now_s
        most_urgent = self._most_urgent(now_s)
        if elapsed_s <= 0 or not _is_less_urgent_waiting(
            self._own_reports(now_s), most_urgent
        ):
            return
        n_holding = 1 + sum(
            _is_less_urgent_waiting(reports, most_urgent)
            for reports in self._peer_reports(now_s)
        )
        reports = self._all_reports(now_s)
        n_due = MINIMUM_SHARE * sum(r.n_starts for r in reports)
        n_started = sum(r.n_starts for r in reports if r.priority > most_urgent)
        starts_per_s = MINIMUM_SHARE * self._total_starts_per_s(now_s)
        if n_started < n_due:
            # Some that are due a start leave before their daemon has a whole one.
            starts_per_s *= CATCH_UP
        self._credit = min(1.0, self._credit + elapsed_s * starts_per_s / n_holding)

    def _oldest_less_urgent(
        self, now_s: float, excluded: Container[int]
    ) -> AdmissionTicket | None:
        most_urgent = self._most_urgent(now_s)
        tickets = [
            self._order.first(priority, now_s, excluded)
            for priority in self._order.priorities()
            if priority > most_urgent
        ]
        tickets.append(self._order.first_late(now_s, excluded, after=most_urgent))
        return min(
            (ticket for ticket in tickets if ticket is not None),
            key=lambda ticket: ticket.number,
            default=None,
        )

    def _late_wait_s(self, now_s: float) -> float:
        """Predict the wait of a request that is late, in seconds."""
        reports = self._all_reports(now_s)
        # Half of the others that are late begin before it on average.
        n_late = (sum(r.n_late for r in reports) - 1) / 2
        n_in_time = sum(r.n_in_time for r in reports)
        n_before = n_late + min(n_in_time, IN_TIME_TURNS * n_late)
        return n_before / self._total_starts_per_s(now_s)

    def _wait_s(self, priority: int, n_starts: float, now_s: float) -> float:
        """Predict the time until some requests have begun, in seconds.

        :param priority: rank of the last one.
        :param n_starts: number of the requests.
        :param now_s: current time, in seconds.
        """
        wait_s = n_starts / self._starts_per_s(priority, now_s)
        most_urgent = self._most_urgent(now_s)
        if priority <= most_urgent:
            return wait_s
        # Less urgent requests share the starts that they are due in any case.
        n_more_urgent = sum(
            r.n_in_time for r in self._all_reports(now_s) if r.priority == most_urgent
        )
        due_per_s = MINIMUM_SHARE * self._total_starts_per_s(now_s)
        return min(wait_s, max(0.0, n_starts - n_more_urgent) / due_per_s)

    def _count_ahead(
        self, priority: int, now_s: float, is_returning: bool = False
    ) -> int:
        n_ahead = sum(
            r.n_in_time for r in self._all_reports(now_s) if r.priority <= priority
        )
        if is_returning:
            own = self._order.counts(now_s).get(priority, WaitingCount())
            n_ahead -= own.in_time
        return n_ahead

    def _starts_per_s(self, priority: int, now_s: float) -> float:
        """Predict the starts per second of a priority and those more urgent that wait.

        Requests that are more urgent and arrive later begin before as well.
        """
        reports = self._all_reports(now_s)
        total = self._total_starts_per_s(now_s)
        n_urgent = sum(r.n_starts for r in reports if r.priority < priority)
        n_starts = sum(r.n_starts for r in reports)
        urgent = total * n_urgent / max(1, n_starts)
        is_less_urgent_waiting = any(
            r.priority > priority and r.n_in_time for r in reports
        )
        reserved = MINIMUM_SHARE * total if is_less_urgent_waiting else 0.0
        return max(total - urgent - reserved, MINIMUM_SHARE * total)

    def _total_starts_per_s(self, now_s: float) -> float:
        reporting = self._peer_reports(now_s)
        n_starts = sum(r.n_starts for r in self._all_reports(now_s))
        # Daemons that report none begin as many as the others do on average.
        scale = (1 + len(self._reports)) / (1 + len(reporting))
        return max(MIN_COMPLETIONS_PER_S, scale * n_starts / RATE_WINDOW_S)

    def _all_reports(self, now_s: float) -> list[PriorityReport]:
        reports = self._own_reports(now_s)
        for peer_reports in self._peer_reports(now_s):
            reports.extend(peer_reports)
        return reports

    def _own_reports(self, now_s: float) -> list[PriorityReport]:
        counts = self._order.counts(now_s)
        reports = []
        for priority in sorted({*counts, *self._rates}):
            waiting = counts.get(priority, WaitingCount())
            rates = self._rates.get(priority, _Rates())
            report = PriorityReport(
                priority,
                waiting.in_time,
                waiting.late,
                rates.starts.count(now_s),
                rates.refusals.count(now_s),
            )
            if _is_waiting(report) or report.n_starts or report.n_refused:
                reports.append(report)
        return reports

    def _peer_reports(self, now_s: float) -> list[Sequence[PriorityReport]]:
        """List the current reports of the other daemons that reported any."""
        oldest_s = now_s - REPORT_LIFETIME_S
        expired = [p for p, (at_s, _) in self._reports.items() if at_s <= oldest_s]
        for peer in expired:
            del self._reports[peer]
        return [r for _, r in self._reports.values() if r is not None]


def _is_less_urgent_waiting(reports: Sequence[PriorityReport], rank: int) -> bool:
    return any(_is_waiting(r) and r.priority > rank for r in reports)


def _is_waiting(report: PriorityReport) -> bool:
    return report.n_in_time + report.n_late > 0
