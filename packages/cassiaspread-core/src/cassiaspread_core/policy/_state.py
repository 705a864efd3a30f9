"""Folds the records of the policy stream into the configuration in force."""

from typing import NamedTuple

import msgspec

from cassiaspread_core.base import Offset
from cassiaspread_core.policy._model import (
    Limits,
    Model,
    Operator,
    Organisation,
    Policy,
    Service,
    TargetPolicy,
)
from cassiaspread_core.policy._record import EntryKind, EntryRecord

_ENTRY_TYPES = {
    EntryKind.LIMITS: Limits,
    EntryKind.ORGANISATION: Organisation,
    EntryKind.OPERATOR: Operator,
    EntryKind.MODEL: Model,
    EntryKind.SERVICE: Service,
    EntryKind.TARGET: TargetPolicy,
}
_POLICY_FIELDS = {
    EntryKind.ORGANISATION: "organisations",
    EntryKind.OPERATOR: "operators",
    EntryKind.MODEL: "models",
    EntryKind.SERVICE: "services",
    EntryKind.TARGET: "targets",
}


class EntryKey(NamedTuple):
    """Names one entry."""

    kind: EntryKind
    name: str


class PolicyState:
    """The accepted entries, each with the offset of its record."""

    def __init__(self) -> None:
        self._entries: dict[EntryKey, tuple[Offset, EntryRecord]] = {}
        self._next = Offset(0)
        self._policy = Policy()

    @property
    def next_offset(self) -> Offset:
        """Offset of the first record not yet read."""
        return self._next

    @property
    def policy(self) -> Policy:
        """The configuration in force."""
        return self._policy

    def apply(self, offset: Offset, value: bytes) -> bool:
        """Take in the next record of the stream.

        :param offset: position of the record.
        :param value: the record as it lies in the log.
        :returns: whether the record was accepted.
        """
        if offset < self._next:
            return False
        self._next = Offset(offset + 1)
        try:
            record = msgspec.json.decode(value, type=EntryRecord)
            if record.value is not None:
                msgspec.convert(record.value, _ENTRY_TYPES[record.kind])
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return False
        key = EntryKey(record.kind, record.name)
        present = self._entries.get(key)
        if record.replaces != (present[0] if present else None):
            return False
        self._entries[key] = (offset, record)
        self._policy = self._build()
        return True

    def _build(self) -> Policy:
        fields: dict = {field: {} for field in _POLICY_FIELDS.values()}
        for key, (_, record) in self._entries.items():
            if record.value is None:
                continue
            entry = msgspec.convert(record.value, _ENTRY_TYPES[key.kind])
            if key.kind is EntryKind.LIMITS:
                fields["limits"] = entry
            else:
                fields[_POLICY_FIELDS[key.kind]][key.name] = entry
        return Policy(**fields)
