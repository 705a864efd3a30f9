"""Topics of which each peer gets only the entries that it lacks."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from absl import logging

from cassiaspread_core.base import Count, Incarnation, MalformedDocument, decode_with
from cassiaspread_core.membership import ChangeCursor, ChangeLog
from cassiaspread_daemon.mesh._message import Sender

Entries = dict[str, list[msgspec.Raw]]


class DeltaBody(msgspec.Struct, frozen=True, array_like=True):
    """Entries of all topics that a peer lacks.

    :param received: position up to which the sender has the receiver's log.
    :param since: position up to which the receiver has the sender's log.
    :param until: position up to which the receiver has it with this message.
    :param full: complete entries of each topic.
    :param partial: updates to entries that the receiver has.
    """

    received: Count
    since: Count
    until: Count
    full: Entries = {}
    partial: Entries = {}


class _Encoded(NamedTuple):
    topic: str
    full: msgspec.Raw
    partial: msgspec.Raw


class DeltaHub:
    """Change logs shared by all topics, and the position of each peer in them.

    Daemons of the own domain and of other domains get different entries. Each value
    is encoded once, whatever the number of peers.
    """

    def __init__(self) -> None:
        self._topics: dict[str, DeltaTopic] = {}
        self._intra_domain: ChangeLog[tuple[str, Any], _Encoded] = ChangeLog()
        self._cross_domain: ChangeLog[tuple[str, Any], _Encoded] = ChangeLog()
        self._cursors: dict[Incarnation, ChangeCursor] = {}

    def add(self, name: str, topic: "DeltaTopic") -> None:
        """Add a topic.

        :param name: name of the topic, unique in the daemon.
        :param topic: the topic.
        """
        self._topics[name] = topic
        topic.bind(name, self)

    def log(self, is_cross_domain: bool) -> ChangeLog[tuple[str, Any], _Encoded]:
        """Return the change log for peers of the own domain or of other domains.

        :param is_cross_domain: whether the peers belong to other domains.
        """
        return self._cross_domain if is_cross_domain else self._intra_domain

    def produce(self, peer: Incarnation | None, is_cross_domain: bool) -> DeltaBody:
        """Return the entries that a peer lacks.

        A receiver that is not known gets none: a position in the log of one scope
        means nothing in that of the other, which may be the receiver's. Its reply
        tells who it is.

        :param peer: incarnation of the receiver, if it is known.
        :param is_cross_domain: whether the peer belongs to another domain.
        """
        if peer is None:
            return DeltaBody(0, 0, 0)
        cursor = self._cursors.get(peer)
        received, since = (cursor.received, cursor.confirmed) if cursor else (0, 0)
        changes = self.log(is_cross_domain).changes(since)
        full: Entries = {}
        partial: Entries = {}
        for encoded in changes.full:
            full.setdefault(encoded.topic, []).append(encoded.full)
        for encoded in changes.partial:
            partial.setdefault(encoded.topic, []).append(encoded.partial)
        return DeltaBody(received, since, changes.until, full, partial)

    def receive(self, body: DeltaBody, sender: Sender) -> None:
        """Apply a message of a peer; malformed entries are skipped.

        :param body: the message.
        :param sender: the peer.
        """
        cursor = self._cursors.setdefault(sender.incarnation, ChangeCursor())
        cursor.confirm(body.received)
        if not cursor.accept(body.since, body.until):
            return
        for name, entries in body.full.items():
            if name in self._topics:
                self._topics[name].receive(entries, sender, is_full=True)
        for name, entries in body.partial.items():
            if name in self._topics:
                self._topics[name].receive(entries, sender, is_full=False)

    def remove_peer(self, peer: Incarnation) -> None:
        """Remove the position of a peer; it gets all entries if it returns.

        :param peer: the peer.
        """
        self._cursors.pop(peer, None)


class DeltaTopic:
    """A replicated set of entries, whose changes are sent to each peer.

    :param full_type: type of complete entries.
    :param partial_type: type of partial updates.
    :param consume: receives a complete entry or a partial update, and its sender;
        raises :exc:`MalformedDocument` for one that it can't use.
    """

    def __init__(
        self,
        full_type: Any,
        partial_type: Any,
        consume: Callable[[Any, Sender], None],
    ) -> None:
        self._full_decoder = msgspec.msgpack.Decoder(full_type)
        self._partial_decoder = msgspec.msgpack.Decoder(partial_type)
        self._consume = consume
        self._name = ""
        self._hub = DeltaHub()

    def bind(self, name: str, hub: DeltaHub) -> None:
        """Set the hub whose logs this topic uses; must be called before other methods.

        :param name: name of the topic.
        :param hub: owner of the logs.
        """
        self._name = name
        self._hub = hub

    def put(
        self, key: Any, full: Any, partial: Any = None, *, is_cross_domain: bool = False
    ) -> None:
        """Publish an entry to peers.

        :param key: key of the entry.
        :param full: its value.
        :param partial: update for peers that have the previous value, if it suffices.
        :param is_cross_domain: whether to publish to daemons of other domains instead
            of the own domain.
        """
        encoded = _Encoded(self._name, _encode(full), _encode(partial))
        is_partial = partial is not None
        self._hub.log(is_cross_domain).put(
            (self._name, key), encoded, is_partial=is_partial
        )

    def discard(self, key: Any) -> None:
        """Stop publishing an entry.

        :param key: key of the entry; an unknown key is ignored.
        """
        for is_cross_domain in (False, True):
            self._hub.log(is_cross_domain).discard((self._name, key))

    def receive(
        self, entries: list[msgspec.Raw], sender: Sender, *, is_full: bool
    ) -> None:
        """Decode and consume entries of a peer; malformed entries are skipped.

        :param entries: the encoded entries.
        :param sender: the peer.
        :param is_full: whether they are complete entries, not partial updates.
        """
        decoder = self._full_decoder if is_full else self._partial_decoder
        for raw in entries:
            try:
                self._consume(decode_with(decoder, raw), sender)
            except MalformedDocument as error:
                logging.error(
                    "skipping malformed entry of topic %s from %s: %s",
                    self._name,
                    sender.vm,
                    error,
                )


def _encode(value: Any) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(value))
