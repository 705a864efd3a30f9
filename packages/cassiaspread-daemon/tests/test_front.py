"""Tests of callers' connections: their timeouts, and those of a leaving daemon."""

import asyncio
import json
import random
import socket
import time
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

import pytest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, RequestStartLine

from cassiaspread_core.base import Refusal
from cassiaspread_core.routing import ClientLimits, RequestKind
from cassiaspread_daemon._exchange import (
    ANSWER_MEMORY,
    MAX_HELD_BYTES,
)
from cassiaspread_daemon._listener import Listener
from cassiaspread_daemon.gateway._closing import Closing
from cassiaspread_daemon.gateway._frontend import Frontend
from cassiaspread_daemon.gateway._protocols import RequestParameters
from cassiaspread_daemon.gateway._router import Router

TIMEOUT_S = 5.0
# Four of them exceed the bound on all answers together.
LARGE_BODY = b"x" * (MAX_HELD_BYTES // 4 + 1)


class FakeStream:
    n_buffered = 0
    has_unread = False
    arriving_since_s = 0.0
    n_head_bytes = 0

    def __init__(self, on_close=None):
        self.is_closed = False
        self.on_close = on_close

    def closed(self):
        return self.is_closed

    def close(self):
        self.is_closed = True
        if self.on_close is not None:
            self.on_close()


class FakeConnection:
    def __init__(self, on_close=None):
        self.stream = FakeStream(on_close)

    def set_close_callback(self, callback):
        pass


def test_connection_that_became_busy_is_not_closed_as_idle():
    # A leaving daemon closes its idle connections one after the other. A request that
    # begins meanwhile and was already forwarded must not be cut off.
    frontend = Frontend(None)
    second = FakeConnection()
    first = FakeConnection(on_close=lambda: frontend.set_busy(second))
    for connection in (first, second):
        frontend.start_request(connection, None)
    frontend.close_idle(0.0, time.monotonic())
    assert first.stream.is_closed
    assert not second.stream.is_closed
    third = FakeConnection()
    frontend.start_request(third, None)
    frontend.close_idle(10.0, time.monotonic())
    assert not third.stream.is_closed
    frontend.set_busy(third)
    frontend.close_idle(0.0, time.monotonic())
    assert not third.stream.is_closed


def test_request_read_just_before_its_connection_closed_is_not_forwarded():
    # Tornado delivers a request some iterations of the event loop after reading its
    # bytes; its connection may be closed as idle in between.
    handled = []

    async def handle(inbound):
        handled.append(inbound)

    async def run():
        frontend = Frontend(handle)
        connection = FakeConnection()
        for is_closed in (True, False):
            connection.stream.is_closed = is_closed
            reader = frontend.start_request(connection, connection)
            start_line = RequestStartLine("GET", "/", "HTTP/1.1")
            reader.headers_received(start_line, HTTPHeaders())
            reader.finish()
            await asyncio.sleep(0.01)
            assert len(handled) == int(not is_closed)
            assert frontend.n_requests == 0

    asyncio.run(run())


def test_connection_busy_while_leaving_is_closed_when_its_answer_ends():
    # An answer begun before SIGTERM ends after it. Another request on its connection
    # would be forwarded and then cut off when the process exits.
    async def run():
        handled = []
        may_end = asyncio.Event()

        async def handle(inbound):
            handled.append(inbound)
            inbound.start(200, HTTPHeaders())
            await may_end.wait()
            await inbound.write(b"whole")
            inbound.end()

        frontend = Frontend(handle)
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            reader, writer = await asyncio.open_connection(*listener.addresses[0])
            request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
            writer.write(request)
            await reader.readuntil(b"\r\n\r\n")
            frontend.leave()
            may_end.set()
            assert (await reader.readuntil(b"0\r\n\r\n")).endswith(
                b"whole\r\n0\r\n\r\n"
            )
            writer.write(request)
            async with asyncio.timeout(TIMEOUT_S):
                with suppress(ConnectionError):
                    assert await reader.read() == b""
            assert len(handled) == 1
            writer.close()

    asyncio.run(run())


def test_answer_begun_while_leaving_has_connection_close_header():
    async def run():
        is_read = asyncio.Event()
        may_answer = asyncio.Event()

        async def handle(inbound):
            is_read.set()
            await may_answer.wait()
            inbound.answer(200, {}, b"whole")

        frontend = Frontend(handle)
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            reader, writer = await asyncio.open_connection(*listener.addresses[0])
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await is_read.wait()
            frontend.leave()
            may_answer.set()
            async with asyncio.timeout(TIMEOUT_S):
                answer = await reader.read()
            assert b"Connection: close" in answer
            assert answer.endswith(b"whole")
            writer.close()

    asyncio.run(run())


@asynccontextmanager
async def large_answer(frontend):
    """Connect a caller that does not read its answer yet; yields its reader."""
    with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
        reader, writer = await asyncio.open_connection(*listener.addresses[0])
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            while not ANSWER_MEMORY.n_bytes:
                await asyncio.sleep(0.01)
            yield reader
        writer.close()


def test_answer_that_is_still_being_sent_is_not_closed_as_idle():
    async def handle(inbound):
        inbound.answer(200, {}, LARGE_BODY)

    async def run():
        frontend = Frontend(handle)
        async with large_answer(frontend) as reader:
            frontend.leave()
            frontend.close_idle(0.0, time.monotonic())
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(len(LARGE_BODY)) == LARGE_BODY

    asyncio.run(run())


def test_answers_that_are_not_sent_yet_count_towards_the_bound_of_memory():
    async def handle(inbound):
        inbound.answer(200, {}, LARGE_BODY)

    async def run():
        async with large_answer(Frontend(handle)) as reader:
            assert ANSWER_MEMORY.n_bytes == len(LARGE_BODY)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(LARGE_BODY))
            while ANSWER_MEMORY.n_bytes:
                await asyncio.sleep(0.01)

    asyncio.run(run())


