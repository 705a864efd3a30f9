"""Deterministic fold of the policy stream into the configuration in force."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from cassiaspread_core.base import Offset
from cassiaspread_core.policy._checkpoint import Snapshot
from cassiaspread_core.policy._entries import EntryKey, EntryTable, get_token_hashes
from cassiaspread_core.policy._policy import Policy
from cassiaspread_core.policy._record import (
    CheckpointPart,
    Entry,
    EntryKind,
    EntryRecord,
    InvalidRecord,
    Record,
    RulesRecord,
    decode_record,
)
from cassiaspread_core.policy._rules import (
    LATEST_RULES,
    EntryValue,
    InvalidEntry,
    check_entry,
)


class FoldVerdict(Enum):
    """Result of folding a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    SKIPPED = "skipped"
    CHECKPOINT = "checkpoint"
    HALTED = "halted"


class FoldedRecord(NamedTuple):
    """A folded record and its verdict.

    :param offset: offset of the record.
    :param verdict: result of folding it.
    :param reason: why it was not accepted, empty otherwise.
    :param record: the decoded record, ``None`` if it could not be decoded.
    """

    offset: Offset
    verdict: FoldVerdict
    reason: str = ""
    record: Record | None = None


class PolicyState:
    """The accepted entries, each with the offset of its record.

    The state depends only on the records before :attr:`next_offset`. A snapshot can
    replace it, but only completely and only if the snapshot covers more records.

    :param latest_rules: latest version of the rules that this reader supports.
    """

    def __init__(self, latest_rules: int = LATEST_RULES) -> None:
        self._latest_rules = latest_rules
        self._next_offset = Offset(0)
        self._halt_reason: str | None = None
        self._rules = 1
        self._table = EntryTable()

    @property
    def next_offset(self) -> Offset:
        """Offset of the first record not yet folded."""
        return self._next_offset

    @property
    def policy(self) -> Policy:
        """The configuration in force."""
        return self._table.policy

    @property
    def latest_rules(self) -> int:
        """Latest version of the rules that this reader supports."""
        return self._latest_rules

    @property
    def rules(self) -> int:
        """Version of the rules in force."""
        return self._rules

    @property
    def halt_reason(self) -> str | None:
        """Why no further record can be folded, ``None`` if they can."""
        return self._halt_reason

    @property
    def entries(self) -> dict[EntryKey, Entry]:
        """The accepted entries, including removed ones."""
        return self._table.entries

    @property
    def digest(self) -> str:
        """Hash, equal for readers of a stream that accepted the same records."""
        return self._table.digest

    @property
    def last_accepted(self) -> Offset | None:
        """Offset of the latest accepted entry, if any."""
        return max(
            (entry.offset for entry in self._table.entries.values()), default=None
        )

    def snapshot(self) -> Snapshot:
        """Return the complete state, for a checkpoint or a peer."""
        entries = tuple(self._table.entries.values())
        return Snapshot(covered=self._next_offset, rules=self._rules, entries=entries)

    def fold(
        self, start: Offset, records: Iterable[tuple[Offset, bytes]]
    ) -> list[FoldedRecord]:
        """Fold consecutive records of the stream, skipping those folded before.

        :param start: offset of the first record.
        :param records: offset and bytes of each record, in order.
        :returns: the newly folded records with their verdicts.
        :raises ValueError: records between the state and ``start`` are missing.
        """
        if start > self._next_offset:
            raise ValueError(f"records {self._next_offset} to {start - 1} are missing")
        folded: list[FoldedRecord] = []
        changed: set[EntryKind] = set()
        for offset, value in records:
            if offset < self._next_offset or self._halt_reason is not None:
                continue
            result = self._apply(offset, value)
            folded.append(result)
            if result.verdict is FoldVerdict.HALTED:
                break
            self._next_offset = Offset(offset + 1)
            if result.verdict is FoldVerdict.ACCEPTED and isinstance(
                result.record, EntryRecord
            ):
                changed.add(result.record.kind)
        self._table.rebuild_policy(changed)
        return folded

    def replace_by(self, snapshot: Snapshot) -> bool:
        """Replace the state by a snapshot that covers more records of the stream.

        :param snapshot: state from a checkpoint or a peer.
        :returns: whether the state was replaced.
        :raises InvalidEntry: an entry of the snapshot violates the rules.
        """
        if snapshot.covered <= self._next_offset or self._halt_reason is not None:
            return False
        if snapshot.rules > self._latest_rules:
            self._halt_reason = self._describe_halt(snapshot.covered, snapshot.rules)
            return False
        checked = [
            (entry, _check_snapshot_entry(entry, snapshot))
            for entry in snapshot.entries
        ]
        self._rules = snapshot.rules
        self._table = EntryTable()
        for entry, value in checked:
            self._table.set(EntryKey(entry.kind, entry.name), entry, value)
        self._next_offset = snapshot.covered
        self._table.rebuild_policy(set(EntryKind))
        return True

    def is_inconsistent_with(self, snapshot: Snapshot) -> bool:
        """Return whether this state and a snapshot of the same stream are inconsistent.

        :param snapshot: a snapshot that covers no more records than this state.
        """
        snapshot_entries = {EntryKey(e.kind, e.name): e for e in snapshot.entries}
        for key, entry in self._table.entries.items():
            if entry.offset < snapshot.covered and snapshot_entries.get(key) != entry:
                return True
        return not snapshot_entries.keys() <= self._table.entries.keys()

    def _apply(self, offset: Offset, value: bytes) -> FoldedRecord:
        try:
            record = decode_record(value)
        except InvalidRecord as error:
            return FoldedRecord(offset, FoldVerdict.SKIPPED, str(error))
        if isinstance(record, CheckpointPart):
            if record.covered > offset:
                reason = "the checkpoint covers records after its own"
                return FoldedRecord(offset, FoldVerdict.REJECTED, reason, record)
            return FoldedRecord(offset, FoldVerdict.CHECKPOINT, record=record)
        if isinstance(record, RulesRecord):
            return self._apply_rules(offset, record)
        return self._apply_entry(offset, record)

    def _apply_rules(self, offset: Offset, record: RulesRecord) -> FoldedRecord:
        if record.version != self._rules + 1:
            reason = f"version {self._rules} of the rules is in force"
            return FoldedRecord(offset, FoldVerdict.REJECTED, reason, record)
        if record.version > self._latest_rules:
            self._halt_reason = self._describe_halt(offset, record.version)
            return FoldedRecord(offset, FoldVerdict.HALTED, self._halt_reason, record)
        self._rules = record.version
        return FoldedRecord(offset, FoldVerdict.ACCEPTED, record=record)

    def _describe_halt(self, offset: Offset, version: int) -> str:
        return (
            f"from offset {offset} on, the configuration needs version {version} of "
            f"the rules, this release knows {self._latest_rules}"
        )

    def _apply_entry(self, offset: Offset, record: EntryRecord) -> FoldedRecord:
        key = EntryKey(record.kind, record.name)
        existing = self._table.entries.get(key)
        reason = self._find_conflict(key, record, existing)
        if reason is None and record.value is None and existing is not None:
            value = existing.value
        else:
            value = record.value or {}
        try:
            checked = check_entry(record.kind, record.name, value, self._rules)
        except InvalidEntry as error:
            reason = reason or str(error)
        if reason is not None:
            return FoldedRecord(offset, FoldVerdict.REJECTED, reason, record)
        entry = Entry(
            kind=record.kind,
            name=record.name,
            offset=offset,
            value=value,
            author=record.author,
            change=record.change,
            is_removed=record.value is None,
        )
        self._table.set(key, entry, checked)
        return FoldedRecord(offset, FoldVerdict.ACCEPTED, record=record)

    def _find_conflict(
        self, key: EntryKey, record: EntryRecord, existing: Entry | None
    ) -> str | None:
        if record.replaces != (existing.offset if existing else None):
            if existing is None:
                return f"there is no {key} to replace"
            return f"{existing.author} changed {key} at offset {existing.offset}"
        if record.value is None and (existing is None or existing.is_removed):
            return f"there is no {key} to remove"
        for token in get_token_hashes(record.value):
            owner = self._table.find_token_entry(token) or key
            if owner != key:
                return f"a token of {key} belongs to {owner}"
        return None


def _check_snapshot_entry(entry: Entry, snapshot: Snapshot) -> EntryValue:
    if entry.offset >= snapshot.covered:
        raise InvalidEntry(f"offset {entry.offset} lies past what the snapshot covers")
    return check_entry(entry.kind, entry.name, entry.value, snapshot.rules)
