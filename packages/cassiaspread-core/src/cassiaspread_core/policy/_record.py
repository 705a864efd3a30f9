"""Records of the policy stream."""

from enum import Enum
from typing import Annotated

import msgspec

from cassiaspread_core.base import (
    CassiaspreadError,
    MalformedDocument,
    Offset,
    decode_with,
)

MAX_NAME_LENGTH = 128

EntryName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class EntryKind(Enum):
    """Kind of a configuration entry."""

    LIMITS = "limits"
    ORGANISATION = "organisation"
    OPERATOR = "operator"
    MODEL = "model"
    SERVICE = "service"
    TARGET = "target"
    EXCEPTION = "exception"


class EntryRecord(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="entry",
    tag_field="type",
    forbid_unknown_fields=True,
):
    """Sets or removes one entry of the configuration.

    :param kind: kind of the entry.
    :param name: name of the entry, unique within its kind; empty for the limits.
    :param replaces: offset of the record that this one replaces, ``None`` if the
        entry never existed.
    :param value: value of the entry, ``None`` to remove it.
    :param author: operator who publishes the record.
    :param change: identifier of the change, by which its author finds the record in
        the stream.
    """

    kind: EntryKind
    name: EntryName
    replaces: int | None
    value: dict | None
    author: str
    change: str = ""


class RulesRecord(msgspec.Struct, frozen=True, kw_only=True, tag="rules"):
    """Sets the version of the rules for all following records.

    Every release can decode this record, because unknown fields are ignored.

    :param version: the new version, one above the version in force.
    :param author: operator who publishes the record.
    """

    version: int
    author: str


class Entry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted entry.

    :param kind: kind of the entry.
    :param name: name of the entry, unique within its kind.
    :param offset: offset of the record that last set or removed the entry.
    :param value: value of the entry; the last one if it is removed.
    :param author: operator who published that record.
    :param change: identifier of the change.
    :param is_removed: whether the entry is no longer in force.
    """

    kind: EntryKind
    name: str
    offset: Offset
    value: dict
    author: str
    change: str = ""
    is_removed: bool = False


class CheckpointPart(msgspec.Struct, frozen=True, kw_only=True, tag="checkpoint"):
    """Part of a checkpoint, which is the state after all records before an offset.

    :param checkpoint: identifier of the checkpoint.
    :param index: number of the part, starting at 0.
    :param n_parts: number of parts in the checkpoint.
    :param covered: offset after the last record that the state includes.
    :param rules: version of the rules in force at that offset.
    :param entries: accepted entries, including removed ones.
    """

    checkpoint: str
    index: NonNegativeInt
    n_parts: PositiveInt
    covered: Offset
    rules: PositiveInt
    entries: tuple[Entry, ...]


Record = EntryRecord | RulesRecord | CheckpointPart


class InvalidRecord(CassiaspreadError):
    """Bytes on the policy stream that are not a record."""


_DECODER = msgspec.json.Decoder(Record)


def decode_record(value: bytes) -> Record:
    """Decode a record of the policy stream.

    :param value: bytes of the record in the log.
    :raises InvalidRecord: the bytes are not a record; every reader skips them.

    >>> decode_record(b"[]")
    Traceback (most recent call last):
    ...
    cassiaspread_core.policy._record.InvalidRecord: Expected `object`, got `array`
    """
    try:
        return decode_with(_DECODER, value)
    except MalformedDocument as error:
        raise InvalidRecord(str(error)) from None
