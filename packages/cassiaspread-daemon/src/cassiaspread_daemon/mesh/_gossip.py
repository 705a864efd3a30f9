"""The message that peers exchange each second, and its parts."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from absl import logging

from cassiaspread_core.base import DomainId, Incarnation
from cassiaspread_daemon.mesh._deltas import DeltaBody, DeltaHub, DeltaTopic
from cassiaspread_daemon.mesh._message import Sender

# How long the encoded topics serve all peers.
TOPICS_LIFETIME_S = 0.1
WHOLE_TOPICS = "whole"


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon tells a peer.

    :param deltas: what the peer lacks.
    :param domain_ages_ms: how long ago the sender was in contact with other domains.
    """

    deltas: DeltaBody
    domain_ages_ms: dict[DomainId, int] = {}


class Topic(NamedTuple):
    """One topic that is consumed with every message.

    :param produce: returns what is told, ``None`` for nothing.
    :param body_type: type of what is told.
    :param consume: gets what a peer told.
    """

    produce: Callable[[], Any]
    body_type: Any
    consume: Callable[[Any, Sender], None]


class WholeTopic(msgspec.Struct, frozen=True, array_like=True):
    """State of a topic that is consumed with every message, sent when it changes.

    :param name: name of the topic.
    :param body: what is told, ``None`` for nothing.
    """

    name: str
    body: msgspec.Raw


class Topics:
    """All topics of one daemon."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._hub = DeltaHub()
        self._whole = DeltaTopic(WholeTopic, None, self._keep)
        self._hub.add(WHOLE_TOPICS, self._whole)
        self._produced: dict[str, bytes] = {}
        self._produced_s = float("-inf")
        self._kept: dict[Incarnation, dict[str, msgspec.Raw]] = {}

    def add(self, name: str, topic: Topic) -> None:
        """Add a topic that is consumed with every message.

        :param name: name of the topic, unique in the daemon.
        :param topic: the topic.
        """
        self._topics[name] = topic

    def add_delta(self, name: str, topic: DeltaTopic) -> None:
        """Add a topic of which only changes are told.

        :param name: name of the topic, unique in the daemon.
        :param topic: the topic.
        """
        self._hub.add(name, topic)

    def expire(self) -> None:
        """Produce the topics anew for the next message."""
        self._produced_s = float("-inf")

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
        if now_s - self._produced_s > TOPICS_LIFETIME_S:
            self._produced_s = now_s
            for name, topic in self._topics.items():
                self._produce_topic(name, topic)
        ages_ms = {domain: int(age * 1000) for domain, age in domain_ages_s.items()}
        return Gossip(self._hub.produce(peer, is_far), ages_ms)

    def consume(self, gossip: Gossip, sender: Sender) -> None:
        """Take in a peer's message; a malformed part does not harm the others.

        :param gossip: the message.
        :param sender: the peer.
        """
        self._hub.take(gossip.deltas, sender)
        for name, raw in self._kept.get(sender.incarnation, {}).items():
            self._consume_topic(name, raw, sender)

    def forget(self, peer: Incarnation) -> None:
        """Forget how far a peer is in the topics.

        :param peer: the peer.
        """
        self._hub.forget(peer)
        self._kept.pop(peer, None)

    def _produce_topic(self, name: str, topic: Topic) -> None:
        body = msgspec.msgpack.encode(topic.produce())
        if self._produced.get(name) == body:
            return
        self._produced[name] = body
        whole = WholeTopic(name, msgspec.Raw(body))
        self._whole.put(name, whole)
        self._whole.put(name, whole, is_far=True)

    def _keep(self, whole: WholeTopic, sender: Sender) -> None:
        kept = self._kept.setdefault(sender.incarnation, {})
        # A copy, so that the message that it is a part of can be freed.
        kept[whole.name] = msgspec.Raw(bytes(whole.body))

    def _consume_topic(self, name: str, raw: msgspec.Raw, sender: Sender) -> None:
        topic = self._topics.get(name)
        if topic is None:
            return
        try:
            body = msgspec.msgpack.decode(raw, type=topic.body_type | None)
        except msgspec.MsgspecError as error:
            logging.error("topic %s from %s: %s", name, sender.vm, error)
            return
        if body is not None:
            topic.consume(body, sender)
