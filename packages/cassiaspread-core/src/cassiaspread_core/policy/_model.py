"""Typed configuration."""

import hashlib

import msgspec

from cassiaspread_core.base import ModelId, OrganisationId, ServiceId, TargetId


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
    :param engine_silence_ms: longest silence of a token stream before it is probed.
    :param connect_timeout_ms: longest time to open a connection to a target.
    :param n_attempts: attempts of one request on engines.
    :param retry_ratio: retries allowed per request that succeeded.
    :param claim_timeout_ms: longest wait for a claim to be seen in the log.
    :param dedupe_window_s: age up to which an idempotency key is accepted;
        shorter than the retention of the log.
    :param uses_claim_committers: whether one daemon for each claims partition
        appends for the others.
    :param priority: engine priority, higher goes first.
    """

    request_timeout_ms: int = 30_000
    max_request_timeout_ms: int = 600_000
    max_tokens: int = 4096
    max_body_bytes: int = 1_048_576
    engine_silence_ms: int = 1_000
    connect_timeout_ms: int = 1_000
    n_attempts: int = 3
    retry_ratio: float = 0.1
    claim_timeout_ms: int = 2_000
    dedupe_window_s: int = 86_400
    uses_claim_committers: bool = True
    priority: int = 0


class Organisation(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One organisation of callers.

    :param token_sha256: hashes of the bearer tokens that it may use.
    :param weight: its share of capacity relative to other organisations.
    """

    token_sha256: tuple[str, ...]
    weight: float = 1.0


class Operator(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One operator of the fleet.

    :param token_sha256: hashes of the bearer tokens for the operators' interface.
    """

    token_sha256: tuple[str, ...]


class Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One model.

    :param n_layers: layers that a plan has to cover.
    """

    n_layers: int


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One plain service.

    :param idempotent_methods: methods whose calls may be repeated; every other
        method runs at most once and needs an idempotency key.
    """

    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")


class TargetPolicy(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What operators say of one target.

    :param checks_fencing: whether it refuses an order with an old fencing number.
    """

    checks_fencing: bool = False


class Policy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The configuration in force.

    :param limits: the fleet-wide default.
    :param organisations: organisations of callers.
    :param operators: operators of the fleet.
    :param models: models that may be asked for.
    :param services: plain services that may be asked for.
    :param targets: what operators say of single targets.
    """

    limits: Limits = Limits()
    organisations: dict[OrganisationId, Organisation] = {}
    operators: dict[str, Operator] = {}
    models: dict[ModelId, Model] = {}
    services: dict[ServiceId, Service] = {}
    targets: dict[TargetId, TargetPolicy] = {}

    def limits_for(
        self,
        organisation: OrganisationId,
        model: ModelId | None = None,
        service: ServiceId | None = None,
    ) -> Limits:
        """Return the limits in force for a request.

        :param organisation: who asks.
        :param model: model asked for, if any.
        :param service: service asked for, if any.
        """
        return self.limits

    def organisation_of(self, token: str) -> OrganisationId | None:
        """Find whose bearer token this is.

        :param token: the secret as the caller sent it.
        """
        digest = hash_token(token)
        for organisation_id, organisation in self.organisations.items():
            if digest in organisation.token_sha256:
                return organisation_id
        return None

    def is_operator(self, token: str) -> bool:
        """Tell whether a bearer token belongs to an operator.

        :param token: the secret as it was sent.
        """
        digest = hash_token(token)
        return any(digest in o.token_sha256 for o in self.operators.values())
