"""Changes that make the configuration in force match a file."""

from collections.abc import Callable, Mapping

import msgspec

from cassiaspread_core.base import Offset
from cassiaspread_core.policy._entries import EntryKey
from cassiaspread_core.policy._record import EntryKind, EntryRecord
from cassiaspread_core.policy._rules import EntryValue
from cassiaspread_core.policy._state import PolicyState


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Change of one entry.

    :param key: key of the entry.
    :param before: value in force, ``None`` if the entry is not in force.
    :param after: new value, ``None`` to remove the entry.
    :param replaces: offset of the record that last set the entry, if any.
    """

    key: EntryKey
    before: dict | None
    after: dict | None
    replaces: Offset | None

    @property
    def fields(self) -> list[str]:
        """Names of the changed fields, sorted."""
        before, after = self.before or {}, self.after or {}
        names = sorted(before.keys() | after.keys())
        return [name for name in names if before.get(name) != after.get(name)]


def plan_changes(
    state: PolicyState, desired: Mapping[EntryKey, EntryValue], *, prune: bool = False
) -> list[Change]:
    """Return the changes that make the state match a file.

    Removals come first, so that a token can move from a removed entry to a new one.

    :param state: the current state.
    :param desired: entries of the file.
    :param prune: whether to remove entries that are missing from the file.
    """
    changes = []
    for key, entry in state.entries.items():
        if prune and not entry.is_removed and key not in desired:
            changes.append(
                Change(key=key, before=entry.value, after=None, replaces=entry.offset)
            )
    for key, value in desired.items():
        after = _to_dict(value)
        existing = state.entries.get(key)
        before = None
        if existing is not None and not existing.is_removed:
            before = existing.value
            if _is_equal(key.kind, before, value):
                continue
        replaces = None if existing is None else existing.offset
        changes.append(Change(key=key, before=before, after=after, replaces=replaces))
    return changes


def build_record(
    change: Change, author: str, new_change_id: Callable[[], str]
) -> EntryRecord:
    """Return the record that publishes a change.

    :param change: the change.
    :param author: operator who publishes it.
    :param new_change_id: returns a new unique identifier.
    """
    return EntryRecord(
        kind=change.key.kind,
        name=change.key.name,
        replaces=change.replaces,
        value=change.after,
        author=author,
        change=new_change_id(),
    )


def _to_dict(value: EntryValue) -> dict:
    fields = msgspec.to_builtins(value)
    return {name: field for name, field in fields.items() if field is not None}


def _is_equal(kind: EntryKind, before: dict, value: EntryValue) -> bool:
    return msgspec.convert(before, type(value)) == value
