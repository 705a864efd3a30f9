"""What a pipelined model needs, and what its engines are."""

from collections.abc import Mapping

import msgspec

from cassiaspread_core.base import DomainId, ServiceId, TargetId


class Accelerator(msgspec.Struct, frozen=True):
    """A kind of accelerator.

    :param name: name of the kind.
    :param memory_mb: memory for layers and caches, in MB.
    :param step_factor: time of a decoding step relative to the model's figures.
    :param prefill_factor: time of prefill relative to the model's figures.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    prefill_factor: float = 1.0


class ModelSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Size and speed of a model whose layers are spread over engines.

    :param n_layers: layers of the model.
    :param layer_mb: weights of one layer, in MB.
    :param cache_mb_per_token: KV cache of one token over all layers, in MB.
    :param accelerators: kinds of accelerators by name.
    :param step_ms: decoding step over all layers, in milliseconds.
    :param per_sequence_ms: what each sequence adds to a step, in milliseconds.
    :param context_ms_per_k: what 1,000 tokens of context add to a step, in ms.
    :param prefill_tokens_per_ms: prompt tokens read in a millisecond, all layers.
    :param n_slots: requests that an engine takes at once as the first of a chain.
    :param steps_per_pass: decoding steps that an engine runs in one pass.
    :param usual_prompt: mean prompt, in tokens.
    :param usual_answer: mean answer, in tokens.
    :param load_s: time to load all layers, in seconds.
    :param activation_bytes: bytes passed between stages for each token.
    :param domain_link_mbps: link that all transfers between two domains share.
    :param domain_delay_ms: one-way delay between domains, in milliseconds.
    """

    n_layers: int
    layer_mb: float
    cache_mb_per_token: float
    accelerators: Mapping[str, Accelerator]
    step_ms: float = 1.0
    per_sequence_ms: float = 0.0
    context_ms_per_k: float = 0.0
    prefill_tokens_per_ms: float = 100.0
    n_slots: int = 64
    steps_per_pass: int = 1
    usual_prompt: int = 512
    usual_answer: int = 128
    load_s: float = 10.0
    activation_bytes: float = 0.0
    domain_link_mbps: float = 0.0
    domain_delay_ms: float = 1.0

    @property
    def cache_mb_per_token_layer(self) -> float:
        """KV cache of one token in one layer, in MB."""
        return self.cache_mb_per_token / self.n_layers


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """Consecutive layers ``[begin, end)``.

    :param begin: first layer.
    :param end: one past the last layer.
    """

    begin: int
    end: int

    def __len__(self) -> int:
        return max(0, self.end - self.begin)


NO_LAYERS = LayerRange(0, 0)


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """One target as it last described itself.

    :param target: its identifier.
    :param service: service that it belongs to.
    :param address: ``host:port``.
    :param domain: its failure domain.
    :param is_leaving: whether it takes no more new work.
    :param incarnation: identifies one start of it.
    :param accelerator: name of its kind of accelerator, empty for plain services.
    :param layers: layers that it holds.
    :param is_loading: whether an order is in progress.
    :param n_slots: requests that it runs at once.
    """

    target: TargetId
    service: ServiceId
    address: str
    domain: DomainId
    is_leaving: bool = False
    incarnation: int = 0
    accelerator: str = ""
    layers: LayerRange = NO_LAYERS
    is_loading: bool = False
    n_slots: int = 1


def cache_capacity(engine: Engine, model: ModelSpec) -> float:
    """Return the room for KV cache beside an engine's layers.

    :param engine: the engine.
    :param model: the model.
    :returns: tokens times layers; 0 for an unknown kind of accelerator.
    """
    accelerator = model.accelerators.get(engine.accelerator)
    if accelerator is None:
        return 0.0
    free_mb = accelerator.memory_mb - len(engine.layers) * model.layer_mb
    return max(0.0, free_mb / model.cache_mb_per_token_layer)
