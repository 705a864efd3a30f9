"""Distribution of configurations to the daemons of a fleet."""

import asyncio
import os
import random
import time
import zlib
from collections import Counter

import pytest

from cassiaspread_core.base import DomainId, Incarnation, LogUnavailable
from cassiaspread_core.routing import ClientLimits, RouteTable
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway import DecisionLog
from cassiaspread_daemon.gateway import _feed_sharing as feed_sharing
from cassiaspread_daemon.gateway._document_spread import Document
from cassiaspread_daemon.gateway._feed_sharing import (
    CONFIGURATION_TIMEOUTS_S,
    DOCUMENT_TIMEOUT_S,
    MAX_DOCUMENT_BYTES,
    MAX_UPDATE_BYTES,
    TIMEOUT_SPREAD,
    ConfigurationFollower,
    ConfigurationUpdate,
    FeedSharing,
    ReaderRole,
)
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._protocols import FeedPage
from cassiaspread_daemon.gateway._routing_state import RoutingState
from cassiaspread_daemon.mesh import PeerUnreachable, Sender
from tests.fake_mesh import FakeMesh, FakeNetwork

DOMAINS = ("a", "b")
N_DAEMONS = 6
WAIT_S = 0.2
BEHIND_S = 3.0
TIMEOUT_S = 5.0
# Each daemon may need this long to be scheduled, with a loaded machine.
MARGIN_S = 1.0


def document(version, n_bytes):
    """Return a document that hardly becomes smaller by compression."""
    return version.to_bytes(4, "big") + random.Random(version).randbytes(n_bytes)


class Store:
    """Holds the documents; each read is counted by reader."""

    def __init__(self):
        self.documents = [document(1, 10)]
        self.changed = asyncio.Event()
        self.n_reads = Counter()
        self.cut_off = ()

    def publish(self, data):
        self.documents.append(data)
        self.changed.set()
        self.changed = asyncio.Event()


class FakeFeed:
    def __init__(self, store, reader):
        self.store = store
        self.reader = reader

    def decode(self, data):
        version = int.from_bytes(data[:4], "big")
        return RouteTable(version, [], [], None, ClientLimits(), data)

    async def snapshot(self):
        data = self.store.documents[-1]
        return FeedPage((self.decode(data),), len(self.store.documents))

    async def changes(self, position, wait_s):
        if self.reader in self.store.cut_off:
            raise LogUnavailable("cut off")
        if position == len(self.store.documents) and wait_s:
            try:
                await asyncio.wait_for(self.store.changed.wait(), wait_s)
            except TimeoutError:
                return FeedPage((), position)
        new = self.store.documents[position:]
        if new:
            self.store.n_reads[self.reader] += 1
        tables = tuple(map(self.decode, new[-1:]))
        return FeedPage(tables, len(self.store.documents))


class LossyMesh(FakeMesh):
    """Loses all messages of some kinds, and the first one of others to each daemon."""

    lost_kinds = ()
    first_lost_kinds = ()

    async def ask(self, address, kind, body, reply_type, timeout_s):
        if kind in self.first_lost_kinds and (address, kind) not in self.network.lost:
            self.network.lost.add((address, kind))
            raise PeerUnreachable(address)
        if kind in self.lost_kinds:
            raise PeerUnreachable(address)
        return await super().ask(address, kind, body, reply_type, timeout_s)


