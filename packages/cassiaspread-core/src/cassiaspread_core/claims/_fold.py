"""Deterministic fold of one claims partition.

The first claim for a key wins. A claim that lost or was abandoned is void for ever,
so that a copy of it that takes effect late decides nothing: whoever reads the same
records from the same offset comes to the same holder, however the records were
batched and however often one was appended.
"""

from enum import Enum
from sys import intern

import msgspec

from cassiaspread_core.base import Incarnation, Offset, OrganisationId
from cassiaspread_core.claims._key import (
    MAX_CLOCK_SKEW_S,
    KeyAge,
    is_readable,
    judge_age,
    key_time_s,
    ticket_incarnation,
)
from cassiaspread_core.claims._record import (
    AbandonRecord,
    BadBatch,
    CallResult,
    ClaimId,
    ClaimRecord,
    Fingerprint,
    OutcomeRecord,
    Record,
    ScopedKey,
    decode_batch,
)


class Verdict(Enum):
    """What the partition says of a claim."""

    UNSEEN = "unseen"
    WON = "won"
    VOID = "void"


class KeyState(msgspec.Struct):
    """What the partition says of a key.

    :param holder: the claim that holds the key, ``None`` while it is free.
    :param fingerprint: hash of the holder's call.
    :param result: what came of the call, ``None`` while not recorded.
    :param void: claims that can't hold the key any more.
    """

    holder: ClaimId | None = None
    fingerprint: Fingerprint | None = None
    result: CallResult | None = None
    void: frozenset[ClaimId] = frozenset()


class PartitionFold:
    """State of one partition after the records read so far.

    >>> fold = PartitionFold()
    >>> key = ScopedKey("savinja", "01a23e07-47d4-7b3f-8055-4254dc1ba464")
    >>> first, second = ClaimId("i", 1), ClaimId("j", 1)
    >>> for claim in (first, second):
    ...     fold.apply_record(ClaimRecord(key, claim, "f"))
    >>> fold.judge_claim(key, first), fold.judge_claim(key, second)
    (<Verdict.WON: 'won'>, <Verdict.VOID: 'void'>)
    """

    def __init__(self) -> None:
        self._keys: dict[ScopedKey, KeyState] = {}
        self._next = Offset(0)
        self._complete_since_s = float("-inf")
        self._n_bad = 0

    @property
    def next_offset(self) -> Offset:
        """Offset of the first record not yet read."""
        return self._next

    @property
    def n_keys(self) -> int:
        """How many keys are kept."""
        return len(self._keys)

    @property
    def n_bad(self) -> int:
        """How many records were skipped as malformed."""
        return self._n_bad

    def apply(self, offset: Offset, value: bytes) -> None:
        """Take in the next record of the log; an earlier one is ignored.

        :param offset: position of the record.
        :param value: the record's bytes.
        """
        if offset < self._next:
            return
        self._next = Offset(offset + 1)
        try:
            batch = decode_batch(value)
        except BadBatch:
            self._n_bad += 1
            return
        self._n_bad += batch.n_bad
        for record in batch.records:
            if record.key in self._keys or is_readable(record.key.key):
                self.apply_record(record)
            else:
                self._n_bad += 1

    def apply_record(self, record: Record) -> None:
        """Take in one record of a batch.

        :param record: the record.
        """
        state = self._keys.get(record.key)
        if state is None:
            state = self._keys[_share_key(record.key)] = KeyState()
        if isinstance(record, ClaimRecord):
            self._apply_claim(state, record)
        elif isinstance(record, AbandonRecord):
            self._apply_abandon(state, record)
        else:
            self._apply_outcome(state, record)

    def skip_to(self, offset: Offset, kept_since_s: float) -> None:
        """Go on behind records that retention removed before they were read.

        :param offset: offset of the earliest record that is kept.
        :param kept_since_s: when that record was appended, in seconds since the
            epoch; everything appended later is kept.
        """
        if offset > self._next:
            self._next = offset
            self._complete_since_s = kept_since_s

    def can_judge(self, key: ScopedKey) -> bool:
        """Tell whether every record of a key is kept or was read.

        :param key: the key.
        """
        earliest_record_s = key_time_s(key.key) - 2 * MAX_CLOCK_SKEW_S
        return earliest_record_s >= self._complete_since_s

    def find(self, key: ScopedKey) -> KeyState | None:
        """Return what is known of a key, ``None`` if nothing.

        :param key: the key.
        """
        return self._keys.get(key)

    def judge_claim(self, key: ScopedKey, claim: ClaimId) -> Verdict:
        """Decide whether a claim holds its key.

        :param key: the key.
        :param claim: the claim.
        """
        state = self._keys.get(key)
        if state is None:
            return Verdict.UNSEEN
        if state.holder == claim:
            return Verdict.WON
        return Verdict.VOID if claim in state.void else Verdict.UNSEEN

    def forget_expired(self, now_s: float, dedupe_window_s: float) -> int:
        """Drop keys that no daemon accepts any more.

        :param now_s: present time in seconds since the epoch.
        :param dedupe_window_s: age up to which keys are accepted.
        :returns: how many keys were dropped.
        """
        kept_s = dedupe_window_s + 2 * MAX_CLOCK_SKEW_S
        expired = [
            key
            for key in self._keys
            if judge_age(key.key, now_s, kept_s) is KeyAge.EXPIRED
        ]
        for key in expired:
            del self._keys[key]
        return len(expired)

    def _apply_claim(self, state: KeyState, record: ClaimRecord) -> None:
        if record.claim in state.void or state.holder == record.claim:
            return
        is_ticket = ticket_incarnation(record.key.key) is not None
        if is_ticket or state.holder is not None:
            state.void |= {record.claim}
            return
        state.holder = _share_claim(record.claim)
        state.fingerprint = record.fingerprint

    def _apply_abandon(self, state: KeyState, record: AbandonRecord) -> None:
        if state.result is not None and state.holder == record.claim:
            return
        state.void |= {record.claim}
        if state.holder == record.claim:
            state.holder = state.fingerprint = None

    def _apply_outcome(self, state: KeyState, record: OutcomeRecord) -> None:
        if state.result is not None:
            return
        incarnation = ticket_incarnation(record.key.key)
        if incarnation is not None and incarnation == record.claim.holder:
            state.holder = record.claim
            state.fingerprint = record.fingerprint
        if state.holder == record.claim:
            state.result = _share_result(record.result)


# Texts that many records repeat are kept once.


def _share_key(key: ScopedKey) -> ScopedKey:
    return ScopedKey(OrganisationId(intern(key.organisation)), key.key)


def _share_claim(claim: ClaimId) -> ClaimId:
    return ClaimId(Incarnation(intern(claim.holder)), claim.sequence)


def _share_result(result: CallResult) -> CallResult:
    return CallResult(result.status, intern(result.content_type), result.body)
