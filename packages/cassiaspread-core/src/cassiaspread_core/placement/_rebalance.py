"""Moves that restore a failure domain's complete copy of the model.

The permanent loss of a large engine may remove the only copy of many layers in its
domain. Every request of the domain would then cross the link between domains twice, and
saturate it. Instead, engines whose layers have a second copy load the missing layers.
"""

from collections.abc import Collection, Mapping, Sequence

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.placement._layout import (
    CACHE_SEQUENCES,
    MIN_DOMAIN_SEQUENCES,
    Coverage,
    Move,
    max_cache_sequences,
    max_layers,
)
from cassiaspread_core.placement._model import Engine, LayerRange, ModelSpec

# Maximum number of engines of a domain that load layers at the same time: an engine
# serves no requests while it loads.
MAX_MOVING_PER_DOMAIN = 2


class _Candidate(msgspec.Struct, frozen=True):
    gain: float
    move: Move


def plan_moves(
    model: ModelSpec,
    engines: Sequence[Engine],
    held: Mapping[TargetId, LayerRange],
    moving: Collection[TargetId],
) -> list[Move]:
    """Choose engines that should load other layers.

    :param model: the model.
    :param engines: live engines.
    :param held: layers that engines hold or are loading.
    :param moving: engines that are loading layers already.
    :returns: moves, at most one for each domain.
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
    for domain, domain_engines in by_domain.items():
        if n_moving.get(domain, 0) < MAX_MOVING_PER_DOMAIN:
            move = _find_move(model, coverage, domain, domain_engines, held)
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
    """Find a move that keeps the engines' numbers of layers, else one that raises them.

    A domain that can't hold the model only covers layers that no domain holds.
    """
    max_sequences = max_cache_sequences(model, engines)
    can_hold_model = max_sequences is not None and max_sequences >= MIN_DOMAIN_SEQUENCES
    counts = coverage.domain(domain) if can_hold_model else coverage.fleet
    if min(counts) > 0:
        return None
    choice = _best_move(coverage, counts, domain, engines, held, {})
    for n_sequences in CACHE_SEQUENCES:
        if (
            choice is not None
            or not can_hold_model
            or n_sequences < MIN_DOMAIN_SEQUENCES
        ):
            break
        sizes = {
            e.target: max_layers(model, e.accelerator, n_sequences) for e in engines
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
) -> _Candidate | None:
    best: _Candidate | None = None
    for engine in engines:
        layers = held[engine.target]
        coverage.add(domain, layers, -1)
        n_before = _count_uncovered(counts, layers)
        n_held = max(len(layers), sizes.get(engine.target, 0))
        chosen = coverage.choose_range(domain, n_held)
        n_gained = _count_uncovered(counts, chosen) - n_before
        is_still_covered = all(
            coverage.fleet[layer] for layer in range(*_dropped(layers, chosen))
        )
        coverage.add(domain, layers)
        # Prefers moves that load few layers for each layer that is covered again.
        n_loaded = len(chosen) - len(range(*_intersection(layers, chosen)))
        if n_gained <= 0 or not n_loaded or not is_still_covered:
            continue
        gain = n_gained - n_loaded / (len(chosen) + 1)
        if best is None or gain > best.gain:
            best = _Candidate(gain, Move(engine, chosen))
    return best


def _count_uncovered(counts: Sequence[int], layers: LayerRange) -> int:
    """Return the number of layers of a range without a copy."""
    return sum(counts[layer] == 0 for layer in range(layers.begin, layers.end))


def _intersection(one: LayerRange, other: LayerRange) -> tuple[int, int]:
    begin, end = max(one.begin, other.begin), min(one.end, other.end)
    return begin, max(begin, end)


def _dropped(before: LayerRange, after: LayerRange) -> tuple[int, int]:
    if after.begin <= before.begin < after.end:
        return max(before.begin, min(after.end, before.end)), before.end
    if after.begin < before.end <= after.end:
        return before.begin, max(after.begin, before.begin)
    return before.begin, before.end
