"""Requests and replies over sockets end when their tasks are cancelled."""

import asyncio

import pytest

from cassiaspread_daemon.mesh import PeerUnreachable
from cassiaspread_daemon.mesh._transport import Transport
from tests.fleet import free_port

BOUND_S = 1.0


class LateContext:
    """Ends an operation at the moment at which it is cancelled, as pynng may."""

    def __init__(self):
        self.n_operations = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        pass

    async def asend(self, data):
        self.n_operations += 1
        try:
            await asyncio.sleep(10.0)
        except asyncio.CancelledError:
            return

    async def arecv(self):
        if self.n_operations:
            await asyncio.sleep(10.0)
        return b""


class LateSocket:
    def __init__(self):
        self.context = LateContext()

    def new_context(self):
        return self.context

    def close(self):
        pass


def make_transport():
    async def answer(data):
        return b""

    transport = Transport(f"127.0.0.1:{free_port()}", answer, None)
    transport._replier = LateSocket()
    return transport


def test_reply_that_is_sent_as_its_task_is_cancelled_ends_the_task():
    async def run():
        task = asyncio.create_task(make_transport()._reply())
        await asyncio.sleep(0.0)
        task.cancel()
        done, _ = await asyncio.wait({task}, timeout=BOUND_S)
        task.cancel()
        return done

    assert asyncio.run(run())


def test_request_that_is_sent_as_its_time_ends_is_not_answered(monkeypatch):
    async def run():
        transport = make_transport()
        monkeypatch.setattr(
            "cassiaspread_daemon.mesh._transport.pynng.Req0",
            lambda **options: LateSocket(),
        )
        monkeypatch.setattr(LateSocket, "dial", lambda *_, **__: None, raising=False)
        async with asyncio.timeout(BOUND_S):
            await transport.exchange("127.0.0.1:1", b"", 0.05)

    with pytest.raises(PeerUnreachable):
        asyncio.run(run())
