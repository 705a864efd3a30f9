"""Layout of the layers of a model over engines.

Streams are short and spread over all failure domains, and single engines may be lost at
any time. Each domain first gets a complete copy of the model, so that chains stay
within it; the remaining memory holds further copies of the layers with the fewest.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.placement._model import Engine, LayerRange, ModelSpec

# Numbers of sequences of usual length for which a copy of the model reserves KV cache,
# tried in this order until each domain holds a complete copy.
CACHE_SEQUENCES = (60, 50, 40, 30, 20, 12, 6, 2)
# A domain whose copy would have KV cache for fewer sequences shares a copy with other
# domains instead: streams that cross domains are slower, but streams without KV cache
# are refused.
MIN_DOMAIN_SEQUENCES = 12


def max_layers(model: ModelSpec, accelerator: str, n_sequences: float) -> int:
    """Return the number of layers that an engine can hold besides its KV cache.

    :param model: the model.
    :param accelerator: name of the engine's kind of accelerator.
    :param n_sequences: sequences of usual length that the KV cache must hold.
    :returns: number of layers; 0 for an unknown kind.
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
    """Choose the largest KV cache with which each domain still holds a complete copy.

    A domain that can't hold a copy uses the size with which the whole fleet holds one.

    :param model: the model.
    :param engines: engines that can hold layers.
    :returns: KV cache size in sequences of usual length, by domain.
    """
    by_domain: dict[DomainId, list[Engine]] = {}
    for engine in engines:
        by_domain.setdefault(engine.domain, []).append(engine)
    shared = max_cache_sequences(model, engines)
    fallback = CACHE_SEQUENCES[-1] if shared is None else shared
    chosen: dict[DomainId, float] = {}
    for domain, own in by_domain.items():
        n_sequences = max_cache_sequences(model, own)
        is_enough = n_sequences is not None and n_sequences >= MIN_DOMAIN_SEQUENCES
        chosen[domain] = n_sequences if is_enough else fallback
    return chosen


def max_cache_sequences(model: ModelSpec, engines: Sequence[Engine]) -> float | None:
    """Return the largest KV cache with which engines together hold the model.

    :param model: the model.
    :param engines: the engines.
    :returns: size in sequences of usual length; ``None`` if they can't hold the model.
    """
    for n_sequences in CACHE_SEQUENCES:
        layer_counts = (max_layers(model, e.accelerator, n_sequences) for e in engines)
        if sum(layer_counts) >= model.n_layers:
            return n_sequences
    return None


class Coverage:
    """Number of engines that hold each layer, by domain and over the fleet.

    :param n_layers: number of layers of the model.
    """

    def __init__(self, n_layers: int) -> None:
        self._n_layers = n_layers
        self._by_domain: dict[DomainId, list[int]] = {}
        self.fleet = [0] * n_layers

    def domain(self, domain: DomainId) -> list[int]:
        """Return the number of copies of each layer in a domain.

        :param domain: the failure domain.
        """
        return self._by_domain.setdefault(domain, [0] * self._n_layers)

    def add(self, domain: DomainId, layers: LayerRange, n_copies: int = 1) -> None:
        """Add the layers of an engine.

        :param domain: the engine's failure domain.
        :param layers: layers that the engine holds.
        :param n_copies: number of copies to add; negative to remove copies.
        """
        counts = self.domain(domain)
        for layer in range(layers.begin, min(layers.end, self._n_layers)):
            counts[layer] += n_copies
            self.fleet[layer] += n_copies

    def choose_range(self, domain: DomainId, n_held: int) -> LayerRange:
        """Choose the range of layers that needs another copy most.

        :param domain: failure domain of the engine.
        :param n_held: number of layers that the engine can hold.
        """
        counts = self.domain(domain)
        starts = range(self._n_layers - n_held + 1)
        best = min(starts, key=lambda s: self._rank(counts, s, s + n_held))
        return LayerRange(best, best + n_held)

    def _rank(
        self, counts: list[int], begin: int, end: int
    ) -> tuple[float, float, int, int]:
        # A layer without any copy weighs most, a missing second copy far less.
        need = sum(_copy_need(n) for n in counts[begin:end])
        fleet_need = sum(_copy_need(n) for n in self.fleet[begin:end])
        overlap = counts[begin - 1] if begin else 0
        return (-need, -fleet_need, -overlap, begin)


def _copy_need(n_copies: int) -> float:
    return 100.0 ** -min(n_copies, 4)


def plan_layout(
    model: ModelSpec,
    engines: Iterable[Engine],
    held: Mapping[TargetId, LayerRange],
) -> dict[TargetId, LayerRange]:
    """Choose layers for engines that hold none.

    Engines with the most memory are placed first; smaller ones fill the gaps.

    :param model: the model.
    :param engines: live engines that may hold layers.
    :param held: layers that engines hold or are loading.
    :returns: layers of each engine that is assigned some.
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
        e.target: max_layers(model, e.accelerator, n_sequences[e.domain]) for e in empty
    }
    assigned: dict[TargetId, LayerRange] = {}
    for engine in sorted(empty, key=lambda e: (-sizes[e.target], e.target)):
        if not sizes[engine.target]:
            continue
        layers = coverage.choose_range(engine.domain, sizes[engine.target])
        coverage.add(engine.domain, layers)
        assigned[engine.target] = layers
    return assigned


class Move(msgspec.Struct, frozen=True):
    """New assignment of layers to an engine.

    :param engine: the engine.
    :param layers: layers that the engine should hold.
    """

    engine: Engine
    layers: LayerRange
