"""Tickets: keys whose calls only the incarnation that issued them may run."""

from enum import Enum

import msgspec

from cassiaspread_core.claims._key import KeyAge, classify_age
from cassiaspread_core.claims._record import (
    CallResult,
    ClaimId,
    Fingerprint,
    ScopedKey,
)


class TicketState(Enum):
    """Lifecycle state of a ticket."""

    UNUSED = "unused"
    RUNNING = "running"
    DONE = "done"
    RETIRED = "retired"


class Ticket(msgspec.Struct):
    """In-memory state of a ticket at the daemon that issued it.

    :param state: lifecycle state.
    :param fingerprint: hash of the call that uses the ticket.
    :param claim: claim under which the call runs.
    :param result: result of the call.
    """

    state: TicketState = TicketState.UNUSED
    fingerprint: Fingerprint | None = None
    claim: ClaimId | None = None
    result: CallResult | None = None


class TicketTable:
    """Tickets issued by one incarnation.

    >>> table = TicketTable()
    >>> key = ScopedKey("savinja", "k")
    >>> table.add(key)
    >>> table.begin(key, "f", ClaimId("i", 1)), table.begin(key, "f", ClaimId("i", 2))
    (True, False)
    """

    def __init__(self) -> None:
        self._tickets: dict[ScopedKey, Ticket] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, key: ScopedKey) -> None:
        """Add a newly issued ticket.

        :param key: key of the ticket.
        """
        self._tickets[key] = Ticket()

    def find(self, key: ScopedKey) -> Ticket | None:
        """Return a ticket of this incarnation, ``None`` for any other key.

        :param key: the key.
        """
        return self._tickets.get(key)

    def begin(self, key: ScopedKey, fingerprint: Fingerprint, claim: ClaimId) -> bool:
        """Acquire the exclusive right to send the call of a ticket.

        :param key: key of a ticket of this incarnation.
        :param fingerprint: hash of the call.
        :param claim: claim under which it will run.
        :returns: whether the ticket was unused, so that the call may be sent.
        """
        ticket = self._tickets[key]
        if ticket.state is not TicketState.UNUSED:
            return False
        ticket.state = TicketState.RUNNING
        ticket.fingerprint = fingerprint
        ticket.claim = claim
        return True

    def release(self, key: ScopedKey) -> None:
        """Release the right to send the call; the call was not sent.

        :param key: the key.
        """
        self._tickets[key] = Ticket()

    def finish(self, key: ScopedKey, result: CallResult) -> None:
        """Record the result of the call.

        :param key: the key.
        :param result: result of the call.
        """
        ticket = self._tickets[key]
        ticket.state = TicketState.DONE
        ticket.result = result

    def retire_unused(self) -> list[ScopedKey]:
        """Retire the unused tickets; no call can use them afterwards.

        :returns: keys of the retired tickets.
        """
        retired = []
        for key, ticket in self._tickets.items():
            if ticket.state is TicketState.UNUSED:
                ticket.state = TicketState.RETIRED
                retired.append(key)
        return retired

    def remove_expired(self, now_s: float, dedupe_window_s: float) -> None:
        """Remove expired tickets that are not running.

        :param now_s: current time, in seconds since the epoch.
        :param dedupe_window_s: age up to which keys are accepted, in seconds.
        """
        self._tickets = {
            key: ticket
            for key, ticket in self._tickets.items()
            if ticket.state is TicketState.RUNNING
            or classify_age(key.key, now_s, dedupe_window_s) is not KeyAge.EXPIRED
        }
