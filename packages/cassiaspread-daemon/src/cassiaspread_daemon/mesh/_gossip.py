"""The gossip message that peers exchange each second, and its topics."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from absl import logging

from cassiaspread_core.base import Count, DomainId, Incarnation, MalformedDocument
from cassiaspread_daemon.mesh._deltas import DeltaBody, DeltaHub, DeltaTopic
from cassiaspread_daemon.mesh._message import Sender, decode_body

# Time for which the encoded topics are reused for messages to all peers.
ENCODED_TOPICS_TTL_S = 0.1
TOPIC_STATES = "whole"


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """Gossip of a daemon to a peer.

    :param deltas: entries that the peer lacks.
    :param domain_ages_ms: time since the sender was last in contact with each of the
        other domains.
    """

    deltas: DeltaBody
    domain_ages_ms: dict[DomainId, Count] = {}


class Topic(NamedTuple):
    """A topic whose latest body is consumed with every message.

    :param produce: returns the body to send, ``None`` for nothing.
    :param body_type: type of the body.
    :param consume: receives the body of a peer and its sender.
    :param produce_cross_domain: returns the body for daemons of other domains; ``None``
        if they get the same one.
    """

    produce: Callable[[], Any]
    body_type: Any
    consume: Callable[[Any, Sender], None]
    produce_cross_domain: Callable[[], Any] | None = None


class TopicState(msgspec.Struct, frozen=True, array_like=True):
    """State of a topic that is consumed with every message but sent only on change.

    :param name: name of the topic.
    :param body: encoded body, ``None`` for nothing.
    """

    name: str
    body: msgspec.Raw


class Topics:
    """All topics of one daemon."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._hub = DeltaHub()
        self._states = DeltaTopic(TopicState, None, self._store_body)
        self._hub.add(TOPIC_STATES, self._states)
        # Last encoded body by topic, and whether it is for other domains.
        self._produced: dict[tuple[str, bool], bytes] = {}
        self._produced_s = float("-inf")
        self._latest_bodies: dict[Incarnation, dict[str, msgspec.Raw]] = {}

    def add(self, name: str, topic: Topic) -> None:
        """Add a topic that is consumed with every message.

        :param name: name of the topic, unique in the daemon.
        :param topic: the topic.
        """
        self._topics[name] = topic

    def add_delta(self, name: str, topic: DeltaTopic) -> None:
        """Add a topic of which only changes are sent.

        :param name: name of the topic, unique in the daemon.
        :param topic: the topic.
        """
        self._hub.add(name, topic)

    def invalidate(self) -> None:
        """Discard the encoded topics, so that the next message has current ones."""
        self._produced_s = float("-inf")

    def produce(
        self,
        peer: Incarnation | None,
        is_cross_domain: bool,
        domain_ages_s: dict[DomainId, float],
        now_s: float,
    ) -> Gossip:
        """Build the message for a peer.

        :param peer: incarnation of the receiver, if it is known.
        :param is_cross_domain: whether the peer belongs to another domain.
        :param domain_ages_s: time since the last contact with other domains, in
            seconds.
        :param now_s: current time, in seconds.
        """
        if now_s - self._produced_s > ENCODED_TOPICS_TTL_S:
            self._produced_s = now_s
            for name, topic in self._topics.items():
                self._produce_topic(name, topic)
        ages_ms = {domain: int(age * 1000) for domain, age in domain_ages_s.items()}
        return Gossip(self._hub.produce(peer, is_cross_domain), ages_ms)

    def consume(self, gossip: Gossip, sender: Sender) -> None:
        """Apply a message of a peer; malformed parts are skipped.

        :param gossip: the message.
        :param sender: the peer.
        """
        self._hub.receive(gossip.deltas, sender)
        for name, raw in self._latest_bodies.get(sender.incarnation, {}).items():
            self._consume_topic(name, raw, sender)

    def remove_peer(self, peer: Incarnation) -> None:
        """Remove the position and the topic states of a peer.

        :param peer: the peer.
        """
        self._hub.remove_peer(peer)
        self._latest_bodies.pop(peer, None)

    def _produce_topic(self, name: str, topic: Topic) -> None:
        body = msgspec.msgpack.encode(topic.produce())
        self._put_state(name, body, is_cross_domain=False)
        if topic.produce_cross_domain is not None:
            body = msgspec.msgpack.encode(topic.produce_cross_domain())
        self._put_state(name, body, is_cross_domain=True)

    def _put_state(self, name: str, body: bytes, is_cross_domain: bool) -> None:
        if self._produced.get((name, is_cross_domain)) == body:
            return
        self._produced[name, is_cross_domain] = body
        state = TopicState(name, msgspec.Raw(body))
        self._states.put(name, state, is_cross_domain=is_cross_domain)

    def _store_body(self, state: TopicState, sender: Sender) -> None:
        bodies = self._latest_bodies.setdefault(sender.incarnation, {})
        # Copied, so that the message that contains the body can be freed.
        bodies[state.name] = msgspec.Raw(bytes(state.body))

    def _consume_topic(self, name: str, raw: msgspec.Raw, sender: Sender) -> None:
        topic = self._topics.get(name)
        if topic is None:
            return
        try:
            body = decode_body(raw, topic.body_type | None)
        except MalformedDocument as error:
            logging.error(
                "skipping malformed topic %s from %s: %s", name, sender.vm, error
            )
            return
        if body is not None:
            topic.consume(body, sender)
