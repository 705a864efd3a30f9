"""Table of the accepted entries and the data derived from them."""

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
    """Key of an entry: its kind and name."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}".strip()


class EntryTable:
    """Accepted entries by key, with token owners, a digest and the policy."""

    def __init__(self) -> None:
        self._entries: dict[EntryKey, Entry] = {}
        self._values_by_kind: dict[EntryKind, dict[str, EntryValue]] = {
            kind: {} for kind in EntryKind
        }
        self._token_entries: dict[str, EntryKey] = {}
        self._token_organisations: dict[str, str] = {}
        self._digest = 0
        self._policy = Policy()

    @property
    def entries(self) -> dict[EntryKey, Entry]:
        """The accepted entries, including removed ones."""
        return self._entries

    @property
    def policy(self) -> Policy:
        """The configuration as of the last :meth:`rebuild_policy`."""
        return self._policy

    @property
    def digest(self) -> str:
        """Hash of all keys and offsets, independent of their order."""
        return f"{self._digest:016x}"

    def find_token_entry(self, token: str) -> EntryKey | None:
        """Return the entry to which a token belongs, if any.

        :param token: hash of the token.
        """
        return self._token_entries.get(token)

    def set(self, key: EntryKey, entry: Entry, value: EntryValue) -> None:
        """Add an entry or replace the existing one of the same key.

        :param key: key of the entry.
        :param entry: the entry.
        :param value: its typed value.
        """
        existing = self._entries.get(key)
        if existing is not None:
            self._digest ^= _hash_entry(existing)
            for token in get_token_hashes(existing.value):
                self._token_entries.pop(token, None)
                self._token_organisations.pop(token, None)
        self._entries[key] = entry
        self._digest ^= _hash_entry(entry)
        if entry.is_removed:
            self._values_by_kind[key.kind].pop(key.name, None)
            return
        self._values_by_kind[key.kind][key.name] = value
        for token in get_token_hashes(entry.value):
            self._token_entries[token] = key
            if key.kind is EntryKind.ORGANISATION:
                self._token_organisations[token] = key.name

    def rebuild_policy(self, changed: Collection[EntryKind]) -> None:
        """Update the policy from the entries.

        :param changed: kinds of the entries set since the last call.
        """
        if not changed:
            return
        fields: dict = {
            field: dict(self._values_by_kind[kind])
            for kind, field in _POLICY_FIELDS.items()
            if kind in changed
        }
        if EntryKind.LIMITS in changed:
            fields["limits"] = self._values_by_kind[EntryKind.LIMITS].get(
                "", Policy().limits
            )
        if EntryKind.ORGANISATION in changed:
            fields["token_owners"] = dict(self._token_organisations)
        self._policy = msgspec.structs.replace(self._policy, **fields)


def get_token_hashes(value: dict | None) -> tuple[str, ...]:
    """Return the token hashes in the unchecked value of an entry.

    :param value: the value, if any.
    """
    tokens = (value or {}).get("token_sha256", ())
    if not isinstance(tokens, (list, tuple)):
        return ()
    return tuple(token for token in tokens if isinstance(token, str))


def _hash_entry(entry: Entry) -> int:
    text = f"{entry.kind.value}\n{entry.name}\n{entry.offset}"
    return xxhash.xxh3_64_intdigest(text.encode())
