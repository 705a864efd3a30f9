"""Envelope of every message between daemons."""

import msgspec
from cassiaspread_core.base import DomainId, Incarnation, VmId


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

    :param sender: who sent it.
    :param stamp: the sender's hybrid logical clock.
    :param kind: which handler it is for.
    :param body: the encoded body.
    :param error: set on a reply only: why there is no body.
    """

    sender: Sender
    stamp: str
    kind: str
    body: msgspec.Raw = msgspec.Raw(b"\xc0")
    error: str | None = None


class Empty(msgspec.Struct, frozen=True):
    """Body without content."""
