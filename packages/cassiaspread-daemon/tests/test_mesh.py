"""Messages between daemons over real sockets."""

import asyncio
from contextlib import AsyncExitStack, suppress

import pytest

from cassiaspread_core.base import DomainId, Incarnation, VmId
from cassiaspread_core.timeline import EventRing, merge_events
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.mesh import (
    DeltaTopic,
    Empty,
    Mesh,
    PeerUnreachable,
    Sender,
)
from cassiaspread_daemon.mesh._transport import complete
from tests.fleet import free_port

SKEW_S = 7.0
# A few rounds of gossip, one second each.
MEETING_BOUND_S = 10.0
# Time that a message takes on a slow link; less than the timeout of gossip.
LINK_DELAY_S = 0.35
STOP_BOUND_S = 5.0
OBSERVED_S = 8.0
QUESTION_INTERVAL_S = 0.2
# One message on the slow link is in progress, and the next one tells.
URGENT_BOUND_S = 1.0


def build_mesh(
    name: str,
    now_s: float,
    domain: str = "d",
    seeds: tuple[str, ...] = (),
    listen: str | None = None,
) -> tuple[Mesh, EventRing]:
    address = f"127.0.0.1:{free_port()}"
    events = EventRing(name, 100, lambda: now_s)
    sender = Sender(VmId(name), DomainId(domain), Incarnation(name), address)
    supervisor = Supervisor(name)
    return Mesh(
        sender, events, supervisor, lambda: dict.fromkeys(seeds), listen or address
    ), events


class SlowLink:
    """Passes on what a daemon sends to the address of another one."""

    def __init__(self, address: str, target: str) -> None:
        self._address, self._target = address.split(":"), target.split(":")
        self._tasks: set[asyncio.Task[None]] = set()
        self.delay_s = 0.0
        self.sending = asyncio.Event()

    async def __aenter__(self) -> "SlowLink":
        self._server = await asyncio.start_server(self._accept, *self._address)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        self._tasks |= {
            asyncio.create_task(self._pass_on(reader, target_writer, is_slow=True)),
            asyncio.create_task(self._pass_on(target_reader, writer, is_slow=False)),
        }

    async def _pass_on(self, reader, writer, is_slow: bool) -> None:
        try:
            while data := await reader.read(65536):
                if is_slow:
                    self.sending.set()
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
        finally:
            writer.close()


def test_events_are_in_causal_order_with_clocks_seconds_apart():
    async def main() -> list[tuple[str, str]]:
        ahead, ahead_events = build_mesh("ahead", 100.0 + SKEW_S)
        behind, behind_events = build_mesh("behind", 100.0)

        async def answer(body: Empty, sender: Sender) -> Empty:
            behind_events.record("answered")
            return Empty()

        behind.register("question", Empty, answer)
        async with AsyncExitStack() as stack:
            for mesh in (ahead, behind):
                await stack.enter_async_context(mesh)
            ahead_events.record("asking")
            await ahead.ask(behind.sender.address, "question", Empty(), Empty, 5.0)
            ahead_events.record("was answered")
            async with asyncio.timeout(MEETING_BOUND_S):
                for events in (ahead_events, behind_events):
                    while events.events()[-1].kind != "member.alive":
                        await asyncio.sleep(0.01)
        events = merge_events(ahead_events.events() + behind_events.events())
        return [(event.process, event.kind) for event in events]

    events = asyncio.run(main())
    kinds = [kind for _, kind in events if not kind.startswith("member.")]
    assert kinds == ["asking", "answered", "was answered"]
    # A daemon that has only asked is suspect until it has answered.
    by_process = {
        name: [kind for process, kind in events if process == name]
        for name in ("ahead", "behind")
    }
    assert by_process == {
        "ahead": ["asking", "was answered", "member.alive"],
        "behind": ["answered", "member.suspect", "member.alive"],
    }


@pytest.mark.parametrize("n_steps", range(5))
def test_daemon_with_something_urgent_to_tell_stops(n_steps):
    async def main() -> bool:
        mesh, _ = build_mesh("d1", 1.0)
        async with asyncio.timeout(STOP_BOUND_S) as bound:
            async with mesh:
                await asyncio.sleep(0.1)
                mesh.gossip_now()
                for _ in range(n_steps):
                    await asyncio.sleep(0.0)
        return bound.expired()

    assert not asyncio.run(main())


@pytest.mark.parametrize("kind", ["unknown", "failing"])
def test_request_that_can_not_be_handled_is_reported_at_once(kind):
    async def main() -> None:
        mesh, _ = build_mesh("d1", 1.0)
        other, _ = build_mesh("d2", 1.0)

        async def fail(body: Empty, sender: Sender) -> Empty:
            raise RuntimeError("planned")

        other.register("failing", Empty, fail)
        async with mesh, other:
            await mesh.ask(other.sender.address, kind, Empty(), Empty, 5.0)

    with pytest.raises(PeerUnreachable, match=r"bad message|handler failed"):
        asyncio.run(main())


@pytest.mark.parametrize("n_daemons", [2, 5])
def test_daemons_of_a_domain_without_a_seed_find_each_other(n_daemons):
    async def main() -> None:
        seed, _ = build_mesh("seed", 1.0, "a")
        seeds = (seed.sender.address,)
        others = [
            build_mesh(f"{domain}{n}", 1.0, domain, seeds)[0]
            for domain in "bc"
            for n in range(n_daemons)
        ]
        names = {mesh.sender.vm for mesh in (seed, *others)}
        async with AsyncExitStack() as stack:
            for mesh in (seed, *others):
                await stack.enter_async_context(mesh)
            async with asyncio.timeout(MEETING_BOUND_S):
                while any(vms_of(mesh) != names for mesh in (seed, *others)):
                    await asyncio.sleep(0.1)

    asyncio.run(main())


