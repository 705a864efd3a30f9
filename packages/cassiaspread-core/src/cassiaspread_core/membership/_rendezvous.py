"""Rendezvous hashing, by which all daemons choose alike without coordination.

Daemons with the same view of the members make the same choices; removing a member
changes only the choices that included it.
"""

from collections.abc import Iterable

import xxhash

from cassiaspread_core.base import DomainId, Incarnation
from cassiaspread_core.membership._member import Member

N_DELEGATES = 2
# Daemons that each daemon of a tree sends to.
FAN_OUT = 2


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Order members by rendezvous hash for a key, highest first.

    :param key: key for which members are chosen.
    :param members: candidates.
    """
    return sorted(
        members,
        key=lambda m: (
            xxhash.xxh3_64_intdigest(f"{key}\n{m.incarnation}".encode()),
            m.incarnation,
        ),
        reverse=True,
    )


def choose_delegates(
    members: Iterable[Member], domain: DomainId, other: DomainId
) -> list[Member]:
    """Choose the daemons of a domain that communicate with another domain.

    The choice depends on both domains, so that the work is spread and no daemon
    communicates with all domains.

    :param members: running daemons; those of other domains are ignored.
    :param domain: domain whose delegates are chosen.
    :param other: domain with which they communicate.
    """
    candidates = (m for m in members if m.domain == domain)
    return rank_members(f"{domain}|{other}", candidates)[:N_DELEGATES]


def find_children(
    key: str, members: Iterable[Member], root: Incarnation, parent: Incarnation
) -> list[Member]:
    """Return the daemons that a daemon sends to in a tree of all members.

    :param key: key for which the tree is built.
    :param members: the daemons.
    :param root: daemon from which the tree begins.
    :param parent: the daemon that sends.
    """
    others = [m for m in rank_members(key, members) if m.incarnation != root]
    order = [root, *(m.incarnation for m in others)]
    if parent not in order:
        return []
    first = FAN_OUT * order.index(parent)
    return others[first : first + FAN_OUT]
