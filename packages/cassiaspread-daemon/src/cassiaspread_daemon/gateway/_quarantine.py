"""Quarantine of requests that crash the targets that run them.

Each target that ends under a request is recorded under the request's fingerprint, and
under the shared parts of its prompt if its answer had not gone on. All daemons refuse
what targets ended under again and again; ``cassiaspread_core.quarantine`` decides.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from enum import Enum

import msgspec

from cassiaspread_core.base import Outcome, Refusal, TargetId
from cassiaspread_core.placement import Engine
from cassiaspread_core.quarantine import (
    CrashJudge,
    Fingerprint,
    RunStart,
    SuspectKind,
    SuspectRecord,
    is_expired,
)
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._job import (
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
# About 600 KB; an engine that ends leaves one record for each of its requests, and one
# for each part of the prompts of those whose answers had not gone on.
MAX_RECORDS = 2000
# Number of lost targets that a log line names.
MAX_TARGETS_LOGGED = 8
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
    :param spread: number from 0 to 1, different for each daemon, that delays its trials
        of what is refused.
    """

    def __init__(
        self,
        is_unreachable: Callable[[Engine], bool],
        supervisor: Supervisor,
        log: DecisionLog,
        spread: float = 0.0,
    ) -> None:
        self._is_unreachable = is_unreachable
        self._supervisor = supervisor
        self._log = log
        self._probe = LossProbe()
        self._judge = CrashJudge(MAX_RECORDS, spread)
        # Verdicts that callbacks and log have.
        self._reported: frozenset[Fingerprint] = frozenset()
        self._renewals: dict[tuple[TargetId, str], _Renewals] = {}
        self.change_callbacks: list[ChangeCallback] = []
        self.expiry_callbacks: list[Callable[[Fingerprint], None]] = []
        self.verdict_callbacks: list[Callable[[], None]] = []

    @property
    def n_suspects(self) -> int:
        """Records held, cleared ones included."""
        return len(self._judge.table)

    @property
    def n_crashing(self) -> int:
        """Fingerprints that are refused."""
        return len(self._judge.crashing)

    def records(self) -> list[SuspectRecord]:
        """List all records."""
        return self._judge.table.suspects()

    def find(self, fingerprint: Fingerprint) -> SuspectRecord | None:
        """Return the record of a fingerprint, if there is one.

        :param fingerprint: the fingerprint.
        """
        return self._judge.table.find(fingerprint)

    def begin_run(self, job: Job) -> RunStart:
        """Return what is known of a request as it is sent to a target.

        :param job: the request.
        """
        return self._judge.begin_run(job.traits)

    def is_refused(self, job: Job) -> bool:
        """Return whether requests like one crash their targets.

        :param job: the request.
        """
        return self._judge.find_refusal(job.traits) is not None

    def check(self, job: Job, has_run: bool, now_s: float) -> None:
        """Check that a request may be sent to a target.

        :param job: the request.
        :param has_run: whether an earlier attempt of it may have run.
        :param now_s: current time, in seconds since the epoch.
        :raises Refusal: requests like it crash their targets.
        """
        record = self._judge.find_refusal(job.traits)
        if record is None:
            return
        line = {"request": job.parameters.request_id, **_describe(record, now_s)}
        is_part = record.kind is SuspectKind.PROMPT_PART
        if is_part:
            index = job.part_fingerprints.index(record.fingerprint)
            line["part"] = job.parameters.shared_parts[index]
        if self._judge.may_try(record, job.parameters.request_id, now_s):
            self._log.record("request.tried", **line)
            return
        if is_part:
            end_s = self._judge.next_trial_s(record)
            what = "requests with one part of this prompt"
        else:
            end_s, what = record.last_s + QUARANTINE_S, "this request"
        retry_after_s = max(1.0, end_s - now_s)
        self._log.record(
            "request.quarantined",
            has_run=has_run,
            retry_after_s=round(retry_after_s),
            **line,
        )
        detail = f"{len(record.counted)} targets ended while they ran {what}."
        if has_run:
            raise Refusal(502, "quarantined", detail, Outcome.UNKNOWN)
        raise Refusal(503, "quarantined", detail, retry_after_s=retry_after_s)

    async def record_interruption(
        self,
        job: Job,
        engines: Sequence[Engine],
        run: RunStart,
        position: int = 0,
        has_gone_on: bool = False,
    ) -> None:
        """Record the targets that ended under a request.

        Returns when the targets were probed, or shortly afterwards while the probes
        still run; at once if the deadline of the request has passed.

        :param job: the request.
        :param engines: targets that may have ended.
        :param run: start of the interrupted run.
        :param position: events of the answer that had arrived.
        :param has_gone_on: whether the run's answer had gone on after its beginning.
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
                    self._record_loss(
                        job, engine, run, position, has_gone_on, unix_time_s()
                    )

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
        record = self._judge.record_answer(job.fingerprint, now_s)
        if record is not None:
            self._record_cleared(job, record, now_s)

    def record_progress(self, job: Job, now_s: float) -> None:
        """Record that an answer went on after its beginning, or ended.

        A target that crashes on a part of the prompt does so as it begins to answer.

        :param job: the request.
        :param now_s: current time, in seconds since the epoch.
        """
        for record in self._judge.record_progress(job.traits, now_s):
            self._record_cleared(job, record, now_s)

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
        for record in self._judge.refute(*key):
            self._handle_change(record, Source.OWN, now_s)

    def merge(self, record: SuspectRecord, source: Source, now_s: float) -> None:
        """Merge a record of another daemon.

        :param record: the record.
        :param source: where it came from.
        :param now_s: current time, in seconds since the epoch.
        """
        if is_record_expired(record, now_s):
            return
        merged = self._judge.merge(record)
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
        expired = self._judge.expire(now_s, QUARANTINE_S, CLEARED_LIFETIME_S)
        for record in expired:
            for callback in self.expiry_callbacks:
                callback(record.fingerprint)
        self._report_verdicts(Source.OWN, now_s)
        counted = {loss.listed_key for r in self.records() for loss in r.counted}
        self._renewals = {k: r for k, r in self._renewals.items() if k in counted}

    async def _is_lost(self, engine: Engine) -> bool:
        result = await self._probe.run(engine.address, now())
        if result is ProbeResult.SILENT:
            return not self._is_unreachable(engine)
        return result is ProbeResult.REFUSED

    def _record_loss(
        self,
        job: Job,
        engine: Engine,
        run: RunStart,
        position: int,
        has_gone_on: bool,
        now_s: float,
    ) -> None:
        changed = self._judge.record_loss(
            job.traits,
            engine.target,
            str(engine.incarnation),
            run,
            now_s,
            position,
            has_gone_on,
        )
        for record in changed:
            if record.kind is SuspectKind.REQUEST:
                self._log.record(
                    "target.lost",
                    request=job.parameters.request_id,
                    target=engine.target,
                    incarnation=str(engine.incarnation),
                    round=run.round,
                    position=position,
                    has_gone_on=has_gone_on,
                    shared_parts=job.parameters.shared_parts,
                    **_describe(record, now_s),
                )
            self._handle_change(record, Source.OWN, now_s)

    def _record_cleared(self, job: Job, record: SuspectRecord, now_s: float) -> None:
        self._log.record(
            "suspect.cleared",
            request=job.parameters.request_id,
            fingerprint=record.fingerprint,
            kind=record.kind.value,
            n_losses=len(record.losses),
        )
        self._handle_change(record, Source.OWN, now_s)

    def _handle_change(
        self, record: SuspectRecord, source: Source, now_s: float
    ) -> None:
        for loss in record.counted:
            self._renewals.setdefault(loss.listed_key, _Renewals())
        for callback in self.change_callbacks:
            callback(record, source)
        self._report_verdicts(source, now_s)

    def _report_verdicts(self, source: Source, now_s: float) -> None:
        before, self._reported = self._reported, self._judge.crashing
        if self._reported == before:
            return
        for fingerprint in self._reported - before:
            record = self.find(fingerprint)
            if record is not None:
                self._log.record(
                    "quarantine.imposed",
                    source=source.value,
                    organisations=sorted(record.organisations),
                    companions=record.companions,
                    **_describe(record, now_s),
                )
        for fingerprint in before - self._reported:
            self._log.record(
                "quarantine.lifted", source=source.value, fingerprint=fingerprint
            )
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
    first_s = min((loss.at_s for loss in record.counted), default=record.last_s)
    return {
        "fingerprint": record.fingerprint,
        "kind": record.kind.value,
        "targets": [loss.target for loss in record.counted[-MAX_TARGETS_LOGGED:]],
        "n_losses": len(record.counted),
        "n_rounds": record.n_rounds,
        "first_loss_age_s": round(now_s - first_s, 1),
        "last_loss_age_s": round(now_s - record.last_s, 1),
    }
