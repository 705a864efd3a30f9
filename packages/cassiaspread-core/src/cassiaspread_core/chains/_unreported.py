"""Estimate of the streams that other daemons started since their last load report.

Daemons choose chains by load reports that are up to a second old. Without an allowance
for unreported streams, all daemons choose the same best chain and fill its KV caches
before any of them receives the others' updates; its engines then preempt streams.
"""

import random

from cassiaspread_core.base import EventRate

# Longest time between two updates from another daemon, in seconds. Each of two daemons
# sends the other its load once a second and gets a reply, thus two updates a second.
UPDATE_INTERVAL_S = 0.5


class UnreportedStarts:
    """Samples the number of unreported streams of other daemons on an engine.

    Assumes that every other daemon starts streams at the same rate as this one. Each
    choice of a chain takes a new sample, so that the fuller an engine is, the fewer
    daemons choose it.

    :param random_state: random number generator.

    >>> unreported = UnreportedStarts(random.Random(0))
    >>> unreported.record_start(now_s=1.0)
    >>> unreported.draw(n_others=0, now_s=1.0)
    0.0
    >>> 0.0 <= unreported.draw(n_others=8, now_s=1.0) <= 2.0
    True
    """

    def __init__(self, random_state: random.Random) -> None:
        self._random_state = random_state
        self._starts = EventRate()

    def record_start(self, now_s: float) -> None:
        """Record that this daemon starts a stream.

        :param now_s: current time, in seconds.
        """
        self._starts.record(now_s)

    def draw(self, n_others: int, now_s: float) -> float:
        """Sample a number of unreported streams.

        :param n_others: number of other daemons that choose among the same engines.
        :param now_s: current time, in seconds.
        """
        max_starts = n_others * self._starts.per_s(now_s) * UPDATE_INTERVAL_S
        return self._random_state.uniform(0.0, max_starts)
