"""Records that carry configuration on the log, one entry each."""

from enum import Enum

import msgspec


class EntryKind(Enum):
    """What an entry of the configuration describes."""

    LIMITS = "limits"
    ORGANISATION = "organisation"
    OPERATOR = "operator"
    MODEL = "model"
    SERVICE = "service"
    TARGET = "target"


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True, tag="entry"):
    """Replaces one entry of the configuration.

    :param kind: kind of the entry.
    :param name: name of the entry among its kind; empty for the limits.
    :param replaces: offset of the record that this one replaces, ``None`` for a
        new entry.
    :param value: the entry's value, ``None`` to remove it.
    :param author: who publishes it.
    """

    kind: EntryKind
    name: str
    replaces: int | None
    value: dict | None
    author: str
