"""Calls with tickets of another daemon: forwarded to it or answered from the log.

A message that runs a ticket may arrive twice or late; the daemon that issued the
ticket still runs it only once. It replies within a short time, with an empty reply
while the call is in progress, and the message is repeated until the call has ended:
thus a long call does not delay other messages.
"""

import asyncio
import time
from collections.abc import Callable
from functools import partial
from typing import Annotated

import msgspec

from cassiaspread_core.base import Incarnation, Outcome, Refusal
from cassiaspread_core.claims import ClaimId, ticket_incarnation
from cassiaspread_core.policy import Limits
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.claims._call import (
    UNKNOWN_RETRY_S,
    Call,
    CallAnswer,
    check_fingerprint,
    replay,
    unknown_outcome_refusal,
)
from cassiaspread_daemon.claims._journal import PartitionJournal
from cassiaspread_daemon.claims._sender import MILLISECONDS_PER_SECOND, CallContext
from cassiaspread_daemon.claims._tickets import LocalTickets, retired_ticket_refusal
from cassiaspread_daemon.mesh import Mesh, Peer, PeerUnreachable, Sender

RUN_TICKET_KIND = "claims.run_ticket"
MAX_REPLY_DELAY_S = 0.2
ASK_TIMEOUT_S = 1.0

# A busy daemon may miss a round of gossip and become reachable again.
HOLDER_WAIT_S = 1.0
HOLDER_POLL_S = 0.1

# A single lost message may only mean that the connection was replaced.
MAX_FAILED_REQUESTS = 3
CATCH_UP_TIMEOUT_S = 1.0


# One day; no caller waits longer.
MAX_WAIT_S = 86_400

LeftTime = Annotated[int, msgspec.Meta(le=MAX_WAIT_S * MILLISECONDS_PER_SECOND)]
RetryTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)]
ErrorStatus = Annotated[int, msgspec.Meta(ge=400, le=599)]


class TicketRequest(msgspec.Struct, frozen=True):
    """Request to a daemon to run one of its tickets or to return the result.

    :param run: identity of the caller's request, the same in each message for it.
    :param call: the call.
    :param limits: limits in force for it.
    :param left_ms: time until its deadline, in milliseconds.
    :param expires_s: its deadline, in seconds since the epoch.
    """

    run: str
    call: Call
    limits: Limits
    left_ms: LeftTime
    expires_s: float


class TicketRefusal(msgspec.Struct, frozen=True):
    """Refusal in a message.

    :param status: HTTP status code.
    :param code: short name of the reason.
    :param detail: explanation for the caller, one sentence.
    :param outcome: whether the call may have run.
    :param retry_after_s: seconds after which the caller should retry, if at all.
    """

    status: ErrorStatus
    code: str
    detail: str
    outcome: Outcome
    retry_after_s: RetryTime | None


class TicketReply(msgspec.Struct, frozen=True):
    """Result of a ticket; all fields are ``None`` while the call is in progress.

    :param answer: the target's answer.
    :param refusal: the refusal, if there is no answer.
    """

    answer: CallAnswer | None = None
    refusal: TicketRefusal | None = None


