"""Requests and gossip between daemons, and the membership derived from them.

Peers gossip with each other every second; either side may send the request. A side
whose own last request is some time ago sends one, so that each side checks whether
it can reach the other.
"""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from contextlib import nullcontext, suppress
from types import TracebackType
from typing import Any, Self, TypeVar

import msgspec
from absl import logging

from cassiaspread_core.base import DomainId, Incarnation, MalformedDocument, shorten
from cassiaspread_core.membership import (
    Member,
    MemberState,
    MemberTransition,
    choose_contacts,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.mesh._contacts import Contacts
from cassiaspread_daemon.mesh._deltas import DeltaTopic
from cassiaspread_daemon.mesh._gossip import Gossip, Topic, Topics
from cassiaspread_daemon.mesh._members import Members, to_member
from cassiaspread_daemon.mesh._message import (
    Envelope,
    Sender,
    decode_body,
    decode_envelope,
    short_id,
)
from cassiaspread_daemon.mesh._pieces import (
    N_LANES,
    PIECE_BYTES,
    LargeMessage,
    Piece,
    PieceReceiver,
    PieceRejected,
    split_message,
)
from cassiaspread_daemon.mesh._senders import SenderTable, UnknownSender
from cassiaspread_daemon.mesh._transport import PeerUnreachable, Traffic, Transport

GOSSIP_INTERVAL_S = 1.0
GOSSIP_TIMEOUT_S = 0.5
N_GOSSIP_ATTEMPTS = 2
URGENT_DELAY_S = 0.1
# Gossip goes round each second.
REFUSAL_LOG_INTERVAL_S = 10
GOSSIP_KIND = "gossip"
PIECE_KIND = "piece"
UNKNOWN_SENDER = "unknown sender"

Body = TypeVar("Body")
Handler = Callable[[Any, Sender], Awaitable[Any]]


class Peer(msgspec.Struct, frozen=True):
    """A daemon that takes work and answers requests.

    :param sender: identity and address of the daemon.
    :param last_seen_s: time of the last evidence that it runs, on the monotonic
        clock, in seconds.
    """

    sender: Sender
    last_seen_s: float


class Mesh:
    """Sends and answers messages; an asynchronous context manager.

    :param sender: identity and address of this daemon.
    :param events: the time line, whose clock every message carries.
    :param supervisor: runs the tasks.
    :param seed_addresses: returns ``host:port`` of each listed or configured daemon,
        with its domain if that is known; these are contacted without prior gossip.
    :param listen: ``host:port`` to listen on.
    """

    def __init__(
        self,
        sender: Sender,
        events: EventRing,
        supervisor: Supervisor,
        seed_addresses: Callable[[], Mapping[str, DomainId | None]],
        listen: str,
    ) -> None:
        self._sender = sender
        self._own_id = short_id(sender)
        self._events = events
        self._supervisor = supervisor
        self._seed_addresses = seed_addresses
        self._transport = Transport(listen, self._answer, supervisor)
        self._handlers: dict[str, tuple[Any, Handler]] = {}
        self._topics = Topics()
        self._members = Members(to_member(sender), self._topics, events)
        self._contacts = Contacts()
        self._senders = SenderTable()
        self._urgent = asyncio.Event()
        # Addresses to which a message is to begin, also if one is in progress.
        self._untold: set[str] = set()
        self._n_rounds = 0
        self._bytes_by_kind: Counter[str] = Counter()
        self.transition_callbacks: list[Callable[[MemberTransition], None]] = []
        self._message_numbers = itertools.count()
        self._lanes = asyncio.Semaphore(N_LANES)
        self._pieces = PieceReceiver()
        self.register(GOSSIP_KIND, Gossip, self._answer_gossip)
        self.register(PIECE_KIND, Piece, self._answer_piece)

    async def __aenter__(self) -> Self:
        await self._transport.__aenter__()
        self._supervisor.start("gossip", self._gossip)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._transport.__aexit__(exc_type, exc, traceback)

    @property
    def sender(self) -> Sender:
        """Identity of this daemon in its messages."""
        return self._sender

    @property
    def own_member(self) -> Member:
        """This daemon as a member of the fleet."""
        return self._members.view.own

    @property
    def traffic(self) -> Traffic:
        """Messages and bytes sent and received since the start."""
        return self._transport.traffic

    def bytes_by_kind(self) -> Mapping[str, int]:
        """Return the bytes of the exchanges that this daemon began, by kind."""
        return self._bytes_by_kind

    def announce_leaving(self) -> None:
        """Notify the peers at once that this daemon takes no new work."""
        self._sender = msgspec.structs.replace(self._sender, is_leaving=True)
        self._own_id = short_id(self._sender)
        self._members.leave()
        self.gossip_now()

    def gossip_now(self) -> None:
        """Start a gossip round at once instead of within a second."""
        self._topics.invalidate()
        self._urgent.set()

    def peers(self) -> list[Peer]:
        """List the daemons of all domains that take work and are alive."""
        view, now_s = self._members.view, time.monotonic()
        return [self._peer(m) for m in view.members(now_s, MemberState.ALIVE)]

    def alive_or_suspect_peers(self) -> list[Peer]:
        """List the daemons that take work and are alive or suspect."""
        view, now_s = self._members.view, time.monotonic()
        members = view.members(now_s, MemberState.ALIVE, MemberState.SUSPECT)
        return [self._peer(member) for member in members]

    def find_peer(self, incarnation: Incarnation) -> Peer | None:
        """Return a daemon that is alive or leaving; ``None`` if there is none.

        :param incarnation: incarnation of the daemon.
        """
        view, now_s = self._members.view, time.monotonic()
        for member in view.members(now_s, MemberState.ALIVE, MemberState.LEAVING):
            if member.incarnation == incarnation:
                return self._peer(member)
        return None

    def active_members(self) -> list[Member]:
        """List the daemons that take work, this one included unless it leaves."""
        running = self._members.view.running(time.monotonic())
        return running[1:] if self._sender.is_leaving else running

    def pollers(self) -> list[Member]:
        """List the daemons that share the polling of targets.

        Daemons of other domains are included only while this domain is in contact with
        theirs; otherwise it polls the other domain's targets itself, as far as it can.
        """
        own = self._sender.domain
        view, now_s = self._members.view, time.monotonic()
        alive = set(view.members(now_s, MemberState.ALIVE))
        return [m for m in self.active_members() if m.domain == own or m in alive]

    def member_states(self) -> list[tuple[Member, MemberState]]:
        """List every recorded daemon with its state."""
        view, now_s = self._members.view, time.monotonic()
        members = view.members(now_s, *MemberState)
        return [(m, view.state(m.incarnation, now_s)) for m in members]

    def register(self, kind: str, body_type: Any, handler: Handler) -> None:
        """Register the handler for one kind of request.

        :param kind: name of the kind, unique in the daemon.
        :param body_type: type of the request's body.
        :param handler: receives the body and the sender, returns the reply's body.
        """
        self._handlers[kind] = (body_type, handler)

    def add_topic(
        self,
        name: str,
        produce: Callable[[], Any],
        body_type: Any,
        consume: Callable[[Any, Sender], None],
        produce_cross_domain: Callable[[], Any] | None = None,
    ) -> None:
        """Add a topic to the gossip that peers exchange every second.

        :param name: name of the topic, unique in the daemon.
        :param produce: returns the body to send, ``None`` for nothing.
        :param body_type: type of the body.
        :param consume: receives the body of a peer and its sender.
        :param produce_cross_domain: returns the body for daemons of other domains;
            ``None`` if they get the same one.
        """
        topic = Topic(produce, body_type, consume, produce_cross_domain)
        self._topics.add(name, topic)

    def add_delta_topic(self, name: str, topic: DeltaTopic) -> None:
        """Add a topic of which each peer gets only the entries that it lacks.

        :param name: name of the topic, unique in the daemon.
        :param topic: the topic.
        """
        self._topics.add_delta(name, topic)

    async def ask(
        self,
        address: str,
        kind: str,
        body: Any,
        reply_type: type[Body],
        timeout_s: float,
    ) -> Body:
        """Send a request to a daemon and return the reply's body.

        A large request is sent in pieces, one after the other.

        :param address: ``host:port`` where the peer receives messages.
        :param kind: kind of the request.
        :param body: body of the request.
        :param reply_type: type of the reply's body.
        :param timeout_s: maximum wait for the reply to each message, in seconds.
        :raises PeerUnreachable: no valid reply arrived, or it reports an error.
        """
        reply = await self._exchange(address, kind, body, timeout_s)
        if reply.error is not None:
            raise PeerUnreachable(f"{address}: {reply.error}")
        try:
            return decode_body(reply.body, reply_type)
        except MalformedDocument as error:
            raise PeerUnreachable(f"{address}: malformed reply: {error}") from None

    async def _exchange(
        self, address: str, kind: str, body: Any, timeout_s: float
    ) -> Envelope:
        content = msgspec.Raw(msgspec.msgpack.encode(body))
        if len(content) <= PIECE_BYTES:
            return await self._exchange_whole(address, kind, content, timeout_s)
        message = msgspec.msgpack.encode(LargeMessage(kind, content))
        for piece in split_message(next(self._message_numbers), message):
            async with self._lanes if piece.begin else nullcontext():
                reply = await self._exchange_whole(
                    address, PIECE_KIND, piece, timeout_s
                )
            if reply.error is not None:
                break
        if reply.error is not None and not piece.begin:
            # A daemon of an earlier release knows no pieces.
            return await self._exchange_whole(address, kind, content, timeout_s)
        return reply

    async def _exchange_whole(
        self, address: str, kind: str, body: Any, timeout_s: float
    ) -> Envelope:
        uses_short_id = self._contacts.accepts_short_id(address, self._own_id)
        reply = await self._send(address, kind, body, timeout_s, uses_short_id)
        if reply.error == UNKNOWN_SENDER:
            reply = await self._send(
                address, kind, body, timeout_s, uses_short_id=False
            )
        return reply

    async def _send(
        self,
        address: str,
        kind: str,
        body: Any,
        timeout_s: float,
        uses_short_id: bool,
    ) -> Envelope:
        request = Envelope(
            self._own_id if uses_short_id else self._sender,
            self._events.issue_timestamp(),
            kind,
            msgspec.Raw(msgspec.msgpack.encode(body)),
            self._contacts.sender_id(address),
        )
        data = msgspec.msgpack.encode(request)
        self._bytes_by_kind[kind] += len(data)
        reply_data = await self._transport.exchange(address, data, timeout_s)
        self._bytes_by_kind[kind] += len(reply_data)
        try:
            reply = decode_envelope(reply_data)
            sender = self._senders.resolve(reply.sender)
        except (MalformedDocument, UnknownSender) as error:
            raise PeerUnreachable(f"{address}: {error}") from None
        self._events.receive_timestamp(reply.stamp)
        now_s = time.monotonic()
        self._contacts.record_answer(
            address, sender, self._own_id, now_s, kind == GOSSIP_KIND
        )
        if self._members.record_message(sender, now_s, address):
            self.gossip_now()
        return msgspec.structs.replace(reply, sender=sender)

    def _reply(
        self, request: Envelope | None, body: Any, error: str | None = None
    ) -> Envelope:
        uses_short_id = request is not None and request.expects == self._own_id
        return Envelope(
            self._own_id if uses_short_id else self._sender,
            self._events.issue_timestamp(),
            "" if request is None else request.kind,
            msgspec.Raw(msgspec.msgpack.encode(body)),
            error=error,
        )

    def _record_request(self, request: Envelope) -> Sender:
        sender = self._senders.resolve(request.sender)
        self._events.receive_timestamp(request.stamp)
        now_s = time.monotonic()
        self._contacts.record_request(sender, now_s, request.kind == GOSSIP_KIND)
        if self._members.record_message(sender, now_s):
            self.gossip_now()
        return sender

    async def _answer(self, data: bytes) -> bytes:
        return msgspec.msgpack.encode(await self._handle(data))

    async def _handle(self, data: bytes) -> Envelope:
        request = None
        try:
            request = decode_envelope(data)
            body_type, handler = self._find_handler(request.kind)
            body = decode_body(request.body, body_type)
            sender = self._record_request(request)
            return self._reply(request, await handler(body, sender))
        except UnknownSender:
            return self._reply(request, None, UNKNOWN_SENDER)
        except (MalformedDocument, PieceRejected) as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "refused a message of kind %s with %d bytes: %s",
                REFUSAL_LOG_INTERVAL_S,
                shorten(request.kind) if request else "unknown",
                len(data),
                error,
            )
            return self._reply(request, None, f"bad message: {error}")
        except Exception:
            logging.exception(
                "handler for requests of kind %s failed", request and request.kind
            )
            return self._reply(request, None, "the handler failed")

    async def _answer_piece(self, piece: Piece, sender: Sender) -> Any:
        data = self._pieces.add(sender.incarnation, piece)
        if data is None:
            return None
        message = decode_body(data, LargeMessage)
        body_type, handler = self._find_handler(message.kind)
        return await handler(decode_body(message.body, body_type), sender)

    def _find_handler(self, kind: str) -> tuple[Any, Handler]:
        if kind not in self._handlers:
            raise MalformedDocument(f"no requests of kind {kind} are answered")
        return self._handlers[kind]

    async def _gossip(self) -> None:
        while True:
            is_urgent = self._urgent.is_set()
            self._urgent.clear()
            self._tick()
            addresses = self._choose_addresses(is_urgent)
            if is_urgent:
                self._untold.update(addresses)
            for address in addresses:
                self._supervisor.start_once(
                    f"gossip-{address}", self._gossip_task(address)
                )
            # Unlike asyncio.wait_for, this loses no cancellation.
            with suppress(TimeoutError):
                async with asyncio.timeout(GOSSIP_INTERVAL_S):
                    await self._urgent.wait()
                await asyncio.sleep(URGENT_DELAY_S)

    def _tick(self) -> None:
        for transition in self._members.tick(time.monotonic()):
            if transition.state is MemberState.LOST:
                self._topics.remove_peer(transition.member.incarnation)
                self._pieces.remove_sender(transition.member.incarnation)
            for callback in self.transition_callbacks:
                callback(transition)

    def _choose_addresses(self, is_urgent: bool) -> list[str]:
        now_s = time.monotonic()
        view = self._members.view
        lost = view.members(now_s, MemberState.LOST)
        seed_addresses = self._members.introduced | dict(self._seed_addresses())
        seed_addresses |= {m.address: m.domain for m in lost}
        for address in seed_addresses:
            seed_addresses[address] = (
                self._contacts.domain(address) or seed_addresses[address]
            )
        self._n_rounds += 1
        candidates = view.members(now_s)
        plan = choose_contacts(view.own, candidates, seed_addresses, self._n_rounds)
        addresses = plan.local | plan.remote
        return [a for a in addresses if self._contacts.is_due(a, now_s, is_urgent)]

    def _gossip_task(self, address: str) -> Callable[[], Awaitable[None]]:
        async def run() -> None:
            self._untold.add(address)
            while address in self._untold:
                self._untold.remove(address)
                await self._gossip_with(address)

        return run

    async def _gossip_with(self, address: str) -> None:
        reply = await self._exchange_gossip(address)
        if reply is None:
            self._contacts.record_no_answer(address, time.monotonic())
            self._members.record_no_answer(address)
        elif (
            reply.error is None and reply.sender.incarnation != self._sender.incarnation
        ):
            self._consume_reply(address, reply)

    def _consume_reply(self, address: str, reply: Envelope) -> None:
        try:
            gossip = decode_body(reply.body, Gossip)
        except MalformedDocument as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "%s answered gossip with a malformed body: %s",
                REFUSAL_LOG_INTERVAL_S,
                address,
                error,
            )
            return
        self._consume(gossip, reply.sender)

    async def _exchange_gossip(self, address: str) -> Envelope | None:
        """Exchange gossip, retrying once if the address answered recently.

        The connection in use may have gone silent; the retry opens a new one.
        """
        for _ in range(N_GOSSIP_ATTEMPTS):
            gossip = self._produce(self._contacts.sender(address))
            with suppress(PeerUnreachable):
                return await self._exchange(
                    address, GOSSIP_KIND, gossip, GOSSIP_TIMEOUT_S
                )
            if not self._contacts.answered_recently(address, time.monotonic()):
                break
        return None

    async def _answer_gossip(self, gossip: Gossip, sender: Sender) -> Gossip:
        self._consume(gossip, sender)
        return self._produce(sender)

    def _produce(self, peer: Sender | None) -> Gossip:
        now_s = time.monotonic()
        is_cross_domain = peer is not None and peer.domain != self._sender.domain
        ages_s = (
            {}
            if is_cross_domain
            else self._contacts.cross_domain_ages(self._sender.domain, now_s)
        )
        incarnation = None if peer is None else peer.incarnation
        return self._topics.produce(incarnation, is_cross_domain, ages_s, now_s)

    def _consume(self, gossip: Gossip, sender: Sender) -> None:
        now_s = time.monotonic()
        for domain, age_ms in gossip.domain_ages_ms.items():
            self._members.view.record_domain_contact(domain, age_ms / 1000, now_s)
        self._topics.consume(gossip, sender)

    def _peer(self, member: Member) -> Peer:
        view = self._members.view
        record = view.record(member.incarnation)
        is_leaving = record is not None and record.is_leaving
        sender = Sender(
            member.vm, member.domain, member.incarnation, member.address, is_leaving
        )
        return Peer(sender, view.last_contact_s(member.incarnation))
