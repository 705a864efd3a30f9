"""Messages between daemons, and the membership derived from them."""

from cassiaspread_daemon.mesh._deltas import DeltaTopic
from cassiaspread_daemon.mesh._members import to_member
from cassiaspread_daemon.mesh._mesh import Mesh, Peer
from cassiaspread_daemon.mesh._message import Empty, Sender
from cassiaspread_daemon.mesh._transport import PeerUnreachable, Traffic

__all__ = [
    "DeltaTopic",
    "Empty",
    "Mesh",
    "Peer",
    "PeerUnreachable",
    "Sender",
    "Traffic",
    "to_member",
]