class TicketForwarder:
    """Forwards calls to the daemons that issued their tickets; runs those received.

    :param mesh: sends messages to daemons.
    :param tickets: tickets of this daemon.
    :param events: the time line.
    :param next_claim: returns a new claim identifier.
    """

    def __init__(
        self,
        mesh: Mesh,
        tickets: LocalTickets,
        events: EventRing,
        next_claim: Callable[[], ClaimId],
    ) -> None:
        self._mesh = mesh
        self._next_claim = next_claim
        self._tickets = tickets
        self._events = events
        self._runs: dict[str, asyncio.Task[TicketReply]] = {}
        self._asks: set[asyncio.Task[TicketReply]] = set()
        mesh.register(RUN_TICKET_KIND, TicketRequest, self._handle_request)

    @property
    def n_running(self) -> int:
        """Number of calls in progress that other daemons forwarded."""
        return sum(not run.done() for run in self._runs.values())

    async def run(self, context: CallContext, journal: PartitionJournal) -> CallAnswer:
        """Answer a call with a ticket of another daemon.

        :param context: the call and its limits.
        :param journal: journal of the partition of its key.
        :raises Refusal: there is no complete answer.
        """
        incarnation = ticket_incarnation(context.call.key.key)
        assert incarnation is not None
        peer = await self._find_holder(context, journal, incarnation)
        if peer is None:
            return await self._answer_from_log(context, journal, incarnation)
        self._events.record(
            "tickets.forwarded", context.call.key.key, to=peer.sender.vm
        )
        try:
            reply = await self._ask_until_ended(peer, context)
        except PeerUnreachable:
            return await self._answer_from_log(context, journal, incarnation)
        if reply.refusal is not None:
            raise Refusal(**msgspec.structs.asdict(reply.refusal))
        if reply.answer is None:
            raise Refusal(
                504, "target-silent", "No answer came in time.", Outcome.UNKNOWN
            )
        return reply.answer

    async def _ask_until_ended(self, peer: Peer, context: CallContext) -> TicketReply:
        reply, n_failed = TicketReply(), 0
        while reply == TicketReply() and time.monotonic() < context.deadline_s:
            try:
                reply = await self._ask(peer, context)
            except PeerUnreachable:
                n_failed += 1
                if n_failed == MAX_FAILED_REQUESTS:
                    raise
        return reply

    async def _ask(self, peer: Peer, context: CallContext) -> TicketReply:
        remaining_s = context.deadline_s - time.monotonic()
        request = TicketRequest(
            run=str(context.claim),
            call=context.call,
            limits=context.limits,
            left_ms=int(remaining_s * MILLISECONDS_PER_SECOND),
            expires_s=time.time() + remaining_s,
        )
        ask = asyncio.ensure_future(
            self._mesh.ask(
                peer.sender.address,
                RUN_TICKET_KIND,
                request,
                TicketReply,
                ASK_TIMEOUT_S,
            )
        )
        # It continues after the deadline: a connection is replaced only if it was
        # silent for the whole timeout, since other requests use it too.
        self._asks.add(ask)
        ask.add_done_callback(partial(self._end_ask, peer, context.call))
        await asyncio.wait({ask}, timeout=remaining_s)
        return ask.result() if ask.done() else TicketReply()

    def _end_ask(self, peer: Peer, call: Call, ask: asyncio.Task[TicketReply]) -> None:
        self._asks.discard(ask)
        if not ask.cancelled() and (error := ask.exception()) is not None:
            self._events.record(
                "tickets.no_reply", call.key.key, to=peer.sender.vm, error=str(error)
            )

    async def _find_holder(
        self, context: CallContext, journal: PartitionJournal, incarnation: Incarnation
    ) -> Peer | None:
        until_s = min(time.monotonic() + HOLDER_WAIT_S, context.deadline_s)
        peer = self._mesh.find_peer(incarnation)
        while peer is None and time.monotonic() < until_s:
            state = journal.reader.fold.find(context.call.key)
            if state is not None and (state.result is not None or state.void):
                return None
            await asyncio.sleep(min(HOLDER_POLL_S, until_s - time.monotonic()))
            peer = self._mesh.find_peer(incarnation)
        return peer

    async def _answer_from_log(
        self, context: CallContext, journal: PartitionJournal, incarnation: Incarnation
    ) -> CallAnswer:
        call, remaining_s = context.call, context.deadline_s - time.monotonic()
        await journal.reader.catch_up(min(CATCH_UP_TIMEOUT_S, remaining_s))
        state = journal.reader.fold.find(call.key)
        if state is not None and state.result is not None:
            check_fingerprint(call, state.fingerprint)
            return replay(state.result, state.holder)
        if state is not None and any(c.holder == incarnation for c in state.void):
            raise retired_ticket_refusal()
        raise _holder_unreachable_refusal()

    async def _handle_request(
        self, request: TicketRequest, sender: Sender
    ) -> TicketReply:
        run = self._runs.get(request.run)
        if run is None:
            run = asyncio.ensure_future(self._run_to_reply(request))
            self._runs[request.run] = run
            self._schedule_removal(request)
        await asyncio.wait({run}, timeout=MAX_REPLY_DELAY_S)
        return run.result() if run.done() else TicketReply()

    async def _run_to_reply(self, request: TicketRequest) -> TicketReply:
        try:
            return TicketReply(answer=await self._run_ticket(request))
        except Refusal as refusal:
            return TicketReply(
                refusal=TicketRefusal(
                    refusal.status,
                    refusal.code,
                    refusal.detail,
                    refusal.outcome,
                    refusal.retry_after_s,
                )
            )

    async def _run_ticket(self, request: TicketRequest) -> CallAnswer:
        holder = ticket_incarnation(request.call.key.key)
        if holder != self._mesh.sender.incarnation:
            raise _holder_unreachable_refusal()
        remaining_s = request.left_ms / MILLISECONDS_PER_SECOND
        context = CallContext(
            request.call,
            self._next_claim(),
            request.limits,
            time.monotonic() + remaining_s,
            lambda: time.time() < request.expires_s,
        )
        return await self._tickets.run(context)

    def _schedule_removal(self, request: TicketRequest) -> None:
        asyncio.get_running_loop().call_later(
            request.left_ms / MILLISECONDS_PER_SECOND + ASK_TIMEOUT_S,
            self._runs.pop,
            request.run,
            None,
        )


def _holder_unreachable_refusal() -> Refusal:
    return unknown_outcome_refusal(
        "ticket-holder-away",
        "Only the daemon that made the ticket can tell; it can't be reached.",
        UNKNOWN_RETRY_S,
    )