def test_largest_unsent_answer_is_dropped_and_looks_incomplete():
    async def handle(inbound):
        inbound.answer(200, {}, LARGE_BODY)

    async def run():
        async with large_answer(Frontend(handle)) as reader:
            others = [ANSWER_MEMORY.hold(lambda reason: None) for _ in range(3)]
            for held in others:
                held.add(len(LARGE_BODY) - 1)
            for held in others:
                held.close()
            with pytest.raises(asyncio.IncompleteReadError):
                await reader.readexactly(2 * len(LARGE_BODY))

    asyncio.run(run())


class RecordingLog:
    def __init__(self):
        self.rows = []

    def record(self, event, **fields):
        self.rows.append({"event": event, **fields})

    def of(self, event):
        return [row for row in self.rows if row["event"] == event]


async def answer_whole(inbound):
    inbound.answer(200, {}, b"whole")


async def request(reader, writer, text=b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"):
    writer.write(text)
    async with asyncio.timeout(TIMEOUT_S):
        return await reader.readuntil(b"whole")


def test_closed_connections_have_a_line_unless_their_caller_ended_them():
    async def run():
        log = RecordingLog()
        frontend = Frontend(answer_whole, log)
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            address = listener.addresses[0]
            callers = [await asyncio.open_connection(*address) for _ in range(4)]
            for caller in callers:
                await request(*caller)
            closed, malformed, asked, kept = callers
            closed[1].close()
            malformed[1].write(b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
            text = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            await request(*asked, text)
            async with asyncio.timeout(TIMEOUT_S):
                await malformed[0].read()
                while frontend.n_connections > 1:
                    await asyncio.sleep(0.01)
            frontend.close_idle(0.0, time.monotonic())
            async with asyncio.timeout(TIMEOUT_S):
                assert await kept[0].read() == b""
                while frontend.n_connections:
                    await asyncio.sleep(0.01)
            for _, writer in callers:
                writer.close()
        rows = log.of("connection.closed")
        assert [row["reason"] for row in rows] == ["malformed request", "leaving"]
        assert [row["n_requests"] for row in rows] == [2, 1]
        assert [row["is_receiving"] for row in rows] == [True, False]
        assert rows[0]["idle_ms"] is None
        assert rows[1]["idle_ms"] >= 0

    asyncio.run(run())


def test_request_read_on_a_closed_connection_has_a_line():
    async def run():
        log = RecordingLog()
        frontend = Frontend(answer_whole, log)
        connection = FakeConnection()
        connection.stream.is_closed = True
        reader = frontend.start_request(connection, connection)
        reader.headers_received(
            RequestStartLine("GET", "/a?b", "HTTP/1.1"), HTTPHeaders()
        )
        reader.finish()
        [row] = log.of("request.dropped")
        assert row["path"] == "/a"
        assert row["closed_by"] == "caller"

    asyncio.run(run())


def waiting_connection(frontend):
    connection = FakeConnection()
    frontend.start_request(connection, None)
    return connection.stream


def limits(idle_timeout_s, header_timeout_s=3.0):
    return ClientLimits(
        idle_timeout_s=idle_timeout_s, header_timeout_s=header_timeout_s
    )


def test_idle_connection_ends_after_the_largest_limit_of_its_wait():
    frontend = Frontend(None)
    frontend.apply_limits(limits(2.0))
    begin_s = time.monotonic()
    first = waiting_connection(frontend)
    for idle_timeout_s in (10.0, 1.0, 5.0, 3.0):
        frontend.apply_limits(limits(idle_timeout_s))
    second = waiting_connection(frontend)
    frontend.close_expired(begin_s + 2.9)
    assert not second.is_closed
    frontend.close_expired(begin_s + 9.9)
    assert second.is_closed
    assert not first.is_closed
    frontend.close_expired(begin_s + 11.0)
    assert first.is_closed


def test_connection_is_not_idle_once_a_byte_has_arrived():
    frontend = Frontend(None)
    frontend.apply_limits(limits(2.0))
    late_s = time.monotonic() + 60.0
    stream = waiting_connection(frontend)
    stream.has_unread = True
    frontend.close_expired(late_s)
    frontend.close_idle(0.0, late_s)
    stream.has_unread, stream.n_buffered, stream.arriving_since_s = False, 1, late_s
    frontend.close_expired(late_s + 2.9)
    frontend.close_idle(0.0, late_s + 2.9)
    assert not stream.is_closed
    stream.has_unread = True
    frontend.close_expired(late_s + 3.1)
    assert not stream.is_closed
    stream.has_unread = False
    frontend.close_expired(late_s + 3.1)
    assert stream.is_closed


def test_slow_head_is_cut_and_a_body_is_not():
    async def run():
        log = RecordingLog()
        frontend = Frontend(answer_whole, log)
        frontend.apply_limits(limits(idle_timeout_s=30.0, header_timeout_s=0.3))
        sweep = asyncio.create_task(frontend.run_timeouts())
        server = HTTPServer(frontend)
        server.conn_params.header_timeout = None
        with Listener(server, "127.0.0.1", 0) as listener:
            address = listener.addresses[0]
            slow = await asyncio.open_connection(*address)
            sound = await asyncio.open_connection(*address)
            # The second head begins behind the first request.
            whole = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            await request(*slow, whole + b"GET / HTTP/1.1\r\n")
            sound[1].write(b"POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n")
            for _ in range(8):
                await asyncio.sleep(0.1)
                sound[1].write(b"x")
            await request(*sound, b"")
            async with asyncio.timeout(TIMEOUT_S):
                assert await slow[0].read() == b""
            [row] = log.of("connection.closed")
            assert row["reason"] == "head timeout"
            assert row["limit_ms"] == 300.0
            assert row["n_requests"] == 1
            assert row["is_receiving"]
            for _, writer in (slow, sound):
                writer.close()
        sweep.cancel()

    asyncio.run(run())


def test_pipelined_requests_are_all_answered():
    async def run():
        frontend = Frontend(answer_whole)
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            reader, writer = await asyncio.open_connection(*listener.addresses[0])
            get = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            chunked += b"3\r\nabc\r\n0\r\n\r\n"
            writer.write(get + chunked + get)
            for _ in range(3):
                await request(reader, writer, b"")
            await asyncio.sleep(0.01)
            # All bytes belong to requests that were answered.
            frontend.close_idle(0.0, time.monotonic())
            assert frontend.n_connections == 0
            writer.close()

    asyncio.run(run())


def failing_router(log, forward):
    """Return a router whose requests are forwarded by a function."""
    codec = SimpleNamespace(
        read_request=lambda headers: RequestParameters(request_id="r"),
        refusal_headers=lambda request_id: {"Attempt-Id": request_id},
    )
    ignored = SimpleNamespace(
        record_request=lambda *_: None, forward=forward, table=None
    )
    router = Router(
        codec,
        ignored,
        None,
        ignored,
        None,
        ignored,
        0.0,
        log,
        ignored,
        random.Random(0),
        Closing(),
    )
    router._prepare = lambda inbound, parameters: SimpleNamespace(
        inbound=inbound,
        route=SimpleNamespace(kind=RequestKind.IDEMPOTENT),
        service=SimpleNamespace(name="s"),
        fingerprint=None,
    )
    return router


async def answer_of(log, forward):
    """Return all bytes of the answer to one request."""
    frontend = Frontend(failing_router(log, forward).handle, log)
    with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
        reader, writer = await asyncio.open_connection(*listener.addresses[0])
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            answer = await reader.read()
        writer.close()
    return answer


def test_unexpected_error_is_answered_with_an_unknown_outcome():
    async def fail(job, take_retry):
        raise KeyError("layers")

    log = RecordingLog()
    answer = asyncio.run(answer_of(log, fail))
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500 ")
    assert b"Attempt-Id: r" in head
    problem = json.loads(body)
    assert problem["type"].endswith(":internal-error")
    assert problem["outcome"] == "unknown"
    [failed] = log.of("request.failed")
    assert failed["error"] == "KeyError"
    assert failed["frames"][-1].endswith(" fail")
    [ended] = log.of("request.ended")
    assert (ended["outcome"], ended["status"]) == ("internal-error", 500)


def test_unexpected_error_after_the_beginning_of_an_answer_cuts_it():
    async def fail(job, take_retry):
        job.inbound.start(200, HTTPHeaders())
        await job.inbound.write(b"half")
        raise KeyError("layers")

    log = RecordingLog()
    answer = asyncio.run(answer_of(log, fail))
    assert answer.endswith(b"half\r\n")
    assert len(log.of("request.failed")) == 1
    [closed] = log.of("connection.closed")
    assert closed["reason"] == "answer broken off"


def test_request_whose_caller_left_is_cancelled():
    async def run():
        log = RecordingLog()
        is_running = asyncio.Event()

        async def wait(job, take_retry):
            is_running.set()
            await asyncio.sleep(60.0)

        frontend = Frontend(failing_router(log, wait).handle, log)
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            _, writer = await asyncio.open_connection(*listener.addresses[0])
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await is_running.wait()
            writer.close()
            async with asyncio.timeout(TIMEOUT_S):
                while frontend.n_requests:
                    await asyncio.sleep(0.01)
        [ended] = log.of("request.ended")
        assert ended["outcome"] == "cancelled"
        assert not log.of("request.failed")

    asyncio.run(run())


async def long_answer(frontend, behind, is_announced):
    """Return the answers of a daemon that leaves during the first of two requests.

    :param behind: bytes that arrive before the first answer has ended.
    :param is_announced: whether the daemon leaves before the first answer begins.
    """
    inbounds = frontend.inbounds
    with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
        reader, writer = await asyncio.open_connection(*listener.addresses[0])
        writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + behind)
        first = await inbounds.get()
        if is_announced:
            frontend.leave()
        first.start(200, HTTPHeaders())
        frontend.leave()
        first.end()
        if behind and not is_announced:
            async with asyncio.timeout(TIMEOUT_S):
                second = await inbounds.get()
            second.answer(200, {}, b"whole")
        async with asyncio.timeout(TIMEOUT_S):
            answers = await reader.read()
        writer.close()
    return answers


@pytest.mark.parametrize("is_announced", [False, True])
@pytest.mark.parametrize("behind", [b"", b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"])
def test_request_behind_an_answer_of_a_leaving_daemon(behind, is_announced):
    # Without "Connection: close" a caller may rely on the connection.
    async def run():
        inbounds = asyncio.Queue()

        async def handle(inbound):
            await inbounds.put(inbound)

        frontend = Frontend(handle)
        frontend.inbounds = inbounds
        answers = await long_answer(frontend, behind, is_announced)
        assert inbounds.empty()
        is_answered = bool(behind) and not is_announced
        assert answers.count(b"HTTP/1.1 200") == 1 + is_answered
        assert answers.endswith(b"whole") == is_answered
        n_announced = answers.count(b"Connection: close")
        assert n_announced == int(is_announced or is_answered)

    asyncio.run(run())


def test_request_read_in_the_step_that_interrupts_all_is_refused():
    # Its task is cancelled before it has run at all.
    class Interrupting(Frontend):
        def run(self, inbound, server_conn):
            task = super().run(inbound, server_conn)
            self.interrupt(Refusal(502, "leaving", "The daemon ends."))
            return task

    async def run():
        log = RecordingLog()
        router = failing_router(log, lambda *_: asyncio.sleep(60.0))
        frontend = Interrupting(router.handle, log)
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            reader, writer = await asyncio.open_connection(*listener.addresses[0])
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            async with asyncio.timeout(TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
            # It was not passed on.
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After: " in head
            writer.close()
        [ended] = log.of("request.ended")
        assert ended["outcome"] == "leaving"

    asyncio.run(run())


@pytest.mark.parametrize("status", [200, 204, 304, 404])
@pytest.mark.parametrize("body", [b"", b"whole", LARGE_BODY])
def test_answer_to_a_head_request_has_headers_alone(status, body):
    # A body would be taken for the beginning of the next answer.
    if status in (204, 304):
        body = b""

    async def handle(inbound):
        inbound.answer(status, {"Attempt-Id": "r"}, body)

    async def run():
        log = RecordingLog()
        with Listener(HTTPServer(Frontend(handle, log)), "127.0.0.1", 0) as listener:
            reader, writer = await asyncio.open_connection(*listener.addresses[0])
            for connection in (b"", b"Connection: close\r\n"):
                writer.write(b"HEAD / HTTP/1.1\r\nHost: h\r\n" + connection + b"\r\n")
                async with asyncio.timeout(TIMEOUT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 %d " % status)
                assert b"Content-Length: %d\r\n" % len(body) in head
            async with asyncio.timeout(TIMEOUT_S):
                assert await reader.read() == b""
            writer.close()

    asyncio.run(run())


def test_answer_whose_headers_can_not_be_sent_is_replaced_by_a_refusal():
    async def answer(job, take_retry):
        job.inbound.answer(200, {"X": "a\nb"}, b"whole")

    log = RecordingLog()
    reply = asyncio.run(answer_of(log, answer))
    assert reply.startswith(b"HTTP/1.1 500 ")
    assert reply.endswith(b"}")
    assert len(log.of("request.failed")) == 1
    [ended] = log.of("request.ended")
    assert ended["status"] == 500


def test_leaving_daemon_announces_the_close_to_a_caller_of_http_1_0():
    # It would send its next request on the connection that is being closed.
    async def run():
        frontend = Frontend(answer_whole)
        frontend.leave()
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            reader, writer = await asyncio.open_connection(*listener.addresses[0])
            writer.write(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
            async with asyncio.timeout(TIMEOUT_S):
                answer = await reader.read()
            assert b"Connection: close\r\n" in answer
            assert answer.endswith(b"whole")
            writer.close()

    asyncio.run(run())


@pytest.mark.parametrize("n_answer_bytes", [5, 500_000])
def test_answer_arrives_although_another_request_is_behind_its_end(n_answer_bytes):
    # Closing a socket with unread bytes drops what it has not sent.
    body = b"x" * n_answer_bytes
    last = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

    async def run():
        may_answer = asyncio.Event()

        async def handle(inbound):
            await may_answer.wait()
            inbound.answer(200, {}, body)

        log = RecordingLog()
        frontend = Frontend(handle, log)
        with Listener(HTTPServer(frontend), "127.0.0.1", 0) as listener:
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect(listener.addresses[0])
            caller.sendall(last)
            while not frontend.n_requests:
                await asyncio.sleep(0.01)
            caller.sendall(2 * last)
            may_answer.set()
            async with asyncio.timeout(TIMEOUT_S):
                while frontend.n_connections:
                    await asyncio.sleep(0.01)
            caller.settimeout(TIMEOUT_S)
            answer = b""
            while data := caller.recv(65536):
                answer += data
            caller.close()
        assert answer.endswith(b"\r\n\r\n" + body)

    asyncio.run(run())


def test_request_is_answered_if_something_it_waits_for_is_cancelled():
    # Its own task is not, so that its caller is still there.
    async def wait(job, take_retry):
        shared = asyncio.ensure_future(asyncio.sleep(60.0))
        asyncio.get_running_loop().call_later(0.01, shared.cancel)
        await asyncio.shield(shared)

    log = RecordingLog()
    answer = asyncio.run(answer_of(log, wait))
    assert answer.startswith(b"HTTP/1.1 500 ")
    [failed] = log.of("request.failed")
    assert failed["error"] == "CancelledError"
    [ended] = log.of("request.ended")
    assert (ended["outcome"], ended["status"]) == ("internal-error", 500)
