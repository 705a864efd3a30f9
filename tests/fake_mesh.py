"""Messages between daemons of one process, without sockets."""

import msgspec

from cassiaspread_core.membership import Member
from cassiaspread_daemon.mesh import Peer, PeerUnreachable


class FakeNetwork:
    """Delivers requests between daemons in one process."""

    def __init__(self):
        self.meshes = {}
        self.n_sent = 0


class FakeMesh:
    def __init__(self, network, sender, senders):
        self.sender = sender
        self.senders = senders
        self.handlers = {}
        self.network = network
        network.meshes[sender.address] = self

    def register(self, kind, body_type, handler):
        self.handlers[kind] = body_type, handler

    def peers(self):
        return [Peer(s, 0.0) for s in self.senders if s is not self.sender]

    def active_members(self):
        return [Member(s.incarnation, s.vm, s.domain, s.address) for s in self.senders]

    async def ask(self, address, kind, body, reply_type, timeout_s):
        self.network.n_sent += 1
        if address not in self.network.meshes:
            raise PeerUnreachable(address)
        body_type, handler = self.network.meshes[address].handlers[kind]
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(body), type=body_type)
        return await handler(decoded, self.sender)
