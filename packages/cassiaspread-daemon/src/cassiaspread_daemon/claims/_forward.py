"""Calls under another daemon's tickets: asked of that daemon, or of the log.

A message that runs a ticket may arrive twice or late: the daemon that made the
ticket runs it once all the same. It answers soon, with what it knows by then, and is
asked again until the call has ended, so that a long call holds up no other message.
"""

import asyncio
import time
from collections.abc import Callable

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
    refuse_unknown,
    replay,
)
from cassiaspread_daemon.claims._journal import PartitionJournal
from cassiaspread_daemon.claims._sender import MILLISECONDS_PER_SECOND, SendOrder
from cassiaspread_daemon.claims._tickets import LocalTickets, refuse_retired
from cassiaspread_daemon.mesh import Mesh, Peer, PeerUnreachable, Sender

RUN_TICKET_KIND = "claims.run_ticket"
HOLD_REPLY_S = 0.2
ASK_TIMEOUT_S = 1.0

# A daemon that is busy may miss a round of gossip and be heard of again.
HOLDER_WAIT_S = 1.0
HOLDER_POLL_S = 0.1

# A lost message may only mean that the connection was replaced meanwhile.
N_ASKS = 3
CATCH_UP_TIMEOUT_S = 1.0


class TicketRequest(msgspec.Struct, frozen=True):
    """Asks a daemon to run one of its tickets, or how that went.

    :param run: identifies the caller's request, the same in each message for it.
    :param call: the call.
    :param limits: limits in force for it.
    :param left_ms: what is left of its time, in milliseconds.
    :param expires_s: when its time ends, in seconds since the epoch.
    """

    run: str
    call: Call
    limits: Limits
    left_ms: int
    expires_s: float


class TicketRefusal(msgspec.Struct, frozen=True):
    """A refusal as a message.

    :param status: HTTP status code.
    :param code: short name of the reason.
    :param detail: one sentence for the caller.
    :param outcome: whether the call is known not to have run.
    :param retry_after_s: seconds after which a retry makes sense, if any.
    """

    status: int
    code: str
    detail: str
    outcome: Outcome
    retry_after_s: float | None


class TicketReply(msgspec.Struct, frozen=True):
    """What is known by now; all fields are empty while the call is in progress.

    :param answer: the target's answer.
    :param refusal: why there is none.
    """

    answer: CallAnswer | None = None
    refusal: TicketRefusal | None = None


class TicketForwarder:
    """Forwards calls of tickets and answers those that were forwarded.

    :param mesh: sends messages to daemons.
    :param tickets: the tickets of this daemon.
    :param events: the time line.
    :param next_claim: returns an identifier for the next claim.
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
        mesh.register(RUN_TICKET_KIND, TicketRequest, self._answer)

    @property
    def n_running(self) -> int:
        """How many forwarded calls are in progress here."""
        return sum(not run.done() for run in self._runs.values())

    async def run(self, order: SendOrder, journal: PartitionJournal) -> CallAnswer:
        """Answer the call of another daemon's ticket.

        :param order: the call.
        :param journal: the partition of its key.
        :raises Refusal: the call is not answered in full.
        """
        incarnation = ticket_incarnation(order.call.key.key)
        assert incarnation is not None
        peer = await self._find_holder(order, journal, incarnation)
        if peer is None:
            return await self._ask_log(order.call, journal, incarnation)
        self._events.record("tickets.forwarded", order.call.key.key, to=peer.sender.vm)
        try:
            reply = await self._ask_until_known(peer, order)
        except PeerUnreachable:
            return await self._ask_log(order.call, journal, incarnation)
        if reply.refusal is not None:
            raise Refusal(**msgspec.structs.asdict(reply.refusal))
        if reply.answer is None:
            raise Refusal(
                504, "target-silent", "No answer came in time.", Outcome.UNKNOWN
            )
        return reply.answer

    async def _ask_until_known(self, peer: Peer, order: SendOrder) -> TicketReply:
        reply, n_lost = TicketReply(), 0
        while reply == TicketReply() and time.monotonic() < order.deadline_s:
            try:
                reply = await self._ask(peer, order)
            except PeerUnreachable:
                n_lost += 1
                if n_lost == N_ASKS:
                    raise
        return reply

    async def _ask(self, peer: Peer, order: SendOrder) -> TicketReply:
        left_s = order.deadline_s - time.monotonic()
        request = TicketRequest(
            run=str(order.claim),
            call=order.call,
            limits=order.limits,
            left_ms=int(left_s * MILLISECONDS_PER_SECOND),
            expires_s=time.time() + left_s,
        )
        return await self._mesh.ask(
            peer.sender.address, RUN_TICKET_KIND, request, TicketReply, ASK_TIMEOUT_S
        )

    async def _find_holder(
        self, order: SendOrder, journal: PartitionJournal, incarnation: Incarnation
    ) -> Peer | None:
        until_s = min(time.monotonic() + HOLDER_WAIT_S, order.deadline_s)
        peer = self._mesh.find_peer(incarnation)
        while peer is None and time.monotonic() < until_s:
            state = journal.reader.fold.find(order.call.key)
            if state is not None and (state.result is not None or state.void):
                return None
            await asyncio.sleep(HOLDER_POLL_S)
            peer = self._mesh.find_peer(incarnation)
        return peer

    async def _ask_log(
        self, call: Call, journal: PartitionJournal, incarnation: Incarnation
    ) -> CallAnswer:
        await journal.reader.catch_up(CATCH_UP_TIMEOUT_S)
        state = journal.reader.fold.find(call.key)
        if state is not None and state.result is not None:
            check_fingerprint(call, state.fingerprint)
            return replay(state.result, state.holder)
        if state is not None and any(c.holder == incarnation for c in state.void):
            raise refuse_retired()
        raise _refuse_holder_away()

    async def _answer(self, request: TicketRequest, sender: Sender) -> TicketReply:
        run = self._runs.get(request.run)
        if run is None:
            run = asyncio.ensure_future(self._run(request))
            self._runs[request.run] = run
            self._forget_later(request)
        await asyncio.wait({run}, timeout=HOLD_REPLY_S)
        return run.result() if run.done() else TicketReply()

    async def _run(self, request: TicketRequest) -> TicketReply:
        try:
            return TicketReply(answer=await self._run_here(request))
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

    async def _run_here(self, request: TicketRequest) -> CallAnswer:
        named = ticket_incarnation(request.call.key.key)
        if named != self._mesh.sender.incarnation:
            raise _refuse_holder_away()
        left_s = request.left_ms / MILLISECONDS_PER_SECOND
        order = SendOrder(
            request.call,
            self._next_claim(),
            request.limits,
            time.monotonic() + left_s,
            lambda: time.time() < request.expires_s,
        )
        return await self._tickets.run(order)

    def _forget_later(self, request: TicketRequest) -> None:
        asyncio.get_running_loop().call_later(
            request.left_ms / MILLISECONDS_PER_SECOND + ASK_TIMEOUT_S,
            self._runs.pop,
            request.run,
            None,
        )


def _refuse_holder_away() -> Refusal:
    return refuse_unknown(
        "ticket-holder-away",
        "Only the daemon that made the ticket can tell; it can't be reached.",
        UNKNOWN_RETRY_S,
    )
