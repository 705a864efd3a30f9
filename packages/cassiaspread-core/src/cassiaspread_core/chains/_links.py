"""Load of the links between failure domains.

All chains that cross between two domains share one link, on which the activations of a
prompt may take longer than all computation. Transfers follow one another, so that each
token of a running stream waits for the prompts in front of it: a link that is asked for
more than it transfers delays every stream, and soon serves none in time.
"""

import itertools
from typing import NewType

from cassiaspread_core.base import DomainId
from cassiaspread_core.chains._chain import BITS_PER_BYTE, Chain, RequestDemand
from cassiaspread_core.placement import ModelSpec

# The two domains, in alphabetical order.
LinkId = NewType("LinkId", tuple[DomainId, DomainId])

# Fraction of a link's bandwidth that is used. Above it waiting times grow quickly, and
# transfers that are not planned, such as those of resumed streams, need some as well.
USABLE_LINK_RATIO = 0.8
# Longest wait for a link, as a fraction of the objective for the pause between events.
MAX_WAIT_RATIO = 0.5
MEGABIT = 1e6


def link_between(first: DomainId, second: DomainId) -> LinkId:
    """Return the link between two domains.

    :param first: one of them.
    :param second: the other one.
    """
    return LinkId((min(first, second), max(first, second)))


def links_of(chain: Chain) -> tuple[LinkId, ...]:
    """List the links that a request crosses, one entry for each crossing.

    :param chain: its chain.
    """
    return tuple(
        link_between(a.engine.domain, b.engine.domain)
        for a, b in itertools.pairwise(chain)
        if a.engine.domain != b.engine.domain
    )


def transfer_s(model: ModelSpec, demand: RequestDemand) -> float:
    """Return the time for which a request occupies a link, in seconds.

    :param model: the model.
    :param demand: tokens that the request needs.
    """
    if not model.domain_link_mbps:
        return 0.0
    bits = demand.tokens * model.activation_bytes * BITS_PER_BYTE
    return bits / (model.domain_link_mbps * MEGABIT * USABLE_LINK_RATIO)


class LinkSchedule:
    """Transfers on one link, each of which begins after those before it.

    >>> schedule = LinkSchedule()
    >>> schedule.try_acquire(0.2, max_wait_s=0.1, now_s=1.0)
    0.0
    >>> round(schedule.try_acquire(0.2, max_wait_s=0.1, now_s=1.0), 3)
    0.1
    >>> schedule.try_acquire(0.2, max_wait_s=0.1, now_s=1.11)
    0.0
    """

    def __init__(self) -> None:
        self._free_s = float("-inf")

    def try_acquire(self, work_s: float, max_wait_s: float, now_s: float) -> float:
        """Take the link for some time unless others have it for too long.

        :param work_s: time needed, in seconds.
        :param max_wait_s: longest wait for those before, in seconds.
        :param now_s: current time, in seconds.
        :returns: 0 if the link was taken; otherwise the time until it may be, in
            seconds.
        """
        wait_s = self._free_s - now_s
        if wait_s > max_wait_s:
            return wait_s - max_wait_s
        self._free_s = max(self._free_s, now_s) + work_s
        return 0.0

    def give_back(self, work_s: float) -> None:
        """Give back time that was taken and not used.

        :param work_s: the time, in seconds.
        """
        self._free_s -= work_s
