"""Selection of the chain of engines that runs each layer of a model once, in order.

Streams share engines with many others, on accelerators whose speeds differ by an order
of magnitude. Engines without enough free KV cache are excluded first, since an engine
that runs out of cache preempts running streams; of the remaining chains, the one with
the lowest predicted time is chosen.
"""

import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.chains._load import StageLoad
from cassiaspread_core.placement import Engine, LayerRange, ModelSpec, cache_capacity

# Transfer time between two engines of one failure domain, in milliseconds.
LOCAL_HOP_MS = 0.1
# A crossing between domains costs as much as this many transfers of the request's
# activations: all chains that cross share the link, which saturates before the engines.
LINK_WEIGHT = 40.0
# Fraction of an engine's KV cache that may be reserved for requests.
# Answers shorter than announced leave the rest.
USABLE_CACHE_RATIO = 0.9
# Predicted time of an engine grows by up to this multiple of itself as its KV cache
# fills up.
FULL_CACHE_PENALTY = 3.0
MILLISECONDS_PER_SECOND = 1000.0
BITS_PER_BYTE = 8


class Stage(msgspec.Struct, frozen=True):
    """One engine of a chain and the layers that it runs.

    :param engine: the engine.
    :param layers: layers run there.
    """

    engine: Engine
    layers: LayerRange


Chain = tuple[Stage, ...]


class RequestDemand(msgspec.Struct, frozen=True):
    """What the choice of a chain depends on: the resources that each stage needs.

    :param prompt_tokens: prompt length in tokens.
    :param answer_tokens: expected answer length in tokens.
    :param domain: failure domain of the daemon that relays the answer.
    :param may_repeat: whether it may be sent again if its target fails.
    """

    prompt_tokens: int
    answer_tokens: int
    domain: DomainId
    may_repeat: bool = False

    @property
    def tokens(self) -> int:
        """KV cache needed per layer when the answer is complete, in tokens."""
        return self.prompt_tokens + self.answer_tokens


def stage_load(stage: Stage, demand: RequestDemand, is_head: bool) -> StageLoad:
    """Return the load that a request adds to the engine of a stage.

    :param stage: the stage.
    :param demand: the request.
    :param is_head: whether the stage is the first of the chain.
    """
    return StageLoad(
        n_sequences=1,
        token_layers=float(demand.tokens * len(stage.layers)),
        n_heads=int(is_head),
    )


# An engine that has free capacity, and its time per layer in milliseconds.
_Candidate = tuple[Engine, float]


class _Path(NamedTuple):
    cost_ms: float
    engine: Engine
    previous: "_Path | None"
    layers: LayerRange


def choose_chain(
    model: ModelSpec,
    engines: Iterable[Engine],
    demand: RequestDemand,
    load_of: Callable[[Engine], StageLoad],
    slowness_of: Callable[[Engine], float] = lambda engine: 1.0,
    n_unreported: float = 0.0,
    is_link_open: Callable[[DomainId, DomainId], bool] = lambda a, b: True,
) -> Chain | None:
    """Return the chain with the lowest predicted time.

    :param model: the model.
    :param engines: engines that may be used.
    :param demand: the request.
    :param load_of: returns the work in progress on an engine.
    :param slowness_of: returns the measured time of an engine relative to the usual
        time of its kind of accelerator.
    :param n_unreported: requests of the same size that each engine may have in
        addition to its reported load.
    :param is_link_open: returns whether a chain may cross between two domains.
    :returns: the chain, or ``None`` when no chain has enough free capacity.
    """
    usable = [e for e in engines if e.layers]
    bounds = sorted(
        {0, model.n_layers}
        | {bound for e in usable for bound in (e.layers.begin, e.layers.end)}
    )
    sections = [
        LayerRange(begin, end)
        for begin, end in itertools.pairwise(bounds)
        if end <= model.n_layers
    ]
    index_by_bound = {bound: index for index, bound in enumerate(bounds)}
    candidates: list[list[_Candidate]] = [[] for _ in sections]
    for engine in usable:
        layer_ms = _layer_cost_ms(
            model, engine, demand, load_of(engine), slowness_of(engine), n_unreported
        )
        if layer_ms == float("inf"):
            continue
        candidate = engine, layer_ms
        first = index_by_bound[engine.layers.begin]
        for covering in candidates[first : index_by_bound[engine.layers.end]]:
            covering.append(candidate)
    if not sections or not all(candidates):
        return None
    # The daemon and the first engine exchange only the text of prompt and answer.
    remote_head_ms = model.domain_delay_ms * demand.answer_tokens / model.steps_per_pass
    paths = _start_paths(sections[0], candidates[0], demand.domain, remote_head_ms)
    local_ms = _hop_ms(demand, True, 0.0)
    crossing_ms = _hop_ms(demand, False, _domain_link_ms(model, demand))
    for layers, covering in zip(sections[1:], candidates[1:], strict=True):
        paths = _extend_paths(
            paths, layers, covering, local_ms, crossing_ms, is_link_open
        )
        if not paths:
            return None
    return _build_chain(min(paths, key=lambda path: path.cost_ms))


def _start_paths(
    layers: LayerRange,
    candidates: Sequence[_Candidate],
    domain: DomainId,
    remote_head_ms: float,
) -> list[_Path]:
    n_layers = len(layers)
    return [
        _Path(
            (0.0 if engine.domain == domain else remote_head_ms) + layer_ms * n_layers,
            engine,
            None,
            layers,
        )
        for engine, layer_ms in candidates
    ]


