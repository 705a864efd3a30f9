"""Records of the policy stream."""

from enum import Enum
from typing import Annotated

import msgspec

from cassiaspread_core.base import CassiaspreadError, Offset

MAX_NAME_LENGTH = 128

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Number = Annotated[int, msgspec.Meta(ge=1)]


class EntryKind(Enum):
    """What an entry of the configuration describes."""

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
    """Replaces one entry of the configuration.

    :param kind: kind of the entry.
    :param name: name of the entry among its kind; empty for the limits.
    :param replaces: offset of the record that this one replaces, ``None`` for an
        entry that never existed.
    :param value: the entry's value, ``None`` to remove it.
    :param author: who publishes it.
    :param change: identifies this change, so that its author finds it in the stream.
    """

    kind: EntryKind
    name: Name
    replaces: int | None
    value: dict | None
    author: str
    change: str = ""


class RulesRecord(msgspec.Struct, frozen=True, kw_only=True, tag="rules"):
    """From the next record on, the stream follows another version of the rules.

    Every release can read this record, whatever it carries besides.

    :param version: the version, one above that in force.
    :param author: who publishes it.
    """

    version: int
    author: str


class Entry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted entry.

    :param kind: kind of the entry.
    :param name: name of the entry among its kind.
    :param offset: offset of the record that set it.
    :param value: its value; the last one when it is removed.
    :param author: who published it.
    :param change: identifier of the change.
    :param is_removed: whether it is no longer in force.
    """

    kind: EntryKind
    name: str
    offset: Offset
    value: dict
    author: str
    change: str = ""
    is_removed: bool = False


class CheckpointPart(msgspec.Struct, frozen=True, kw_only=True, tag="checkpoint"):
    """A part of the state that all records before an offset give.

    :param checkpoint: identifies the checkpoint that the part belongs to.
    :param index: number of the part, from 0.
    :param n_parts: how many parts the checkpoint has.
    :param covered: offset up to which, exclusively, the state is complete.
    :param rules: version of the rules in force at that offset.
    :param entries: accepted entries, removed ones too.
    """

    checkpoint: str
    index: Count
    n_parts: Number
    covered: Annotated[Offset, msgspec.Meta(ge=0)]
    rules: Number
    entries: tuple[Entry, ...]


Record = EntryRecord | RulesRecord | CheckpointPart


class BadRecord(CassiaspreadError):
    """Bytes on the policy stream that are no record."""


_DECODER = msgspec.json.Decoder(Record)


def decode_record(value: bytes) -> Record:
    """Decode a record of the policy stream.

    :param value: the record as it lies in the log.
    :raises BadRecord: the bytes are no record; every reader skips them.

    >>> decode_record(b"[]")
    Traceback (most recent call last):
    ...
    cassiaspread_core.policy._record.BadRecord: Expected `object`, got `array`
    """
    try:
        return _DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadRecord(str(error)) from None
    except RecursionError:
        raise BadRecord("nested too deeply") from None
