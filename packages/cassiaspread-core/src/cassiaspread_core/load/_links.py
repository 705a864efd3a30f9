"""Transfer times between engines, learned from the pace of streams."""

from collections.abc import Callable, Sequence
from itertools import pairwise

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.pipeline import EngineReport

LOCAL_LINK_MS = 0.1
REMOTE_LINK_MS = 1.0
MAX_PAIRS = 50_000

# Part of the error that one observation corrects.
STEP = 0.5


class LinkTable:
    """Estimates the milliseconds of one transfer from an engine to the next.

    A stream shows only the time of a whole round through its plan. What the stages
    don't explain is laid to the links: the error of the estimate is spread over them
    in proportion to what they are believed to take (a multiplicative Kaczmarz step),
    so that one slow link among fast ones is found after a few plans that share it.
    Pairs that no stream has used take the mean of their domains' pairs.

    :param n_pairs: most pairs kept; the first ones learned make room.

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

        :param before: the engine that sends.
        :param after: the engine that receives.
        :param source: domain of the sender.
        :param sink: domain of the receiver.
        """
        known = self._pairs.get((before, after))
        return self._prior(source, sink) if known is None else known

    def observe(
        self,
        pairs: Sequence[tuple[TargetId, TargetId]],
        domains: Sequence[DomainId],
        residual_ms: float,
    ) -> None:
        """Take in one round's time that the stages don't explain.

        :param pairs: links of the plan, in order.
        :param domains: domain of each engine of the plan, in order.
        :param residual_ms: time of the round without that of the stages.
        """
        if not pairs:
            return
        hops = list(pairwise(domains))
        beliefs = [
            self.pair_ms(*pair, *hop) for pair, hop in zip(pairs, hops, strict=True)
        ]
        ratio = max(residual_ms, 1e-3) / sum(beliefs)
        factor = 1.0 + STEP * (ratio - 1.0)
        for pair, hop, belief in zip(pairs, hops, beliefs, strict=True):
            self._learn(pair, hop, belief * factor)

    def _prior(self, source: DomainId, sink: DomainId) -> float:
        known = self._domains.get((source, sink))
        if known is not None:
            return known
        return LOCAL_LINK_MS if source == sink else REMOTE_LINK_MS

    def _learn(
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


class RoundTime(msgspec.Struct, frozen=True):
    """Prediction for one stage's part of a round.

    :param engine: the engine.
    :param stage_ms: predicted time on it.
    """

    engine: EngineReport
    stage_ms: float


def observe_round(
    links: LinkTable, stages: Sequence[RoundTime], round_ms: float
) -> None:
    """Learn from the time between two tokens of a stream.

    :param links: the table.
    :param stages: the plan's stages with their predicted time.
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
    """Return the planner's cost of a transfer.

    :param links: the table.
    """

    def link_cost(before: EngineReport, after: EngineReport) -> float:
        return links.pair_ms(before.target, after.target, before.domain, after.domain)

    return link_cost
