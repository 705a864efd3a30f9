"""Answers on the control path whose connection closes before their end."""

import asyncio
import time

import pytest

from cassiaspread_core.base import AppendAmbiguous, LogUnavailable, Offset, TargetId
from cassiaspread_core.pipeline import Stage, TokenSequence
from cassiaspread_core.policy import Limits
from cassiaspread_daemon._events import MAX_EVENT_BYTES
from cassiaspread_daemon._exchange import (
    MAX_ANSWER_BYTES,
    MAX_TINY_CHUNKS,
    MIN_CHUNK_BYTES,
    AnswerTooLarge,
    ExchangeBroken,
    fetch,
)
from cassiaspread_daemon.adapters import (
    EngineClient,
    LogClient,
    ResumeOrder,
    VmListClient,
)
from cassiaspread_daemon.adapters._vm_list import VmListUnavailable
from cassiaspread_daemon.relay._attempt import Attempt, EndKind
from cassiaspread_daemon.relay._planner import PlannedChain

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# All together are paced; each is read at little more than the rate that is not limited.
N_AT_ONCE = 16
TOKEN = b'data: {"attempt":1,"position":0,"text":"a"}\n\n'


def run_against(body, call, head=HEAD):
    """Run a call to a server that sends a head and a body and closes."""

    async def answer(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + body)
        finally:
            writer.close()

    async def main():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        async with server:
            host, port = server.sockets[0].getsockname()
            return await call(f"{host}:{port}")

    return asyncio.run(main())


async def run_attempt(address):
    stage = Stage(TargetId("h"), address, "", 0, 8)
    chain = PlannedChain((stage,), {}, 0.01)
    sequence = TokenSequence(attempt=1)
    attempt = Attempt(EngineClient(), chain, sequence, Limits(), lambda steps: None)
    with attempt:
        attempt.start(ResumeOrder(request="r", attempt=1, start=0))
        return await attempt.wait()


def fetch_body(address):
    return fetch(address, "GET", "/", connect_timeout_s=1.0, timeout_s=5.0)


@pytest.mark.parametrize("body", [b"", b'{"offs', b'{"offset":'])
def test_append_whose_answer_breaks_off_is_ambiguous(body):
    with pytest.raises(AppendAmbiguous):
        run_against(body, lambda a: LogClient(a).append("s", b"v", timeout_s=2.0))


@pytest.mark.parametrize("body", [b"", b'{"records":[', b'{"records":[]'])
def test_page_of_the_log_that_breaks_off_is_an_outage(body):
    with pytest.raises(LogUnavailable):
        run_against(body, lambda a: LogClient(a).read("s", Offset(0)))


def test_list_of_vms_that_breaks_off_is_an_outage():
    with pytest.raises(VmListUnavailable):
        run_against(b"[", lambda a: VmListClient(a).read())


ROW = (
    b'{"vm":"v","role":"engine","name":"e","address":"127.0.0.1:80","domain":"d",'
    b'"state":"live"}'
)
NESTED = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    "body",
    [
        b"[" + ROW + b",",
        b"[" + ROW + b",,1]",
        b"[" + ROW + b" " + ROW + b"]",
        b"{}",
        b"[" + ROW + b"," + NESTED,
        b"[" + NESTED + b"," + ROW[:-1] + b"]",
        NESTED[1:],
    ],
    ids=range(7),
)
def test_broken_list_of_vms_is_an_outage_and_no_shorter_list(body):
    with pytest.raises(VmListUnavailable):
        run_against(body, lambda a: VmListClient(a).read())


@pytest.mark.parametrize(
    "row", [NESTED, b"1", b'{"vm":"[,{"}', ROW[:-1] + b',"x":"]"}']
)
def test_odd_entry_of_the_list_of_vms_hides_no_other(row):
    body = b" [" + ROW + b"," + row + b"," + ROW + b"]\n"
    listed = run_against(body, lambda a: VmListClient(a).read())
    assert [vm.name for vm in listed if vm.vm == "v"][:2] == ["e", "e"]


@pytest.mark.parametrize(
    "body", [b"", b"x", b'{"attempt":-1}', b'{"x":' + NESTED + b"}"]
)
def test_order_refused_with_an_odd_body_ends_its_attempt_at_once(body):
    head = b"HTTP/1.1 409 Conflict\r\n\r\n"
    assert run_against(body, run_attempt, head=head).kind is EndKind.FAILED


