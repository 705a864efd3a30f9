"""Distribution of large documents: from daemon to daemon, a few each."""

import asyncio
from collections import Counter

import pytest

from cassiaspread_core.base import DomainId, Incarnation
from cassiaspread_core.membership import Member, find_children, rank_members
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._document_spread import DocumentSpread
from cassiaspread_daemon.mesh import PeerUnreachable, Sender
from tests.fake_mesh import FakeMesh, FakeNetwork

DOMAINS = ("a", "b", "c")
N_DAEMONS = 13
FAN_OUT = 2


class RecordingLog:
    def __init__(self):
        self.rows = []

    def record(self, event, **fields):
        self.rows.append({"event": event, **fields})


class CountingMesh(FakeMesh):
    """Counts documents by sender and fails towards daemons that are gone."""

    def __init__(self, network, sender, senders, gone, counts):
        super().__init__(network, sender, senders)
        self.gone = gone
        self.counts = counts

    async def ask(self, address, kind, body, reply_type, timeout_s):
        await asyncio.sleep(0)
        if address in self.gone:
            raise PeerUnreachable(address)
        if kind.startswith("document-"):
            self.counts[self.sender.address] += 1
        return await super().ask(address, kind, body, reply_type, timeout_s)


class Daemon:
    def __init__(self, mesh, supervisor, log):
        self.sender = mesh.sender
        self.documents = []
        self.spread = DocumentSpread(
            "feed",
            mesh.sender.domain,
            mesh,
            mesh.active_members,
            supervisor,
            log,
            lambda: self.documents[-1] if self.documents else None,
            self.receive,
        )

    def receive(self, document, sender):
        if self.documents and document.end <= self.documents[-1][0]:
            return False
        self.documents.append((document.end, document.data))
        return True


def run_fleet(use, domains=DOMAINS, n_gone=0):
    async def main():
        senders = [
            Sender(f"vm-{d}-{n}", DomainId(d), Incarnation(f"{d}{n}"), f"{d}:{n}")
            for d in domains
            for n in range(N_DAEMONS)
        ]
        root = senders[0]
        members = [Member(s.incarnation, s.vm, s.domain, s.address) for s in senders]
        own = [m for m in members if m.domain == root.domain]
        children = find_children("feed", own, root.incarnation, root.incarnation)
        gone = {m.address for m in children[:n_gone]}
        network, counts, log = FakeNetwork(), Counter(), RecordingLog()
        async with Supervisor("fleet") as supervisor:
            daemons = [
                Daemon(CountingMesh(network, s, senders, gone, counts), supervisor, log)
                for s in senders
                if s.address not in gone
            ]
            await use(daemons, members, counts, log)

    asyncio.run(main())


def heads_of(members, domain):
    others = sorted({m.domain for m in members} - {domain})
    ranked = rank_members("feed", members)
    return [next(m for m in ranked if m.domain == d) for d in others]


async def settle():
    for _ in range(500):
        await asyncio.sleep(0)


@pytest.mark.parametrize("n_gone", [0, 1, 2])
def test_document_reaches_all_daemons_once_and_no_daemon_sends_many(n_gone):
    async def use(daemons, members, counts, log):
        reader = daemons[0]
        reader.documents.append((7, b"routes"))
        heads = heads_of(members, reader.sender.domain)
        reader.spread.publish(heads)
        await settle()
        assert [d.documents for d in daemons] == [[(7, b"routes")]] * len(daemons)
        assert sum(counts.values()) == len(daemons) - 1
        # A daemon also sends to the children of those that it does not reach.
        limit = FAN_OUT * (1 + n_gone)
        assert counts.pop(reader.sender.address) <= limit + len(heads)
        assert max(counts.values()) <= limit
        # Nothing of the document was sent to these.
        assert [row["n_bytes"] for row in log.rows] == [0] * n_gone

    run_fleet(use, n_gone=n_gone)


def test_newer_document_replaces_one_that_is_being_passed_on():
    async def use(daemons, members, counts, log):
        reader = daemons[0]
        heads = heads_of(members, reader.sender.domain)
        for end in range(1, 20):
            reader.documents.append((end, b"routes"))
            reader.spread.publish(heads)
            await asyncio.sleep(0)
        await settle()
        assert {d.documents[-1][0] for d in daemons} == {19}

    run_fleet(use)


def test_daemon_that_has_a_document_is_not_sent_it_again():
    async def use(daemons, members, counts, log):
        for daemon in daemons:
            daemon.documents.append((7, b"routes"))
        daemons[0].spread.publish(heads_of(members, "a"))
        await settle()
        assert not counts

    run_fleet(use)


@pytest.mark.parametrize("n", [1, 2, 3, 30, 137])
def test_tree_contains_each_member_once(n):
    members = [Member(Incarnation(f"i{k}"), f"vm{k}", "d", f"{k}") for k in range(n)]
    root = members[0].incarnation
    reached, waiting = [], [root]
    while waiting:
        parent = waiting.pop()
        reached.append(parent)
        children = find_children("key", members, root, parent)
        assert len(children) <= FAN_OUT
        waiting += [child.incarnation for child in children]
    assert sorted(reached) == sorted(m.incarnation for m in members)


def test_daemon_outside_of_the_tree_has_no_children():
    members = [Member(Incarnation(f"i{k}"), f"vm{k}", "d", f"{k}") for k in range(5)]
    assert find_children("key", members, Incarnation("i0"), Incarnation("x")) == []
