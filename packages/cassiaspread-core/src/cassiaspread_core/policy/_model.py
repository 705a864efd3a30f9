"""Entries of the configuration."""

import hashlib
from typing import Annotated

import msgspec

from cassiaspread_core.base import ModelId, OrganisationId, ServiceId

Positive = Annotated[int, msgspec.Meta(ge=1)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Weight = Annotated[float, msgspec.Meta(gt=0)]
TokenHash = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
Method = Annotated[str, msgspec.Meta(pattern="^[A-Z]+$")]
Text = Annotated[str, msgspec.Meta(pattern=r"\S", max_length=2000)]


def hash_token(token: str) -> str:
    """Hash a bearer token; only hashes are published.

    :param token: the secret as its holder sends it.
    :returns: SHA-256 as 64 hexadecimal digits.
    """
    return hashlib.sha256(token.encode()).hexdigest()


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits that hold for a request; the default and its exceptions set them.

    :param request_timeout_ms: deadline of a request that names none.
    :param max_request_timeout_ms: longest deadline that a caller may ask for.
    :param max_tokens: most tokens of one answer.
    :param max_body_bytes: largest request body.
    :param engine_silence_ms: longest silence of a token stream before it is probed,
        however slow its engines usually are.
    :param min_engine_silence_ms: silence that is not probed, however fast they are.
    :param probe_timeout_ms: longest wait for an engine's state of a request.
    :param replan_timeout_ms: longest wait for engines that replace lost stages.
    :param connect_timeout_ms: longest time to open a connection to a target.
    :param n_attempts: attempts of one request in a row that may bring no token.
    :param retry_ratio: retries allowed per request that succeeded.
    :param claim_timeout_ms: longest wait for a claim to be seen in the log.
    :param dedupe_window_s: age up to which an idempotency key is accepted;
        shorter than the retention of the log.
    :param uses_claim_committers: whether one daemon for each claims partition
        appends for the others.
    :param priority: engine priority, higher goes first.
    :param slot_ratio: requests in progress per slot of a model's scarcest layer;
        higher where engines work on some sequences while others are on their way.
    :param quarantine_s: how long the loss of a target counts against a request.
    """

    request_timeout_ms: Positive = 30_000
    max_request_timeout_ms: Positive = 600_000
    max_tokens: Positive = 4096
    max_body_bytes: Positive = 1_048_576
    engine_silence_ms: Positive = 1_000
    min_engine_silence_ms: Positive = 200
    probe_timeout_ms: Positive = 300
    replan_timeout_ms: Positive = 2_000
    connect_timeout_ms: Positive = 1_000
    n_attempts: Positive = 3
    retry_ratio: Ratio = 0.1
    claim_timeout_ms: Positive = 2_000
    dedupe_window_s: Positive = 86_400
    uses_claim_committers: bool = True
    priority: int = 0
    slot_ratio: Weight = 1.25
    quarantine_s: Positive = 3_600


class Organisation(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One organisation of callers.

    :param token_sha256: hashes of the bearer tokens that it may use.
    :param weight: its share of capacity relative to other organisations.
    """

    token_sha256: tuple[TokenHash, ...]
    weight: Weight = 1.0


class Operator(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One operator of the fleet.

    :param token_sha256: hashes of the bearer tokens for the operators' interface.
    """

    token_sha256: tuple[TokenHash, ...]


class Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One model.

    :param n_layers: layers that a plan has to cover.
    """

    n_layers: Positive


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One plain service.

    :param idempotent_methods: methods whose calls may be repeated; every other
        method runs at most once and needs an idempotency key.
    """

    idempotent_methods: tuple[Method, ...] = ("GET", "HEAD", "OPTIONS")


class TargetPolicy(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What operators say of one target.

    :param checks_fencing: whether it refuses an order with an old fencing number.
    """

    checks_fencing: bool = False


class LimitsException(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One exception from the fleet-wide limits, for the requests that it selects.

    :param reason: why it exists; stays attached to it.
    :param author: who answers for it.
    :param limits: fields of :class:`Limits` that differ.
    :param organisation: only requests of this organisation.
    :param model: only requests for this model.
    :param service: only requests for this service.
    :param expires_s: end of its force, in seconds since the epoch, if any.
    """

    reason: Text
    author: Text
    limits: Annotated[dict[str, int | float], msgspec.Meta(min_length=1)]
    organisation: OrganisationId | None = None
    model: ModelId | None = None
    service: ServiceId | None = None
    expires_s: float | None = None

    @property
    def n_selectors(self) -> int:
        """How many properties of a request it names."""
        selectors = (self.organisation, self.model, self.service)
        return sum(selector is not None for selector in selectors)

    def selects(
        self,
        organisation: OrganisationId,
        model: ModelId | None,
        service: ServiceId | None,
        now_s: float,
    ) -> bool:
        """Tell whether it holds for a request.

        :param organisation: who asks.
        :param model: model asked for, if any.
        :param service: service asked for, if any.
        :param now_s: present time in seconds since the epoch.
        """
        return (
            self.organisation in (None, organisation)
            and self.model in (None, model)
            and self.service in (None, service)
            and (self.expires_s is None or now_s < self.expires_s)
        )
