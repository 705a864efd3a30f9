"""Assignment of pollers to targets, and the schedule of polls."""

import math
from collections.abc import Iterable

import xxhash

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.membership import Member, rank_members

N_POLLERS = 2

# Maximum poll rate of one daemon; with more targets, each is polled less often.
MAX_POLLS_PER_S = 16.0


def choose_pollers(
    target: TargetId, domain: DomainId, own: Member, running: Iterable[Member]
) -> list[Member]:
    """Choose the daemons that poll a target.

    They are chosen from the target's failure domain. If no daemon runs there, they
    are chosen from the domain of the calling daemon, so that the targets of a domain
    without daemons are still polled.

    :param target: the target.
    :param domain: its failure domain.
    :param own: the daemon that makes the choice.
    :param running: daemons that take work.
    """
    members = list(running)
    candidates = [m for m in members if m.domain == domain]
    if not candidates:
        candidates = [m for m in members if m.domain == own.domain]
    return rank_members(target, candidates)[:N_POLLERS]


def poll_interval_s(n_targets: int, min_interval_s: float) -> float:
    """Return the interval at which a daemon polls each of its targets.

    It is doubled until the poll rate is within its limit, so that daemons with
    similar numbers of targets use the same interval.

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
    """Return the time of the next poll of a target.

    The polls of its two pollers are offset by half an interval, provided that their
    intervals are the same and their clocks nearly so.

    :param target: the target.
    :param rank: index of the daemon among the pollers.
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
