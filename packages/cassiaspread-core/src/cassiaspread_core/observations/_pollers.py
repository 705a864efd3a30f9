"""Who polls a target, and how often."""

from collections.abc import Iterable

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.membership import Member, rank_members

N_POLLERS = 2

# Polls of one daemon in a second; with more targets each is polled more rarely.
MAX_POLLS_PER_S = 16.0


def choose_pollers(
    target: TargetId, domain: DomainId, own: Member, running: Iterable[Member]
) -> list[Member]:
    """Choose the daemons that poll a target.

    Daemons of the target's own domain do; if none of them runs, those of the
    deciding daemon's domain do, so that a domain without daemons stays known.

    :param target: the target.
    :param domain: its failure domain.
    :param own: the deciding daemon.
    :param running: daemons that take work.
    """
    members = list(running)
    candidates = [m for m in members if m.domain == domain]
    if not candidates:
        candidates = [m for m in members if m.domain == own.domain]
    return rank_members(target, candidates)[:N_POLLERS]


def poll_interval_s(n_targets: int, min_interval_s: float) -> float:
    """Return how often each of a daemon's targets is polled.

    :param n_targets: targets that the daemon polls.
    :param min_interval_s: shortest interval in seconds.

    >>> poll_interval_s(4, 0.5), poll_interval_s(32, 0.5)
    (0.5, 2.0)
    """
    return max(min_interval_s, n_targets / MAX_POLLS_PER_S)
