"""Calls with tickets, which only the daemon that issued the ticket runs."""

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
    TicketState,
    TicketTable,
    create_ticket_key,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.claims._call import (
    IN_PROGRESS_RETRY_S,
    Call,
    CallAnswer,
    check_fingerprint,
    replay,
    unknown_outcome_refusal,
)
from cassiaspread_daemon.claims._journal import PartitionJournal
from cassiaspread_daemon.claims._sender import CallContext, CallSender


class LocalTickets:
    """Creates tickets and runs their calls; the state of tickets is kept in memory.

    :param incarnation: incarnation of this daemon.
    :param sender: sends calls whose keys this daemon holds.
    :param events: the time line.
    :param next_claim: returns a new claim identifier.
    :param journal_of: returns the journal of the partition of a key.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        sender: CallSender,
        events: EventRing,
        next_claim: Callable[[], ClaimId],
        journal_of: Callable[[ScopedKey], PartitionJournal],
    ) -> None:
        self._incarnation = incarnation
        self._sender = sender
        self._events = events
        self._next_claim = next_claim
        self._journal_of = journal_of
        self._tickets = TicketTable()

    def mint(self, organisation: OrganisationId) -> ScopedKey:
        """Create a ticket.

        :param organisation: organisation that owns the ticket.
        """
        key = ScopedKey(
            organisation, create_ticket_key(self._incarnation, uuid6.uuid7())
        )
        self._tickets.add(key)
        self._events.record("tickets.minted", key.key)
        return key

    def remove_expired(self, now_s: float, dedupe_window_s: float) -> None:
        """Remove tickets that are too old to be accepted.

        :param now_s: current time, in seconds since the epoch.
        :param dedupe_window_s: age up to which keys are accepted, in seconds.
        """
        self._tickets.remove_expired(now_s, dedupe_window_s)

    async def run(self, context: CallContext) -> CallAnswer:
        """Answer a call whose ticket contains this daemon's incarnation.

        :param context: the call and its limits.
        :raises Refusal: there is no complete answer.
        """
        call = context.call
        if self._tickets.find(call.key) is None:
            raise Refusal(404, "unknown-ticket", "This daemon made no such ticket.")
        if not self._tickets.begin(call.key, call.fingerprint, context.claim):
            return self._answer_used(call)
        try:
            return await self._sender.send(context, partial(self._finish, context))
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._tickets.release(call.key)
            raise

    def retire(self) -> None:
        """Record in the log that the unused tickets did not and will not run."""
        for key in self._tickets.retire_unused():
            self._journal_of(key).settle(AbandonRecord(key, self._next_claim()))

    def _answer_used(self, call: Call) -> CallAnswer:
        ticket = self._tickets.find(call.key)
        assert ticket is not None
        check_fingerprint(call, ticket.fingerprint)
        if ticket.state is TicketState.RETIRED:
            raise retired_ticket_refusal()
        if ticket.result is not None:
            return replay(ticket.result, ticket.claim)
        raise unknown_outcome_refusal(
            "in-progress",
            "Another call with this ticket is in progress.",
            IN_PROGRESS_RETRY_S,
        )

    def _finish(self, context: CallContext, result: CallResult) -> None:
        call, stored_result = context.call, result.without_large_body()
        self._tickets.finish(call.key, stored_result)
        record = OutcomeRecord(call.key, context.claim, call.fingerprint, stored_result)
        self._journal_of(call.key).settle(record)


def retired_ticket_refusal() -> Refusal:
    """Return the refusal of an unused ticket whose daemon has left."""
    return Refusal(
        410, "ticket-retired", "The daemon that made the ticket left; take another."
    )
