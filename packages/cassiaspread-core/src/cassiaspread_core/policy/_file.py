"""Reader of configuration files in TOML that reports all faults at once."""

import re
import tomllib
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import msgspec

from cassiaspread_core.base import MAX_EXACT_INTEGER, Finding, FindingsError, shorten
from cassiaspread_core.policy._entries import EntryKey
from cassiaspread_core.policy._model import Limits, LimitsException
from cassiaspread_core.policy._record import MAX_NAME_LENGTH, EntryKind
from cassiaspread_core.policy._rules import ENTRY_TYPES, EntryValue

SECTIONS = {
    "organisations": EntryKind.ORGANISATION,
    "operators": EntryKind.OPERATOR,
    "models": EntryKind.MODEL,
    "services": EntryKind.SERVICE,
    "targets": EntryKind.TARGET,
    "exceptions": EntryKind.EXCEPTION,
}
LIMITS_SECTION = "limits"
EXPIRES_KEY = "expires"
TOKEN_KEY = "token_sha256"

_TOKEN_HASH = re.compile("[0-9a-f]{64}")

Entries = dict[EntryKey, EntryValue]


def read_policy_file(
    text: str, file: str, in_force: Iterable[EntryKey] = ()
) -> Entries:
    r"""Read and check a configuration file.

    :param text: content of the file.
    :param file: name of the file, included in the place of each finding.
    :param in_force: entries outside the file that an exception may refer to.
    :returns: the entries in the file.
    :raises FindingsError: the file has faults; one finding for each.

    >>> try:
    ...     read_policy_file("[models.draft]\nn_layers = 0\nlayers = 8", "a.toml")
    ... except FindingsError as error:
    ...     print(error)
    a.toml: models.draft.n_layers: Expected `int` >= 1
    a.toml: models.draft.layers: unknown key; known are n_layers
    """
    try:
        document = tomllib.loads(text)
    except RecursionError:
        raise FindingsError([Finding(file, "nested too deeply")]) from None
    except ValueError as error:
        # Also of a number with more digits than int() accepts.
        raise FindingsError([Finding(file, shorten(str(error)))]) from None
    reader = _PolicyFileReader(file, in_force)
    reader.read(document)
    if reader.findings:
        raise FindingsError(reader.findings)
    return reader.entries


