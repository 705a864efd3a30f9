"""Deterministic fold of one claims partition.

The first claim for a key wins. A claim that lost or was abandoned stays void
permanently, so that a duplicate appended later has no effect. All readers of the same
records from the same offset therefore compute the same holder, regardless of how the
records were batched and how often a record was appended.
"""

from enum import Enum
from sys import intern

import msgspec

from cassiaspread_core.base import Incarnation, Offset, OrganisationId
from cassiaspread_core.claims._key import (
    MAX_CLOCK_SKEW_S,
    KeyAge,
    classify_age,
    is_valid_key,
    key_created_s,
    ticket_incarnation,
)
from cassiaspread_core.claims._record import (
    AbandonRecord,
    CallResult,
    ClaimId,
    ClaimRecord,
    Fingerprint,
    InvalidBatch,
    OutcomeRecord,
    Record,
    ScopedKey,
    decode_batch,
)


class ClaimVerdict(Enum):
    """State of a claim in the partition.

    ``UNSEEN`` means that no record read so far decides on the claim.
    """

    UNSEEN = "unseen"
    WON = "won"
    VOID = "void"


class KeyState(msgspec.Struct):
    """State of a key in the partition.

    :param holder: claim that holds the key, ``None`` while the key is free.
    :param fingerprint: hash of the holder's call.
    :param result: result of the call, ``None`` until it is recorded.
    :param void: claims that can no longer hold the key.
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
    >>> fold.get_verdict(key, first), fold.get_verdict(key, second)
    (<ClaimVerdict.WON: 'won'>, <ClaimVerdict.VOID: 'void'>)
    """

    def __init__(self) -> None:
        self._keys: dict[ScopedKey, KeyState] = {}
        self._next_offset = Offset(0)
        self._complete_since_s = float("-inf")
        self._n_skipped = 0

    @property
    def next_offset(self) -> Offset:
        """Offset of the first record not yet read."""
        return self._next_offset

    @property
    def n_keys(self) -> int:
        """Number of keys in memory."""
        return len(self._keys)

    @property
    def n_skipped(self) -> int:
        """Number of skipped batches and records: malformed or of unknown type."""
        return self._n_skipped

    def apply(self, offset: Offset, value: bytes) -> None:
        """Apply the next record of the log; records applied before are ignored.

        :param offset: offset of the record.
        :param value: encoded batch in the record.
        """
        if offset < self._next_offset:
            return
        self._next_offset = Offset(offset + 1)
        try:
            batch = decode_batch(value)
        except InvalidBatch:
            self._n_skipped += 1
            return
        self._n_skipped += batch.n_skipped
        for record in batch.records:
            if record.key in self._keys or is_valid_key(record.key.key):
                self.apply_record(record)
            else:
                self._n_skipped += 1

    def apply_record(self, record: Record) -> None:
        """Apply one record of a batch.

        :param record: the record.
        """
        state = self._keys.get(record.key)
        if state is None:
            state = self._keys[_intern_key(record.key)] = KeyState()
        if isinstance(record, ClaimRecord):
            self._apply_claim(state, record)
        elif isinstance(record, AbandonRecord):
            self._apply_abandon(state, record)
        else:
            self._apply_outcome(state, record)

    def skip_to(self, offset: Offset, earliest_record_s: float) -> None:
        """Skip records that log retention removed before they were read.

        :param offset: offset of the earliest record still in the log.
        :param earliest_record_s: time at which that record was appended, in seconds
            since the epoch; the log still has all records appended later.
        """
        if offset > self._next_offset:
            self._next_offset = offset
            self._complete_since_s = earliest_record_s

    def has_complete_history(self, key: ScopedKey) -> bool:
        """Return whether every record of a key was read or is still in the log.

        :param key: the key.
        """
        earliest_record_s = key_created_s(key.key) - 2 * MAX_CLOCK_SKEW_S
        return earliest_record_s >= self._complete_since_s

    def find(self, key: ScopedKey) -> KeyState | None:
        """Return the state of a key, ``None`` if it has no record.

        :param key: the key.
        """
        return self._keys.get(key)

    def get_verdict(self, key: ScopedKey, claim: ClaimId) -> ClaimVerdict:
        """Return whether a claim holds its key.

        :param key: the key.
        :param claim: the claim.
        """
        state = self._keys.get(key)
        if state is None:
            return ClaimVerdict.UNSEEN
        if state.holder == claim:
            return ClaimVerdict.WON
        return ClaimVerdict.VOID if claim in state.void else ClaimVerdict.UNSEEN

    def remove_expired(self, now_s: float, dedupe_window_s: float) -> int:
        """Remove keys that no daemon accepts any more.

        :param now_s: current time, in seconds since the epoch.
        :param dedupe_window_s: age up to which keys are accepted, in seconds.
        :returns: number of removed keys.
        """
        max_age_s = dedupe_window_s + 2 * MAX_CLOCK_SKEW_S
        expired = [
            key
            for key in self._keys
            if classify_age(key.key, now_s, max_age_s) is KeyAge.EXPIRED
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
        state.holder = _intern_claim(record.claim)
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
            state.result = _intern_result(record.result)


# Strings that repeat in many records are interned to save memory.


def _intern_key(key: ScopedKey) -> ScopedKey:
    return ScopedKey(OrganisationId(intern(key.organisation)), key.key)


def _intern_claim(claim: ClaimId) -> ClaimId:
    return ClaimId(Incarnation(intern(claim.holder)), claim.sequence)


def _intern_result(result: CallResult) -> CallResult:
    return CallResult(
        result.status, intern(result.content_type), result.body, result.headers
    )
