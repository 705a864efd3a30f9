"""Format, age, partition and fingerprint of idempotency keys.

A key created by a caller is a UUIDv7 (RFC 9562). A ticket is a key created by a
daemon: ``<incarnation>.<UUIDv7>``. Both contain their creation time.
"""

from enum import Enum
from uuid import UUID

import msgspec
import xxhash

from cassiaspread_core.base import (
    CassiaspreadError,
    IdempotencyKey,
    Incarnation,
    OrganisationId,
    ServiceId,
)
from cassiaspread_core.claims._record import Fingerprint, ScopedKey

# One append per partition every 25 ms limits the fleet to 320 appends per second.
N_PARTITIONS = 8

# Largest tolerated difference between the clocks of any two of caller, daemon and log.
MAX_CLOCK_SKEW_S = 60.0

TICKET_SEPARATOR = "."
MILLISECONDS_PER_SECOND = 1000
UUID_TIME_SHIFT_BITS = 80
UUID_VERSION = 7


class InvalidKey(CassiaspreadError):
    """An idempotency key that is neither a UUIDv7 nor a ticket."""


class KeyAge(Enum):
    """Age of a key relative to the clock skew and the deduplication window."""

    FUTURE = "future"
    VALID = "valid"
    EXPIRED = "expired"


def _parse_uuid(text: str) -> UUID:
    try:
        parsed = UUID(text)
    except ValueError:
        raise InvalidKey(f"{text!r} is no UUID") from None
    if parsed.version != UUID_VERSION or str(parsed) != text:
        raise InvalidKey(f"{text!r} is no UUIDv7 in its usual lower-case form")
    return parsed


def check_key(text: str) -> IdempotencyKey:
    """Check the format of a key.

    :param text: the key as received.
    :raises InvalidKey: it is neither a UUIDv7 nor a ticket.

    >>> check_key("01a23e07-47d4-7b3f-8055-4254dc1ba464")
    '01a23e07-47d4-7b3f-8055-4254dc1ba464'
    >>> check_key("slot-1")
    Traceback (most recent call last):
    ...
    cassiaspread_core.claims._key.InvalidKey: 'slot-1' is no UUID
    """
    for part in text.split(TICKET_SEPARATOR, maxsplit=1):
        _parse_uuid(part)
    return IdempotencyKey(text)


def is_valid_key(key: IdempotencyKey) -> bool:
    """Return whether a key from the log has a valid format and thus a creation time.

    :param key: the unchecked key.

    >>> is_valid_key(IdempotencyKey("slot-1"))
    False
    """
    try:
        check_key(key)
    except InvalidKey:
        return False
    return True


def key_created_s(key: IdempotencyKey) -> float:
    """Return the creation time of a key, in seconds since the epoch.

    :param key: a checked key.

    >>> key_created_s(IdempotencyKey("01a23e07-47d4-7b3f-8055-4254dc1ba464"))
    1796336994.26
    """
    uuid_text = key.rpartition(TICKET_SEPARATOR)[2]
    return (UUID(uuid_text).int >> UUID_TIME_SHIFT_BITS) / MILLISECONDS_PER_SECOND


def classify_age(key: IdempotencyKey, now_s: float, dedupe_window_s: float) -> KeyAge:
    """Classify a key by its age; only calls with a valid key are accepted.

    :param key: a checked key.
    :param now_s: current time, in seconds since the epoch.
    :param dedupe_window_s: age up to which keys are accepted, in seconds.
    """
    age_s = now_s - key_created_s(key)
    if age_s < -MAX_CLOCK_SKEW_S:
        return KeyAge.FUTURE
    return KeyAge.EXPIRED if age_s > dedupe_window_s else KeyAge.VALID


def create_ticket_key(incarnation: Incarnation, unique: UUID) -> IdempotencyKey:
    """Create a key whose call only one incarnation of a daemon may run.

    :param incarnation: incarnation of the daemon.
    :param unique: a new UUIDv7.
    """
    return IdempotencyKey(f"{incarnation}{TICKET_SEPARATOR}{unique}")


def ticket_incarnation(key: IdempotencyKey) -> Incarnation | None:
    """Return the only incarnation that may run a ticket, ``None`` for other keys.

    :param key: a checked key.
    """
    incarnation, separator, _ = key.partition(TICKET_SEPARATOR)
    return Incarnation(incarnation) if separator else None


def compute_partition(key: ScopedKey) -> int:
    """Return the partition whose record order determines the holder of a key.

    :param key: the key.
    """
    text = f"{key.organisation}\n{key.key}".encode()
    return xxhash.xxh3_64_intdigest(text) % N_PARTITIONS


def compute_fingerprint(
    organisation: OrganisationId,
    service: ServiceId,
    method: str,
    path: str,
    body: bytes,
) -> Fingerprint:
    """Hash the contents of a call, to detect a key that is used for two calls.

    :param organisation: organisation of the caller.
    :param service: the called service.
    :param method: HTTP method.
    :param path: path and query string at the service.
    :param body: body of the call.
    """
    call = msgspec.msgpack.encode((organisation, service, method, path, body))
    return Fingerprint(xxhash.xxh3_128_hexdigest(call))
