"""Changes that bring the configuration in force to what a file describes."""

from collections.abc import Callable, Mapping

import msgspec

from cassiaspread_core.base import Offset
from cassiaspread_core.policy._entries import EntryKey
from cassiaspread_core.policy._record import EntryKind, EntryRecord
from cassiaspread_core.policy._rules import EntryValue
from cassiaspread_core.policy._state import PolicyState


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One entry that differs.

    :param key: the entry.
    :param before: its value in force, ``None`` for none.
    :param after: its value afterwards, ``None`` to remove it.
    :param replaces: offset of the record that set it last, if any.
    """

    key: EntryKey
    before: dict | None
    after: dict | None
    replaces: Offset | None

    @property
    def fields(self) -> list[str]:
        """Names of the fields that differ."""
        before, after = self.before or {}, self.after or {}
        names = sorted(before.keys() | after.keys())
        return [name for name in names if before.get(name) != after.get(name)]


def plan_changes(
    state: PolicyState, wanted: Mapping[EntryKey, EntryValue], *, prune: bool = False
) -> list[Change]:
    """List the entries that differ between the state and a file.

    Removals go first, so that a token can move from a removed entry to a new one.

    :param state: what is in force.
    :param wanted: entries of the file.
    :param prune: whether entries that the file lacks are removed.
    """
    changes = []
    for key, entry in state.entries.items():
        if prune and not entry.is_removed and key not in wanted:
            changes.append(
                Change(key=key, before=entry.value, after=None, replaces=entry.offset)
            )
    for key, value in wanted.items():
        after = _to_dict(value)
        present = state.entries.get(key)
        before = None
        if present is not None and not present.is_removed:
            before = present.value
            if _is_equal(key.kind, before, value):
                continue
        replaces = None if present is None else present.offset
        changes.append(Change(key=key, before=before, after=after, replaces=replaces))
    return changes


def to_record(
    change: Change, author: str, new_change_id: Callable[[], str]
) -> EntryRecord:
    """Return the record that publishes a change.

    :param change: the change.
    :param author: who publishes it.
    :param new_change_id: returns an identifier that was never used.
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
