"""Versions of the validation rules for the policy stream.

All releases that read a stream must accept and reject the same records. A release that
changes the validity of records increments :data:`LATEST_RULES`, lists the fields that
it adds in :data:`ADDED_FIELDS`, and applies the old rules until a :class:`RulesRecord`
sets the new version.
"""

from collections.abc import Mapping

import msgspec

from cassiaspread_core.base import CassiaspreadError
from cassiaspread_core.policy._model import (
    Limits,
    LimitsException,
    Model,
    Operator,
    Organisation,
    Service,
    TargetPolicy,
)
from cassiaspread_core.policy._record import EntryKind

LATEST_RULES = 1

# Version of the rules that added a field; fields of version 1 are omitted.
ADDED_FIELDS: Mapping[tuple[EntryKind, str], int] = {}

ENTRY_TYPES = {
    EntryKind.LIMITS: Limits,
    EntryKind.ORGANISATION: Organisation,
    EntryKind.OPERATOR: Operator,
    EntryKind.MODEL: Model,
    EntryKind.SERVICE: Service,
    EntryKind.TARGET: TargetPolicy,
    EntryKind.EXCEPTION: LimitsException,
}

EntryValue = (
    Limits | Organisation | Operator | Model | Service | TargetPolicy | LimitsException
)


class InvalidEntry(CassiaspreadError):
    """An entry whose name or value violates the rules."""


def check_entry(kind: EntryKind, name: str, value: dict, rules: int) -> EntryValue:
    """Check an entry against a version of the rules.

    :param kind: kind of the entry.
    :param name: name of the entry.
    :param value: value of the entry.
    :param rules: version of the rules.
    :returns: the typed value.
    :raises InvalidEntry: the entry violates the rules.

    >>> check_entry(EntryKind.MODEL, "draft", {"n_layers": 8}, rules=1)
    Model(n_layers=8)
    """
    if bool(name) is (kind is EntryKind.LIMITS):
        raise InvalidEntry("only the limits have no name")
    _check_field_versions(kind, value, rules)
    try:
        entry = msgspec.convert(value, ENTRY_TYPES[kind])
        if isinstance(entry, LimitsException):
            _check_field_versions(EntryKind.LIMITS, entry.limits, rules)
            limits = msgspec.convert(entry.limits, Limits)
            changes = {field: getattr(limits, field) for field in entry.limits}
            entry = msgspec.structs.replace(entry, limits=changes)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidEntry(str(error)) from None
    return entry


def _check_field_versions(
    kind: EntryKind, value: Mapping[str, object], rules: int
) -> None:
    for field in value:
        if ADDED_FIELDS.get((kind, field), 1) > rules:
            raise InvalidEntry(f"{field} is not known to version {rules} of the rules")
