"""Log of changes from which each peer gets only what it lacks.

Every entry has the sequence number of its last change. A peer says up to which
number it has taken in the log, and gets the entries that changed since. A lost
message is therefore repeated, and a peer that starts anew gets everything.
"""

from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class Change(NamedTuple, Generic[Value]):
    """Last change of one entry.

    :param sequence: number of the change.
    :param full_sequence: number of the last change that a partial update does not
        convey.
    :param value: the entry's value.
    """

    sequence: int
    full_sequence: int
    value: Value


class Changes(NamedTuple, Generic[Value]):
    """What one peer lacks.

    :param since: number up to which the peer has the log.
    :param until: number up to which it has it afterwards.
    :param full: values to be sent whole.
    :param partial: values of which the peer has all but the partial update.
    """

    since: int
    until: int
    full: list[Value]
    partial: list[Value]


class ChangeLog(Generic[Key, Value]):
    """Entries in the order of their last change.

    >>> log = ChangeLog()
    >>> log.put("a", 1)
    >>> log.put("b", 2)
    >>> log.put("a", 3)
    >>> log.changes(since=2).full
    [3]
    >>> log.changes(since=0).full
    [2, 3]
    """

    def __init__(self) -> None:
        self._entries: dict[Key, Change[Value]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def sequence(self) -> int:
        """Number of the last change."""
        return self._sequence

    def get(self, key: Key) -> Value | None:
        """Return the value of an entry, if there is one.

        :param key: the entry.
        """
        change = self._entries.get(key)
        return None if change is None else change.value

    def put(self, key: Key, value: Value, *, is_partial: bool = False) -> None:
        """Add or change an entry.

        :param key: the entry.
        :param value: its new value.
        :param is_partial: whether a partial update conveys the change to a peer
            that has the former value.
        """
        former = self._entries.pop(key, None)
        self._sequence += 1
        full_sequence = self._sequence
        if is_partial and former is not None:
            full_sequence = former.full_sequence
        self._entries[key] = Change(self._sequence, full_sequence, value)

    def discard(self, key: Key) -> None:
        """Stop sending an entry; peers keep what they have.

        :param key: the entry; an unknown one is ignored.
        """
        self._entries.pop(key, None)

    def changes(self, since: int) -> Changes[Value]:
        """Return what a peer lacks, in the order of the changes.

        :param since: number up to which it has the log.
        """
        full: list[Value] = []
        partial: list[Value] = []
        for change in reversed(self._entries.values()):
            if change.sequence <= since:
                break
            (full if change.full_sequence > since else partial).append(change.value)
        full.reverse()
        partial.reverse()
        return Changes(since, self._sequence, full, partial)


class ChangeCursor:
    """How far two daemons have each other's logs.

    >>> cursor = ChangeCursor()
    >>> cursor.accept(since=0, until=4)
    True
    >>> cursor.accept(since=6, until=8)
    False
    >>> cursor.received
    4
    """

    def __init__(self) -> None:
        self._received = 0
        self._confirmed = 0

    @property
    def received(self) -> int:
        """Number up to which this daemon has the peer's log."""
        return self._received

    @property
    def confirmed(self) -> int:
        """Number up to which the peer said to have this daemon's log."""
        return self._confirmed

    def accept(self, since: int, until: int) -> bool:
        """Take in a message that carries the changes after ``since``.

        :param since: number from which the message goes on.
        :param until: number up to which it goes.
        :returns: whether its changes may be applied; not if some before are missing.
        """
        if since > self._received:
            return False
        self._received = max(self._received, until)
        return True

    def confirm(self, received: int) -> None:
        """Note what the peer says to have.

        A lower number than before is taken over too: the peer has started anew.

        :param received: number up to which it has this daemon's log.
        """
        self._confirmed = received
