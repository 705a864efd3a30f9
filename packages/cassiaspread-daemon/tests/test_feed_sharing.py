"""Updates of shared feeds: their age, their readers and their receivers."""

import asyncio
import os

import msgspec
import pytest

from cassiaspread_core.placement import Engine
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway import DecisionLog
from cassiaspread_daemon.gateway import _feed_sharing as feed_sharing
from cassiaspread_daemon.gateway._feed_sharing import (
    FeedSharing,
    ReaderRole,
    build_engine_update,
)
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._protocols import EngineChange, FeedPage
from cassiaspread_daemon.mesh import Sender
from tests.fake_mesh import FakeMesh, FakeNetwork

N_DOMAINS, N_DAEMONS = 3, 4


class Receiver:
    def __init__(self, mesh, sharing):
        self.sharing = sharing
        self.received = []
        sharing.subscribe(
            "feed",
            int,
            lambda update, at_s: self.received.append((update, at_s)),
            lambda update: sharing.publish("feed", lambda _: update, None, True),
            lambda: None,
        )


@pytest.fixture
def clock(monkeypatch):
    times = {"now_s": 100.0}
    monkeypatch.setattr(feed_sharing, "suspended_clock_s", lambda: times["now_s"])
    return times


def run_fleet(tmp_path, use):
    async def main():
        descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
        log = DecisionLog("d", descriptor)
        senders = [
            Sender(f"vm{d}-{n}", f"d{d}", f"i{d}-{n}", f"10.{d}.0.{n}:1")
            for d in range(N_DOMAINS)
            for n in range(N_DAEMONS)
        ]
        network = FakeNetwork()
        async with Supervisor("fleet") as supervisor:
            receivers = []
            for sender in senders:
                mesh = FakeMesh(network, sender, senders)
                view = FleetView(mesh, 0.0)
                sharing = FeedSharing(sender.domain, mesh, view, supervisor, log)
                receivers.append(Receiver(mesh, sharing))
            await use(receivers, network)
        os.close(descriptor)

    asyncio.run(main())


def roles(receivers):
    return [receiver.sharing.role("feed", 0.0) for receiver in receivers]


def test_one_daemon_reads_for_the_fleet_and_one_passes_on_in_each_other_domain(
    tmp_path,
):
    async def use(receivers, network):
        counts = [roles(receivers).count(role) for role in ReaderRole]
        assert counts == [1, N_DOMAINS - 1, N_DOMAINS * (N_DAEMONS - 1)]

    run_fleet(tmp_path, use)


def test_update_reaches_each_daemon_once(tmp_path):
    async def use(receivers, network):
        reader = receivers[roles(receivers).index(ReaderRole.FLEET)]
        reader.sharing.publish("feed", lambda _: 7, 1.0)
        await asyncio.sleep(0.05)
        for receiver in receivers:
            # The first update to a peer is repeated with its confirmation.
            assert {update for update, _ in receiver.received} == (
                set() if receiver is reader else {7}
            )
        network.n_sent = 0
        reader.sharing.publish("feed", lambda _: 8, 1.0)
        await asyncio.sleep(0.05)
        assert network.n_sent == N_DOMAINS * N_DAEMONS - 1

    run_fleet(tmp_path, use)


@pytest.mark.parametrize("pause_s", [0.0, 4.0])
def test_update_that_waits_while_its_receiver_is_paused_is_as_old_as_it_is(
    tmp_path, clock, pause_s
):
    async def use(receivers, network):
        index = roles(receivers).index(ReaderRole.FLEET)
        reader = receivers[index]
        peer = next(
            r
            for r in receivers
            if r is not reader and r.sharing._domain == reader.sharing._domain
        )
        reader.sharing.publish("feed", lambda _: 7, clock["now_s"])
        await asyncio.sleep(0.05)
        clock["now_s"] += 1.0
        confirmed_s = clock["now_s"]
        reader.sharing.publish("feed", lambda _: 8, confirmed_s)
        # The message is sent before the receiver handles it.
        clock["now_s"] += pause_s
        await asyncio.sleep(0.05)
        update, at_s = peer.received[-1]
        assert update == 8
        assert at_s <= confirmed_s
        assert at_s > confirmed_s - 0.1

    run_fleet(tmp_path, use)


def test_updates_that_wait_for_a_full_link_do_not_pile_up(tmp_path, monkeypatch):
    async def use(receivers, network):
        n_waiting = 0

        async def wait(*args):
            nonlocal n_waiting
            n_waiting += 1
            try:
                await asyncio.Event().wait()
            finally:
                n_waiting -= 1

        # A message in pieces waits for those before it as long as it takes.
        monkeypatch.setattr(FakeMesh, "ask", wait)
        reader = receivers[roles(receivers).index(ReaderRole.FLEET)]
        for update in range(3):
            reader.sharing.publish("feed", lambda _, u=update: u, 1.0)
            await asyncio.sleep(0.01)
        assert n_waiting
        await asyncio.sleep(2.0)
        assert not n_waiting

    run_fleet(tmp_path, use)


def test_first_update_confirms_nothing(tmp_path, clock):
    async def use(receivers, network):
        reader = receivers[roles(receivers).index(ReaderRole.FLEET)]
        reader.sharing.publish("feed", lambda _: 7, clock["now_s"])
        await asyncio.sleep(0.05)
        for receiver in receivers:
            if receiver.received:
                assert receiver.received[0] == (7, None)

    run_fleet(tmp_path, use)


def test_clock_of_an_earlier_process_at_an_address_confirms_nothing(tmp_path, clock):
    async def use(receivers, network):
        reader = receivers[roles(receivers).index(ReaderRole.FLEET)]
        reader.sharing.publish("feed", lambda _: 7, clock["now_s"])
        await asyncio.sleep(0.05)
        # Another VM has taken the address; its clock started anew.
        replaced = next(r for r in receivers if r.received)
        mesh = replaced.sharing._mesh
        mesh.sender = Sender("vm", mesh.sender.domain, "new", mesh.sender.address)
        again = Receiver(mesh, replaced.sharing)
        clock["now_s"] = 5.0
        reader.sharing.publish("feed", lambda _: 8, 101.0)
        await asyncio.sleep(0.05)
        assert again.received[0] == (8, None)

    run_fleet(tmp_path, use)


def renewal(target):
    engine = Engine(target=target, service="s", address="10.0.0.1:1", domain="d")
    return EngineChange(target, engine)


@pytest.mark.parametrize("n_renewed", [0, 1, 49, 50, 51, 99, 100])
def test_update_tells_which_targets_renewed_their_entries(n_renewed):
    listed = [f"i-{n:08x}" for n in range(100)]
    renewed = listed[:n_renewed]
    # Each of them twice, as with a page over several heartbeats.
    page = FeedPage(tuple(map(renewal, renewed + renewed)), 9)
    update = build_engine_update(3, page, set(), listed)
    assert sorted(update.find_renewed(listed)) == renewed


def test_update_of_many_targets_that_all_renew_their_entries_is_small():
    # As many as at the target size.
    listed = [f"i-{n:08x}" for n in range(5900)]
    page = FeedPage(tuple(map(renewal, listed)), 9)
    update = build_engine_update(3, page, set(), listed)
    assert len(msgspec.msgpack.encode(update)) < 100
