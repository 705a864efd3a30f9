"""Daemons, their states and the records in which peers tell of them."""

from enum import Enum
from typing import NamedTuple

import msgspec

from cassiaspread_core.base import DomainId, Incarnation, VmId


class MemberState(Enum):
    """What this daemon holds of another.

    - ``ALIVE``: it answered lately.
    - ``SUSPECT``: it runs, but can't be asked: it is heard from without answering,
      or it belongs to a domain that is not reached.
    - ``LOST``: nothing came from it for too long, or another incarnation has taken
      its place.
    - ``LEAVING``: it said that it takes no new work; final for its incarnation.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LOST = "lost"
    LEAVING = "leaving"


class Member(NamedTuple):
    """One start of a daemon.

    :param incarnation: identifies the start.
    :param vm: VM that it runs on.
    :param domain: failure domain of the VM.
    :param address: ``host:port`` where it takes messages.
    """

    incarnation: Incarnation
    vm: VmId
    domain: DomainId
    address: str


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon tells others of a daemon.

    :param member: the daemon.
    :param is_leaving: whether it takes no new work; final for its incarnation.
    :param is_lost: whether its own domain has lost it.
    :param stamp_ms: when ``is_lost`` was judged, on the hybrid logical clock.
    """

    member: Member
    is_leaving: bool = False
    is_lost: bool = False
    stamp_ms: int = 0


def merge_records(present: MemberRecord, heard: MemberRecord) -> MemberRecord:
    """Combine two records of the same incarnation.

    The result depends neither on the order nor on the number of merges.

    :param present: record that is known.
    :param heard: record that came.

    >>> member = Member("i1", "entry-1", "celje", "127.0.0.1:7000")
    >>> leaving = MemberRecord(member, is_leaving=True, stamp_ms=1)
    >>> lost = MemberRecord(member, is_lost=True, stamp_ms=2)
    >>> merged = merge_records(lost, leaving)
    >>> merged.is_leaving, merged.is_lost, merged.stamp_ms
    (True, True, 2)
    """
    latest = max(present, heard, key=lambda r: (r.stamp_ms, r.is_lost, r.member))
    is_leaving = present.is_leaving or heard.is_leaving
    return msgspec.structs.replace(latest, is_leaving=is_leaving)
