"""Messages between daemons over real sockets."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from cassiaspread_core.base import DomainId, Incarnation, VmId
from cassiaspread_core.timeline import EventRing, merge_events
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.mesh import Empty, Mesh, PeerUnreachable, Sender
from tests.fleet import free_port

SKEW_S = 7.0


def build_mesh(name: str, now_s: float) -> tuple[Mesh, EventRing]:
    address = f"127.0.0.1:{free_port()}"
    events = EventRing(name, 100, lambda: now_s)
    sender = Sender(VmId(name), DomainId("d"), Incarnation(name), address)
    return Mesh(sender, events, Supervisor(name), list, address), events


def test_events_are_in_causal_order_with_clocks_seconds_apart():
    async def main() -> list[str]:
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
        events = merge_events(ahead_events.events() + behind_events.events())
        return [event.kind for event in events]

    assert asyncio.run(main()) == ["asking", "answered", "was answered"]


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
