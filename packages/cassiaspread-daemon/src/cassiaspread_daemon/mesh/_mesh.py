"""Requests and gossip between daemons over pynng.

Each daemon listens on one reply socket, served by several contexts, and keeps one
request socket for each peer. A request that times out closes its socket, so that the
next one opens a new connection.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from typing import Any, TypeVar

import msgspec
import pynng
from absl import logging
from cassiaspread_core.base import CassiaspreadError, Incarnation
from cassiaspread_core.timeline import EventRing

from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.mesh._message import Envelope, Sender

N_REPLY_CONTEXTS = 16
GOSSIP_INTERVAL_S = 1.0
GOSSIP_TIMEOUT_S = 1.0
PEER_LIFETIME_S = 3.0
GOSSIP_KIND = "gossip"
MILLISECONDS_PER_SECOND = 1000

Body = TypeVar("Body")
Handler = Callable[[Any, Sender], Awaitable[Any]]
Topics = dict[str, msgspec.Raw]


class PeerUnreachable(CassiaspreadError):
    """A peer gave no answer; the request may have reached it."""


class Peer(msgspec.Struct, frozen=True):
    """A daemon that answered lately.

    :param sender: who it is.
    :param heard_s: when it last answered, on the monotonic clock in seconds.
    """

    sender: Sender
    heard_s: float


class Mesh:
    """Sends and answers messages; an asynchronous context manager.

    :param sender: who this daemon is.
    :param events: the time line, whose clock every message carries.
    :param supervisor: runs the tasks.
    :param addresses: returns the ``host:port`` of every daemon to talk to.
    :param listen: ``host:port`` to listen on.
    """

    def __init__(
        self,
        sender: Sender,
        events: EventRing,
        supervisor: Supervisor,
        addresses: Callable[[], Iterable[str]],
        listen: str,
    ) -> None:
        self._sender = sender
        self._events = events
        self._supervisor = supervisor
        self._addresses = addresses
        self._listen = listen
        self._hurry = asyncio.Event()
        self._handlers: dict[str, tuple[type, Handler]] = {}
        self._topics: dict[str, tuple[Callable, type, Callable]] = {}
        self._requesters: dict[str, pynng.Req0] = {}
        self._peers: dict[str, Peer] = {}
        self.register(GOSSIP_KIND, Topics, self._answer_gossip)

    async def __aenter__(self) -> "Mesh":
        self._replier = pynng.Rep0(listen=f"tcp://{self._listen}")
        for index in range(N_REPLY_CONTEXTS):
            self._supervisor.start(f"reply-{index}", self._reply)
        self._supervisor.start("gossip", self._gossip)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._supervisor.stop()
        for requester in self._requesters.values():
            requester.close()
        self._replier.close()

    @property
    def sender(self) -> Sender:
        """Who this daemon is to its peers."""
        return self._sender

    def leave(self) -> None:
        """Tell the peers at once that this daemon takes no new work."""
        self._sender = msgspec.structs.replace(self._sender, is_leaving=True)
        self.hurry()

    def hurry(self) -> None:
        """Gossip now instead of within a second."""
        self._hurry.set()

    def peers(self) -> list[Peer]:
        """List the daemons that answered lately, this one not among them."""
        now_s = time.monotonic()
        return [
            peer
            for peer in self._peers.values()
            if now_s - peer.heard_s < PEER_LIFETIME_S
        ]

    def find_peer(self, incarnation: Incarnation) -> Peer | None:
        """Return the live peer of an incarnation, if any.

        :param incarnation: the start of a daemon.
        """
        for peer in self.peers():
            if peer.sender.incarnation == incarnation:
                return peer
        return None

    def register(self, kind: str, body_type: Any, handler: Handler) -> None:
        """Answer one kind of request.

        :param kind: name of the kind, unique in the daemon.
        :param body_type: type of the request's body.
        :param handler: gets the body and the sender, returns the reply's body.
        """
        self._handlers[kind] = (body_type, handler)

    def add_topic(
        self,
        name: str,
        produce: Callable[[], Any],
        body_type: Any,
        consume: Callable[[Any, Sender], None],
    ) -> None:
        """Add a part to the gossip that peers exchange every second.

        :param name: name of the topic, unique in the daemon.
        :param produce: returns what is sent, ``None`` for nothing.
        :param body_type: type of what is sent.
        :param consume: gets what a peer sent.
        """
        self._topics[name] = (produce, body_type, consume)

    async def ask(
        self,
        address: str,
        kind: str,
        body: Any,
        reply_type: type[Body],
        timeout_s: float,
    ) -> Body:
        """Send a request to a daemon and return the reply's body.

        :param address: ``host:port`` where the peer takes messages.
        :param kind: kind of the request.
        :param body: body of the request.
        :param reply_type: type of the reply's body.
        :param timeout_s: longest wait in seconds.
        :raises PeerUnreachable: no reply came, or the peer could not answer.
        """
        reply = await self._exchange(address, self._envelope(kind, body), timeout_s)
        if reply.error is not None:
            raise PeerUnreachable(f"{address}: {reply.error}")
        return msgspec.msgpack.decode(reply.body, type=reply_type)

    async def _exchange(
        self, address: str, envelope: Envelope, timeout_s: float
    ) -> Envelope:
        requester = self._requesters.get(address)
        if requester is None:
            requester = pynng.Req0(resend_time=-1)
            requester.dial(f"tcp://{address}", block=False)
            self._requesters[address] = requester
        try:
            with requester.new_context() as context:
                async with asyncio.timeout(timeout_s):
                    await context.asend(msgspec.msgpack.encode(envelope))
                    reply = msgspec.msgpack.decode(await context.arecv(), type=Envelope)
        except (TimeoutError, pynng.NNGException, msgspec.MsgspecError) as error:
            self._drop_requester(address, requester)
            reason = str(error) or "no reply in time"
            raise PeerUnreachable(f"{address}: {reason}") from None
        self._note(reply)
        return reply

    def _drop_requester(self, address: str, requester: pynng.Req0) -> None:
        if self._requesters.get(address) is requester:
            del self._requesters[address]
        requester.close()

    def _envelope(self, kind: str, body: Any) -> Envelope:
        encoded = msgspec.Raw(msgspec.msgpack.encode(body))
        return Envelope(self._sender, self._events.stamp(), kind, encoded)

    def _note(self, envelope: Envelope) -> None:
        self._events.receive(envelope.stamp)
        sender = envelope.sender
        if sender.incarnation != self._sender.incarnation:
            self._peers[sender.address] = Peer(sender, time.monotonic())

    async def _reply(self) -> None:
        with self._replier.new_context() as context:
            while True:
                reply = await self._handle(await context.arecv())
                await context.asend(msgspec.msgpack.encode(reply))

    async def _handle(self, data: bytes) -> Envelope:
        kind = ""
        try:
            envelope = msgspec.msgpack.decode(data, type=Envelope)
            kind = envelope.kind
            body_type, handler = self._handlers[kind]
            body = msgspec.msgpack.decode(envelope.body, type=body_type)
            self._note(envelope)
            return self._envelope(kind, await handler(body, envelope.sender))
        except (KeyError, msgspec.MsgspecError) as error:
            reason = f"bad message: {error}"
        except Exception:
            logging.exception("handler of %s failed", kind)
            reason = "the handler failed"
        return msgspec.structs.replace(self._envelope(kind, None), error=reason)

    async def _gossip(self) -> None:
        while True:
            self._hurry.clear()
            addresses = set(self._addresses()) - {self._sender.address}
            await asyncio.gather(*(self._gossip_with(a) for a in addresses))
            with suppress(TimeoutError):
                await asyncio.wait_for(self._hurry.wait(), GOSSIP_INTERVAL_S)

    async def _gossip_with(self, address: str) -> None:
        envelope = self._envelope(GOSSIP_KIND, self._produce_topics())
        try:
            reply = await self._exchange(address, envelope, GOSSIP_TIMEOUT_S)
        except PeerUnreachable:
            return
        if reply.error is None:
            topics = msgspec.msgpack.decode(reply.body, type=Topics)
            self._consume_topics(topics, reply.sender)

    async def _answer_gossip(self, topics: Topics, sender: Sender) -> Topics:
        self._consume_topics(topics, sender)
        return self._produce_topics()

    def _produce_topics(self) -> Topics:
        topics: Topics = {}
        for name, (produce, _, _) in self._topics.items():
            body = produce()
            if body is not None:
                topics[name] = msgspec.Raw(msgspec.msgpack.encode(body))
        return topics

    def _consume_topics(self, topics: Topics, sender: Sender) -> None:
        for name, raw in topics.items():
            if name not in self._topics:
                continue
            _, body_type, consume = self._topics[name]
            try:
                consume(msgspec.msgpack.decode(raw, type=body_type), sender)
            except msgspec.MsgspecError as error:
                logging.error("topic %s from %s: %s", name, sender.vm, error)
