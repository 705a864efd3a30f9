"""Daemons, their states and the membership records exchanged between peers."""

from enum import Enum
from typing import NamedTuple

import msgspec

from cassiaspread_core.base import Count, DomainId, Incarnation, VmId


class MemberState(Enum):
    """State of a daemon as seen by this one.

    - ``ALIVE``: it answered recently.
    - ``SUSPECT``: it may be running but gives no answer: it sends messages without
      answering requests, or its domain is unreachable.
    - ``LOST``: no message from it arrived for too long, or another incarnation has
      replaced it.
    - ``LEAVING``: it announced that it takes no new work; final for its incarnation.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LOST = "lost"
    LEAVING = "leaving"


class Member(NamedTuple):
    """One incarnation of a daemon.

    :param incarnation: identifier of this start of the daemon.
    :param vm: VM on which it runs.
    :param domain: failure domain of the VM.
    :param address: ``host:port`` on which it receives messages.
    """

    incarnation: Incarnation
    vm: VmId
    domain: DomainId
    address: str


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of a daemon as exchanged between daemons.

    :param member: the daemon.
    :param is_leaving: whether it takes no new work; final for its incarnation.
    :param is_lost: whether the daemons of its own domain have declared it lost.
    :param stamp_ms: when ``is_lost`` was determined, on the hybrid logical clock.
    """

    member: Member
    is_leaving: bool = False
    is_lost: bool = False
    stamp_ms: Count = 0


def merge_records(current: MemberRecord, received: MemberRecord) -> MemberRecord:
    """Merge two records of the same incarnation.

    The result depends neither on the order nor on the number of merges.

    :param current: stored record.
    :param received: received record.

    >>> member = Member("i1", "entry-1", "celje", "127.0.0.1:7000")
    >>> leaving = MemberRecord(member, is_leaving=True, stamp_ms=1)
    >>> lost = MemberRecord(member, is_lost=True, stamp_ms=2)
    >>> merged = merge_records(lost, leaving)
    >>> merged.is_leaving, merged.is_lost, merged.stamp_ms
    (True, True, 2)
    """
    latest = max(current, received, key=lambda r: (r.stamp_ms, r.is_lost, r.member))
    is_leaving = current.is_leaving or received.is_leaving
    return msgspec.structs.replace(latest, is_leaving=is_leaving)
