"""Envelope of every message between daemons."""

from typing import NewType

import msgspec
import xxhash

from cassiaspread_core.base import DomainId, Incarnation, VmId

# Stands for a sender that the receiver knows.
ShortId = NewType("ShortId", int)


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """Who sent a message.

    :param vm: VM of the sender.
    :param domain: its failure domain.
    :param incarnation: this start of its daemon.
    :param address: ``host:port`` where it takes messages.
    :param is_leaving: whether it takes no new work.
    """

    vm: VmId
    domain: DomainId
    incarnation: Incarnation
    address: str
    is_leaving: bool = False


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message.

    :param sender: who sent it; its short identifier if the receiver knows it.
    :param stamp: the sender's hybrid logical clock.
    :param kind: which handler it is for.
    :param body: the encoded body.
    :param expects: of a request: whom the sender knows at the receiver's address.
    :param error: of a reply: why there is no body.
    """

    sender: Sender | ShortId
    stamp: str
    kind: str
    body: msgspec.Raw = msgspec.Raw(b"\xc0")
    expects: ShortId = ShortId(0)
    error: str | None = None


class Empty(msgspec.Struct, frozen=True):
    """Body without content."""


def short_id(sender: Sender | None) -> ShortId:
    """Return the short identifier of a sender, 0 of none.

    :param sender: the sender.
    """
    if sender is None:
        return ShortId(0)
    return ShortId(xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(sender)) or 1)
