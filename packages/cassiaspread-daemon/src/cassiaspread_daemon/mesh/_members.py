"""Updates the membership view and publishes its records to peers."""

from cassiaspread_core.base import DomainId, Incarnation, parse_address
from cassiaspread_core.membership import (
    Member,
    MemberRecord,
    MembershipView,
    MemberState,
    MemberTransition,
)
from cassiaspread_core.timeline import EventRing, Timestamp
from cassiaspread_daemon.mesh._deltas import DeltaTopic
from cassiaspread_daemon.mesh._gossip import Topics
from cassiaspread_daemon.mesh._message import Sender

# Addresses kept for each domain that this one may have no contact with.
MAX_INTRODUCED = 8


def to_member(sender: Sender) -> Member:
    """Return the member that corresponds to a sender.

    :param sender: the sender.
    """
    return Member(sender.incarnation, sender.vm, sender.domain, sender.address)


class Members:
    """Membership as seen by one daemon.

    :param own: this daemon.
    :param topics: topics through which the records are published.
    :param events: the time line.
    """

    def __init__(self, own: Member, topics: Topics, events: EventRing) -> None:
        self._own = own
        self._events = events
        self._view = MembershipView(own)
        self._topic = DeltaTopic(MemberRecord, None, self._receive)
        topics.add_delta("members", self._topic)
        self._topic.put(own.incarnation, MemberRecord(own))
        self._topic.put(own.incarnation, MemberRecord(own), is_cross_domain=True)
        self._now_s = 0.0
        self._introduced: dict[DomainId, dict[str, None]] = {}

    @property
    def introduced(self) -> dict[str, DomainId]:
        """Addresses of daemons that daemons of third domains know, newest last."""
        return {
            address: domain
            for domain, addresses in self._introduced.items()
            for address in addresses
        }

    @property
    def view(self) -> MembershipView:
        """View of all other daemons."""
        return self._view

    def leave(self) -> None:
        """Publish that this daemon takes no new work."""
        record = MemberRecord(self._own, is_leaving=True)
        self._topic.put(self._own.incarnation, record)
        self._topic.put(self._own.incarnation, record, is_cross_domain=True)

    def record_message(
        self, sender: Sender, now_s: float, address: str | None = None
    ) -> bool:
        """Record a message from a daemon.

        :param sender: sender of the message.
        :param now_s: current time, in seconds.
        :param address: address to which the request was sent, if the message is an
            answer.
        :returns: whether the stored record changed.
        """
        self._now_s = now_s
        record = MemberRecord(
            to_member(sender), sender.is_leaving, stamp_ms=self._stamp_ms()
        )
        if address is None:
            is_changed = self._view.record_message(record, now_s)
        else:
            is_changed = self._view.record_answer(address, record, now_s)
        if is_changed:
            self._publish(sender.incarnation)
        return is_changed

    def record_no_answer(self, address: str) -> None:
        """Record that an address did not answer.

        :param address: ``host:port``.
        """
        self._view.record_no_answer(address)

    def tick(self, now_s: float) -> list[MemberTransition]:
        """Update the states for the current time and log the changes on the time line.

        :param now_s: current time, in seconds.
        :returns: the members whose state changed.
        """
        self._now_s = now_s
        transitions = self._view.tick(now_s)
        for member, state in transitions:
            self._events.record(
                f"member.{state.value}", vm=member.vm, incarnation=member.incarnation
            )
            if member.domain == self._own.domain:
                self._publish_cross_domain(member, state)
        return transitions

    def _receive(self, record: MemberRecord, sender: Sender) -> None:
        parse_address(record.member.address)
        own, domain = self._own.domain, record.member.domain
        if sender.domain != own and domain not in (own, sender.domain):
            # Only its own domain knows whether a daemon is lost: others tell only
            # where to ask.
            self._introduce(record)
            return
        if self._view.merge_record(record, self._now_s):
            self._publish(record.member.incarnation)

    def _introduce(self, record: MemberRecord) -> None:
        addresses = self._introduced.setdefault(record.member.domain, {})
        addresses.pop(record.member.address, None)
        if not record.is_lost:
            addresses[record.member.address] = None
        if len(addresses) > MAX_INTRODUCED:
            addresses.pop(next(iter(addresses)))

    def _publish(self, incarnation: Incarnation) -> None:
        record = self._view.record(incarnation)
        if record is None:
            return
        self._topic.put(incarnation, record)
        if record.member.domain != self._own.domain:
            # Daemons of a domain without a seed address learn of each other only from
            # other domains.
            self._topic.put(incarnation, record, is_cross_domain=True)

    def _publish_cross_domain(self, member: Member, state: MemberState) -> None:
        is_lost = state is MemberState.LOST
        if is_lost and self._view.record(member.incarnation) is not None:
            self._topic.discard(member.incarnation)
        record = self._view.record(member.incarnation) or MemberRecord(member)
        published = MemberRecord(member, record.is_leaving, is_lost, self._stamp_ms())
        self._topic.put(member.incarnation, published, is_cross_domain=True)

    def _stamp_ms(self) -> int:
        return Timestamp.parse(self._events.issue_timestamp()).wall_ms
