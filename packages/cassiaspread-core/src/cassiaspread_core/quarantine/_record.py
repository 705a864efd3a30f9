"""Record of one fingerprint: the losses attributed to it and when it was cleared."""

import hashlib
from collections.abc import Iterable
from enum import Enum
from typing import Annotated, NewType

import msgspec

from cassiaspread_core.base import (
    Count,
    ModelId,
    OrganisationId,
    PositiveCount,
    PromptPartId,
    ServiceId,
    TargetId,
)

# Common to all requests of one organisation with the same subject and body, or to all
# requests whose prompts have one part in common.
Fingerprint = NewType("Fingerprint", str)

DIGEST_BYTES = 16
# End of the year 9999; later times cannot be written as dates.
MAX_UNIX_TIME_S = 253_402_300_799.0

# Separates the incarnation of a lost target from the number of its unseen restarts.
RESTART_SEPARATOR = "."
PART_PERSON = b"prompt-part"
# Number of organisations that a loss names: two are enough to tell that the losses do
# not belong to one.
MAX_ORGANISATIONS = 2

# The latest losses of a record are kept; a sound part of many prompts collects them.
MAX_LOSSES = 32
MAX_COMPANIONS = 32

# Tokens that an engine may have produced but not yet delivered to the daemon.
MAX_UNDELIVERED_TOKENS = 4

# Number of losses that leads to quarantine: at the same point or at any points.
N_LOSSES_AT_ONE_POINT = 2
N_LOSSES_AT_ANY_POINT = 3


def fingerprint_of(
    organisation: OrganisationId, subject: ModelId | ServiceId, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request.

    It is a cryptographic hash, so that no organisation can construct a body with the
    fingerprint of another organisation's request.

    :param organisation: organisation that sends the request.
    :param subject: requested model or service.
    :param body: request body that the target receives.

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


def part_fingerprint(part: PromptPartId) -> Fingerprint:
    """Return the fingerprint of all requests whose prompts contain a part.

    :param part: name of the part.

    >>> part_fingerprint("5c1e") == fingerprint_of("", "", b"5c1e")
    False
    """
    digest = hashlib.blake2b(
        part.encode(), digest_size=DIGEST_BYTES, person=PART_PERSON
    )
    return Fingerprint(digest.hexdigest())


def call_content(method: str, path: str, body: bytes | memoryview) -> bytes:
    """Return what a target receives of a plain call, as one string of bytes.

    :param method: method of the call.
    :param path: path and query of the call.
    :param body: body of the call.
    """
    return b"\n".join((method.encode(), path.encode(), body))


_UnixTime = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_UNIX_TIME_S)]


class SuspectKind(Enum):
    """What the requests of a record have in common.

    REQUEST: organisation, subject and body.
    PROMPT_PART: one part of their prompts.
    """

    REQUEST = "request"
    PROMPT_PART = "prompt-part"


# Target and incarnation.
LossKey = tuple[TargetId, str]


class Loss(msgspec.Struct, frozen=True):
    """Loss of one incarnation of a target with a request in flight.

    :param target: the target.
    :param incarnation: the lost incarnation.
    :param position: tokens of the answer that had arrived; 0 for a plain service.
    :param at_s: time of the observation, in seconds since the epoch.
    :param refuted: whether the incarnation was observed alive afterwards.
    :param round: one more than the highest round among the losses of the fingerprint
        that were known when the lost run began.
    :param organisations: organisations whose requests it interrupted, the first
        ``MAX_ORGANISATIONS`` in alphabetical order; only for parts of prompts.
    :param is_proven: whether answers to requests of the fingerprint had gone on shortly
        before, as far as the observer knows; only for parts of prompts.
    """

    target: TargetId
    incarnation: str
    position: Count
    at_s: _UnixTime
    refuted: bool = False
    round: PositiveCount = 1
    organisations: Annotated[
        tuple[OrganisationId, ...], msgspec.Meta(max_length=MAX_ORGANISATIONS)
    ] = ()
    is_proven: bool = False

    @property
    def key(self) -> LossKey:
        """Identity of the loss, independent of the observer."""
        return self.target, self.incarnation

    @property
    def listed_key(self) -> LossKey:
        """Target and incarnation as in the list of targets.

        A target that was restarted unseen is lost again under the same incarnation.
        """
        return self.target, self.incarnation.partition(RESTART_SEPARATOR)[0]


class SuspectRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Losses attributed to one fingerprint; exchanged and merged by daemons.

    :param fingerprint: the fingerprint.
    :param organisation: organisation that sends the requests.
    :param subject: requested model or service.
    :param losses: lost targets, oldest first.
    :param cleared_s: time up to which losses no longer count, in seconds since the
        epoch: a request completed, or an operator released the fingerprint.
    :param kind: what the requests have in common.
    :param companions: other parts that were in all prompts that contained this one when
        a target was lost under them; only for parts of prompts.
    """

    fingerprint: Fingerprint
    organisation: OrganisationId
    subject: str
    losses: tuple[Loss, ...] = ()
    cleared_s: _UnixTime = 0.0
    kind: SuspectKind = SuspectKind.REQUEST
    companions: Annotated[
        tuple[Fingerprint, ...], msgspec.Meta(max_length=MAX_COMPANIONS)
    ] = ()

    @property
    def counted(self) -> tuple[Loss, ...]:
        """Losses that count against the fingerprint: neither refuted nor cleared."""
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
    def n_rounds(self) -> int:
        """Number of different rounds among the losses that count."""
        return len({loss.round for loss in self.counted})

    @property
    def is_proven(self) -> bool:
        """Whether answers had gone on shortly before a loss that counts."""
        return any(loss.is_proven for loss in self.counted)

    @property
    def organisations(self) -> frozenset[OrganisationId]:
        """Organisations whose requests were interrupted by the losses that count."""
        return frozenset(o for loss in self.counted for o in loss.organisations)

    @property
    def is_suspect(self) -> bool:
        """Whether any loss counts against the fingerprint."""
        return bool(self.counted)

    @property
    def is_quarantined(self) -> bool:
        """Whether there are enough losses to refuse the fingerprint.

        A request that crashes its targets does so at the same point of its answer
        each time. Losses at distant points are more likely to be coincidental, so one
        more is required.
        """
        counted = self.counted
        if len(counted) >= N_LOSSES_AT_ANY_POINT:
            return True
        positions = sorted(loss.position for loss in counted)
        return len(positions) >= N_LOSSES_AT_ONE_POINT and (
            positions[1] - positions[0] <= MAX_UNDELIVERED_TOKENS
        )


def is_expired(
    record: SuspectRecord, now_s: float, lifetime_s: float, cleared_lifetime_s: float
) -> bool:
    """Return whether a record is no longer kept.

    :param record: the record.
    :param now_s: current time, in seconds since the epoch.
    :param lifetime_s: age up to which a record is kept, in seconds.
    :param cleared_lifetime_s: the same for records without a loss that counts.
    """
    kept_s = lifetime_s if record.is_suspect else cleared_lifetime_s
    return record.last_s < now_s - kept_s


def merge_records(left: SuspectRecord, right: SuspectRecord) -> SuspectRecord:
    """Merge two records; associative, commutative and idempotent.

    :param left: a record.
    :param right: another record of the same fingerprint.
    """
    losses = {loss.key: loss for loss in left.losses}
    for loss in right.losses:
        current = losses.get(loss.key)
        losses[loss.key] = loss if current is None else _merge_losses(current, loss)
    ordered = sorted(losses.values(), key=lambda loss: (loss.at_s, loss.key))
    return msgspec.structs.replace(
        left,
        losses=tuple(ordered[-MAX_LOSSES:]),
        cleared_s=max(left.cleared_s, right.cleared_s),
        companions=tuple(sorted({*left.companions} & {*right.companions})),
    )


def _merge_losses(left: Loss, right: Loss) -> Loss:
    return Loss(
        left.target,
        left.incarnation,
        max(left.position, right.position),
        min(left.at_s, right.at_s),
        left.refuted or right.refuted,
        min(left.round, right.round),
        first_organisations((*left.organisations, *right.organisations)),
        left.is_proven or right.is_proven,
    )


def first_organisations(
    organisations: Iterable[OrganisationId],
) -> tuple[OrganisationId, ...]:
    """Return the organisations that a loss names.

    :param organisations: all organisations.

    >>> first_organisations(["osorno", "cautin", "cautin", "valdivia"])
    ('cautin', 'osorno')
    """
    return tuple(sorted(set(organisations))[:MAX_ORGANISATIONS])
