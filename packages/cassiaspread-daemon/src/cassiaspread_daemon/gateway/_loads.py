"""Gossip of the load in progress on engines, of unreachable and of paced targets.

Daemons of one domain exchange their own load and the pace of targets. A daemon of
another domain receives the domain's total, from whichever of its daemons it gossips
with.
"""

from collections.abc import Callable

import msgspec

from cassiaspread_core.admission import PriorityReport
from cassiaspread_core.base import Count, DomainId, ServiceId, TargetId
from cassiaspread_core.chains import LoadLedger, StageLoad
from cassiaspread_core.targets import PaceRow, TargetHealth, TargetPaces
from cassiaspread_daemon.gateway._domain_capacity_queue import DomainCapacityQueue
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.mesh import Mesh, Sender

TOPIC = "engine-loads"
# The load of a daemon that has not reported for this long, in seconds, is considered
# to have ended.
PEER_TIMEOUT_S = 3.0
MILLISECONDS_PER_SECOND = 1000

# Load of one engine: number of sequences, cache in tokens times layers, and number of
# requests of which it is the head.
Row = tuple[Count, Count, Count]


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load reported by a daemon.

    :param own: load of the daemon itself, by engine; for daemons of its domain.
    :param domain: load of all daemons of its domain, by engine; for those of others.
    :param unreachable_ms: time since it found each target unreachable, in milliseconds.
    :param avoided_ms: for how much longer it sends nothing to targets that turned its
        requests away, in milliseconds.
    :param is_total: whether the report is for daemons of other domains.
    :param paces: limits of paced targets that the daemon has changed a short time ago;
        for daemons of its domain.
    :param waiting: requests that wait and that began, by service and priority; for
        daemons of its domain.
    """

    own: dict[TargetId, Row]
    domain: dict[TargetId, Row]
    unreachable_ms: dict[TargetId, Count] = {}
    avoided_ms: dict[TargetId, Count] = {}
    is_total: bool = False
    paces: dict[TargetId, PaceRow] = {}
    waiting: dict[ServiceId, tuple[PriorityReport, ...]] = {}


class LoadSharing:
    """Exchanges the load in progress with other daemons.

    :param domain: failure domain of this daemon.
    :param mesh: messages between daemons.
    :param ledger: load in progress.
    :param health: health of the targets.
    :param on_report: called after a peer reported its load.
    :param paces: pace of targets; ``None`` if they are not paced.
    :param queue: requests that wait; ``None`` if daemons do not share their order.
    """

    def __init__(
        self,
        domain: DomainId,
        mesh: Mesh,
        ledger: LoadLedger,
        health: TargetHealth,
        on_report: Callable[[], None],
        paces: TargetPaces | None = None,
        queue: DomainCapacityQueue | None = None,
    ) -> None:
        self._domain = domain
        self._paces = paces
        self._on_report = on_report
        self._queue = queue
        self._ledger = ledger
        self._health = health
        self._domain_ledger = LoadLedger()
        mesh.add_topic(
            TOPIC,
            self._produce,
            LoadReport,
            self._consume,
            self._produce_cross_domain,
        )

    def count_domain_daemons(self) -> int:
        """Return the number of daemons in the domain, including this one."""
        return 1 + self._domain_ledger.n_peers

    def _produce(self) -> LoadReport:
        own = {target: _to_row(load) for target, load in self._ledger.own.items()}
        paces = {} if self._paces is None else self._paces.rows(now())
        waiting = {} if self._queue is None else self._queue.report()
        return self._to_report(own=own, paces=paces, waiting=waiting)

    def _produce_cross_domain(self) -> LoadReport:
        own = self._ledger.own
        self._domain_ledger.remove_expired(now(), PEER_TIMEOUT_S)
        self._ledger.remove_expired(now(), PEER_TIMEOUT_S)
        domain = {target: _to_row(load) for target, load in own.items()}
        for target in self._domain_ledger.targets():
            load = self._domain_ledger.total(target)
            if target in own:
                load = StageLoad(0, 0.0, 0)
                load.add(self._domain_ledger.total(target))
                load.add(own[target])
            domain[target] = _to_row(load)
        return self._to_report(domain=domain)

    def _to_report(
        self,
        own: dict[TargetId, Row] | None = None,
        domain: dict[TargetId, Row] | None = None,
        paces: dict[TargetId, PaceRow] | None = None,
        waiting: dict[ServiceId, tuple[PriorityReport, ...]] | None = None,
    ) -> LoadReport:
        return LoadReport(
            own or {},
            domain or {},
            _to_ms(self._health.unreachable_ages_s(now())),
            _to_ms(self._health.avoided_s(now())),
            is_total=domain is not None,
            paces=paces or {},
            waiting=waiting or {},
        )

    def _consume(self, report: LoadReport, sender: Sender) -> None:
        now_s = now()
        for target, age_ms in report.unreachable_ms.items():
            at_s = now_s - age_ms / MILLISECONDS_PER_SECOND
            self._health.record_reported_unreachable(target, at_s, now_s)
        for target, duration_ms in report.avoided_ms.items():
            duration_s = duration_ms / MILLISECONDS_PER_SECOND
            self._health.record_reported_avoidance(target, duration_s, now_s)
        if sender.domain == self._domain:
            self._take_paces(report.paces, now_s)
            if self._queue is not None:
                self._queue.record_report(sender.incarnation, report.waiting)
            loads = _to_loads(report.own)
            self._domain_ledger.record_peer_load(sender.incarnation, loads, now())
            self._ledger.record_peer_load(sender.incarnation, loads, now())
        elif report.is_total:
            # Otherwise the sender took this daemon for one of its own domain.
            self._ledger.record_peer_load(
                sender.domain, _to_loads(report.domain), now()
            )
        self._on_report()

    def _take_paces(self, rows: dict[TargetId, PaceRow], now_s: float) -> None:
        if self._paces is None:
            return
        # What this daemon has just found itself takes precedence.
        unreachable = self._health.unreachable_ages_s(now_s)
        rows = {
            target: row for target, row in rows.items() if target not in unreachable
        }
        for target in self._paces.record_report(rows, now_s):
            self._health.record_recovery(target, now_s)


def _to_ms(times_s: dict[TargetId, float]) -> dict[TargetId, int]:
    return {t: round(time_s * MILLISECONDS_PER_SECOND) for t, time_s in times_s.items()}


def _to_row(load: StageLoad) -> Row:
    return load.n_sequences, round(load.token_layers), load.n_heads


def _to_loads(rows: dict[TargetId, Row]) -> dict[TargetId, StageLoad]:
    return {target: StageLoad(*row) for target, row in rows.items()}
