"""Decides from the targets lost under requests which requests are refused."""

import msgspec

from cassiaspread_core.base import OrganisationId, RequestId, TargetId
from cassiaspread_core.quarantine._crashing import N_ROUNDS, find_crashing
from cassiaspread_core.quarantine._parts import is_refused_with, next_trial_s
from cassiaspread_core.quarantine._record import (
    RESTART_SEPARATOR,
    Fingerprint,
    Loss,
    LossKey,
    SuspectKind,
    SuspectRecord,
    first_organisations,
)
from cassiaspread_core.quarantine._suspects import SuspectTable

# Time for which an answer that went on is evidence for the parts of its prompt, in
# seconds.
PROVEN_S = 60.0
MAX_PROVEN = 4096
# A trial that has not ended after this time does not hold up another, in seconds.
MAX_TRIAL_S = 30.0


class RequestTraits(msgspec.Struct, frozen=True):
    """What a request has in common with others.

    :param fingerprint: common to its repetitions.
    :param organisation: organisation that sends it.
    :param subject: requested model or service.
    :param parts: fingerprints of the shared parts of its prompt.
    """

    fingerprint: Fingerprint
    organisation: OrganisationId
    subject: str
    parts: tuple[Fingerprint, ...] = ()


class RunStart(msgspec.Struct, frozen=True):
    """What was known of a request when one of its runs began.

    :param round: round of the losses of the run, under the request's fingerprint.
    :param n_losses_known: number of losses of all requests that were known.
    :param part_rounds: rounds of its losses under the parts that have a record; 1 for
        the others.
    """

    round: int
    n_losses_known: int
    part_rounds: dict[Fingerprint, int] = {}


class _Trial(msgspec.Struct, frozen=True):
    request: RequestId
    begin_s: float


