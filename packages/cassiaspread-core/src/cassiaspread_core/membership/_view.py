"""What one daemon holds of all others."""

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

LOST_AFTER_S = 2.5
FAR_SILENCE_S = 5.0
FORGET_AFTER_S = 3600.0

# A longer time between two ticks means that this process stood still, not its peers.
MAX_TICK_GAP_S = 1.5

NEVER_S = float("-inf")


class Transition(NamedTuple):
    """A member's state changed.

    :param member: the daemon.
    :param state: its new state.
    """

    member: Member
    state: MemberState


class _Entry:
    def __init__(self, record: MemberRecord, now_s: float) -> None:
        self.record = record
        self.learnt_s = now_s
        self.heard_s = NEVER_S
        self.answered_s = NEVER_S
        self.is_failing = False
        self.state: MemberState | None = None


class MembershipView:
    """Judges every other daemon from what came from it and about it.

    Own contact outranks what is heard, for daemons of the own domain; daemons of
    other domains are judged by their own domain, whose word arrives through
    delegates. If that domain is not reached, its daemons are suspect: they may run,
    so nothing that only a dead one loses is taken from them.

    :param own: this daemon.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._entries: dict[Incarnation, _Entry] = {}
        self._domain_heard_s: dict[DomainId, float] = {}
        self._ticked_s: float | None = None

    @property
    def own(self) -> Member:
        """This daemon."""
        return self._own

    def learn(self, record: MemberRecord, now_s: float) -> bool:
        """Take in what a peer tells of a daemon.

        :param record: what it tells.
        :param now_s: present time in seconds.
        :returns: whether it is news.
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
        is_news = (merged.is_leaving, merged.is_lost) != (
            entry.record.is_leaving,
            entry.record.is_lost,
        )
        entry.record = merged
        return is_news

    def hear(self, record: MemberRecord, now_s: float) -> bool:
        """Note a message from a daemon.

        :param record: what the message says of its sender.
        :param now_s: present time in seconds.
        :returns: whether the record is news.
        """
        member = record.member
        if member.incarnation == self._own.incarnation:
            return False
        is_news = self.learn(record, now_s)
        entry = self._entries[member.incarnation]
        if entry.record.is_lost:
            entry.record = msgspec.structs.replace(entry.record, is_lost=False)
            is_news = True
        entry.heard_s = now_s
        self._domain_heard_s[member.domain] = now_s
        return is_news

    def hear_answer(self, address: str, record: MemberRecord, now_s: float) -> bool:
        """Note that a daemon answered.

        Whoever else was known at the address has been replaced.

        :param address: address that was asked.
        :param record: what the answer says of its sender.
        :param now_s: present time in seconds.
        :returns: whether the record is news.
        """
        is_news = self.hear(record, now_s)
        for entry in self._entries.values():
            if entry.record.member.address != address:
                continue
            if entry.record.member.incarnation == record.member.incarnation:
                entry.answered_s = now_s
                entry.is_failing = False
            else:
                entry.record = msgspec.structs.replace(entry.record, is_lost=True)
        return is_news

    def miss(self, address: str) -> None:
        """Note that nobody answered at an address.

        :param address: address that was asked.
        """
        for entry in self._entries.values():
            if entry.record.member.address == address:
                entry.is_failing = True

    def hear_domain(self, domain: DomainId, age_s: float, now_s: float) -> None:
        """Note that a peer was in contact with another domain.

        :param domain: the domain.
        :param age_s: how long ago, in seconds.
        :param now_s: present time in seconds.
        """
        heard_s = max(now_s - age_s, self._domain_heard_s.get(domain, NEVER_S))
        self._domain_heard_s[domain] = heard_s

    def state(self, incarnation: Incarnation, now_s: float) -> MemberState:
        """Judge one daemon.

        :param incarnation: the daemon; an unknown one is lost.
        :param now_s: present time in seconds.
        """
        entry = self._entries.get(incarnation)
        return MemberState.LOST if entry is None else self._judge(entry, now_s)

    def members(self, now_s: float, *states: MemberState) -> list[Member]:
        """List the daemons in any of some states.

        :param now_s: present time in seconds.
        :param states: the states; all but lost if none is given.
        """
        return [
            entry.record.member
            for entry in self._entries.values()
            if self._is_in(self._judge(entry, now_s), states)
        ]

    def running(self, now_s: float) -> list[Member]:
        """List the daemons that take work, this one included.

        Suspect daemons are among them, so that a bad path between two daemons does
        not change what all others hold of the fleet.

        :param now_s: present time in seconds.
        """
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        return [self._own, *self.members(now_s, *states)]

    def record(self, incarnation: Incarnation) -> MemberRecord | None:
        """Return what is known of a daemon, if anything.

        :param incarnation: the daemon.
        """
        entry = self._entries.get(incarnation)
        return None if entry is None else entry.record

    def heard_s(self, incarnation: Incarnation) -> float:
        """Return when a daemon was last known to run, in seconds.

        :param incarnation: the daemon.
        """
        entry = self._entries.get(incarnation)
        if entry is None:
            return NEVER_S
        own_s = max(entry.heard_s, entry.answered_s)
        if entry.record.member.domain == self._own.domain:
            return own_s
        return max(own_s, self._domain_heard_s.get(entry.record.member.domain, own_s))

    def tick(self, now_s: float) -> list[Transition]:
        """Let time pass; to be called at least each second.

        :param now_s: present time in seconds.
        :returns: the members whose state changed since the last call.
        """
        self._excuse_pause(now_s)
        transitions = []
        for incarnation, entry in list(self._entries.items()):
            state = self._judge(entry, now_s)
            if state is not entry.state:
                entry.state = state
                transitions.append(Transition(entry.record.member, state))
            last_s = max(entry.heard_s, entry.learnt_s)
            if state is MemberState.LOST and now_s - last_s > FORGET_AFTER_S:
                del self._entries[incarnation]
        return transitions

    def _excuse_pause(self, now_s: float) -> None:
        pause_s = 0.0 if self._ticked_s is None else now_s - self._ticked_s
        self._ticked_s = now_s
        if pause_s <= MAX_TICK_GAP_S:
            return
        for entry in self._entries.values():
            entry.heard_s += pause_s
            entry.answered_s += pause_s
            entry.learnt_s += pause_s
        for domain in self._domain_heard_s:
            self._domain_heard_s[domain] += pause_s

    def _judge(self, entry: _Entry, now_s: float) -> MemberState:
        if entry.record.is_lost:
            return MemberState.LOST
        if entry.record.member.domain != self._own.domain:
            return self._judge_far(entry, now_s)
        last_s = max(entry.heard_s, entry.answered_s, entry.learnt_s)
        if now_s - last_s > LOST_AFTER_S:
            return MemberState.LOST
        if entry.record.is_leaving:
            return MemberState.LEAVING
        if entry.is_failing or entry.answered_s == NEVER_S:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def _judge_far(self, entry: _Entry, now_s: float) -> MemberState:
        if entry.record.is_leaving:
            return MemberState.LEAVING
        domain = entry.record.member.domain
        if now_s - self._domain_heard_s.get(domain, NEVER_S) > FAR_SILENCE_S:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def _is_in(self, state: MemberState, states: Iterable[MemberState]) -> bool:
        return state in states if states else state is not MemberState.LOST