@pytest.mark.parametrize(
    "event",
    [b"data: " + NESTED, b'data: {"position":-1}', b"data: \xff", b"event: x"],
    ids=range(4),
)
def test_odd_event_of_an_engine_ends_its_attempt_with_a_reason(event):
    end = run_against(TOKEN + event + b"\n\n", run_attempt)
    assert end.kind is EndKind.FAILED
    assert "malformed event" in end.reason


def test_comment_of_an_engine_is_no_event():
    end = run_against(TOKEN + b": ping\n\n", run_attempt)
    assert end.kind is EndKind.CLOSED
    assert end.reason == "the stream ended before its last token"


@pytest.mark.parametrize("body", [b"", TOKEN, TOKEN[:-9], TOKEN[:-1], b"data: "])
def test_stream_of_an_engine_that_closes_before_its_last_event_is_closed(body):
    assert run_against(body, run_attempt).kind is EndKind.CLOSED


def test_event_of_an_engine_without_end_closes_the_attempt():
    async def run(address):
        with await EngineClient().open_stream(
            address, ResumeOrder(request="r", attempt=1, start=0), lambda events: None
        ) as exchange:
            await exchange.finish()

    with pytest.raises(AnswerTooLarge):
        run_against(b"data: " + b"x" * MAX_EVENT_BYTES, run)


def test_answer_beyond_its_bound_is_not_kept():
    response = run_against(b"x" * 100_000, fetch_body)
    assert response.body == b"x" * 100_000
    with pytest.raises(AnswerTooLarge):
        run_against(b"x" * (MAX_ANSWER_BYTES + 1), fetch_body)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
        b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nabcd",
    ],
)
def test_answer_that_closes_before_its_announced_end_is_broken(answer):
    with pytest.raises(ExchangeBroken):
        run_against(answer, fetch_body, head=b"")


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_answer_without_a_length_ends_with_its_connection(version):
    head = b"HTTP/" + version + b" 200 OK\r\n\r\n"
    assert run_against(b"abcd", fetch_body, head).body == b"abcd"


def chunks(n_chunks, n_bytes):
    return (b"%x\r\n%b\r\n" % (n_bytes, b"x" * n_bytes)) * n_chunks


def test_answer_of_tiny_chunks_without_end_is_dropped_before_its_deadline():
    with pytest.raises(AnswerTooLarge):
        run_against(chunks(100_000, MIN_CHUNK_BYTES - 1), fetch_body, CHUNKED_HEAD)


def test_many_answers_of_tiny_chunks_without_end_are_dropped_before_their_deadline():
    async def fetch_many(address):
        fetches = [fetch_body(address) for _ in range(N_AT_ONCE)]
        return await asyncio.gather(*fetches, return_exceptions=True)

    results = run_against(chunks(20_000, 2), fetch_many, CHUNKED_HEAD)
    assert [type(result) for result in results] == [AnswerTooLarge] * N_AT_ONCE


@pytest.mark.parametrize(
    ("n_chunks", "n_bytes"), [(1500, 1), (6000, 2 * MIN_CHUNK_BYTES), (600, 2**13)]
)
def test_answer_of_many_chunks_is_complete(n_chunks, n_bytes):
    body = chunks(n_chunks, n_bytes) + b"0\r\n\r\n"
    response = run_against(body, fetch_body, CHUNKED_HEAD)
    assert len(response.body) == n_chunks * n_bytes


@pytest.mark.parametrize("n_chunks", [1500, MAX_TINY_CHUNKS - 1])
@pytest.mark.parametrize("paused_after_s", [0.05, 0.1, 0.2])
def test_answer_of_many_chunks_is_complete_after_a_pause_of_the_process(
    paused_after_s, n_chunks
):
    async def fetch_paused(address):
        # No task runs meanwhile, as in a process that gets no processor time.
        asyncio.get_running_loop().call_later(paused_after_s, time.sleep, 1.0)
        return await fetch_body(address)

    body = chunks(n_chunks, 1) + b"0\r\n\r\n"
    response = run_against(body, fetch_paused, CHUNKED_HEAD)
    assert len(response.body) == n_chunks