def run_fleet(tmp_path, use, lost_kinds=(), first_lost_kinds=()):
    async def main():
        descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
        log = DecisionLog("d", descriptor)
        senders = [
            Sender(f"vm-{d}-{n}", DomainId(d), Incarnation(f"{d}{n}"), f"{d}:{n}")
            for d in DOMAINS
            for n in range(N_DAEMONS)
        ]
        network, store, states = FakeNetwork(), Store(), []
        network.lost = set()
        async with Supervisor("fleet") as supervisor:
            for sender in senders:
                mesh = LossyMesh(network, sender, senders)
                mesh.lost_kinds = lost_kinds
                mesh.first_lost_kinds = first_lost_kinds
                state = RoutingState(log, 60.0, 60.0)
                # The daemons share one supervisor, whose tasks have unique names.
                sharing = FeedSharing(
                    sender.domain,
                    mesh,
                    FleetView(mesh, 0.0),
                    supervisor.add_child(sender.vm),
                    log,
                )
                follower = ConfigurationFollower(
                    sharing,
                    FakeFeed(store, sender.vm),
                    state,
                    log,
                    WAIT_S,
                    random.Random(0),
                )
                supervisor.start(sender.vm, follower.run)
                states.append(state)
            # The first updates to each daemon confirm nothing.
            await asyncio.sleep(3 * WAIT_S)
            await use(store, states)
        os.close(descriptor)

    asyncio.run(main())


async def wait_in_force(states, version):
    """Wait until a version is in force on all daemons; return how long it took."""
    started_s = time.monotonic()
    while any(s.table is None or s.table.version < version for s in states):
        assert time.monotonic() - started_s < TIMEOUT_S
        await asyncio.sleep(0.01)
    return time.monotonic() - started_s


@pytest.mark.parametrize(
    "n_bytes", [MAX_UPDATE_BYTES // 2, 40 * MAX_UPDATE_BYTES, MAX_DOCUMENT_BYTES - 1024]
)
def test_one_daemon_reads_a_configuration_for_all(tmp_path, n_bytes):
    async def use(store, states):
        for version in (2, 3):
            store.publish(document(version, n_bytes))
            await wait_in_force(states, version)
        assert len(store.n_reads) == 1

    run_fleet(tmp_path, use)


def test_configurations_that_follow_each_other_reach_all_daemons(tmp_path):
    async def use(store, states):
        for version in range(2, 12):
            store.publish(document(version, 20 * MAX_UPDATE_BYTES))
            await asyncio.sleep(0.05)
        await wait_in_force(states, 11)

    run_fleet(tmp_path, use)


def test_daemon_that_does_not_get_a_document_reads_the_store(tmp_path):
    async def use(store, states):
        store.publish(document(2, 20 * MAX_UPDATE_BYTES))
        took_s = await wait_in_force(states, 2)
        # Daemons of the other domain are not told, since their own one has it late.
        assert took_s < 2 * DOCUMENT_TIMEOUT_S * TIMEOUT_SPREAD[1] + MARGIN_S
        assert len(store.n_reads) > 1

    run_fleet(tmp_path, use, lost_kinds=("document-configuration",))


def test_configuration_too_large_to_be_passed_on_is_read_by_each_daemon(tmp_path):
    async def use(store, states):
        store.publish(document(2, MAX_DOCUMENT_BYTES + 1024))
        await wait_in_force(states, 2)
        assert len(store.n_reads) == len(states)

    run_fleet(tmp_path, use)


def test_daemons_cut_off_from_the_store_get_a_document_after_a_lost_message(tmp_path):
    async def use(store, states):
        store.cut_off = {f"vm-b-{n}" for n in range(N_DAEMONS)}
        store.publish(document(2, 20 * MAX_UPDATE_BYTES))
        await wait_in_force(states, 2)

    run_fleet(tmp_path, use, first_lost_kinds=("offer-configuration",))


def run_follower(tmp_path, monkeypatch, use):
    """Run a test with a follower that is not the reader, and with a clock to set."""

    async def main():
        log = DecisionLog("d", os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT))
        times = {"now_s": 100.0}
        monkeypatch.setattr(feed_sharing, "now", lambda: times["now_s"])
        senders = [
            Sender(f"vm-{n}", DomainId("a"), Incarnation(f"a{n}"), f"a:{n}")
            for n in range(N_DAEMONS)
        ]
        network, store = FakeNetwork(), Store()
        async with Supervisor("fleet") as supervisor:
            meshes = [FakeMesh(network, sender, senders) for sender in senders]
            followers = [
                ConfigurationFollower(
                    FeedSharing(
                        mesh.sender.domain,
                        mesh,
                        FleetView(mesh, 0.0),
                        supervisor.add_child(mesh.sender.vm),
                        log,
                    ),
                    FakeFeed(store, mesh.sender.vm),
                    RoutingState(log, 60.0, 60.0, BEHIND_S),
                    log,
                    WAIT_S,
                    random.Random(0),
                )
                for mesh in meshes
            ]
            follower = next(f for f in followers if f._role is ReaderRole.NONE)
            follower._apply_document(1, zlib.compress(document(1, 9)))
            follower._restart_timeout()
            use(follower, times, meshes[followers.index(follower)].sender)

    asyncio.run(main())


