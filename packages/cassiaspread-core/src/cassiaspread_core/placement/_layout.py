"""Which layers each engine should hold.

Load pattern: many short streams over every failure domain, with single engines lost at
any time. Each domain gets a whole copy of the model first, so that chains stay inside
it; what memory is left holds the layers with the fewest copies again.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.placement._model import Engine, LayerRange, ModelSpec

# Sequences of usual length for which a copy of the model has cache room, tried in
# turn until each domain holds a whole copy.
CACHE_SEQUENCES = (60, 50, 40, 30, 20, 12, 6, 2)
# A domain whose copy would have less room shares one with others instead: streams that
# cross domains are slower, but one that finds no room is refused.
MIN_DOMAIN_SEQUENCES = 12


def layers_that_fit(model: ModelSpec, accelerator: str, n_sequences: float) -> int:
    """Return how many layers an engine may hold beside its cache.

    :param model: the model.
    :param accelerator: name of the engine's kind of accelerator.
    :param n_sequences: sequences of usual length that must find room.
    :returns: layers; 0 for an unknown kind.
    """
    kind = model.accelerators.get(accelerator)
    if kind is None:
        return 0
    tokens = n_sequences * (model.usual_prompt + model.usual_answer)
    mb_per_layer = model.layer_mb + tokens * model.cache_mb_per_token_layer
    return min(model.n_layers, int(kind.memory_mb / mb_per_layer))


def choose_cache_sequences(
    model: ModelSpec, engines: Sequence[Engine]
) -> dict[DomainId, float]:
    """Choose the most cache room that still leaves a whole copy to each domain.

    A domain that can't hold a copy takes the room at which the whole fleet holds one.

    :param model: the model.
    :param engines: engines that can hold layers.
    :returns: sequences of usual length, by domain.
    """
    by_domain: dict[DomainId, list[Engine]] = {}
    for engine in engines:
        by_domain.setdefault(engine.domain, []).append(engine)
    shared = most_sequences(model, engines)
    fallback = CACHE_SEQUENCES[-1] if shared is None else shared
    chosen: dict[DomainId, float] = {}
    for domain, own in by_domain.items():
        n_sequences = most_sequences(model, own)
        is_enough = n_sequences is not None and n_sequences >= MIN_DOMAIN_SEQUENCES
        chosen[domain] = n_sequences if is_enough else fallback
    return chosen


def most_sequences(model: ModelSpec, engines: Sequence[Engine]) -> float | None:
    """Return the most cache room at which engines together hold the model.

    :param model: the model.
    :param engines: the engines.
    :returns: sequences of usual length; ``None`` if they cannot hold it.
    """
    for n_sequences in CACHE_SEQUENCES:
        fitting = (layers_that_fit(model, e.accelerator, n_sequences) for e in engines)
        if sum(fitting) >= model.n_layers:
            return n_sequences
    return None


class Coverage:
    """How many engines hold each layer, by domain and over the fleet.

    :param n_layers: layers of the model.
    """

    def __init__(self, n_layers: int) -> None:
        self._n_layers = n_layers
        self._by_domain: dict[DomainId, list[int]] = {}
        self.fleet = [0] * n_layers

    def domain(self, domain: DomainId) -> list[int]:
        """Return the copies of each layer in a domain.

        :param domain: the failure domain.
        """
        return self._by_domain.setdefault(domain, [0] * self._n_layers)

    def add(self, domain: DomainId, layers: LayerRange, n_copies: int = 1) -> None:
        """Count an engine's layers.

        :param domain: the engine's failure domain.
        :param layers: layers that it holds.
        :param n_copies: copies added, negative to take them out.
        """
        counts = self.domain(domain)
        for layer in range(layers.begin, min(layers.end, self._n_layers)):
            counts[layer] += n_copies
            self.fleet[layer] += n_copies

    def choose_range(self, domain: DomainId, n_held: int) -> LayerRange:
        """Choose the range that lacks copies most.

        :param domain: failure domain of the engine.
        :param n_held: layers that the engine may hold.
        """
        counts = self.domain(domain)
        starts = range(self._n_layers - n_held + 1)
        best = min(starts, key=lambda s: self._rank(counts, s, s + n_held))
        return LayerRange(best, best + n_held)

    def _rank(
        self, counts: list[int], begin: int, end: int
    ) -> tuple[float, float, int, int]:
        # A layer without any copy weighs most, the second copy much less.
        need = sum(_copy_value(n) for n in counts[begin:end])
        fleet_need = sum(_copy_value(n) for n in self.fleet[begin:end])
        overlap = counts[begin - 1] if begin else 0
        return (-need, -fleet_need, -overlap, begin)


def _copy_value(n_copies: int) -> float:
    return 100.0 ** -min(n_copies, 4)


def plan_layout(
    model: ModelSpec,
    engines: Iterable[Engine],
    held: Mapping[TargetId, LayerRange],
) -> dict[TargetId, LayerRange]:
    """Choose layers for engines that hold none.

    Large engines are placed first, since small ones fill what they leave.

    :param model: the model.
    :param engines: live engines that may hold layers.
    :param held: layers that engines hold or are loading.
    :returns: layers for each engine that is to be given some.
    """
    usable = [e for e in engines if not e.is_leaving]
    n_sequences = choose_cache_sequences(model, usable)
    coverage = Coverage(model.n_layers)
    empty = []
    for engine in usable:
        layers = held.get(engine.target)
        if layers:
            coverage.add(engine.domain, layers)
        else:
            empty.append(engine)
    sizes = {
        e.target: layers_that_fit(model, e.accelerator, n_sequences[e.domain])
        for e in empty
    }
    chosen: dict[TargetId, LayerRange] = {}
    for engine in sorted(empty, key=lambda e: (-sizes[e.target], e.target)):
        if not sizes[engine.target]:
            continue
        layers = coverage.choose_range(engine.domain, sizes[engine.target])
        coverage.add(engine.domain, layers)
        chosen[engine.target] = layers
    return chosen


class Move(msgspec.Struct, frozen=True):
    """An engine that should hold other layers than it does.

    :param engine: the engine.
    :param layers: layers that it should hold.
    """

    engine: Engine
    layers: LayerRange