def vms_of(mesh):
    return {member.vm for member in mesh.active_members()}


def test_other_messages_do_not_put_off_gossip():
    async def main() -> int:
        n_received = 0

        def consume(body: int, sender: Sender) -> None:
            nonlocal n_received
            n_received += 1

        async def answer(body: Empty, sender: Sender) -> Empty:
            return Empty()

        far, _ = build_mesh("far", 1.0)
        near, _ = build_mesh("near", 1.0, seeds=(far.sender.address,))
        far.add_topic("news", lambda: None, int, consume)
        near.add_topic("news", lambda: 1, int, lambda body, sender: None)
        far.register("question", Empty, answer)
        loop = asyncio.get_running_loop()
        async with far, near:
            async with asyncio.timeout(MEETING_BOUND_S):
                while n_received < 1:
                    await asyncio.sleep(0.01)
            n_received = 0
            end_s = loop.time() + OBSERVED_S
            while loop.time() < end_s:
                address = far.sender.address
                await near.ask(address, "question", Empty(), Empty, 5.0)
                await asyncio.sleep(QUESTION_INTERVAL_S)
            return n_received

    assert asyncio.run(main()) > OBSERVED_S / 2


def test_urgent_gossip_follows_a_message_that_is_in_progress():
    async def main() -> float:
        told = asyncio.Event()
        listen, unused = (f"127.0.0.1:{free_port()}" for _ in range(2))
        far, _ = build_mesh("far", 1.0, listen=listen)
        # Nobody answers at its address, so the other daemon gets no news by asking.
        near, _ = build_mesh("near", 1.0, seeds=(far.sender.address,), listen=unused)
        near_topic = DeltaTopic(str, None, lambda entry, sender: None)
        near.add_delta_topic("news", near_topic)
        far_topic = DeltaTopic(str, None, lambda entry, sender: told.set())
        far.add_delta_topic("news", far_topic)
        loop = asyncio.get_running_loop()
        async with SlowLink(far.sender.address, listen) as link, far, near:
            async with asyncio.timeout(MEETING_BOUND_S):
                while far.sender.vm not in vms_of(near):
                    await asyncio.sleep(0.01)
            link.delay_s = LINK_DELAY_S
            link.sending.clear()
            await link.sending.wait()
            near_topic.put("key", "value")
            near.gossip_now()
            begin_s = loop.time()
            await told.wait()
            return loop.time() - begin_s

    assert asyncio.run(main()) < URGENT_BOUND_S


@pytest.mark.parametrize("n_steps", range(6))
def test_daemon_that_stops_beside_an_urgent_round_of_gossip_ends(n_steps):
    async def main() -> None:
        mesh, _ = build_mesh("d1", 1.0)
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(mesh)
            await asyncio.sleep(0.05)
            mesh.gossip_now()
            for _ in range(n_steps):
                await asyncio.sleep(0)
            stopping = asyncio.create_task(stack.pop_all().aclose())
            done, _ = await asyncio.wait([stopping], timeout=STOP_BOUND_S)
            assert done

    asyncio.run(main())


@pytest.mark.parametrize("n_exchanges", range(1, 9))
def test_daemon_that_stops_beside_messages_of_its_peers_ends(n_exchanges):
    async def main() -> None:
        mesh, _ = build_mesh("d1", 1.0)
        peer, _ = build_mesh("d2", 1.0)

        async def answer(body: Empty, sender: Sender) -> Empty:
            return Empty()

        async def ask() -> None:
            with suppress(PeerUnreachable):
                while True:
                    await peer.ask(mesh.sender.address, "q", Empty(), Empty, 1.0)

        mesh.register("q", Empty, answer)
        async with peer:
            async with AsyncExitStack() as stack:
                await stack.enter_async_context(mesh)
                asking = [asyncio.create_task(ask()) for _ in range(n_exchanges)]
                await asyncio.sleep(0.1)
                stopping = asyncio.create_task(stack.pop_all().aclose())
                done, _ = await asyncio.wait([stopping], timeout=STOP_BOUND_S)
                assert done
            for task in asking:
                task.cancel()

    asyncio.run(main())


def test_cancelled_exchange_ends_although_its_reply_arrives_at_the_same_time():
    # As pynng does when an operation can no longer be cancelled.
    async def end_anyway() -> bytes:
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(MEETING_BOUND_S)
        return b"reply"

    async def main() -> None:
        task = asyncio.create_task(complete(end_anyway()))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert await complete(end_anyway_at_once()) == b"reply"

    async def end_anyway_at_once() -> bytes:
        return b"reply"

    asyncio.run(main())


def test_caller_of_a_stop_can_be_cancelled():
    async def main() -> None:
        supervisor = Supervisor("s")

        async def ignore() -> None:
            with suppress(asyncio.CancelledError):
                await asyncio.sleep(MEETING_BOUND_S)
            await asyncio.sleep(0.2)

        supervisor.start("slow", ignore)
        await asyncio.sleep(0)
        stopping = asyncio.create_task(supervisor.stop())
        await asyncio.sleep(0.05)
        stopping.cancel()
        with pytest.raises(asyncio.CancelledError):
            await stopping

    asyncio.run(main())