class _PolicyFileReader:
    def __init__(self, file: str, in_force: Iterable[EntryKey]) -> None:
        self.entries: Entries = {}
        self.findings: list[Finding] = []
        self._file = file
        self._known_names: dict[EntryKind, set[str]] = {
            kind: set() for kind in EntryKind
        }
        for key in in_force:
            self._known_names[key.kind].add(key.name)
        self._token_places: dict[str, str] = {}
        self._exception_tables: dict[str, dict[str, Any]] = {}

    def read(self, document: dict[str, Any]) -> None:
        for section, table in document.items():
            if section == LIMITS_SECTION:
                self._read_entry(EntryKind.LIMITS, "", section, table)
            elif section in SECTIONS:
                self._read_section(section, table)
            else:
                known = ", ".join((LIMITS_SECTION, *SECTIONS))
                self._add_finding(section, f"unknown section; known are {known}")
        self._check_limits()
        self._check_selectors()

    def _add_finding(self, path: str, message: str) -> None:
        self.findings.append(Finding(f"{self._file}: {path}", message))

    def _read_section(self, section: str, table: Any) -> None:
        if not isinstance(table, dict):
            self._add_finding(section, "expected a table of entries by name")
            return
        kind = SECTIONS[section]
        self._known_names[kind] |= set(table)
        for name, value in table.items():
            path = f"{section}.{name}"
            if not 0 < len(name) <= MAX_NAME_LENGTH:
                self._add_finding(
                    path, f"expected a name of 1 to {MAX_NAME_LENGTH} letters"
                )
            else:
                self._read_entry(kind, name, path, value)

    def _read_entry(self, kind: EntryKind, name: str, path: str, table: Any) -> None:
        if not isinstance(table, dict):
            self._add_finding(path, "expected a table")
            return
        n_findings_before = len(self.findings)
        if kind is EntryKind.EXCEPTION:
            self._exception_tables[path] = table
            table = self._read_expiry(path, table)
        fields = self._read_fields(ENTRY_TYPES[kind], path, table)
        if kind is EntryKind.EXCEPTION and isinstance(table.get("limits"), dict):
            limits = self._read_fields(Limits, f"{path}.limits", table["limits"])
            fields["limits"] = limits
        self._check_tokens(path, table)
        if len(self.findings) == n_findings_before:
            self.entries[EntryKey(kind, name)] = ENTRY_TYPES[kind](**fields)

    def _read_expiry(self, path: str, table: dict[str, Any]) -> dict[str, Any]:
        table = dict(table)
        if "expires_s" in table:
            self._add_finding(f"{path}.expires_s", f"unknown key; use {EXPIRES_KEY}")
            del table["expires_s"]
        if EXPIRES_KEY not in table:
            return table
        expires = table.pop(EXPIRES_KEY)
        if not isinstance(expires, datetime) or expires.tzinfo is None:
            self._add_finding(
                f"{path}.{EXPIRES_KEY}",
                "expected a date and time with its offset, such as "
                "2027-01-31T18:00:00-03:00",
            )
            return table
        return table | {"expires_s": expires.timestamp()}

    def _read_fields(self, struct: type, path: str, table: dict[str, Any]) -> dict:
        fields: dict[str, Any] = {}
        known = {field.name: field for field in msgspec.structs.fields(struct)}
        for key, value in table.items():
            if key not in known:
                names = ", ".join(known).replace("expires_s", EXPIRES_KEY)
                self._add_finding(f"{path}.{key}", f"unknown key; known are {names}")
            elif key != TOKEN_KEY:
                self._read_field(known[key].type, f"{path}.{key}", key, value, fields)
            else:
                fields[key] = tuple(value) if isinstance(value, list) else ()
        for key, field in known.items():
            if field.required and key not in table:
                self._add_finding(f"{path}.{key}", "is required")
        return fields

    def _read_field(
        self, field_type: Any, path: str, key: str, value: Any, fields: dict
    ) -> None:
        if not _is_exact(value):
            self._add_finding(
                path,
                f"expected numbers of at most {MAX_EXACT_INTEGER}, plus or minus",
            )
            return
        try:
            fields[key] = msgspec.convert(value, field_type)
        except msgspec.ValidationError as error:
            message = str(error)
            if "regex" in message and isinstance(value, str):
                message = "must not be empty"
            self._add_finding(path, message)

    def _check_tokens(self, path: str, table: dict[str, Any]) -> None:
        tokens = table.get(TOKEN_KEY, ())
        path = f"{path}.{TOKEN_KEY}"
        if not isinstance(tokens, (list, tuple)):
            self._add_finding(path, "expected a list of token hashes")
            return
        for index, token in enumerate(tokens):
            place = f"{path}[{index}]"
            if not isinstance(token, str) or not _TOKEN_HASH.fullmatch(token):
                self._add_finding(
                    place,
                    "expected the token's SHA-256 (64 digits 0-9a-f, see "
                    "'cassiaspread hash-token'), not the token itself",
                )
                continue
            other = self._token_places.setdefault(token, place)
            if other != place:
                self._add_finding(place, f"the same token stands at {other}")

    def _check_limits(self) -> None:
        default = self.entries.get(EntryKey(EntryKind.LIMITS, ""), Limits())
        assert isinstance(default, Limits)
        self._check_timeouts(LIMITS_SECTION, default)
        for key, entry in self.entries.items():
            if isinstance(entry, LimitsException):
                limits = msgspec.structs.replace(default, **entry.limits)
                self._check_timeouts(f"exceptions.{key.name}.limits", limits)

    def _check_timeouts(self, path: str, limits: Limits) -> None:
        if limits.request_timeout_ms > limits.max_request_timeout_ms:
            self._add_finding(
                f"{path}.request_timeout_ms",
                f"{limits.request_timeout_ms} is more than max_request_timeout_ms, "
                f"{limits.max_request_timeout_ms}",
            )

    def _check_selectors(self) -> None:
        selectors = (
            ("organisation", EntryKind.ORGANISATION),
            ("model", EntryKind.MODEL),
            ("service", EntryKind.SERVICE),
        )
        for path, table in self._exception_tables.items():
            if not any(field in table for field, _ in selectors):
                self._add_finding(
                    path, "selects nothing; name an organisation, model or service"
                )
            for field, kind in selectors:
                name = table.get(field)
                if isinstance(name, str) and name not in self._known_names[kind]:
                    self._add_finding(
                        f"{path}.{field}", f"no {field} {name!r} is known"
                    )


def _is_exact(value: Any) -> bool:
    """Return whether each reader of the stream reads the numbers as they are."""
    if isinstance(value, dict):
        return all(map(_is_exact, value.values()))
    if isinstance(value, list):
        return all(map(_is_exact, value))
    if isinstance(value, int | float):
        return abs(value) <= MAX_EXACT_INTEGER
    return True
