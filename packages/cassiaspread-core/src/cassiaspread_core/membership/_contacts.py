"""Selection of the gossip partners of a daemon for one round."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cassiaspread_core.base import DomainId
from cassiaspread_core.membership._member import Member
from cassiaspread_core.membership._rendezvous import choose_delegates

# Addresses of a domain probed per round while it has no daemon recorded as running.
N_PROBES_PER_ROUND = 2


class ContactPlan(NamedTuple):
    """Addresses to gossip with.

    :param local: daemons of this domain, and addresses whose domain is unknown.
    :param remote: daemons of other domains with which this daemon talks as a delegate.
    """

    local: set[str]
    remote: set[str]


def choose_contacts(
    own: Member,
    running: Iterable[Member],
    seed_addresses: Mapping[str, DomainId | None],
    n_round: int,
) -> ContactPlan:
    """Choose the gossip partners of one round.

    These are all daemons of the own domain and, if this daemon is a delegate, the
    delegates of each other domain. Listed or configured addresses serve as seed
    addresses: those of the own or of an unknown domain are always included; those of
    another domain are probed in rotation while no daemon of that domain is running.

    :param own: this daemon.
    :param running: daemons that are not lost, with or without this one.
    :param seed_addresses: address of each listed or configured daemon, with its domain
        if known.
    :param n_round: number of the round, which rotates the probes.
    """
    members = [m for m in running if m.incarnation != own.incarnation]
    local = {m.address for m in members if m.domain == own.domain}
    local |= {a for a, domain in seed_addresses.items() if domain in (None, own.domain)}
    remote: set[str] = set()
    domains = {m.domain for m in members} | {d for d in seed_addresses.values() if d}
    for domain in domains - {own.domain}:
        if own in choose_delegates([own, *members], own.domain, domain):
            remote |= _remote_contacts(own, domain, members, seed_addresses, n_round)
    return ContactPlan(local - {own.address}, remote - local - {own.address})


def _remote_contacts(
    own: Member,
    domain: DomainId,
    members: list[Member],
    seed_addresses: Mapping[str, DomainId | None],
    n_round: int,
) -> set[str]:
    delegates = choose_delegates(members, domain, own.domain)
    if delegates:
        return {m.address for m in delegates}
    listed = sorted(a for a, d in seed_addresses.items() if d == domain)
    first = n_round * N_PROBES_PER_ROUND
    return {
        listed[(first + i) % len(listed)] for i in range(N_PROBES_PER_ROUND) if listed
    }