def test_older_document_does_not_put_off_reading_the_one_that_is_awaited(
    tmp_path, monkeypatch
):
    def use(follower, times, sender):
        follower._receive(ConfigurationUpdate(2, is_coming=True), None)
        follower._receive(ConfigurationUpdate(3, is_coming=True), None)
        times["now_s"] += DOCUMENT_TIMEOUT_S / 2
        older = Document(2, Incarnation("a0"), zlib.compress(document(2, 9)))
        follower._receive_document(older, sender)
        times["now_s"] += DOCUMENT_TIMEOUT_S / 4
        assert not follower._is_due()
        times["now_s"] += DOCUMENT_TIMEOUT_S / 2
        assert follower._is_due()

    run_follower(tmp_path, monkeypatch, use)


def test_updates_of_a_reader_that_is_behind_are_no_reason_to_wait(
    tmp_path, monkeypatch
):
    # Guards against daemons that wait for a reader whose copy gets older and older.
    def use(follower, times, sender):
        n_updates = 5
        for _ in range(n_updates):
            follower._receive(ConfigurationUpdate(1), 99.0)
            assert not follower._is_due()
            times["now_s"] += CONFIGURATION_TIMEOUTS_S[1] / n_updates
        times["now_s"] += (TIMEOUT_SPREAD[1] - 1) * CONFIGURATION_TIMEOUTS_S[1]
        assert follower._is_due()
        follower._receive(ConfigurationUpdate(1), 99.5)
        assert not follower._is_due()

    run_follower(tmp_path, monkeypatch, use)


def test_configuration_that_was_replaced_is_used_only_for_its_delay(
    tmp_path, monkeypatch
):
    # Guards against a daemon that knows of a newer version, cannot get it, and uses the
    # keys of the older one for as long as if the store were silent.
    def use(follower, times, sender):
        age = follower._age
        follower._receive(ConfigurationUpdate(1), 100.0)
        assert age.is_valid(100.0 + 2 * BEHIND_S)
        follower._receive(ConfigurationUpdate(2, is_coming=True), 101.0)
        assert age.is_valid(100.0 + 0.9 * BEHIND_S)
        assert not age.is_valid(100.0 + BEHIND_S)
        newer = Document(2, Incarnation("a0"), zlib.compress(document(2, 9)))
        follower._receive_document(newer, sender)
        assert age.is_valid(100.0 + 2 * BEHIND_S)

    run_follower(tmp_path, monkeypatch, use)


def test_update_confirms_the_document_that_comes_after_it(tmp_path, monkeypatch):
    # Guards against a daemon that gets each version of a storm and refuses its keys.
    def use(follower, times, sender):
        follower._receive(ConfigurationUpdate(1), 100.0)
        follower._receive(ConfigurationUpdate(2, is_coming=True), 101.0)
        follower._receive(ConfigurationUpdate(3, is_coming=True), 102.0)
        assert follower._age.current_at_s == 100.0
        second = Document(2, Incarnation("a0"), zlib.compress(document(2, 9)))
        follower._receive_document(second, sender)
        assert follower._age.current_at_s == 101.0
        assert follower._age.is_behind
        fourth = Document(4, Incarnation("a0"), zlib.compress(document(4, 9)))
        follower._receive_document(fourth, sender)
        assert follower._age.current_at_s == 102.0
        # The copy holds more than that of the reader did when it sent this.
        follower._receive(ConfigurationUpdate(3, is_coming=True), 103.0)
        assert follower._age.current_at_s == 103.0

    run_follower(tmp_path, monkeypatch, use)