class CrashJudge:
    """Records losses and decides which requests crash their targets.

    :param n_records: maximum number of records.
    :param spread: number from 0 to 1, different for each daemon; see
        :func:`next_trial_s`.

    >>> judge = CrashJudge()
    >>> traits = RequestTraits("f", "osorno", "draft")
    >>> for n in range(1, 4):
    ...     run = judge.begin_run(traits)
    ...     _ = judge.record_loss(traits, f"e{n}", "i", run, now_s=float(n))
    >>> judge.find_refusal(traits).fingerprint
    'f'
    """

    def __init__(self, n_records: int = 2000, spread: float = 0.0) -> None:
        self._table = SuspectTable(n_records)
        self._spread = spread
        self._crashing: frozenset[Fingerprint] = frozenset()
        # Fingerprints with enough losses to be found crashing, or to make another one
        # ambiguous; all others change no verdict.
        self._candidates: set[Fingerprint] = set()
        # When answers last went on, by part; the part of the latest answer comes last.
        self._proven_s: dict[Fingerprint, float] = {}
        self._trials: dict[Fingerprint, _Trial] = {}
        # Losses in the order in which they became known, by target and incarnation as
        # in the list of targets.
        self._loss_numbers: dict[LossKey, dict[LossKey, int]] = {}
        self._n_losses = 0

    @property
    def table(self) -> SuspectTable:
        """All records."""
        return self._table

    @property
    def crashing(self) -> frozenset[Fingerprint]:
        """Fingerprints of requests that crash their targets."""
        return self._crashing

    def begin_run(self, traits: RequestTraits) -> RunStart:
        """Return what is known of a request as it is sent to a target.

        :param traits: the request.
        """
        return RunStart(
            self._table.next_round(traits.fingerprint),
            self._n_losses,
            {
                part: self._table.next_round(part)
                for part in traits.parts
                if self._table.find(part) is not None
            },
        )

    def record_loss(
        self,
        traits: RequestTraits,
        target: TargetId,
        incarnation: str,
        run: RunStart,
        now_s: float,
        position: int = 0,
        has_gone_on: bool = False,
    ) -> list[SuspectRecord]:
        """Record the loss of a target with a request in flight.

        :param traits: the request.
        :param target: the target.
        :param incarnation: the incarnation as in the list of targets.
        :param run: start of the interrupted run.
        :param now_s: current time, in seconds since the epoch.
        :param position: events of the answer that had arrived.
        :param has_gone_on: whether the target had gone on after the beginning of its
            answer, so that no part of the prompt crashed it.
        :returns: the records that changed, that of the request first.
        """
        numbers = self._loss_numbers.get((target, incarnation), {}).values()
        n_before = sum(number < run.n_losses_known for number in numbers)
        if n_before:
            # It ended before and ran the request since, so it has been restarted. The
            # list of targets may not show that yet.
            incarnation = f"{incarnation}{RESTART_SEPARATOR}{n_before}"
        loss = Loss(target, incarnation, position, now_s, round=run.round)
        records = [
            SuspectRecord(
                fingerprint=traits.fingerprint,
                organisation=traits.organisation,
                subject=traits.subject,
                losses=(loss,),
            )
        ]
        if not has_gone_on:
            records += [
                self._build_part_record(traits, part, loss, run, now_s)
                for part in traits.parts
            ]
        merged = [self.merge(record) for record in records]
        return [record for record in merged if record is not None]

    def record_answer(
        self, fingerprint: Fingerprint, now_s: float
    ) -> SuspectRecord | None:
        """Record that a target survived a request.

        :param fingerprint: fingerprint of the request.
        :param now_s: current time, in seconds since the epoch.
        :returns: the record, if it changed.
        """
        record = self._table.clear(fingerprint, now_s)
        if record is not None:
            self._judge(record)
        return record

    def record_progress(
        self, traits: RequestTraits, now_s: float
    ) -> list[SuspectRecord]:
        """Record that an answer went on after its beginning, or ended.

        :param traits: the request.
        :param now_s: current time, in seconds since the epoch.
        :returns: the records that changed.
        """
        for part in traits.parts:
            self._proven_s.pop(part, None)
            self._proven_s[part] = now_s
        while len(self._proven_s) > MAX_PROVEN:
            del self._proven_s[next(iter(self._proven_s))]
        changed = [self.record_answer(part, now_s) for part in traits.parts]
        return [record for record in changed if record is not None]

    def merge(self, record: SuspectRecord) -> SuspectRecord | None:
        """Merge a record.

        :param record: the record.
        :returns: the merged record, if it changed and is kept.
        """
        if not self._table.merge(record):
            return None
        merged = self._table.find(record.fingerprint)
        if merged is not None:
            self._number_losses(merged)
            self._judge(merged)
        return merged

    def refute(self, target: TargetId, incarnation: str) -> list[SuspectRecord]:
        """Mark the losses of a target that has proved to be alive as refuted.

        :param target: the target.
        :param incarnation: the incarnation as in the list of targets.
        :returns: the records that changed.
        """
        changed = self._table.refute(self._loss_numbers.get((target, incarnation), ()))
        for record in changed:
            self._judge(record)
        return changed

    def expire(
        self, now_s: float, lifetime_s: float, cleared_lifetime_s: float
    ) -> list[SuspectRecord]:
        """Remove old records.

        :param now_s: current time, in seconds since the epoch.
        :param lifetime_s: age up to which a record is kept, in seconds.
        :param cleared_lifetime_s: the same for records without a loss that counts.
        :returns: the removed records.
        """
        expired = self._table.expire(now_s, lifetime_s, cleared_lifetime_s)
        if expired:
            self._judge_all()
        held = {loss.listed_key for r in self._table.suspects() for loss in r.losses}
        self._loss_numbers = {k: n for k, n in self._loss_numbers.items() if k in held}
        return expired

    def find_refusal(self, traits: RequestTraits) -> SuspectRecord | None:
        """Return the record for which a request is refused, if there is one.

        :param traits: the request.
        """
        if not self._crashing:
            return None
        if traits.fingerprint in self._crashing:
            return self._table.find(traits.fingerprint)
        for part in traits.parts:
            record = self._table.find(part) if part in self._crashing else None
            if record is not None and is_refused_with(
                record, traits.parts, traits.organisation, self._table.is_suspect
            ):
                return record
        return None

    def may_try(self, record: SuspectRecord, request: RequestId, now_s: float) -> bool:
        """Return whether a request may run although a part of its prompt is refused.

        One request is tried at a time, long after the last loss.

        :param record: record of the part.
        :param request: the request.
        :param now_s: current time, in seconds since the epoch.
        """
        if record.kind is not SuspectKind.PROMPT_PART:
            return False
        if now_s < self.next_trial_s(record):
            return False
        trial = self._trials.get(record.fingerprint)
        if trial is None or now_s - trial.begin_s > MAX_TRIAL_S:
            trial = self._trials[record.fingerprint] = _Trial(request, now_s)
        return trial.request == request

    def next_trial_s(self, record: SuspectRecord) -> float:
        """Return when one request may be tried, in seconds since the epoch.

        :param record: record of a part that is refused.
        """
        return next_trial_s(record, self._spread)

    def _build_part_record(
        self,
        traits: RequestTraits,
        part: Fingerprint,
        loss: Loss,
        run: RunStart,
        now_s: float,
    ) -> SuspectRecord:
        proven_s = self._proven_s.get(part, float("-inf"))
        part_loss = msgspec.structs.replace(
            loss,
            round=run.part_rounds.get(part, 1),
            organisations=first_organisations([traits.organisation]),
            is_proven=now_s - proven_s <= PROVEN_S,
        )
        return SuspectRecord(
            fingerprint=part,
            organisation=traits.organisation,
            subject=traits.subject,
            losses=(part_loss,),
            kind=SuspectKind.PROMPT_PART,
            companions=tuple(sorted(p for p in traits.parts if p != part)),
        )

    def _number_losses(self, record: SuspectRecord) -> None:
        for loss in record.losses:
            numbers = self._loss_numbers.setdefault(loss.listed_key, {})
            if loss.key not in numbers:
                numbers[loss.key] = self._n_losses
                self._n_losses += 1

    def _judge(self, record: SuspectRecord) -> None:
        if len(record.counted) >= N_ROUNDS:
            self._candidates.add(record.fingerprint)
        if record.fingerprint in self._candidates:
            self._judge_all()

    def _judge_all(self) -> None:
        records = [self._table.find(f) for f in self._candidates]
        candidates = [
            r for r in records if r is not None and len(r.counted) >= N_ROUNDS
        ]
        self._candidates = {record.fingerprint for record in candidates}
        self._crashing = find_crashing(candidates)
        self._trials = {
            fingerprint: trial
            for fingerprint, trial in self._trials.items()
            if fingerprint in self._crashing
        }
