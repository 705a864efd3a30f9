"""Envelope of every message between daemons."""

from typing import Any, NewType

import msgspec
import xxhash

from cassiaspread_core.base import (
    DomainId,
    Incarnation,
    VmId,
    decode_with,
    parse_address,
)

# Replaces the full sender in messages to a receiver that has it.
ShortId = NewType("ShortId", int)


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """Sender of a message.

    :param vm: VM of the sender.
    :param domain: its failure domain.
    :param incarnation: identifier of the current start of its daemon.
    :param address: ``host:port`` where it receives messages.
    :param is_leaving: whether it takes no new work.
    """

    vm: VmId
    domain: DomainId
    incarnation: Incarnation
    address: str
    is_leaving: bool = False


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message.

    :param sender: the sender, or its short identifier if the receiver has it.
    :param stamp: the sender's hybrid logical clock.
    :param kind: kind of request, which selects the handler.
    :param body: the encoded body.
    :param expects: in a request: short identifier of the daemon that the sender
        expects at the receiver's address.
    :param error: in a reply: reason why there is no body.
    """

    sender: Sender | ShortId
    stamp: str
    kind: str
    body: msgspec.Raw = msgspec.Raw(b"\xc0")
    expects: ShortId = ShortId(0)
    error: str | None = None


class Empty(msgspec.Struct, frozen=True):
    """Body without content."""


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decode and check a message of another daemon.

    :param data: the message.
    :raises MalformedDocument: the message is malformed, or its sender has no usable
        address.
    """
    envelope = decode_with(_ENVELOPE_DECODER, data)
    if isinstance(envelope.sender, Sender):
        parse_address(envelope.sender.address)
    return envelope


def decode_body(data: bytes, body_type: Any) -> Any:
    """Decode the body of a message.

    :param data: the encoded body.
    :param body_type: its type, with the bounds of its numbers.
    :raises MalformedDocument: the body does not have this type.
    """
    return decode_with(msgspec.msgpack.Decoder(body_type), data)


def short_id(sender: Sender | None) -> ShortId:
    """Return the short identifier of a sender, or 0 for ``None``.

    :param sender: the sender.
    """
    if sender is None:
        return ShortId(0)
    return ShortId(xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(sender)) or 1)
