"""Records of a claims partition and their encoding."""

from typing import NamedTuple, NewType

import msgspec

from cassiaspread_core.base import (
    CassiaspreadError,
    IdempotencyKey,
    Incarnation,
    OrganisationId,
)

Fingerprint = NewType("Fingerprint", str)

# Answers up to this size are kept for later calls of the same key.
MAX_RECORDED_BODY_BYTES = 16_384


class ScopedKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """An idempotency key within the organisation that made it.

    :param organisation: whose key it is.
    :param key: the key as the caller sends it.
    """

    organisation: OrganisationId
    key: IdempotencyKey


class ClaimId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies one claim; never used again, also not by a retry.

    :param holder: incarnation of the daemon that claims.
    :param sequence: counts the claims of that incarnation.

    >>> str(ClaimId(Incarnation("i"), 3))
    'i/3'
    """

    holder: Incarnation
    sequence: int

    def __str__(self) -> str:
        return f"{self.holder}/{self.sequence}"


class CallResult(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a call that was sent.

    :param status: status of the target's answer, ``None`` if no answer came and
        the call may or may not have run.
    :param content_type: content type of the answer.
    :param body: body of the answer, ``None`` if it was too large to be kept.
    """

    status: int | None
    content_type: str = ""
    body: bytes | None = b""

    def trim(self) -> "CallResult":
        """Return what of the result is kept in a record."""
        if self.body is None or len(self.body) <= MAX_RECORDED_BODY_BYTES:
            return self
        return msgspec.structs.replace(self, body=None)


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Asks for the right to send the call of a key.

    :param key: the key.
    :param claim: identifies this claim.
    :param fingerprint: hash of the call.
    """

    key: ScopedKey
    claim: ClaimId
    fingerprint: Fingerprint


class AbandonRecord(msgspec.Struct, frozen=True, array_like=True, tag="abandon"):
    """States that a claim's call was not sent and never will be.

    :param key: the key.
    :param claim: the claim that is given up; it need not have been seen yet.
    """

    key: ScopedKey
    claim: ClaimId


class OutcomeRecord(msgspec.Struct, frozen=True, array_like=True, tag="outcome"):
    """States what came of a claim's call.

    :param key: the key.
    :param claim: the claim under which the call was sent.
    :param fingerprint: hash of the call.
    :param result: what is known of the call.
    """

    key: ScopedKey
    claim: ClaimId
    fingerprint: Fingerprint
    result: CallResult


Record = ClaimRecord | AbandonRecord | OutcomeRecord

_BATCH_DECODER = msgspec.msgpack.Decoder(tuple[msgspec.Raw, ...])
_RECORD_DECODER = msgspec.msgpack.Decoder(Record)


class DecodedBatch(NamedTuple):
    """What one record of the log carries.

    :param records: the records that are understood, in order.
    :param n_bad: how many are not, such as kinds of a later release.
    """

    records: tuple[Record, ...]
    n_bad: int


class BadBatch(CassiaspreadError):
    """Bytes in the log that are no batch of records."""


def encode_batch(records: tuple[Record, ...]) -> bytes:
    """Encode the records that go into one record of the log.

    :param records: the records, in order.
    """
    return msgspec.msgpack.encode(records)


def decode_batch(value: bytes) -> DecodedBatch:
    """Decode one record of the log.

    :param value: the record's bytes.
    :raises BadBatch: the bytes are no batch.

    >>> key = ScopedKey("savinja", "k")
    >>> batch = (AbandonRecord(key, ClaimId("i", 1)),)
    >>> decode_batch(encode_batch(batch)) == (batch, 0)
    True
    """
    try:
        parts = _BATCH_DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadBatch(str(error)) from None
    records = tuple(record for part in parts if (record := _decode_record(part)))
    return DecodedBatch(records, len(parts) - len(records))


def _decode_record(part: msgspec.Raw) -> Record | None:
    try:
        return _RECORD_DECODER.decode(part)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
