"""Calls under tickets: only the daemon that made a ticket runs it."""

from collections.abc import Callable
from functools import partial

import uuid6

from cassiaspread_core.base import Incarnation, OrganisationId, Outcome, Refusal
from cassiaspread_core.claims import (
    AbandonRecord,
    CallResult,
    ClaimId,
    OutcomeRecord,
    ScopedKey,
    TicketBook,
    TicketState,
    mint_ticket,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.claims._call import (
    IN_PROGRESS_RETRY_S,
    Call,
    CallAnswer,
    check_fingerprint,
    refuse_unknown,
    replay,
)
from cassiaspread_daemon.claims._journal import PartitionJournal
from cassiaspread_daemon.claims._sender import HeldSender, SendOrder


class LocalTickets:
    """Makes tickets and runs their calls from memory.

    :param incarnation: this daemon's.
    :param sender: sends calls of held keys.
    :param events: the time line.
    :param next_claim: returns an identifier for the next claim.
    :param journal_of: returns the partition of a key.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        sender: HeldSender,
        events: EventRing,
        next_claim: Callable[[], ClaimId],
        journal_of: Callable[[ScopedKey], PartitionJournal],
    ) -> None:
        self._incarnation = incarnation
        self._sender = sender
        self._events = events
        self._next_claim = next_claim
        self._journal_of = journal_of
        self._book = TicketBook()

    def mint(self, organisation: OrganisationId) -> ScopedKey:
        """Make a ticket.

        :param organisation: whose ticket it is.
        """
        key = ScopedKey(organisation, mint_ticket(self._incarnation, uuid6.uuid7()))
        self._book.add(key)
        self._events.record("tickets.minted", key.key)
        return key

    def forget_expired(self, now_s: float, dedupe_window_s: float) -> None:
        """Drop tickets whose calls are refused for their age.

        :param now_s: present time in seconds since the epoch.
        :param dedupe_window_s: age up to which keys are accepted.
        """
        self._book.forget_expired(now_s, dedupe_window_s)

    async def run(self, order: SendOrder) -> CallAnswer:
        """Answer the call of a ticket that names this daemon's incarnation.

        :param order: the call.
        :raises Refusal: the call is not answered in full.
        """
        call = order.call
        if self._book.find(call.key) is None:
            raise Refusal(404, "unknown-ticket", "This daemon made no such ticket.")
        if not self._book.begin(call.key, call.fingerprint, order.claim):
            return self._answer_used(call)
        try:
            return await self._sender.send(order, partial(self._finish, order))
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._book.release(call.key)
            raise

    def retire(self) -> None:
        """State in the log that the unused tickets did not run and never will."""
        for key in self._book.retire_unused():
            self._journal_of(key).settle(AbandonRecord(key, self._next_claim()))

    def _answer_used(self, call: Call) -> CallAnswer:
        ticket = self._book.find(call.key)
        assert ticket is not None
        check_fingerprint(call, ticket.fingerprint)
        if ticket.state is TicketState.RETIRED:
            raise refuse_retired()
        if ticket.result is not None:
            return replay(ticket.result, ticket.claim)
        raise refuse_unknown(
            "in-progress",
            "Another call with this ticket is in progress.",
            IN_PROGRESS_RETRY_S,
        )

    def _finish(self, order: SendOrder, result: CallResult) -> None:
        call, kept = order.call, result.trim()
        self._book.finish(call.key, kept)
        record = OutcomeRecord(call.key, order.claim, call.fingerprint, kept)
        self._journal_of(call.key).settle(record)


def refuse_retired() -> Refusal:
    """Return the refusal of a ticket whose daemon left before it was used."""
    return Refusal(
        410, "ticket-retired", "The daemon that made the ticket left; take another."
    )
