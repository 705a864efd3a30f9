"""Records of a claims partition and their encoding."""

from typing import NamedTuple, NewType

import msgspec

from cassiaspread_core.base import (
    CassiaspreadError,
    IdempotencyKey,
    Incarnation,
    MalformedDocument,
    OrganisationId,
    decode_with,
)

Fingerprint = NewType("Fingerprint", str)

# Larger answers are not recorded for later calls with the same key.
MAX_RECORDED_BODY_BYTES = 16_384


class ScopedKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """An idempotency key, unique within its organisation.

    :param organisation: organisation that uses the key.
    :param key: the key as sent by the caller.
    """

    organisation: OrganisationId
    key: IdempotencyKey


class ClaimId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifier of one claim; never reused, not even for a retry.

    :param holder: incarnation of the claiming daemon.
    :param sequence: sequence number of the claim within that incarnation.

    >>> str(ClaimId(Incarnation("i"), 3))
    'i/3'
    """

    holder: Incarnation
    sequence: int

    def __str__(self) -> str:
        return f"{self.holder}/{self.sequence}"


class CallResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of a call that was sent.

    :param status: HTTP status of the target's answer, ``None`` if none was received,
        so that the call may or may not have run.
    :param content_type: content type of the answer.
    :param body: body of the answer, ``None`` if it was too large to record.
    :param headers: names and values of the other headers of an answer that has no
        body.
    """

    status: int | None
    content_type: str = ""
    body: bytes | None = b""
    headers: tuple[tuple[str, str], ...] = ()

    def without_large_body(self) -> "CallResult":
        """Return the result to record, without a body that is too large."""
        if self.body is None or len(self.body) <= MAX_RECORDED_BODY_BYTES:
            return self
        return msgspec.structs.replace(self, body=None)


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claims the exclusive right to send the call of a key.

    :param key: the key.
    :param claim: identifier of the claim.
    :param fingerprint: hash of the call.
    """

    key: ScopedKey
    claim: ClaimId
    fingerprint: Fingerprint


class AbandonRecord(msgspec.Struct, frozen=True, array_like=True, tag="abandon"):
    """Abandons a claim whose call was not sent and never will be.

    :param key: the key.
    :param claim: the abandoned claim; its record may not have been read yet.
    """

    key: ScopedKey
    claim: ClaimId


class OutcomeRecord(msgspec.Struct, frozen=True, array_like=True, tag="outcome"):
    """Records the result of a call.

    :param key: the key.
    :param claim: the claim under which the call was sent.
    :param fingerprint: hash of the call.
    :param result: result of the call.
    """

    key: ScopedKey
    claim: ClaimId
    fingerprint: Fingerprint
    result: CallResult


Record = ClaimRecord | AbandonRecord | OutcomeRecord

_BATCH_DECODER = msgspec.msgpack.Decoder(tuple[msgspec.Raw, ...])
_RECORD_DECODER = msgspec.msgpack.Decoder(Record)


class DecodedBatch(NamedTuple):
    """Contents of one record of the log.

    :param records: the decoded records, in order.
    :param n_skipped: number of records that could not be decoded, such as types of a
        later release.
    """

    records: tuple[Record, ...]
    n_skipped: int


class InvalidBatch(CassiaspreadError):
    """Bytes in the log that are not a batch of records."""


def encode_batch(records: tuple[Record, ...]) -> bytes:
    """Encode a batch of records as one record of the log.

    :param records: the records, in order.
    """
    return msgspec.msgpack.encode(records)


def decode_batch(value: bytes) -> DecodedBatch:
    """Decode one record of the log.

    :param value: bytes of the record.
    :raises InvalidBatch: the bytes are not a batch.

    >>> key = ScopedKey("savinja", "k")
    >>> batch = (AbandonRecord(key, ClaimId("i", 1)),)
    >>> decode_batch(encode_batch(batch)) == (batch, 0)
    True
    """
    try:
        encoded_records = decode_with(_BATCH_DECODER, value)
    except MalformedDocument as error:
        raise InvalidBatch(str(error)) from None
    records = tuple(
        record for encoded in encoded_records if (record := _decode_record(encoded))
    )
    return DecodedBatch(records, len(encoded_records) - len(records))


def _decode_record(encoded: msgspec.Raw) -> Record | None:
    try:
        return decode_with(_RECORD_DECODER, encoded)
    except MalformedDocument:
        return None
