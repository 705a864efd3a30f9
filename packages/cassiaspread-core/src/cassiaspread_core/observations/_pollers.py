"""Who polls a target, and how often."""

import math
from collections.abc import Iterable

import xxhash

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

    The interval is doubled until the polls keep within their rate, so that daemons
    with nearly as many targets have the same one.

    :param n_targets: targets that the daemon polls.
    :param min_interval_s: shortest interval in seconds.

    >>> poll_interval_s(4, 0.5), poll_interval_s(9, 0.5), poll_interval_s(29, 0.5)
    (0.5, 1.0, 2.0)
    """
    interval_s = min_interval_s
    while n_targets > MAX_POLLS_PER_S * interval_s:
        interval_s *= 2
    return interval_s


def next_poll_s(target: TargetId, rank: int, interval_s: float, now_s: float) -> float:
    """Return when a target is polled next.

    Its pollers take turns: with the same interval and about the same clock each
    polls when half of the other's interval has passed.

    :param target: the target.
    :param rank: place of the daemon among the pollers.
    :param interval_s: time between two polls by one daemon, in seconds.
    :param now_s: current time, in seconds since the epoch.

    >>> first = next_poll_s("e1", 0, 2.0, now_s=100.0)
    >>> second = next_poll_s("e1", 1, 2.0, now_s=100.0)
    >>> abs(first - second)
    1.0
    """
    phase_s = xxhash.xxh3_64_intdigest(target.encode()) / 2**64 * interval_s
    phase_s += rank * interval_s / N_POLLERS
    n_passed = math.floor((now_s - phase_s) / interval_s)
    return phase_s + (n_passed + 1) * interval_s
