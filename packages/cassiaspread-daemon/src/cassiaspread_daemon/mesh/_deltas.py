"""Topics of which each peer gets only what it lacks."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from cassiaspread_core.base import Incarnation
from cassiaspread_core.membership import ChangeCursor, ChangeLog

from cassiaspread_daemon.mesh._message import Sender


class DeltaBody(msgspec.Struct, frozen=True, array_like=True):
    """One message of a topic.

    :param received: up to where the sender has the receiver's log.
    :param since: up to where the receiver has the sender's log.
    :param until: up to where it has it with this message.
    :param full: entries, whole.
    :param partial: updates of entries that the receiver has.
    """

    received: int
    since: int
    until: int
    full: list[msgspec.Raw] = []
    partial: list[msgspec.Raw] = []


class _Encoded(NamedTuple):
    full: msgspec.Raw
    partial: msgspec.Raw


class DeltaTopic:
    """A replicated set of entries, told to each peer as it changes.

    Each value is encoded once, whatever the number of peers. Daemons of the own
    domain and of other domains get different entries.

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
        self._near: ChangeLog[Any, _Encoded] = ChangeLog()
        self._far: ChangeLog[Any, _Encoded] = ChangeLog()
        self._cursors: dict[Incarnation, ChangeCursor] = {}

    def put(
        self, key: Any, full: Any, partial: Any = None, *, is_far: bool = False
    ) -> None:
        """Tell peers of an entry.

        :param key: the entry.
        :param full: its value.
        :param partial: update for those who have the former value, if it suffices.
        :param is_far: whether it is for daemons of other domains, not of the own.
        """
        encoded = _Encoded(_encode(full), _encode(partial))
        log = self._far if is_far else self._near
        log.put(key, encoded, is_partial=partial is not None)

    def discard(self, key: Any) -> None:
        """Stop telling of an entry.

        :param key: the entry; an unknown one is ignored.
        """
        self._near.discard(key)
        self._far.discard(key)

    def produce(self, peer: Incarnation | None, is_far: bool) -> DeltaBody:
        """Return what a peer lacks.

        :param peer: the peer, if it is known who will receive the message.
        :param is_far: whether it belongs to another domain.
        """
        cursor = self._cursors.get(peer) if peer else None
        received, since = (cursor.received, cursor.confirmed) if cursor else (0, 0)
        log = self._far if is_far else self._near
        changes = log.changes(since)
        return DeltaBody(
            received,
            since,
            changes.until,
            [encoded.full for encoded in changes.full],
            [encoded.partial for encoded in changes.partial],
        )

    def take(self, body: DeltaBody, sender: Sender) -> None:
        """Take in a peer's message.

        :param body: the message.
        :param sender: the peer.
        """
        cursor = self._cursors.setdefault(sender.incarnation, ChangeCursor())
        cursor.confirm(body.received)
        if not cursor.accept(body.since, body.until):
            return
        for raw in body.full:
            self._consume(self._full_decoder.decode(raw), sender)
        for raw in body.partial:
            self._consume(self._partial_decoder.decode(raw), sender)

    def forget(self, peer: Incarnation) -> None:
        """Forget how far a peer is; it gets everything if it comes back.

        :param peer: the peer.
        """
        self._cursors.pop(peer, None)


def _encode(value: Any) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(value))
