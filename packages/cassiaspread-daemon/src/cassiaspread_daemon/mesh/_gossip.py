"""The message that peers exchange each second, and its parts."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from absl import logging
from cassiaspread_core.base import DomainId, Incarnation

from cassiaspread_daemon.mesh._deltas import DeltaBody, DeltaTopic
from cassiaspread_daemon.mesh._message import Sender

# How long the encoded topics serve all peers.
TOPICS_LIFETIME_S = 0.1


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon tells a peer.

    :param domain_ages_ms: how long ago the sender was in contact with other domains.
    :param topics: whole topics.
    :param deltas: topics of which only changes are sent.
    """

    domain_ages_ms: dict[DomainId, int] = {}
    topics: dict[str, msgspec.Raw] = {}
    deltas: dict[str, DeltaBody] = {}


class Topic(NamedTuple):
    """One whole topic.

    :param produce: returns what is sent, ``None`` for nothing.
    :param body_type: type of what is sent.
    :param consume: gets what a peer sent.
    """

    produce: Callable[[], Any]
    body_type: Any
    consume: Callable[[Any, Sender], None]


class Topics:
    """All topics of one daemon."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._deltas: dict[str, DeltaTopic] = {}
        self._encoded: dict[str, msgspec.Raw] = {}
        self._encoded_s = float("-inf")

    def add(self, name: str, topic: Topic) -> None:
        """Add a whole topic.

        :param name: name of the topic, unique in the daemon.
        :param topic: the topic.
        """
        self._topics[name] = topic

    def add_delta(self, name: str, topic: DeltaTopic) -> None:
        """Add a topic of which only changes are sent.

        :param name: name of the topic, unique in the daemon.
        :param topic: the topic.
        """
        self._deltas[name] = topic

    def expire(self) -> None:
        """Produce the whole topics anew for the next message."""
        self._encoded_s = float("-inf")

    def produce(
        self,
        peer: Incarnation | None,
        is_far: bool,
        domain_ages_s: dict[DomainId, float],
        now_s: float,
    ) -> Gossip:
        """Build the message for a peer.

        :param peer: the peer, if it is known who will receive the message.
        :param is_far: whether it belongs to another domain.
        :param domain_ages_s: how long ago other domains were contacted, in seconds.
        :param now_s: present time in seconds.
        """
        if now_s - self._encoded_s > TOPICS_LIFETIME_S:
            self._encoded = self._encode()
            self._encoded_s = now_s
        deltas = {
            name: topic.produce(peer, is_far) for name, topic in self._deltas.items()
        }
        ages_ms = {domain: int(age * 1000) for domain, age in domain_ages_s.items()}
        return Gossip(ages_ms, self._encoded, deltas)

    def consume(self, gossip: Gossip, sender: Sender) -> None:
        """Take in a peer's message; a malformed part does not harm the others.

        :param gossip: the message.
        :param sender: the peer.
        """
        for name, raw in gossip.topics.items():
            if name in self._topics:
                self._consume_topic(name, raw, sender)
        for name, body in gossip.deltas.items():
            if name in self._deltas:
                self._consume_delta(name, body, sender)

    def forget(self, peer: Incarnation) -> None:
        """Forget how far a peer is in the topics.

        :param peer: the peer.
        """
        for topic in self._deltas.values():
            topic.forget(peer)

    def _encode(self) -> dict[str, msgspec.Raw]:
        encoded = {}
        for name, topic in self._topics.items():
            body = topic.produce()
            if body is not None:
                encoded[name] = msgspec.Raw(msgspec.msgpack.encode(body))
        return encoded

    def _consume_topic(self, name: str, raw: msgspec.Raw, sender: Sender) -> None:
        topic = self._topics[name]
        try:
            topic.consume(msgspec.msgpack.decode(raw, type=topic.body_type), sender)
        except msgspec.MsgspecError as error:
            logging.error("topic %s from %s: %s", name, sender.vm, error)

    def _consume_delta(self, name: str, body: DeltaBody, sender: Sender) -> None:
        try:
            self._deltas[name].take(body, sender)
        except msgspec.MsgspecError as error:
            logging.error("topic %s from %s: %s", name, sender.vm, error)
