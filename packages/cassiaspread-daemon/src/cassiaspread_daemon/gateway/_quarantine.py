"""Quarantine of requests that crash the targets that run them.

Each target that ends under a request is recorded under the request's fingerprint. A
fingerprint under which targets ended again and again is refused by all daemons; see
``cassiaspread_core.quarantine.find_crashing`` for the rule.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from enum import Enum

import msgspec

from cassiaspread_core.base import Outcome, Refusal, TargetId
from cassiaspread_core.placement import Engine
from cassiaspread_core.quarantine import (
    N_ROUNDS,
    Fingerprint,
    Loss,
    SuspectRecord,
    SuspectTable,
    find_crashing,
    is_expired,
)
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._job import (
    NO_ORGANISATION,
    Job,
    now,
    unix_time_s,
)
from cassiaspread_daemon.gateway._loss_probe import LossProbe, ProbeResult

# Time after the last loss for which a fingerprint is refused, in seconds; the default
# of the configuration of ``cassiaspreadd``.
QUARANTINE_S = 3600.0
# Time for which a cleared record is kept, so that peers learn of it, in seconds.
CLEARED_LIFETIME_S = 60.0
EXPIRY_INTERVAL_S = 5.0
# About 300 KB; an engine that ends leaves one record for each of its requests.
MAX_RECORDS = 2000
# A retry waits for the probe of the lost target for this long, in seconds; longer than
# a connection within a region takes.
PROBE_WAIT_S = 0.02
# Number of renewals of an entry, read one after the other after the loss of its target,
# that prove that the target did not end. Renewals written before the loss may be read
# after it, but no more than two.
N_RENEWALS_ALIVE = 3


# Renewals that are read within this time count once, in seconds: a daemon that was
# paused or cut off reads old ones in quick succession.
MIN_RENEWAL_GAP_S = 1.0


class Source(Enum):
    """Where a change of a record came from."""

    OWN = "own"
    PEER = "peer"
    STORE = "store"


class RunStart(msgspec.Struct, frozen=True):
    """What was known of a request's fingerprint when one of its runs began.

    :param round: round of the losses of the run.
    :param known: losses recorded so far, refuted and cleared ones included.
    """

    round: int
    known: frozenset[tuple[TargetId, str]]


class _Renewals(msgspec.Struct):
    """Renewals of a lost target's entry.

    :param n: number of renewals, those in quick succession counted once.
    :param last_s: time of the last one counted, in seconds.
    """

    n: int = 0
    last_s: float = float("-inf")


ChangeCallback = Callable[[SuspectRecord, Source], None]


class Quarantine:
    """Records targets lost under requests and refuses the requests that crash them.

    :param is_unreachable: returns whether a target's failure domain seems to be cut
        off, so that its silence is no evidence of its end.
    :param supervisor: runs probes.
    :param log: receives a line for each loss, each verdict and each refusal.
    """

    def __init__(
        self,
        is_unreachable: Callable[[Engine], bool],
        supervisor: Supervisor,
        log: DecisionLog,
    ) -> None:
        self._is_unreachable = is_unreachable
        self._supervisor = supervisor
        self._log = log
        self._probe = LossProbe()
        self._table = SuspectTable(MAX_RECORDS)
        self._crashing: frozenset[Fingerprint] = frozenset()
        # Fingerprints with enough rounds to be refused; without any, no verdict can
        # change.
        self._candidates: set[Fingerprint] = set()
        self._renewals: dict[tuple[TargetId, str], _Renewals] = {}
        self.change_callbacks: list[ChangeCallback] = []
        self.expiry_callbacks: list[Callable[[Fingerprint], None]] = []
        self.verdict_callbacks: list[Callable[[], None]] = []

    @property
    def n_suspects(self) -> int:
        """Records held, cleared ones included."""
        return len(self._table)

    @property
    def n_crashing(self) -> int:
        """Fingerprints that are refused."""
        return len(self._crashing)

    def records(self) -> list[SuspectRecord]:
        """List all records."""
        return self._table.suspects()

    def find(self, fingerprint: Fingerprint) -> SuspectRecord | None:
        """Return the record of a fingerprint, if there is one.

        :param fingerprint: the fingerprint.
        """
        return self._table.find(fingerprint)

    def begin_run(self, job: Job) -> RunStart:
        """Return what is known of a request as it is sent to a target.

        :param job: the request.
        """
        record = self._table.find(job.fingerprint)
        losses = () if record is None else record.losses
        return RunStart(
            self._table.next_round(job.fingerprint),
            frozenset(loss.key for loss in losses),
        )

    def is_refused(self, job: Job) -> bool:
        """Return whether requests with a fingerprint crash their targets.

        :param job: a request with the fingerprint.
        """
        return job.fingerprint in self._crashing

    def check(self, job: Job, has_run: bool, now_s: float) -> None:
        """Check that a request may be sent to a target.

        :param job: the request.
        :param has_run: whether an earlier attempt of it may have run.
        :param now_s: current time, in seconds since the epoch.
        :raises Refusal: requests with its fingerprint crash their targets.
        """
        if not self.is_refused(job):
            return
        record = self._table.find(job.fingerprint)
        assert record is not None
        retry_after_s = max(1.0, record.last_s + QUARANTINE_S - now_s)
        self._log.record(
            "request.quarantined",
            request=job.parameters.request_id,
            has_run=has_run,
            retry_after_s=round(retry_after_s),
            **_describe(record, now_s),
        )
        detail = f"{len(record.counted)} targets ended while they ran this request."
        if has_run:
            raise Refusal(502, "quarantined", detail, Outcome.UNKNOWN)
        raise Refusal(503, "quarantined", detail, retry_after_s=retry_after_s)

    async def record_interruption(
        self, job: Job, engines: Sequence[Engine], run: RunStart, position: int = 0
    ) -> None:
        """Record the targets that ended under a request.

        Returns when the targets were probed, or shortly afterwards while the probes
        still run; at once if the deadline of the request has passed.

        :param job: the request.
        :param engines: targets that may have ended.
        :param run: start of the interrupted run.
        :param position: events of the answer that had arrived.
        """
        is_probed = asyncio.Event()

        async def probe() -> None:
            try:
                results = await asyncio.gather(
                    *(self._is_lost(engine) for engine in engines)
                )
            finally:
                is_probed.set()
            for engine, is_lost in zip(engines, results, strict=True):
                if is_lost:
                    self._record_loss(job, engine, run, position)

        self._supervisor.start_once(f"probe-{job.parameters.request_id}-{now()}", probe)
        with suppress(TimeoutError):
            remaining_s = max(0.0, job.remaining_s(now()))
            async with asyncio.timeout(min(PROBE_WAIT_S, remaining_s)):
                await is_probed.wait()

    def record_answer(self, job: Job, now_s: float) -> None:
        """Record that a target answered a request, and so survived it.

        :param job: the request.
        :param now_s: current time, in seconds since the epoch.
        """
        record = self._table.clear(job.fingerprint, now_s)
        if record is not None:
            self._log.record(
                "suspect.cleared",
                request=job.parameters.request_id,
                fingerprint=record.fingerprint,
                n_losses=len(record.losses),
            )
            self._handle_change(record, Source.OWN, now_s)

    def record_renewal(self, engine: Engine, read_s: float, now_s: float) -> None:
        """Record that a target renewed its entry in the list of targets.

        :param engine: the target as in the renewed entry.
        :param read_s: current time on the monotonic clock, in seconds.
        :param now_s: current time, in seconds since the epoch.
        """
        key = engine.target, str(engine.incarnation)
        renewals = self._renewals.get(key)
        if renewals is None or read_s - renewals.last_s < MIN_RENEWAL_GAP_S:
            return
        renewals.n += 1
        renewals.last_s = read_s
        if renewals.n < N_RENEWALS_ALIVE:
            return
        del self._renewals[key]
        self._log.record("target.alive", target=engine.target, incarnation=key[1])
        for record in self._table.refute([key]):
            self._handle_change(record, Source.OWN, now_s)

    def merge(self, record: SuspectRecord, source: Source, now_s: float) -> None:
        """Merge a record of another daemon.

        :param record: the record.
        :param source: where it came from.
        :param now_s: current time, in seconds since the epoch.
        """
        if is_record_expired(record, now_s) or not self._table.merge(record):
            return
        merged = self._table.find(record.fingerprint)
        if merged is not None:
            self._handle_change(merged, source, now_s)

    async def run_expiry(self) -> None:
        """Remove expired records periodically until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.expire(unix_time_s())

    def expire(self, now_s: float) -> None:
        """Remove expired records.

        :param now_s: current time, in seconds since the epoch.
        """
        expired = self._table.expire(now_s, QUARANTINE_S, CLEARED_LIFETIME_S)
        for record in expired:
            for callback in self.expiry_callbacks:
                callback(record.fingerprint)
        if expired:
            self._judge(Source.OWN, now_s)
        counted = {loss.key for r in self._table.suspects() for loss in r.counted}
        self._renewals = {k: r for k, r in self._renewals.items() if k in counted}

    async def _is_lost(self, engine: Engine) -> bool:
        result = await self._probe.run(engine.address, now())
        if result is ProbeResult.SILENT:
            return not self._is_unreachable(engine)
        return result is ProbeResult.REFUSED

    def _record_loss(
        self, job: Job, engine: Engine, run: RunStart, position: int
    ) -> None:
        now_s = unix_time_s()
        incarnation = str(engine.incarnation)
        if (engine.target, incarnation) in run.known:
            # It ended before and ran the request since, so it has been restarted. The
            # list of targets may not show that yet.
            incarnation = f"{incarnation}.{len(run.known)}"
        loss = Loss(engine.target, incarnation, position, now_s, round=run.round)
        record = SuspectRecord(
            fingerprint=job.fingerprint,
            organisation=job.organisation or NO_ORGANISATION,
            subject=job.service.name,
            losses=(loss,),
        )
        if not self._table.merge(record):
            return
        record = self._table.find(job.fingerprint) or record
        self._log.record(
            "target.lost",
            request=job.parameters.request_id,
            target=engine.target,
            incarnation=loss.incarnation,
            round=run.round,
            position=position,
            shared_parts=job.parameters.shared_parts,
            **_describe(record, now_s),
        )
        self._handle_change(record, Source.OWN, now_s)

    def _handle_change(
        self, record: SuspectRecord, source: Source, now_s: float
    ) -> None:
        for loss in record.counted:
            self._renewals.setdefault(loss.key, _Renewals())
        if record.n_rounds >= N_ROUNDS:
            self._candidates.add(record.fingerprint)
        for callback in self.change_callbacks:
            callback(record, source)
        self._judge(source, now_s)

    def _judge(self, source: Source, now_s: float) -> None:
        if not self._candidates:
            return
        before, self._crashing = self._crashing, find_crashing(self._table.suspects())
        self._candidates = {
            fingerprint
            for fingerprint in self._candidates
            if (record := self._table.find(fingerprint)) is not None
            and record.n_rounds >= N_ROUNDS
        }
        for fingerprint in self._crashing - before:
            record = self._table.find(fingerprint)
            if record is not None:
                self._log.record(
                    "quarantine.imposed",
                    source=source.value,
                    **_describe(record, now_s),
                )
        for fingerprint in before - self._crashing:
            self._log.record(
                "quarantine.lifted", source=source.value, fingerprint=fingerprint
            )
        if self._crashing != before:
            for callback in self.verdict_callbacks:
                callback()


def is_record_expired(record: SuspectRecord, now_s: float) -> bool:
    """Return whether a record is no longer kept.

    :param record: the record.
    :param now_s: current time, in seconds since the epoch.
    """
    return is_expired(record, now_s, QUARANTINE_S, CLEARED_LIFETIME_S)


def _describe(record: SuspectRecord, now_s: float) -> dict[str, object]:
    """Return the fields of a log line that a decision on a record is based on."""
    return {
        "fingerprint": record.fingerprint,
        "targets": [loss.target for loss in record.counted],
        "n_rounds": record.n_rounds,
        "last_loss_age_s": round(now_s - record.last_s, 1),
    }
