"""Feeds the membership view and tells peers what it learnt."""

from cassiaspread_core.base import Incarnation
from cassiaspread_core.membership import (
    Member,
    MemberRecord,
    MembershipView,
    MemberState,
    Transition,
)
from cassiaspread_core.timeline import EventRing, Timestamp
from cassiaspread_daemon.mesh._deltas import DeltaTopic
from cassiaspread_daemon.mesh._gossip import Topics
from cassiaspread_daemon.mesh._message import Sender


def to_member(sender: Sender) -> Member:
    """Return the member that a sender is.

    :param sender: the sender.
    """
    return Member(sender.incarnation, sender.vm, sender.domain, sender.address)


class Members:
    """Membership of one daemon.

    :param own: this daemon.
    :param topics: where its records are told.
    :param events: the time line.
    """

    def __init__(self, own: Member, topics: Topics, events: EventRing) -> None:
        self._own = own
        self._events = events
        self._view = MembershipView(own)
        self._topic = DeltaTopic(MemberRecord, None, self._learn)
        topics.add_delta("members", self._topic)
        self._topic.put(own.incarnation, MemberRecord(own))
        self._topic.put(own.incarnation, MemberRecord(own), is_far=True)
        self._now_s = 0.0

    @property
    def view(self) -> MembershipView:
        """What is held of every other daemon."""
        return self._view

    def leave(self) -> None:
        """Tell that this daemon takes no new work."""
        record = MemberRecord(self._own, is_leaving=True)
        self._topic.put(self._own.incarnation, record)
        self._topic.put(self._own.incarnation, record, is_far=True)

    def hear(self, sender: Sender, now_s: float, address: str | None = None) -> bool:
        """Note a message from a daemon.

        :param sender: who sent it.
        :param now_s: present time in seconds.
        :param address: address that it answered at, if the message is an answer.
        :returns: whether the daemon is new.
        """
        self._now_s = now_s
        record = MemberRecord(
            to_member(sender), sender.is_leaving, stamp_ms=self._stamp_ms()
        )
        if address is None:
            is_news = self._view.hear(record, now_s)
        else:
            is_news = self._view.hear_answer(address, record, now_s)
        if is_news:
            self._tell(sender.incarnation)
        return is_news

    def miss(self, address: str) -> None:
        """Note that nobody answered at an address.

        :param address: ``host:port``.
        """
        self._view.miss(address)

    def tick(self, now_s: float) -> list[Transition]:
        """Let time pass and record what changed.

        :param now_s: present time in seconds.
        :returns: the members whose state changed.
        """
        self._now_s = now_s
        transitions = self._view.tick(now_s)
        for member, state in transitions:
            self._events.record(
                f"member.{state.value}", vm=member.vm, incarnation=member.incarnation
            )
            if member.domain == self._own.domain:
                self._tell_far(member, state)
        return transitions

    def _learn(self, record: MemberRecord, sender: Sender) -> None:
        if self._view.learn(record, self._now_s):
            self._tell(record.member.incarnation)

    def _tell(self, incarnation: Incarnation) -> None:
        record = self._view.record(incarnation)
        if record is not None:
            self._topic.put(incarnation, record)

    def _tell_far(self, member: Member, state: MemberState) -> None:
        is_lost = state is MemberState.LOST
        if is_lost and self._view.record(member.incarnation) is not None:
            self._topic.discard(member.incarnation)
        record = self._view.record(member.incarnation) or MemberRecord(member)
        told = MemberRecord(member, record.is_leaving, is_lost, self._stamp_ms())
        self._topic.put(member.incarnation, told, is_far=True)

    def _stamp_ms(self) -> int:
        return Timestamp.parse(self._events.stamp()).wall_ms
