"""Moves that give a failure domain its whole copy of the model back.

Load pattern: a large engine is lost for good, and with it the only copy of many layers
in its domain. Every request there would cross the link between domains twice until
that link is full; engines that hold layers a second time take them over instead.
"""

from collections.abc import Collection, Mapping, Sequence

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.placement._layout import (
    CACHE_SEQUENCES,
    MIN_DOMAIN_SEQUENCES,
    Coverage,
    Move,
    layers_that_fit,
    most_sequences,
)
from cassiaspread_core.placement._model import Engine, LayerRange, ModelSpec

# Engines of one domain that move at the same time: each is lost to its requests while
# it loads.
MAX_MOVING_PER_DOMAIN = 2


class _Choice(msgspec.Struct, frozen=True):
    gain: float
    move: Move


def plan_moves(
    model: ModelSpec,
    engines: Sequence[Engine],
    held: Mapping[TargetId, LayerRange],
    moving: Collection[TargetId],
) -> list[Move]:
    """Choose engines that should hold other layers than they do.

    :param model: the model.
    :param engines: live engines.
    :param held: layers that engines hold or are loading.
    :param moving: engines that are loading already.
    :returns: at most one move for each domain.
    """
    coverage = Coverage(model.n_layers)
    by_domain: dict[DomainId, list[Engine]] = {}
    n_moving: dict[DomainId, int] = {}
    for engine in engines:
        layers = held.get(engine.target)
        if not layers or engine.is_leaving:
            continue
        coverage.add(engine.domain, layers)
        if engine.target in moving:
            n_moving[engine.domain] = n_moving.get(engine.domain, 0) + 1
        else:
            by_domain.setdefault(engine.domain, []).append(engine)
    moves = []
    for domain, candidates in by_domain.items():
        if n_moving.get(domain, 0) < MAX_MOVING_PER_DOMAIN:
            move = _find_move(model, coverage, domain, candidates, held)
            if move is not None:
                moves.append(move)
    return moves


def _find_move(
    model: ModelSpec,
    coverage: Coverage,
    domain: DomainId,
    engines: Sequence[Engine],
    held: Mapping[TargetId, LayerRange],
) -> Move | None:
    """Find a move with the engines' layers as many as now, else with more of them.

    A domain that can't hold the model helps only where no domain holds a layer.
    """
    most = most_sequences(model, engines)
    is_whole = most is not None and most >= MIN_DOMAIN_SEQUENCES
    counts = coverage.domain(domain) if is_whole else coverage.fleet
    if min(counts) > 0:
        return None
    choice = _best_move(coverage, counts, domain, engines, held, {})
    for n_sequences in CACHE_SEQUENCES:
        if choice is not None or not is_whole or n_sequences < MIN_DOMAIN_SEQUENCES:
            break
        sizes = {
            e.target: layers_that_fit(model, e.accelerator, n_sequences)
            for e in engines
        }
        choice = _best_move(coverage, counts, domain, engines, held, sizes)
    return None if choice is None else choice.move


def _best_move(
    coverage: Coverage,
    counts: Sequence[int],
    domain: DomainId,
    engines: Sequence[Engine],
    held: Mapping[TargetId, LayerRange],
    sizes: Mapping[TargetId, int],
) -> _Choice | None:
    best: _Choice | None = None
    for engine in engines:
        layers = held[engine.target]
        coverage.add(domain, layers, -1)
        before = _n_alone(counts, layers)
        n_held = max(len(layers), sizes.get(engine.target, 0))
        chosen = coverage.choose_range(domain, n_held)
        gained = _n_alone(counts, chosen) - before
        is_kept = all(
            coverage.fleet[layer] for layer in range(*_dropped(layers, chosen))
        )
        coverage.add(domain, layers)
        # Few layers to load for each one that is covered again.
        n_loaded = len(chosen) - len(range(*_common(layers, chosen)))
        if gained <= 0 or not n_loaded or not is_kept:
            continue
        gain = gained - n_loaded / (len(chosen) + 1)
        if best is None or gain > best.gain:
            best = _Choice(gain, Move(engine, chosen))
    return best


def _n_alone(counts: Sequence[int], layers: LayerRange) -> int:
    """Return how many layers of a range no engine that is counted holds."""
    return sum(counts[layer] == 0 for layer in range(layers.begin, layers.end))


def _common(one: LayerRange, other: LayerRange) -> tuple[int, int]:
    begin, end = max(one.begin, other.begin), min(one.end, other.end)
    return begin, max(begin, end)


def _dropped(before: LayerRange, after: LayerRange) -> tuple[int, int]:
    if after.begin <= before.begin < after.end:
        return max(before.begin, min(after.end, before.end)), before.end
    if after.begin < before.end <= after.end:
        return before.begin, max(after.begin, before.begin)
    return before.begin, before.end