def _extend_paths(
    paths: Sequence[_Path],
    layers: LayerRange,
    candidates: Sequence[_Candidate],
    local_ms: float,
    crossing_ms: float,
    is_link_open: Callable[[DomainId, DomainId], bool],
) -> list[_Path]:
    """Return the cheapest path to each engine that runs the next layers.

    :param paths: cheapest path to each engine that runs the layers before.
    :param layers: the next layers.
    :param candidates: engines that hold them, and their time per layer.
    :param local_ms: time of a transfer within a domain, in milliseconds.
    :param crossing_ms: time of a transfer between domains, in milliseconds.
    :param is_link_open: returns whether a chain may cross between two domains.
    """
    by_engine: dict[TargetId, _Path] = {}
    by_domain: dict[DomainId, _Path] = {}
    for path in paths:
        engine = path.engine
        by_engine[engine.target] = path
        best = by_domain.get(engine.domain)
        if best is None or path.cost_ms < best.cost_ms:
            by_domain[engine.domain] = path
    # An engine that stays on its own path saves the transfer, so that it is no matter
    # whether its own path is the best of its domain.
    arrivals = {
        engine_domain: _cheapest_arrival(
            by_domain, engine_domain, local_ms, crossing_ms, is_link_open
        )
        for engine_domain in {engine.domain for engine, _ in candidates}
    }
    n_layers = len(layers)
    extended = []
    for engine, layer_ms in candidates:
        cost_ms, previous = arrivals[engine.domain]
        own = by_engine.get(engine.target)
        if own is not None and own.cost_ms <= cost_ms:
            cost_ms, previous = own.cost_ms, own
        if previous is None:
            continue
        extended.append(_Path(cost_ms + layer_ms * n_layers, engine, previous, layers))
    return extended


def _cheapest_arrival(
    by_domain: Mapping[DomainId, _Path],
    domain: DomainId,
    local_ms: float,
    crossing_ms: float,
    is_link_open: Callable[[DomainId, DomainId], bool],
) -> tuple[float, _Path | None]:
    return min(
        (
            (path.cost_ms + (local_ms if other == domain else crossing_ms), path)
            for other, path in by_domain.items()
            if other == domain or is_link_open(other, domain)
        ),
        key=lambda choice: choice[0],
        default=(float("inf"), None),
    )


def _hop_ms(demand: RequestDemand, is_local: bool, link_ms: float) -> float:
    local_ms = LOCAL_HOP_MS * demand.answer_tokens
    return local_ms if is_local else local_ms + link_ms


def _domain_link_ms(model: ModelSpec, demand: RequestDemand) -> float:
    # Each answer token is sent separately; the activations of the prompt are sent in
    # one long transfer.
    transfer_ms = 0.0
    if model.domain_link_mbps:
        bits = demand.tokens * model.activation_bytes * BITS_PER_BYTE
        transfer_ms = bits / (model.domain_link_mbps * MILLISECONDS_PER_SECOND)
    return model.domain_delay_ms * demand.answer_tokens + LINK_WEIGHT * transfer_ms


def _layer_cost_ms(
    model: ModelSpec,
    engine: Engine,
    demand: RequestDemand,
    load: StageLoad,
    slowness: float,
    n_unreported: float,
) -> float:
    kind = model.accelerators.get(engine.accelerator)
    if kind is None:
        return float("inf")
    capacity = USABLE_CACHE_RATIO * cache_capacity(engine, model)
    needed = load.token_layers + (1 + n_unreported) * demand.tokens * len(engine.layers)
    if needed > capacity and load.n_sequences:
        return float("inf")
    if load.n_heads >= engine.n_slots:
        return float("inf")
    fill = min(1.0, needed / capacity) if capacity else 1.0
    n_sequences = load.n_sequences + 1
    context_k = n_sequences * (demand.prompt_tokens + demand.answer_tokens / 2) / 1000
    step_ms = (
        model.step_ms
        + n_sequences * model.per_sequence_ms
        + context_k * model.context_ms_per_1k_tokens
    ) * kind.step_factor
    prefill_ms = (
        demand.prompt_tokens / model.prefill_tokens_per_ms * kind.prefill_factor
    )
    total_ms = demand.answer_tokens * step_ms + prefill_ms * n_sequences**0.5
    penalty = 1.0 + FULL_CACHE_PENALTY * fill**4
    return total_ms * slowness * penalty / model.n_layers


def _build_chain(path: _Path | None) -> Chain:
    stages: list[Stage] = []
    while path is not None:
        if stages and stages[-1].engine is path.engine:
            last = stages[-1].layers
            stages[-1] = Stage(path.engine, LayerRange(path.layers.begin, last.end))
        else:
            stages.append(Stage(path.engine, path.layers))
        path = path.previous
    return _merge_repeated_engines(tuple(reversed(stages)))


def _merge_repeated_engines(chain: Chain) -> Chain:
    # An engine that occurs twice also holds the layers in between.
    for first, stage in enumerate(chain):
        for last in range(len(chain) - 1, first, -1):
            if chain[last].engine is stage.engine:
                layers = LayerRange(stage.layers.begin, chain[last].layers.end)
                merged = Stage(stage.engine, layers)
                return _merge_repeated_engines(
                    (*chain[:first], merged, *chain[last + 1 :])
                )
    return chain
