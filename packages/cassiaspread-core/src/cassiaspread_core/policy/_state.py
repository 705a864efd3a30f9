"""Folds the records of the policy stream into the configuration in force."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from cassiaspread_core.base import Offset
from cassiaspread_core.policy._checkpoint import Snapshot
from cassiaspread_core.policy._entries import EntryKey, EntryTable, tokens_of
from cassiaspread_core.policy._policy import Policy
from cassiaspread_core.policy._record import (
    BadRecord,
    CheckpointPart,
    Entry,
    EntryKind,
    EntryRecord,
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


class Verdict(Enum):
    """What the fold made of a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    SKIPPED = "skipped"
    CHECKPOINT = "checkpoint"
    HALTED = "halted"


class Folded(NamedTuple):
    """One record and its verdict.

    :param offset: position of the record.
    :param verdict: what the fold made of it.
    :param reason: why it was not accepted.
    :param record: the decoded record, ``None`` for bytes that are none.
    """

    offset: Offset
    verdict: Verdict
    reason: str = ""
    record: Record | None = None


class PolicyState:
    """The accepted entries, each with the offset of its record.

    The state is a function of the records before :attr:`next_offset` alone. It is
    taken over from elsewhere only as a whole and only forwards.

    :param latest_rules: latest version of the rules that this reader knows.
    """

    def __init__(self, latest_rules: int = LATEST_RULES) -> None:
        self._latest_rules = latest_rules
        self._next = Offset(0)
        self._halt: str | None = None
        self._rules = 1
        self._table = EntryTable()

    @property
    def next_offset(self) -> Offset:
        """Offset up to which, exclusively, the state is complete."""
        return self._next

    @property
    def policy(self) -> Policy:
        """The configuration in force."""
        return self._table.policy

    @property
    def latest_rules(self) -> int:
        """Latest version of the rules that this reader knows."""
        return self._latest_rules

    @property
    def rules(self) -> int:
        """Version of the rules in force."""
        return self._rules

    @property
    def halt(self) -> str | None:
        """Why no further record can be read, ``None`` while they can."""
        return self._halt

    @property
    def entries(self) -> dict[EntryKey, Entry]:
        """The accepted entries, removed ones too."""
        return self._table.entries

    @property
    def digest(self) -> str:
        """Equal for two readers of one stream that accepted the same records."""
        return self._table.digest

    @property
    def last_accepted(self) -> Offset | None:
        """Offset of the latest accepted entry, if any."""
        return max(
            (entry.offset for entry in self._table.entries.values()), default=None
        )

    def snapshot(self) -> Snapshot:
        """Return the whole state, for a checkpoint or a peer."""
        entries = tuple(self._table.entries.values())
        return Snapshot(covered=self._next, rules=self._rules, entries=entries)

    def fold(
        self, start: Offset, records: Iterable[tuple[Offset, bytes]]
    ) -> list[Folded]:
        """Take in consecutive records of the stream; known ones are left out.

        :param start: offset at which the records begin.
        :param records: offset and bytes of each record, in order.
        :returns: the records that were new, with their verdicts.
        :raises ValueError: records between the state and ``start`` are missing.
        """
        if start > self._next:
            raise ValueError(f"records {self._next} to {start - 1} are missing")
        folded: list[Folded] = []
        changed: set[EntryKind] = set()
        for offset, value in records:
            if offset < self._next or self._halt is not None:
                continue
            result = self._apply(offset, value)
            folded.append(result)
            if result.verdict is Verdict.HALTED:
                break
            self._next = Offset(offset + 1)
            if result.verdict is Verdict.ACCEPTED and isinstance(
                result.record, EntryRecord
            ):
                changed.add(result.record.kind)
        self._table.rebuild(changed)
        return folded

    def take_over(self, snapshot: Snapshot) -> bool:
        """Replace the state by one that covers more of the same stream.

        :param snapshot: a checkpoint's or a peer's state.
        :returns: whether it was taken over.
        :raises InvalidEntry: an entry of the snapshot breaks the rules.
        """
        if snapshot.covered <= self._next or self._halt is not None:
            return False
        if snapshot.rules > self._latest_rules:
            self._halt = self._describe_halt(snapshot.covered, snapshot.rules)
            return False
        checked = [
            (entry, _check_in_snapshot(entry, snapshot)) for entry in snapshot.entries
        ]
        self._rules = snapshot.rules
        self._table = EntryTable()
        for entry, value in checked:
            self._table.set(EntryKey(entry.kind, entry.name), entry, value)
        self._next = snapshot.covered
        self._table.rebuild(set(EntryKind))
        return True

    def contradicts(self, snapshot: Snapshot) -> bool:
        """Tell whether a state of the same stream can't be right, given this one.

        :param snapshot: a state that covers no more than this one.
        """
        theirs = {EntryKey(e.kind, e.name): e for e in snapshot.entries}
        for key, entry in self._table.entries.items():
            if entry.offset < snapshot.covered and theirs.get(key) != entry:
                return True
        return not theirs.keys() <= self._table.entries.keys()

    def _apply(self, offset: Offset, value: bytes) -> Folded:
        try:
            record = decode_record(value)
        except BadRecord as error:
            return Folded(offset, Verdict.SKIPPED, str(error))
        if isinstance(record, CheckpointPart):
            if record.covered > offset:
                reason = "the checkpoint covers records after its own"
                return Folded(offset, Verdict.REJECTED, reason, record)
            return Folded(offset, Verdict.CHECKPOINT, record=record)
        if isinstance(record, RulesRecord):
            return self._apply_rules(offset, record)
        return self._apply_entry(offset, record)

    def _apply_rules(self, offset: Offset, record: RulesRecord) -> Folded:
        if record.version != self._rules + 1:
            reason = f"version {self._rules} of the rules is in force"
            return Folded(offset, Verdict.REJECTED, reason, record)
        if record.version > self._latest_rules:
            self._halt = self._describe_halt(offset, record.version)
            return Folded(offset, Verdict.HALTED, self._halt, record)
        self._rules = record.version
        return Folded(offset, Verdict.ACCEPTED, record=record)

    def _describe_halt(self, offset: Offset, version: int) -> str:
        return (
            f"from offset {offset} on, the configuration needs version {version} of "
            f"the rules, this release knows {self._latest_rules}"
        )

    def _apply_entry(self, offset: Offset, record: EntryRecord) -> Folded:
        key = EntryKey(record.kind, record.name)
        present = self._table.entries.get(key)
        reason = self._find_conflict(key, record, present)
        if reason is None and record.value is None and present is not None:
            value = present.value
        else:
            value = record.value or {}
        try:
            checked = check_entry(record.kind, record.name, value, self._rules)
        except InvalidEntry as error:
            reason = reason or str(error)
        if reason is not None:
            return Folded(offset, Verdict.REJECTED, reason, record)
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
        return Folded(offset, Verdict.ACCEPTED, record=record)

    def _find_conflict(
        self, key: EntryKey, record: EntryRecord, present: Entry | None
    ) -> str | None:
        if record.replaces != (present.offset if present else None):
            if present is None:
                return f"there is no {key} to replace"
            return f"{present.author} changed {key} at offset {present.offset}"
        if record.value is None and (present is None or present.is_removed):
            return f"there is no {key} to remove"
        for token in tokens_of(record.value):
            owner = self._table.owner_of(token) or key
            if owner != key:
                return f"a token of {key} belongs to {owner}"
        return None


def _check_in_snapshot(entry: Entry, snapshot: Snapshot) -> EntryValue:
    if entry.offset >= snapshot.covered:
        raise InvalidEntry(f"offset {entry.offset} lies past what the snapshot covers")
    return check_entry(entry.kind, entry.name, entry.value, snapshot.rules)
