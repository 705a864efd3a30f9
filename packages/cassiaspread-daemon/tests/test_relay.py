"""Relay of one attempt: what arrives while its silent engine is looked after."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from cassiaspread_daemon._exchange import Delimiter, ExchangeBroken
from cassiaspread_daemon.gateway._receive_buffer import ReceiveBuffer
from cassiaspread_daemon.gateway._relay import Relay, RelayTools, StreamState
from cassiaspread_daemon.gateway._second_start import Turn
from tests.gateway_jobs import make_job

OBJECTIVE_S = 0.05
TIMEOUT_S = 4.0
SLOW_S = 1.0


class LateExchange:
    """Its headers arrive some steps of the event loop before its request ends."""

    headers = {}
    is_answered = False

    def __init__(self, error):
        self.begins = asyncio.Event()
        self._error = error

    async def send(self, *_, **__):
        await self.begins.wait()
        if self._error is not None:
            raise self._error
        self.is_answered = True
        for _ in range(5):
            await asyncio.sleep(0)
        return 200


@pytest.mark.parametrize("error", [None, ExchangeBroken("closed")])
def test_answer_that_arrives_during_a_check_of_its_engine_is_read(error):
    async def run():
        exchange = LateExchange(error)
        n_checks = 0

        async def find(request_id, assignment):
            nonlocal n_checks
            n_checks += 1
            exchange.begins.set()
            while not exchange.is_answered and error is None:
                await asyncio.sleep(0)

        codec = SimpleNamespace(read_answer=lambda status, headers: status)
        stalls = SimpleNamespace(find=find, may_ask=lambda *_: True)
        tools = RelayTools(codec, None, None, stalls, None, None)
        job = make_job()
        route = msgspec.structs.replace(job.route, objective_s=OBJECTIVE_S)
        inbound = SimpleNamespace(method="POST", target="/", body=b"")
        job = msgspec.structs.replace(job, route=route, inbound=inbound)
        stream = StreamState(job, lambda: True)
        buffer = SimpleNamespace(put=None)
        turn = Turn(is_granted=True)
        try:
            async with asyncio.timeout(TIMEOUT_S) as timeout:
                relay = Relay(
                    tools,
                    stream,
                    SimpleNamespace(head=SimpleNamespace(target="head")),
                    exchange,
                    buffer,
                    turn,
                    timeout,
                    lambda: False,
                    lambda *_: None,
                    lambda: None,
                )
                return await relay.send({})
        finally:
            assert n_checks == 1

    if error is None:
        assert asyncio.run(run()) == 200
    else:
        with pytest.raises(ExchangeBroken):
            asyncio.run(run())


class SlowCaller:
    """Reads the first event late."""

    method, target, body = "POST", "/", b""
    arrived_s = 0.0
    is_started = False

    def start(self, *_):
        self.is_started = True

    async def write(self, data):
        await asyncio.sleep(SLOW_S)

    def end(self):
        """Do nothing."""


def test_time_of_a_slow_caller_is_no_silence_of_the_engine():
    async def run():
        durations_s = []
        ends = asyncio.Event()

        async def find(request_id, assignment):
            return SimpleNamespace(
                engine=SimpleNamespace(target="e"), reason="", is_responding=False
            )

        async def is_gone(silent, duration_s):
            durations_s.append(duration_s)
            ends.set()
            return False

        job = make_job()
        job = msgspec.structs.replace(job, inbound=SlowCaller())
        stream = StreamState(job, lambda: True)
        buffer = ReceiveBuffer(SimpleNamespace(add=lambda n: None, is_open=True))
        exchange = SimpleNamespace(
            finish=ends.wait,
            headers={},
            delimiter=Delimiter.CHUNKS,
            n_requests=1,
        )
        nothing = SimpleNamespace(
            record=lambda *_, **__: None,
            record_silence=lambda *_: None,
            record_first_event=lambda *_: None,
            answer_headers=lambda headers: {},
            find=find,
            is_gone=is_gone,
        )
        tools = RelayTools(nothing, None, None, nothing, nothing, nothing)
        assignment = SimpleNamespace(head=SimpleNamespace(target="e"))
        async with asyncio.timeout(TIMEOUT_S) as timeout:
            relay = Relay(
                tools,
                stream,
                assignment,
                exchange,
                buffer,
                Turn(is_granted=True),
                timeout,
                lambda: False,
                lambda *_: None,
                lambda: None,
            )
            buffer.put(b"id: 1\ndata: x\n\n")
            await relay.relay_events()
        return durations_s

    durations_s = asyncio.run(run())
    assert durations_s
    assert durations_s[0] < SLOW_S
