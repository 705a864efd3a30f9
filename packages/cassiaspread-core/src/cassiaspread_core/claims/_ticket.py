"""Keys that one incarnation alone may run, judged from its memory."""

from enum import Enum

import msgspec

from cassiaspread_core.claims._key import KeyAge, judge_age
from cassiaspread_core.claims._record import (
    CallResult,
    ClaimId,
    Fingerprint,
    ScopedKey,
)


class TicketState(Enum):
    """Life of a ticket."""

    UNUSED = "unused"
    RUNNING = "running"
    DONE = "done"
    RETIRED = "retired"


class Ticket(msgspec.Struct):
    """What the daemon that made a ticket knows of it.

    :param state: where it is in its life.
    :param fingerprint: hash of the call that uses it.
    :param claim: claim under which the call runs.
    :param result: what came of the call.
    """

    state: TicketState = TicketState.UNUSED
    fingerprint: Fingerprint | None = None
    claim: ClaimId | None = None
    result: CallResult | None = None


class TicketBook:
    """The tickets of one incarnation.

    >>> book = TicketBook()
    >>> key = ScopedKey("savinja", "k")
    >>> book.add(key)
    >>> book.begin(key, "f", ClaimId("i", 1)), book.begin(key, "f", ClaimId("i", 2))
    (True, False)
    """

    def __init__(self) -> None:
        self._tickets: dict[ScopedKey, Ticket] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, key: ScopedKey) -> None:
        """Note a ticket that was made.

        :param key: its key.
        """
        self._tickets[key] = Ticket()

    def find(self, key: ScopedKey) -> Ticket | None:
        """Return a ticket made here, ``None`` for any other key.

        :param key: the key.
        """
        return self._tickets.get(key)

    def begin(self, key: ScopedKey, fingerprint: Fingerprint, claim: ClaimId) -> bool:
        """Take the right to send a ticket's call.

        :param key: the key of a ticket made here.
        :param fingerprint: hash of the call.
        :param claim: claim under which it will run.
        :returns: ``False`` unless the ticket was unused.
        """
        ticket = self._tickets[key]
        if ticket.state is not TicketState.UNUSED:
            return False
        ticket.state = TicketState.RUNNING
        ticket.fingerprint = fingerprint
        ticket.claim = claim
        return True

    def release(self, key: ScopedKey) -> None:
        """Give the right back: the call was not sent.

        :param key: the key.
        """
        self._tickets[key] = Ticket()

    def finish(self, key: ScopedKey, result: CallResult) -> None:
        """Note what came of the call.

        :param key: the key.
        :param result: what is known of the call.
        """
        ticket = self._tickets[key]
        ticket.state = TicketState.DONE
        ticket.result = result

    def retire_unused(self) -> list[ScopedKey]:
        """End the tickets that no call has used; none can use them any more.

        :returns: their keys.
        """
        retired = []
        for key, ticket in self._tickets.items():
            if ticket.state is TicketState.UNUSED:
                ticket.state = TicketState.RETIRED
                retired.append(key)
        return retired

    def forget_expired(self, now_s: float, dedupe_window_s: float) -> None:
        """Drop tickets whose calls are refused for their age.

        :param now_s: present time in seconds since the epoch.
        :param dedupe_window_s: age up to which keys are accepted.
        """
        self._tickets = {
            key: ticket
            for key, ticket in self._tickets.items()
            if ticket.state is TicketState.RUNNING
            or judge_age(key.key, now_s, dedupe_window_s) is not KeyAge.EXPIRED
        }
