"""Change log for incremental synchronisation of a keyed store between peers.

Every entry has the sequence number of its last change. A peer confirms the number up
to which it has received the log, and is sent the entries that changed since. Changes
of a lost message are therefore sent again, and a restarted peer receives all entries.
"""

from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class Change(NamedTuple, Generic[Value]):
    """Last change of one entry.

    :param sequence: number of the change.
    :param full_sequence: number of the last change that can't be sent as a partial
        update.
    :param value: the entry's value.
    """

    sequence: int
    full_sequence: int
    value: Value


class Changes(NamedTuple, Generic[Value]):
    """Changes that one peer has not received.

    :param since: sequence number up to which the peer has the log.
    :param until: sequence number up to which it has the log afterwards.
    :param full: values to be sent in full.
    :param partial: values for which a partial update is sufficient.
    """

    since: int
    until: int
    full: list[Value]
    partial: list[Value]


class ChangeLog(Generic[Key, Value]):
    """Keyed entries, ordered by their last change.

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
        """Sequence number of the last change."""
        return self._sequence

    def get(self, key: Key) -> Value | None:
        """Return the value of an entry, if there is one.

        :param key: key of the entry.
        """
        change = self._entries.get(key)
        return None if change is None else change.value

    def put(self, key: Key, value: Value, *, is_partial: bool = False) -> None:
        """Add or replace an entry.

        :param key: key of the entry.
        :param value: new value.
        :param is_partial: whether a partial update is sufficient for a peer that has
            the previous value.
        """
        previous = self._entries.pop(key, None)
        self._sequence += 1
        full_sequence = self._sequence
        if is_partial and previous is not None:
            full_sequence = previous.full_sequence
        self._entries[key] = Change(self._sequence, full_sequence, value)

    def discard(self, key: Key) -> None:
        """Stop sending an entry; peers keep the copy that they have.

        :param key: key of the entry; an unknown one is ignored.
        """
        self._entries.pop(key, None)

    def changes(self, since: int) -> Changes[Value]:
        """Return the changes that a peer lacks, in order of their sequence numbers.

        :param since: sequence number up to which the peer has the log.
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
    """Progress of the log exchange with one peer, in both directions.

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
        """Sequence number up to which this daemon has the peer's log."""
        return self._received

    @property
    def confirmed(self) -> int:
        """Sequence number up to which the peer confirmed this daemon's log."""
        return self._confirmed

    def accept(self, since: int, until: int) -> bool:
        """Accept a message with the changes after ``since``, unless it leaves a gap.

        :param since: sequence number after which the message starts.
        :param until: sequence number at which it ends.
        :returns: whether its changes may be applied: no earlier ones are missing.
        """
        if since > self._received:
            return False
        self._received = max(self._received, until)
        return True

    def confirm(self, received: int) -> None:
        """Record the position that the peer confirmed.

        A lower number than before is accepted too: the peer has restarted.

        :param received: sequence number up to which it has this daemon's log.
        """
        self._confirmed = received
