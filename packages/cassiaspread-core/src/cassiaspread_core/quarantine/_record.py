"""What is known of one fingerprint: the targets lost under it, and whether cleared."""

import hashlib
from typing import NewType

import msgspec

from cassiaspread_core.base import ModelId, OrganisationId, ServiceId, TargetId

# Identifies all requests of one organisation with the same subject and body.
Fingerprint = NewType("Fingerprint", str)

DIGEST_BYTES = 16

# Tokens that an engine may have produced without their reaching the daemon.
MAX_UNSEEN_TOKENS = 4

# Losses that suffice for a verdict: at the same point, or at any points.
N_LOSSES_AT_ONE_POINT = 2
N_LOSSES_AT_ANY_POINT = 3


def fingerprint_of(
    organisation: OrganisationId, subject: ModelId | ServiceId, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request.

    A cryptographic hash, so that no organisation can make up a body whose
    fingerprint is that of another organisation's request.

    :param organisation: who asks.
    :param subject: model or service asked for.
    :param body: what the target gets.

    >>> len(fingerprint_of("osorno", "draft", b"loin"))
    32
    >>> fingerprint_of("a", "bc", b"") == fingerprint_of("ab", "c", b"")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (organisation.encode(), subject.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


class Loss(msgspec.Struct, frozen=True):
    """One start of a target that died while a request was in flight on it.

    :param target: the target.
    :param incarnation: the start of the target that died.
    :param position: tokens of the answer that had arrived; 0 for a plain service.
    :param at_s: when it was observed, in seconds since the epoch.
    :param refuted: whether that start of the target was seen alive afterwards.
    """

    target: TargetId
    incarnation: str
    position: int
    at_s: float
    refuted: bool = False

    @property
    def key(self) -> tuple[TargetId, str]:
        """Identifies the loss, whoever observed it."""
        return self.target, self.incarnation


class SuspectRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Losses under one fingerprint; daemons exchange and merge records.

    :param fingerprint: the fingerprint.
    :param organisation: whose request it is.
    :param subject: model or service asked for.
    :param losses: targets lost, oldest first.
    :param cleared_s: losses up to this time count no more, in seconds since the
        epoch: a request completed, or an operator released the fingerprint.
    """

    fingerprint: Fingerprint
    organisation: OrganisationId
    subject: str
    losses: tuple[Loss, ...] = ()
    cleared_s: float = 0.0

    @property
    def counted(self) -> tuple[Loss, ...]:
        """The losses that speak against the fingerprint."""
        return tuple(
            loss
            for loss in self.losses
            if not loss.refuted and loss.at_s > self.cleared_s
        )

    @property
    def last_s(self) -> float:
        """Time of the latest change, in seconds since the epoch."""
        return max([self.cleared_s, *(loss.at_s for loss in self.losses)])

    @property
    def is_suspect(self) -> bool:
        """Whether a target was lost under the fingerprint."""
        return bool(self.counted)

    @property
    def is_quarantined(self) -> bool:
        """Whether the losses suffice for a verdict.

        A request that crashes its targets does so at the same point of its answer
        each time. Losses far apart are more likely a coincidence, and need one more.
        """
        counted = self.counted
        if len(counted) >= N_LOSSES_AT_ANY_POINT:
            return True
        positions = sorted(loss.position for loss in counted)
        return len(positions) >= N_LOSSES_AT_ONE_POINT and (
            positions[1] - positions[0] <= MAX_UNSEEN_TOKENS
        )


def merge_records(left: SuspectRecord, right: SuspectRecord) -> SuspectRecord:
    """Join what two daemons know; associative, commutative and idempotent.

    :param left: a record.
    :param right: another record of the same fingerprint.
    """
    losses = {loss.key: loss for loss in left.losses}
    for loss in right.losses:
        known = losses.get(loss.key)
        losses[loss.key] = loss if known is None else _merge_losses(known, loss)
    return msgspec.structs.replace(
        left,
        losses=tuple(sorted(losses.values(), key=lambda loss: (loss.at_s, loss.key))),
        cleared_s=max(left.cleared_s, right.cleared_s),
    )


def _merge_losses(left: Loss, right: Loss) -> Loss:
    return Loss(
        left.target,
        left.incarnation,
        max(left.position, right.position),
        min(left.at_s, right.at_s),
        left.refuted or right.refuted,
    )
