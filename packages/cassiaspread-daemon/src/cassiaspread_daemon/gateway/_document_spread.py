"""Distribution of a large document from daemon to daemon.

Each daemon passes the newest document that it has on to a few others, one after the
other, so that the amount that it sends does not grow with the fleet. In each failure
domain the daemons form a tree, whose root is the daemon that got the document from the
store or from another domain.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from cassiaspread_core.base import DomainId, Incarnation, SequenceNumber
from cassiaspread_core.membership import Member, find_children
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.mesh import Mesh, PeerUnreachable, Sender

# Time for the reply to an offer, and to each piece of a document, in seconds.
REPLY_TIMEOUT_S = 0.5
# Daemons that a document is sent to at the same time; those that come first pass it on
# meanwhile.
MAX_SENT_AT_ONCE = 2


class Document(msgspec.Struct, frozen=True, array_like=True):
    """A document, and its position in its feed.

    :param end: position after it.
    :param root: root of the tree in the domain of the receiver.
    :param data: the document.
    """

    end: SequenceNumber
    root: Incarnation
    data: bytes


class _Offer(msgspec.Struct, frozen=True, array_like=True):
    """Question whether a daemon needs a document.

    :param end: position after the document.
    """

    end: SequenceNumber


class _Reply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to an offer.

    :param is_needed: whether the document is to be sent.
    """

    is_needed: bool


class _Empty(msgspec.Struct, frozen=True):
    """Reply to a document."""


class DocumentSpread:
    """Passes the newest document of one feed on.

    :param kind: name of the feed.
    :param domain: failure domain of this daemon.
    :param mesh: messages between daemons.
    :param members: returns the daemons that take work.
    :param supervisor: runs the tasks that send.
    :param log: receives a line for each daemon that a document did not reach.
    :param newest: returns the newest document and the position after it, if there is
        one to pass on.
    :param receive: applies a document of a sender; returns whether it is newer than
        the one before.
    """

    def __init__(
        self,
        kind: str,
        domain: DomainId,
        mesh: Mesh,
        members: Callable[[], Iterable[Member]],
        supervisor: Supervisor,
        log: DecisionLog,
        newest: Callable[[], tuple[int, bytes] | None],
        receive: Callable[[Document, Sender], bool],
    ) -> None:
        self._kind = kind
        self._domain = domain
        self._mesh = mesh
        self._members = members
        self._supervisor = supervisor
        self._log = log
        self._newest = newest
        self._receive = receive
        self._sending = asyncio.Semaphore(MAX_SENT_AT_ONCE)
        mesh.register(f"offer-{kind}", _Offer, self._answer_offer)
        mesh.register(f"document-{kind}", Document, self._answer_document)

    def publish(self, heads: Iterable[Member]) -> None:
        """Send the newest document to the own domain, and to daemons of others.

        :param heads: one daemon of each other domain that is to have it.
        """
        self.send_to(heads)
        own = self._mesh.sender.incarnation
        self._send_to_children(own, own)

    def send_to(self, peers: Iterable[Member]) -> None:
        """Send the newest document to daemons, which pass it on in their domains.

        :param peers: the daemons.
        """
        own = self._mesh.sender.incarnation
        for peer in peers:
            is_own_domain = peer.domain == self._domain
            self._start_sending(peer, own if is_own_domain else peer.incarnation)

    def _send_to_children(self, parent: Incarnation, root: Incarnation) -> None:
        domain = [m for m in self._members() if m.domain == self._domain]
        for child in find_children(self._kind, domain, root, parent):
            if child.incarnation != self._mesh.sender.incarnation:
                self._start_sending(child, root)

    def _start_sending(self, peer: Member, root: Incarnation) -> None:
        async def send() -> None:
            end = None
            # A newer document may come while one is sent.
            while (newest := self._newest()) is not None and newest[0] != end:
                end = newest[0]
                await self._send(peer, Document(end, root, newest[1]))

        self._supervisor.start_once(f"spread-{self._kind}-{peer.address}", send)

    async def _send(self, peer: Member, document: Document) -> None:
        offer, kind = _Offer(document.end), self._kind
        n_bytes = 0
        try:
            reply = await self._ask(peer, f"offer-{kind}", offer, _Reply)
            if reply.is_needed:
                async with self._sending:
                    n_bytes = len(document.data)
                    await self._ask(peer, f"document-{kind}", document, _Empty)
        except PeerUnreachable as error:
            self._log.record(
                "peer.not_told",
                peer=peer.address,
                feed=kind,
                n_bytes=n_bytes,
                reason=str(error),
            )
            if peer.domain == self._domain:
                self._send_to_children(peer.incarnation, document.root)

    async def _ask(self, peer: Member, kind: str, body: Any, reply_type: Any) -> Any:
        return await self._mesh.ask(
            peer.address, kind, body, reply_type, REPLY_TIMEOUT_S
        )

    async def _answer_offer(self, offer: _Offer, sender: Sender) -> _Reply:
        newest = self._newest()
        return _Reply(newest is None or newest[0] < offer.end)

    async def _answer_document(self, document: Document, sender: Sender) -> _Empty:
        if self._receive(document, sender):
            is_own_domain = sender.domain == self._domain
            own = self._mesh.sender.incarnation
            self._send_to_children(own, document.root if is_own_domain else own)
        return _Empty()
