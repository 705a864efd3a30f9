"""Transfer times between engines, estimated from the token intervals of streams."""

from collections.abc import Callable, Sequence
from itertools import pairwise

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.pipeline import EngineReport

LOCAL_LINK_MS = 0.1
REMOTE_LINK_MS = 1.0
MAX_PAIRS = 50_000

# Fraction of the error that one observation corrects.
RELAXATION = 0.5


class LinkTable:
    """Estimates the transfer time from one engine to the next, in milliseconds.

    A stream shows only the duration of a full round through its plan. The part that
    the stages don't account for is attributed to the links: the error of the estimate
    is distributed in proportion to the estimates of the links (a multiplicative
    Kaczmarz step), so that one slow link among fast ones is identified after a few
    plans that share it. Pairs that no stream has used yet take the smoothed mean of
    the pairs between their domains.

    :param n_pairs: maximum number of pairs; the oldest are evicted first.

    >>> links = LinkTable()
    >>> for _ in range(20):
    ...     links.observe([("a", "b")], ["cautin"] * 2, residual_ms=10.0)
    >>> round(links.pair_ms("a", "b", "cautin", "cautin"), 1)
    10.0
    """

    def __init__(self, n_pairs: int = MAX_PAIRS) -> None:
        self._n_pairs = n_pairs
        self._pairs: dict[tuple[TargetId, TargetId], float] = {}
        self._domains: dict[tuple[DomainId, DomainId], float] = {}

    def __len__(self) -> int:
        return len(self._pairs)

    def pair_ms(
        self, before: TargetId, after: TargetId, source: DomainId, sink: DomainId
    ) -> float:
        """Return the estimate for one pair of engines.

        :param before: sending engine.
        :param after: receiving engine.
        :param source: domain of the sender.
        :param sink: domain of the receiver.
        """
        pair_ms = self._pairs.get((before, after))
        return self._prior(source, sink) if pair_ms is None else pair_ms

    def observe(
        self,
        pairs: Sequence[tuple[TargetId, TargetId]],
        domains: Sequence[DomainId],
        residual_ms: float,
    ) -> None:
        """Update the estimates from the link time of one round.

        :param pairs: links of the plan, in order.
        :param domains: domain of each engine of the plan, in order.
        :param residual_ms: duration of the round minus that of the stages.
        """
        if not pairs:
            return
        hops = list(pairwise(domains))
        estimates_ms = [
            self.pair_ms(*pair, *hop) for pair, hop in zip(pairs, hops, strict=True)
        ]
        ratio = max(residual_ms, 1e-3) / sum(estimates_ms)
        factor = 1.0 + RELAXATION * (ratio - 1.0)
        for pair, hop, estimate_ms in zip(pairs, hops, estimates_ms, strict=True):
            self._update(pair, hop, estimate_ms * factor)

    def _prior(self, source: DomainId, sink: DomainId) -> float:
        mean_ms = self._domains.get((source, sink))
        if mean_ms is not None:
            return mean_ms
        return LOCAL_LINK_MS if source == sink else REMOTE_LINK_MS

    def _update(
        self,
        pair: tuple[TargetId, TargetId],
        hop: tuple[DomainId, DomainId],
        value_ms: float,
    ) -> None:
        self._pairs[pair] = value_ms
        if len(self._pairs) > self._n_pairs:
            del self._pairs[next(iter(self._pairs))]
        prior = self._prior(*hop)
        self._domains[hop] = prior + 0.05 * (value_ms - prior)


class StageTime(msgspec.Struct, frozen=True):
    """Predicted step time of one stage.

    :param engine: engine of the stage.
    :param stage_ms: predicted step time on it, in milliseconds.
    """

    engine: EngineReport
    stage_ms: float


def observe_round(
    links: LinkTable, stages: Sequence[StageTime], round_ms: float
) -> None:
    """Update link estimates from the time between two tokens of a stream.

    :param links: the table to update.
    :param stages: stages of the plan with their predicted step times.
    :param round_ms: time between two tokens, in milliseconds.
    """
    pairs = [
        (before.engine.target, after.engine.target)
        for before, after in pairwise(stages)
    ]
    domains = [stage.engine.domain for stage in stages]
    links.observe(pairs, domains, round_ms - sum(stage.stage_ms for stage in stages))


LinkCost = Callable[[EngineReport, EngineReport], float]


def make_link_cost(links: LinkTable) -> LinkCost:
    """Return the cost function of the planner for a transfer.

    :param links: table of estimates.
    """

    def link_cost(before: EngineReport, after: EngineReport) -> float:
        return links.pair_ms(before.target, after.target, before.domain, after.domain)

    return link_cost
