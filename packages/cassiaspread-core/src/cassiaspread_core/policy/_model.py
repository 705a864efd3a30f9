"""Types of the configuration entries."""

import hashlib
from typing import Annotated

import msgspec

from cassiaspread_core.base import (
    ModelId,
    OrganisationId,
    Seconds,
    ServiceId,
)
from cassiaspread_core.placement import MAX_LAYERS

# Bound on times, sizes, weights and ratios, far above what any of them can be.
MAX_AMOUNT = 10**15

Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0, le=MAX_AMOUNT)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=MAX_AMOUNT)]
Priority = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
TokenHash = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
Method = Annotated[str, msgspec.Meta(pattern="^[A-Z]+$")]
NonBlankText = Annotated[str, msgspec.Meta(pattern=r"\S", max_length=2000)]


def hash_token(token: str) -> str:
    """Hash a bearer token; only hashes are published.

    :param token: the secret token as sent in requests.
    :returns: SHA-256 as 64 hexadecimal digits.
    """
    return hashlib.sha256(token.encode()).hexdigest()


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits of requests: the fleet-wide default, which exceptions may change.

    :param request_timeout_ms: deadline of a request that sets none, in milliseconds.
    :param max_request_timeout_ms: longest deadline that a caller may set, in
        milliseconds.
    :param max_tokens: maximum number of tokens in one answer.
    :param max_body_bytes: maximum size of a request body, in bytes.
    :param engine_silence_ms: longest time without output after which a token stream
        is probed, in milliseconds; applies however slow its engines usually are.
    :param min_engine_silence_ms: shortest time without output after which a token
        stream is probed, in milliseconds; applies however fast its engines usually
        are.
    :param probe_timeout_ms: timeout for an engine to report the state of a request,
        in milliseconds.
    :param replan_timeout_ms: longest wait for engines that can replace lost stages,
        in milliseconds.
    :param connect_timeout_ms: timeout for opening a connection to a target, in
        milliseconds.
    :param n_attempts: maximum number of consecutive attempts of one request that
        yield no token.
    :param retry_ratio: number of retries allowed per successful request.
    :param claim_timeout_ms: longest wait for a claim to be read back from the log,
        in milliseconds.
    :param dedupe_window_s: age up to which an idempotency key is accepted, in
        seconds; must be shorter than the retention of the log.
    :param uses_claim_committers: whether one daemon per claims partition appends for
        all daemons.
    :param priority: priority at the engines; higher values are served first.
    :param slot_ratio: maximum number of requests in progress per slot of the layer of
        a model with the fewest slots; use a higher value if engines compute some
        sequences while others are in transit.
    :param quarantine_s: how long the loss of a target counts against a request, in
        seconds.
    """

    request_timeout_ms: PositiveInt = 30_000
    max_request_timeout_ms: PositiveInt = 600_000
    max_tokens: PositiveInt = 4096
    max_body_bytes: PositiveInt = 1_048_576
    engine_silence_ms: PositiveInt = 1_000
    min_engine_silence_ms: PositiveInt = 200
    probe_timeout_ms: PositiveInt = 300
    replan_timeout_ms: PositiveInt = 2_000
    connect_timeout_ms: PositiveInt = 1_000
    n_attempts: PositiveInt = 3
    retry_ratio: Ratio = 0.1
    claim_timeout_ms: PositiveInt = 2_000
    dedupe_window_s: PositiveInt = 86_400
    uses_claim_committers: bool = True
    priority: Priority = 0
    slot_ratio: PositiveFloat = 1.25
    quarantine_s: PositiveInt = 3_600


class Organisation(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An organisation of callers.

    :param token_sha256: SHA-256 hashes of the bearer tokens of its callers.
    :param weight: share of the capacity relative to other organisations.
    """

    token_sha256: tuple[TokenHash, ...]
    weight: PositiveFloat = 1.0


class Operator(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator of the fleet.

    :param token_sha256: SHA-256 hashes of the operator's bearer tokens for the
        operator API.
    """

    token_sha256: tuple[TokenHash, ...]


class Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model.

    :param n_layers: number of layers, all of which a plan must cover.
    """

    n_layers: Annotated[int, msgspec.Meta(ge=1, le=MAX_LAYERS)]


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plain service.

    :param idempotent_methods: HTTP methods whose calls may be repeated; a call with any
        other method runs at most once and needs an idempotency key.
    """

    idempotent_methods: tuple[Method, ...] = ("GET", "HEAD", "OPTIONS")


class TargetPolicy(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Operator settings of a target.

    :param checks_fencing: whether the target rejects orders with an outdated fencing
        token.
    """

    checks_fencing: bool = False


class LimitsException(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An exception from the fleet-wide limits for the selected requests.

    :param reason: reason for the exception; kept with it, even after its removal.
    :param author: person responsible for the exception.
    :param limits: fields of :class:`Limits` that it overrides.
    :param organisation: selects requests of this organisation only.
    :param model: selects requests for this model only.
    :param service: selects requests for this service only.
    :param expires_s: time at which the exception ends, if any; stored in seconds since
        the epoch.
    """

    reason: NonBlankText
    author: NonBlankText
    limits: Annotated[dict[str, int | float], msgspec.Meta(min_length=1)]
    organisation: OrganisationId | None = None
    model: ModelId | None = None
    service: ServiceId | None = None
    expires_s: Seconds | None = None

    @property
    def n_selectors(self) -> int:
        """Number of request properties by which it selects."""
        selectors = (self.organisation, self.model, self.service)
        return sum(selector is not None for selector in selectors)

    def selects(
        self,
        organisation: OrganisationId,
        model: ModelId | None,
        service: ServiceId | None,
        now_s: float,
    ) -> bool:
        """Return whether it applies to a request.

        :param organisation: organisation of the caller.
        :param model: requested model, if any.
        :param service: requested service, if any.
        :param now_s: current time, in seconds since the epoch.
        """
        return (
            self.organisation in (None, organisation)
            and self.model in (None, model)
            and self.service in (None, service)
            and (self.expires_s is None or now_s < self.expires_s)
        )
