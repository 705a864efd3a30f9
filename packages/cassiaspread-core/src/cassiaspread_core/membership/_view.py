"""One daemon's view of the state of all others."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from cassiaspread_core.base import DomainId, Incarnation
from cassiaspread_core.membership._member import (
    Member,
    MemberRecord,
    MemberState,
    merge_records,
)

# Times without contact after which a daemon of the own domain is lost, the daemons of
# another domain are suspect, and the record of a lost daemon is removed.
LOST_AFTER_S = 2.5
REMOTE_SILENCE_S = 5.0
FORGET_AFTER_S = 3600.0

# A longer interval between two ticks means that this process was paused, not its peers.
MAX_TICK_GAP_S = 1.5

NEVER_S = float("-inf")


class MemberTransition(NamedTuple):
    """Change of a member's state.

    :param member: the daemon.
    :param state: its new state.
    """

    member: Member
    state: MemberState


class _Entry:
    def __init__(self, record: MemberRecord, now_s: float) -> None:
        self.record = record
        self.added_s = now_s
        self.received_s = NEVER_S
        self.answered_s = NEVER_S
        self.is_failing = False
        self.state: MemberState | None = None


class MembershipView:
    """Determines the state of every other daemon from direct and reported contact.

    For daemons of the own domain, direct contact takes precedence over reports of
    peers. Daemons of other domains have the state that their own domain determines
    and reports through delegates. If that domain is unreachable, its daemons are
    suspect: they may still be running, so nothing is taken from them that only the
    loss of a daemon justifies taking.

    :param own: this daemon.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._entries: dict[Incarnation, _Entry] = {}
        self._domain_contact_s: dict[DomainId, float] = {}
        self._last_tick_s: float | None = None

    @property
    def own(self) -> Member:
        """This daemon."""
        return self._own

    def merge_record(self, record: MemberRecord, now_s: float) -> bool:
        """Merge a record of a daemon that a peer reported.

        :param record: the reported record.
        :param now_s: current time, in seconds.
        :returns: whether it changed the stored record.
        """
        if record.member.incarnation == self._own.incarnation:
            return False
        entry = self._entries.get(record.member.incarnation)
        if entry is None:
            self._entries[record.member.incarnation] = _Entry(record, now_s)
            return True
        if record.is_lost and record.member.domain == self._own.domain:
            return False
        merged = merge_records(entry.record, record)
        is_changed = (merged.is_leaving, merged.is_lost) != (
            entry.record.is_leaving,
            entry.record.is_lost,
        )
        entry.record = merged
        return is_changed

    def record_message(self, record: MemberRecord, now_s: float) -> bool:
        """Record the receipt of a message from a daemon.

        :param record: record of the sender in the message.
        :param now_s: current time, in seconds.
        :returns: whether the stored record changed.
        """
        member = record.member
        if member.incarnation == self._own.incarnation:
            return False
        is_changed = self.merge_record(record, now_s)
        entry = self._entries[member.incarnation]
        if entry.record.is_lost:
            entry.record = msgspec.structs.replace(entry.record, is_lost=False)
            is_changed = True
        entry.received_s = now_s
        self._domain_contact_s[member.domain] = now_s
        return is_changed

    def record_answer(self, address: str, record: MemberRecord, now_s: float) -> bool:
        """Record an answer to a request of this daemon.

        Any other incarnation recorded at the address has been replaced.

        :param address: address to which the request was sent.
        :param record: record of the sender in the answer.
        :param now_s: current time, in seconds.
        :returns: whether the stored record changed.
        """
        is_changed = self.record_message(record, now_s)
        for entry in self._entries.values():
            if entry.record.member.address != address:
                continue
            if entry.record.member.incarnation == record.member.incarnation:
                entry.answered_s = now_s
                entry.is_failing = False
            else:
                entry.record = msgspec.structs.replace(entry.record, is_lost=True)
        return is_changed

    def record_no_answer(self, address: str) -> None:
        """Record that a request to an address was not answered.

        :param address: address to which the request was sent.
        """
        for entry in self._entries.values():
            if entry.record.member.address == address:
                entry.is_failing = True

    def record_domain_contact(
        self, domain: DomainId, age_s: float, now_s: float
    ) -> None:
        """Record that a peer was in contact with another domain.

        :param domain: the domain.
        :param age_s: time since that contact, in seconds.
        :param now_s: current time, in seconds.
        """
        contact_s = max(now_s - age_s, self._domain_contact_s.get(domain, NEVER_S))
        self._domain_contact_s[domain] = contact_s

    def state(self, incarnation: Incarnation, now_s: float) -> MemberState:
        """Return the state of a daemon.

        :param incarnation: the daemon; an unknown one is lost.
        :param now_s: current time, in seconds.
        """
        entry = self._entries.get(incarnation)
        return MemberState.LOST if entry is None else self._entry_state(entry, now_s)

    def members(self, now_s: float, *states: MemberState) -> list[Member]:
        """List the daemons that are in one of the given states.

        :param now_s: current time, in seconds.
        :param states: accepted states; all except lost if none is given.
        """
        return [
            entry.record.member
            for entry in self._entries.values()
            if self._matches(self._entry_state(entry, now_s), states)
        ]

    def running(self, now_s: float) -> list[Member]:
        """List the daemons that take work, this one included.

        Suspect daemons are included, so that a faulty network path between two
        daemons does not change the view that all others have of the fleet.

        :param now_s: current time, in seconds.
        """
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        return [self._own, *self.members(now_s, *states)]

    def record(self, incarnation: Incarnation) -> MemberRecord | None:
        """Return the record of a daemon, if there is one.

        :param incarnation: the daemon.
        """
        entry = self._entries.get(incarnation)
        return None if entry is None else entry.record

    def last_contact_s(self, incarnation: Incarnation) -> float:
        """Return the time of the last sign that a daemon was running, in seconds.

        :param incarnation: the daemon.
        """
        entry = self._entries.get(incarnation)
        if entry is None:
            return NEVER_S
        direct_s = max(entry.received_s, entry.answered_s)
        if entry.record.member.domain == self._own.domain:
            return direct_s
        return max(
            direct_s, self._domain_contact_s.get(entry.record.member.domain, direct_s)
        )

    def tick(self, now_s: float) -> list[MemberTransition]:
        """Update all states; to be called at least once per second.

        :param now_s: current time, in seconds.
        :returns: the members whose state changed since the last call.
        """
        self._discount_pause(now_s)
        transitions = []
        for incarnation, entry in list(self._entries.items()):
            state = self._entry_state(entry, now_s)
            if state is not entry.state:
                entry.state = state
                transitions.append(MemberTransition(entry.record.member, state))
            last_s = max(entry.received_s, entry.added_s)
            if state is MemberState.LOST and now_s - last_s > FORGET_AFTER_S:
                del self._entries[incarnation]
        return transitions

    def _discount_pause(self, now_s: float) -> None:
        pause_s = 0.0 if self._last_tick_s is None else now_s - self._last_tick_s
        self._last_tick_s = now_s
        if pause_s <= MAX_TICK_GAP_S:
            return
        for entry in self._entries.values():
            entry.received_s += pause_s
            entry.answered_s += pause_s
            entry.added_s += pause_s
        for domain in self._domain_contact_s:
            self._domain_contact_s[domain] += pause_s

    def _entry_state(self, entry: _Entry, now_s: float) -> MemberState:
        if entry.record.is_lost:
            return MemberState.LOST
        if entry.record.member.domain != self._own.domain:
            return self._remote_state(entry, now_s)
        last_s = max(entry.received_s, entry.answered_s, entry.added_s)
        if now_s - last_s > LOST_AFTER_S:
            return MemberState.LOST
        if entry.record.is_leaving:
            return MemberState.LEAVING
        if entry.is_failing or entry.answered_s == NEVER_S:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def _remote_state(self, entry: _Entry, now_s: float) -> MemberState:
        if entry.record.is_leaving:
            return MemberState.LEAVING
        domain = entry.record.member.domain
        if now_s - self._domain_contact_s.get(domain, NEVER_S) > REMOTE_SILENCE_S:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def _matches(self, state: MemberState, states: Iterable[MemberState]) -> bool:
        return state in states if states else state is not MemberState.LOST
