"""Topics of which each peer gets only what it lacks."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from absl import logging

from cassiaspread_core.base import Incarnation
from cassiaspread_core.membership import ChangeCursor, ChangeLog
from cassiaspread_daemon.mesh._message import Sender

Entries = dict[str, list[msgspec.Raw]]


class DeltaBody(msgspec.Struct, frozen=True, array_like=True):
    """What a peer lacks of all topics.

    :param received: up to where the sender has the receiver's log.
    :param since: up to where the receiver has the sender's log.
    :param until: up to where it has it with this message.
    :param full: entries of each topic, whole.
    :param partial: updates of entries that the receiver has.
    """

    received: int
    since: int
    until: int
    full: Entries = {}
    partial: Entries = {}


class _Encoded(NamedTuple):
    topic: str
    full: msgspec.Raw
    partial: msgspec.Raw


class DeltaHub:
    """The logs of changes that all topics share, and how far each peer has them.

    Daemons of the own domain and of other domains get different entries. Each value
    is encoded once, whatever the number of peers.
    """

    def __init__(self) -> None:
        self._topics: dict[str, DeltaTopic] = {}
        self._near: ChangeLog[tuple[str, Any], _Encoded] = ChangeLog()
        self._far: ChangeLog[tuple[str, Any], _Encoded] = ChangeLog()
        self._cursors: dict[Incarnation, ChangeCursor] = {}

    def add(self, name: str, topic: "DeltaTopic") -> None:
        """Add a topic.

        :param name: its name, unique in the daemon.
        :param topic: the topic.
        """
        self._topics[name] = topic
        topic.bind(name, self)

    def log(self, is_far: bool) -> ChangeLog[tuple[str, Any], _Encoded]:
        """Return the log for some peers.

        :param is_far: whether they belong to other domains.
        """
        return self._far if is_far else self._near

    def produce(self, peer: Incarnation | None, is_far: bool) -> DeltaBody:
        """Return what a peer lacks.

        :param peer: the peer, if it is known who will receive the message.
        :param is_far: whether it belongs to another domain.
        """
        cursor = self._cursors.get(peer) if peer else None
        received, since = (cursor.received, cursor.confirmed) if cursor else (0, 0)
        changes = self.log(is_far).changes(since)
        full: Entries = {}
        partial: Entries = {}
        for encoded in changes.full:
            full.setdefault(encoded.topic, []).append(encoded.full)
        for encoded in changes.partial:
            partial.setdefault(encoded.topic, []).append(encoded.partial)
        return DeltaBody(received, since, changes.until, full, partial)

    def take(self, body: DeltaBody, sender: Sender) -> None:
        """Take in a peer's message; a malformed entry does not harm the others.

        :param body: the message.
        :param sender: the peer.
        """
        cursor = self._cursors.setdefault(sender.incarnation, ChangeCursor())
        cursor.confirm(body.received)
        if not cursor.accept(body.since, body.until):
            return
        for name, entries in body.full.items():
            if name in self._topics:
                self._topics[name].take(entries, sender, is_full=True)
        for name, entries in body.partial.items():
            if name in self._topics:
                self._topics[name].take(entries, sender, is_full=False)

    def forget(self, peer: Incarnation) -> None:
        """Forget how far a peer is; it gets everything if it comes back.

        :param peer: the peer.
        """
        self._cursors.pop(peer, None)


class DeltaTopic:
    """A replicated set of entries, told to each peer as it changes.

    :param full_type: type of whole entries.
    :param partial_type: type of partial updates.
    :param consume: gets a whole entry or a partial update and its sender.
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
        """Use the log that this topic shares with others; to be called first.

        :param name: name of the topic.
        :param hub: owns the log.
        """
        self._name = name
        self._hub = hub

    def put(
        self, key: Any, full: Any, partial: Any = None, *, is_far: bool = False
    ) -> None:
        """Tell peers of an entry.

        :param key: the entry.
        :param full: its value.
        :param partial: update for those who have the former value, if it suffices.
        :param is_far: whether it is for daemons of other domains, not of the own.
        """
        encoded = _Encoded(self._name, _encode(full), _encode(partial))
        is_partial = partial is not None
        self._hub.log(is_far).put((self._name, key), encoded, is_partial=is_partial)

    def discard(self, key: Any) -> None:
        """Stop telling of an entry.

        :param key: the entry; an unknown one is ignored.
        """
        for is_far in (False, True):
            self._hub.log(is_far).discard((self._name, key))

    def take(
        self, entries: list[msgspec.Raw], sender: Sender, *, is_full: bool
    ) -> None:
        """Take in entries of a peer.

        :param entries: the encoded entries.
        :param sender: the peer.
        :param is_full: whether they are whole.
        """
        decoder = self._full_decoder if is_full else self._partial_decoder
        for raw in entries:
            try:
                value = decoder.decode(raw)
            except msgspec.MsgspecError as error:
                logging.error("topic %s from %s: %s", self._name, sender.vm, error)
                continue
            self._consume(value, sender)


def _encode(value: Any) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(value))
