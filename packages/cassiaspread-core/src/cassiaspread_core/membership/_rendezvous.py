"""Choices that all daemons make alike without talking: rendezvous hashing.

Daemons that see the same members choose the same ones; when a member goes, only the
choices that fell on it change.
"""

from collections.abc import Iterable

import xxhash

from cassiaspread_core.base import DomainId
from cassiaspread_core.membership._member import Member

N_DELEGATES = 2


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Order members by their hash with a key, the first choice first.

    :param key: what the choice is for.
    :param members: who may be chosen.
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
    """Choose who of a domain's daemons talks to another domain.

    The choice differs from domain to domain, so that no daemon talks to all of them.

    :param members: running daemons; those of other domains are ignored.
    :param domain: domain whose delegates are wanted.
    :param other: domain that they talk to.
    """
    candidates = (m for m in members if m.domain == domain)
    return rank_members(f"{domain}|{other}", candidates)[:N_DELEGATES]
