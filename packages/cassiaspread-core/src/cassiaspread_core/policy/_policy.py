"""The configuration in force, in the form used for decisions."""

import msgspec

from cassiaspread_core.base import ModelId, OrganisationId, ServiceId, TargetId
from cassiaspread_core.policy._model import (
    Limits,
    LimitsException,
    Model,
    Operator,
    Organisation,
    Service,
    TargetPolicy,
    hash_token,
)


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration in force.

    :param limits: the fleet-wide default limits.
    :param organisations: organisations of callers, by name.
    :param operators: operators of the fleet, by name.
    :param models: available models, by name.
    :param services: available plain services, by name.
    :param targets: operator settings of targets, by target.
    :param exceptions: exceptions from the default limits, by name.
    :param token_owners: organisation of each token hash; derived from
        ``organisations`` if omitted.
    """

    limits: Limits = Limits()
    organisations: dict[OrganisationId, Organisation] = {}
    operators: dict[str, Operator] = {}
    models: dict[ModelId, Model] = {}
    services: dict[ServiceId, Service] = {}
    targets: dict[TargetId, TargetPolicy] = {}
    exceptions: dict[str, LimitsException] = {}
    token_owners: dict[str, OrganisationId] = {}

    def __post_init__(self) -> None:
        if self.organisations and not self.token_owners:
            owners = {
                token: name
                for name, organisation in self.organisations.items()
                for token in organisation.token_sha256
            }
            msgspec.structs.force_setattr(self, "token_owners", owners)

    def limits_for(
        self,
        organisation: OrganisationId,
        model: ModelId | None = None,
        service: ServiceId | None = None,
        *,
        now_s: float,
    ) -> Limits:
        """Return the limits in force for a request.

        If several exceptions set the same field, the one with the most selectors
        applies; among equals, the one whose name sorts last.

        :param organisation: organisation of the caller.
        :param model: requested model, if any.
        :param service: requested service, if any.
        :param now_s: current time, in seconds since the epoch.

        >>> rush = LimitsException(
        ...     reason="fair", author="ana", limits={"max_tokens": 9}, expires_s=5
        ... )
        >>> policy = Policy(exceptions={"rush": rush})
        >>> [policy.limits_for("frigosur", now_s=s).max_tokens for s in (4, 5)]
        [9, 4096]
        """
        selected = sorted(
            (exception.n_selectors, name)
            for name, exception in self.exceptions.items()
            if exception.selects(organisation, model, service, now_s)
        )
        changes: dict[str, int | float] = {}
        for _, name in selected:
            changes |= self.exceptions[name].limits
        return msgspec.structs.replace(self.limits, **changes)

    def find_organisation(self, token: str) -> OrganisationId | None:
        """Return the organisation to which a bearer token belongs, if any.

        :param token: the secret token as received.
        """
        return self.token_owners.get(hash_token(token))

    def is_operator(self, token: str) -> bool:
        """Return whether a bearer token belongs to an operator.

        :param token: the secret token as received.
        """
        digest = hash_token(token)
        return any(digest in o.token_sha256 for o in self.operators.values())
