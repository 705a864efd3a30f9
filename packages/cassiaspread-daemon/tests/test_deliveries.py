"""Lines on answers that have ended and did not reach their callers."""

import asyncio
import time

import pytest
from tornado.httpserver import HTTPServer

from cassiaspread_core.base import RequestId
from cassiaspread_daemon._listener import Listener
from cassiaspread_daemon.gateway._deliveries import MAX_DELIVERY_S, Deliveries
from cassiaspread_daemon.gateway._frontend import Frontend

TIMEOUT_S = 5.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
# More than a loopback connection holds while its caller does not read.
LARGE_BODY = b"x" * (4 * 1024 * 1024)


class RecordingLog:
    def __init__(self):
        self.rows = []

    def record(self, event, **fields):
        self.rows.append({"event": event, **fields})

    @property
    def events(self):
        return [row["event"] for row in self.rows]


class FakeStream:
    def __init__(self):
        self.n_unacknowledged = 500

    def closed(self):
        return False


def test_answer_that_waits_on_the_way_has_a_line_and_another_once_it_has_arrived():
    log, stream = RecordingLog(), FakeStream()
    deliveries = Deliveries(log)
    deliveries.add(stream, RequestId("late"), 10.0)
    deliveries.check(10.0 + MAX_DELIVERY_S / 2)
    assert log.rows == []
    for _ in range(2):
        deliveries.check(10.0 + 2 * MAX_DELIVERY_S)
    [row] = log.rows
    assert row["event"] == "answer.delayed"
    assert row["request"] == "late"
    assert row["n_bytes"] == 500
    stream.n_unacknowledged = 0
    deliveries.check(11.0)
    assert log.rows[1]["event"] == "answer.delivered"
    assert log.rows[1]["since_end_ms"] == 1000
    assert len(deliveries) == 0


def test_answer_that_arrives_has_no_line():
    log, stream = RecordingLog(), FakeStream()
    deliveries = Deliveries(log)
    deliveries.add(stream, RequestId("sound"), 10.0)
    stream.n_unacknowledged = 0
    deliveries.check(11.0)
    deliveries.close(stream, 12.0)
    assert log.rows == []


@pytest.mark.parametrize("is_read", [True, False])
def test_answer_whose_caller_leaves_before_it_has_arrived_has_a_line(is_read):
    async def answer(inbound):
        inbound.request_id = RequestId("left")
        inbound.answer(200, {}, b"whole" if is_read else LARGE_BODY)

    async def run():
        log = RecordingLog()
        frontend = Frontend(answer, log)
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            reader, writer = await asyncio.open_connection(*listener.addresses[0])
            writer.write(REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            if is_read:
                await reader.readuntil(b"whole")
            while frontend.n_requests:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            async with asyncio.timeout(TIMEOUT_S):
                while frontend.n_connections:
                    await asyncio.sleep(0.01)
        return log

    log = asyncio.run(run())
    rows = [row for row in log.rows if row["event"] == "answer.not_delivered"]
    assert [row["request"] for row in rows] == [] if is_read else ["left"]
    assert all(row["n_bytes"] > 0 for row in rows)


def test_answer_before_a_close_by_the_gateway_has_no_line():
    async def answer(inbound):
        inbound.answer(200, {}, b"whole")

    async def run():
        log = RecordingLog()
        frontend = Frontend(answer, log)
        frontend.leave()
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            reader, writer = await asyncio.open_connection(*listener.addresses[0])
            writer.write(REQUEST)
            assert (await reader.read()).endswith(b"whole")
            while frontend.n_connections:
                await asyncio.sleep(0.01)
            writer.close()
        assert "answer.not_delivered" not in log.events

    asyncio.run(run())


def test_delayed_answer_is_found_without_another_request():
    async def answer(inbound):
        inbound.answer(200, {}, LARGE_BODY)

    async def run():
        log = RecordingLog()
        frontend = Frontend(answer, log)
        timeouts = asyncio.create_task(frontend.run_timeouts())
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            reader, writer = await asyncio.open_connection(*listener.addresses[0])
            writer.write(REQUEST)
            began_s = time.monotonic()
            while "answer.delayed" not in log.events:
                assert time.monotonic() - began_s < TIMEOUT_S
                await asyncio.sleep(0.01)
            while "answer.delivered" not in log.events:
                assert time.monotonic() - began_s < TIMEOUT_S
                await reader.read(1024 * 1024)
            writer.transport.abort()
        timeouts.cancel()

    asyncio.run(run())
