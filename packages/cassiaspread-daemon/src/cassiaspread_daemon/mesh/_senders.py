"""Lookup of message senders by short identifier."""

from cassiaspread_core.base import CassiaspreadError
from cassiaspread_daemon.mesh._message import Sender, ShortId, short_id

MAX_SENDERS = 10_000


class UnknownSender(CassiaspreadError):
    """The short identifier in a message is not in the table."""


class SenderTable:
    """Senders by short identifier; evicts the oldest beyond ``MAX_SENDERS``.

    >>> table = SenderTable()
    >>> sender = Sender("entry-1", "celje", "i1", "127.0.0.1:7000")
    >>> table.resolve(sender) == table.resolve(short_id(sender)) == sender
    True
    """

    def __init__(self) -> None:
        self._senders: dict[ShortId, Sender] = {}
        self._ids: dict[Sender, ShortId] = {}

    def resolve(self, sender: Sender | ShortId) -> Sender:
        """Return the sender of a message.

        :param sender: the sender or its short identifier.
        :raises UnknownSender: the identifier is not in the table.
        """
        if isinstance(sender, Sender):
            self._add(sender)
            return sender
        if sender not in self._senders:
            raise UnknownSender(f"no sender with identifier {sender} is known")
        return self._senders[sender]

    def _add(self, sender: Sender) -> None:
        if sender in self._ids:
            return
        identifier = short_id(sender)
        self._ids[sender] = identifier
        self._senders[identifier] = sender
        if len(self._senders) > MAX_SENDERS:
            oldest = next(iter(self._senders))
            del self._ids[self._senders.pop(oldest)]
