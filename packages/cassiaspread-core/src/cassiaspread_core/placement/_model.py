"""Sizes and speeds of pipelined models, and the engines that hold their layers."""

from collections.abc import Mapping
from typing import Annotated

import msgspec

from cassiaspread_core.base import Count, DomainId, ServiceId, TargetId

# Bounds on what is decoded, far above any model and engine: work and memory grow with
# the number of layers.
MAX_LAYERS = 65_536
MAX_SLOTS = 65_536

LayerNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYERS)]
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class Accelerator(msgspec.Struct, frozen=True):
    """A kind of accelerator.

    :param name: name of the kind.
    :param memory_mb: memory for layers and KV caches, in MB.
    :param step_factor: factor on the decoding times of the model.
    :param prefill_factor: factor on the prefill time of the model.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    prefill_factor: float = 1.0


class ModelSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Size and speed of a model whose layers are spread over engines.

    :param n_layers: number of layers of the model.
    :param layer_mb: weights of one layer, in MB.
    :param cache_mb_per_token: KV cache of one token over all layers, in MB.
    :param accelerators: kinds of accelerators by name.
    :param step_ms: time of a decoding step over all layers, in milliseconds.
    :param per_sequence_ms: additional time per step for each sequence, in milliseconds.
    :param context_ms_per_1k_tokens: additional time per step for 1,000 tokens of
        context, in milliseconds.
    :param prefill_tokens_per_ms: prompt tokens processed per millisecond, all layers.
    :param n_slots: requests that an engine runs at once as the first of a chain.
    :param steps_per_pass: decoding steps that an engine runs in one pass.
    :param usual_prompt: mean length of a prompt, in tokens.
    :param usual_answer: mean length of an answer, in tokens.
    :param load_s: time to load all layers, in seconds.
    :param activation_bytes: bytes passed between stages for each token.
    :param domain_link_mbps: bandwidth of the link shared by all transfers between two
        domains, in Mbit/s.
    :param domain_delay_ms: one-way delay between domains, in milliseconds.
    """

    n_layers: int
    layer_mb: float
    cache_mb_per_token: float
    accelerators: Mapping[str, Accelerator]
    step_ms: float = 1.0
    per_sequence_ms: float = 0.0
    context_ms_per_1k_tokens: float = 0.0
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
        """Size of the KV cache of one token in one layer, in MB."""
        return self.cache_mb_per_token / self.n_layers


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """Consecutive layers ``[begin, end)``.

    :param begin: first layer.
    :param end: one past the last layer.
    """

    begin: LayerNumber
    end: LayerNumber

    def __len__(self) -> int:
        return max(0, self.end - self.begin)


NO_LAYERS = LayerRange(0, 0)


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Last reported state of a target.

    :param target: identifier of the target.
    :param service: service of the target.
    :param address: ``host:port``.
    :param domain: failure domain of the target.
    :param is_leaving: whether it accepts no more new requests.
    :param incarnation: changes with each start of the target.
    :param accelerator: kind of accelerator; empty for plain services.
    :param layers: layers that the engine holds.
    :param is_loading: whether the engine is carrying out an order to load layers.
    :param n_slots: number of requests that the target runs at once.
    """

    target: TargetId
    service: ServiceId
    address: str
    domain: DomainId
    is_leaving: bool = False
    incarnation: Count = 0
    accelerator: str = ""
    layers: LayerRange = NO_LAYERS
    is_loading: bool = False
    n_slots: SlotCount = 1


def cache_capacity(engine: Engine, model: ModelSpec) -> float:
    """Return the size of the KV cache that fits besides an engine's layers.

    :param engine: the engine.
    :param model: the model.
    :returns: size in tokens times layers; 0 for an unknown kind of accelerator.
    """
    accelerator = model.accelerators.get(engine.accelerator)
    if accelerator is None:
        return 0.0
    free_mb = accelerator.memory_mb - len(engine.layers) * model.layer_mb
    return max(0.0, free_mb / model.cache_mb_per_token_layer)
