"""Topics, contacts and senders of the mesh, without sockets."""

import pytest

from cassiaspread_daemon.mesh import DeltaTopic, Sender
from cassiaspread_daemon.mesh._contacts import Contacts
from cassiaspread_daemon.mesh._gossip import Topic, Topics
from cassiaspread_daemon.mesh._message import short_id
from cassiaspread_daemon.mesh._senders import SenderTable, UnknownSender

A = Sender("entry-a", "celje", "ia", "a:1")
B = Sender("entry-b", "celje", "ib", "b:1")


class Node:
    """A daemon with a topic sent as a state and a topic sent as deltas."""

    def __init__(self, own):
        self.own, self.state = own, 0
        self.states, self.changes = [], []
        self.topics = Topics()
        append_state = self.states.append
        self.topics.add(
            "t", Topic(lambda: self.state, int, lambda v, _: append_state(v))
        )
        self.delta = DeltaTopic(int, int, lambda v, _: self.changes.append(v))
        self.topics.add_delta("d", self.delta)
        self.now_s = 0.0

    def send(self, other, is_lost=False):
        self.now_s += 1.0
        gossip = self.topics.produce(other.own.incarnation, False, {}, self.now_s)
        if not is_lost:
            other.topics.consume(gossip, self.own)
        return gossip


def test_topic_is_sent_on_change_and_consumed_with_every_message():
    a, b = Node(A), Node(B)
    for _ in range(3):
        a.send(b)
        b.send(a)
    assert "whole" not in a.send(b).deltas.full
    assert b.states == [0] * 4
    a.state = 7
    a.send(b, is_lost=True)
    a.send(b)
    assert b.states[-1] == 7


def test_entries_survive_lost_messages_and_are_not_repeated():
    a, b = Node(A), Node(B)
    a.delta.put("k", 1)
    a.send(b, is_lost=True)
    a.send(b)
    b.send(a)
    a.send(b)
    assert b.changes == [1]
    a.delta.put("k", 2, partial=20)
    a.send(b)
    assert b.changes == [1, 20]
    b.topics.remove_peer("ia")
    a.send(b)
    b.send(a)
    a.send(b)
    assert b.changes[-1] == 2


@pytest.mark.parametrize(
    ("calls", "now_s", "is_due"),
    [
        ([], 0.0, True),
        ([("answer", 0.0)], 0.5, False),
        ([("answer", 0.0)], 1.0, True),
        ([("answer", 0.0), ("request", 0.5)], 1.5, False),
        ([("answer", 0.0), ("request", 0.5)], 2.0, True),
        ([("answer", 0.0), ("request", 2.0)], 2.6, True),
        ([("answer", 0.0), ("miss", 0.2)], 0.3, True),
        ([("miss", 0.0)], 1.0, False),
        ([("miss", 0.0)], 2.0, True),
        ([("answer", 0.0), ("other answer", 0.8)], 1.0, True),
        ([("answer", 0.0), ("other request", 0.8)], 1.0, True),
        ([("answer", 0.0), ("request", 0.5), ("other answer", 1.2)], 1.5, False),
        ([("answer", 0.0), ("request", 0.5), ("other answer", 1.2)], 2.0, True),
        ([("answer", 0.0), ("request", 0.5), ("other request", 1.2)], 2.0, True),
    ],
)
def test_contact_is_due(calls, now_s, is_due):
    contacts = Contacts()
    for call, at_s in calls:
        is_gossip = not call.startswith("other")
        if call.endswith("answer"):
            contacts.record_answer("b:1", B, short_id(A), at_s, is_gossip)
        elif call.endswith("request"):
            contacts.record_request(B, at_s, is_gossip)
        else:
            contacts.record_no_answer("b:1", at_s)
    assert contacts.is_due("b:1", now_s, is_urgent=False) is is_due


def test_short_identifier_is_used_only_after_an_answer():
    contacts, table = Contacts(), SenderTable()
    assert not contacts.accepts_short_id("b:1", short_id(A))
    contacts.record_answer("b:1", B, short_id(A), 0.0, is_gossip=True)
    assert contacts.accepts_short_id("b:1", short_id(A))
    contacts.record_request(Sender("other", "celje", "ic", "b:1"), 1.0, is_gossip=True)
    assert not contacts.accepts_short_id("b:1", short_id(A))
    with pytest.raises(UnknownSender):
        table.resolve(short_id(A))
