"""Whom a daemon gossips with in one round."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cassiaspread_core.base import DomainId
from cassiaspread_core.membership._member import Member
from cassiaspread_core.membership._rendezvous import choose_delegates

# Daemons of a domain asked each round while none of them is known to run.
N_PROBES = 2


class ContactPlan(NamedTuple):
    """Addresses to gossip with.

    :param near: daemons of this domain, and addresses of which nothing is known.
    :param far: daemons of other domains, for whom this daemon is a delegate.
    """

    near: set[str]
    far: set[str]


def choose_contacts(
    own: Member,
    running: Iterable[Member],
    hints: Mapping[str, DomainId | None],
    n_round: int,
) -> ContactPlan:
    """Choose whom to gossip with.

    All daemons of the own domain; of each other domain its delegates, if this daemon
    is a delegate too. Listed or configured addresses are hints: those of the own or
    of an unknown domain are always tried, those of a domain of which no daemon is
    known to run are tried in turn.

    :param own: this daemon.
    :param running: daemons that are not lost, this one included or not.
    :param hints: address of each listed or configured daemon, with its domain if
        that is known.
    :param n_round: number of the round, which turns the probes.
    """
    members = [m for m in running if m.incarnation != own.incarnation]
    near = {m.address for m in members if m.domain == own.domain}
    near |= {a for a, domain in hints.items() if domain in (None, own.domain)}
    far: set[str] = set()
    domains = {m.domain for m in members} | {d for d in hints.values() if d}
    for domain in domains - {own.domain}:
        if own in choose_delegates([own, *members], own.domain, domain):
            far |= _far_contacts(own, domain, members, hints, n_round)
    return ContactPlan(near - {own.address}, far - near - {own.address})


def _far_contacts(
    own: Member,
    domain: DomainId,
    members: list[Member],
    hints: Mapping[str, DomainId | None],
    n_round: int,
) -> set[str]:
    delegates = choose_delegates(members, domain, own.domain)
    if delegates:
        return {m.address for m in delegates}
    listed = sorted(a for a, d in hints.items() if d == domain)
    first = n_round * N_PROBES
    return {listed[(first + i) % len(listed)] for i in range(N_PROBES) if listed}
