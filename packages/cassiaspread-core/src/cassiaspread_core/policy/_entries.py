"""The accepted entries and what is derived from them."""

from collections.abc import Collection
from typing import NamedTuple

import msgspec
import xxhash

from cassiaspread_core.policy._policy import Policy
from cassiaspread_core.policy._record import Entry, EntryKind
from cassiaspread_core.policy._rules import EntryValue

_POLICY_FIELDS = {
    EntryKind.ORGANISATION: "organisations",
    EntryKind.OPERATOR: "operators",
    EntryKind.MODEL: "models",
    EntryKind.SERVICE: "services",
    EntryKind.TARGET: "targets",
    EntryKind.EXCEPTION: "exceptions",
}


class EntryKey(NamedTuple):
    """Names one entry."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}".strip()


class EntryTable:
    """Accepted entries by key, with token owners, a digest and the policy."""

    def __init__(self) -> None:
        self._entries: dict[EntryKey, Entry] = {}
        self._values: dict[EntryKind, dict[str, EntryValue]] = {
            kind: {} for kind in EntryKind
        }
        self._owners: dict[str, EntryKey] = {}
        self._organisations: dict[str, str] = {}
        self._digest = 0
        self._policy = Policy()

    @property
    def entries(self) -> dict[EntryKey, Entry]:
        """The accepted entries, removed ones too."""
        return self._entries

    @property
    def policy(self) -> Policy:
        """The configuration as of the last :meth:`rebuild`."""
        return self._policy

    @property
    def digest(self) -> str:
        """Hash of all keys with their offsets, whatever their order."""
        return f"{self._digest:016x}"

    def owner_of(self, token: str) -> EntryKey | None:
        """Return the entry that a token belongs to, if any.

        :param token: hash of the token.
        """
        return self._owners.get(token)

    def set(self, key: EntryKey, entry: Entry, value: EntryValue) -> None:
        """Put an entry in the place of its predecessor.

        :param key: key of the entry.
        :param entry: the entry.
        :param value: its typed value.
        """
        present = self._entries.get(key)
        if present is not None:
            self._digest ^= _hash(present)
            for token in tokens_of(present.value):
                self._owners.pop(token, None)
                self._organisations.pop(token, None)
        self._entries[key] = entry
        self._digest ^= _hash(entry)
        if entry.is_removed:
            self._values[key.kind].pop(key.name, None)
            return
        self._values[key.kind][key.name] = value
        for token in tokens_of(entry.value):
            self._owners[token] = key
            if key.kind is EntryKind.ORGANISATION:
                self._organisations[token] = key.name

    def rebuild(self, changed: Collection[EntryKind]) -> None:
        """Bring the policy up to the entries.

        :param changed: kinds of the entries that were set.
        """
        if not changed:
            return
        fields: dict = {
            field: dict(self._values[kind])
            for kind, field in _POLICY_FIELDS.items()
            if kind in changed
        }
        if EntryKind.LIMITS in changed:
            fields["limits"] = self._values[EntryKind.LIMITS].get("", Policy().limits)
        if EntryKind.ORGANISATION in changed:
            fields["token_owners"] = dict(self._organisations)
        self._policy = msgspec.structs.replace(self._policy, **fields)


def tokens_of(value: dict | None) -> tuple[str, ...]:
    """Return the token hashes in an entry's value, valid or not.

    :param value: the value, if any.
    """
    tokens = (value or {}).get("token_sha256", ())
    if not isinstance(tokens, (list, tuple)):
        return ()
    return tuple(token for token in tokens if isinstance(token, str))


def _hash(entry: Entry) -> int:
    text = f"{entry.kind.value}\n{entry.name}\n{entry.offset}"
    return xxhash.xxh3_64_intdigest(text.encode())
