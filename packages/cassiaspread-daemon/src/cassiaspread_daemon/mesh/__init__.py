"""Messages between daemons."""

from cassiaspread_daemon.mesh._mesh import Mesh, Peer, PeerUnreachable
from cassiaspread_daemon.mesh._message import Empty, Sender

__all__ = ["Empty", "Mesh", "Peer", "PeerUnreachable", "Sender"]
