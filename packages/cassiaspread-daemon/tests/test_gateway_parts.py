"""Tests of the gateway's components under the loads and failures they handle."""

import asyncio
import errno
import json
import os
import random
import socket
import time
from contextlib import suppress
from types import SimpleNamespace

import msgspec
import pytest

from cassiaspread_core.base import (
    LogUnavailable,
    Outcome,
    Refusal,
    RequestId,
    Truncated,
)
from cassiaspread_core.chains import LoadLedger, StageLoad
from cassiaspread_core.placement import Engine, LayerRange
from cassiaspread_core.routing import Service, StateAge
from cassiaspread_core.targets import TargetClosures, TargetHealth
from cassiaspread_daemon._events import MAX_EVENT_BYTES, EventBuffer, MisplacedEvents
from cassiaspread_daemon._exchange import (
    AnswerTooLarge,
    ConnectFailed,
    ConnectionSpoiled,
    Exchange,
    ExchangeBroken,
)
from cassiaspread_daemon.gateway import DecisionLog, FeedPage
from cassiaspread_daemon.gateway._capacity_queue import (
    RECHECK_INTERVAL_S,
    CapacityQueue,
)
from cassiaspread_daemon.gateway._chain_search import ChainSearch
from cassiaspread_daemon.gateway._closing import Closing
from cassiaspread_daemon.gateway._dispatch import Dispatcher
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._gateway import Gateway
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._link_permits import LinkPermits
from cassiaspread_daemon.gateway._plain import PlainForwarder
from cassiaspread_daemon.gateway._pool import ConnectionPool, _idle_time_s
from cassiaspread_daemon.gateway._protocols import EngineChange
from cassiaspread_daemon.gateway._relay import StreamState
from cassiaspread_daemon.gateway._retry_limits import RetryLimits
from cassiaspread_daemon.gateway._routing_state import FeedFollower, RoutingState
from cassiaspread_daemon.gateway._stream import AttemptResult, StreamForwarder
from tests.gateway_jobs import MODEL, make_job


@pytest.fixture
def log(tmp_path):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    yield DecisionLog("d1", descriptor)
    os.close(descriptor)


def make_queue(log):
    """Return a dispatcher and its queue; the only engine has capacity for two jobs."""
    routing_state = RoutingState(log, 5.0, 5.0)
    engine = Engine(
        target="e",
        service="pool",
        address="e:1",
        domain="d",
        accelerator="card",
        layers=LayerRange(0, 8),
        n_slots=8,
    )
    routing_state.apply_change(EngineChange("e", engine))
    dispatcher = Dispatcher(
        "d",
        routing_state,
        LoadLedger(),
        TargetHealth(),
        TargetClosures(),
        random.Random(1),
    )
    links = LinkPermits(None, FleetView(None, 0.0), dispatcher, log)
    return dispatcher, CapacityQueue(dispatcher, links, log)


def make_plain_dispatcher(log):
    """Return a dispatcher with a target in its own domain and one in another."""
    routing_state = RoutingState(log, 5.0, 5.0)
    for target, domain in (("near", "d"), ("far", "other")):
        engine = Engine(
            target=target,
            service="stock",
            address=f"{target}:1",
            domain=domain,
            accelerator="",
            layers=LayerRange(0, 0),
            n_slots=8,
        )
        routing_state.apply_change(EngineChange(target, engine))
    health = TargetHealth()
    return health, Dispatcher(
        "d", routing_state, LoadLedger(), health, TargetClosures(), random.Random(1)
    )


def test_deferred_target_is_selected_only_where_no_other_one_is_healthy(log):
    health, dispatcher = make_plain_dispatcher(log)
    service = Service("stock")

    def select(**options):
        assignment = dispatcher.assign(service, make_job().demand, 1.0, **options)
        if assignment is not None:
            dispatcher.release(assignment)
            return assignment.head.target
        return None

    assert select() == "near"
    assert select(defer=["near"]) == "far"
    assert select(avoid=["far"], defer=["near"]) == "near"
    assert select(defer=["near", "far"]) == "near"
    # A silent one is no better than one that only spoiled a connection.
    health.record_unreachable("far", 1.0)
    assert select(defer=["near"]) == "near"
    health.record_unreachable("near", 1.0)
    assert select(defer=["near"]) is not None
    assert select(avoid=["near", "far"], defer=["near"]) is None


def test_suspect_target_is_asked_where_the_only_healthy_one_has_no_room(log):
    dispatcher, _ = make_queue(log)
    engines = dispatcher._routing_state.engines
    # Another daemon says that it turns requests away; this one has no layers.
    full = msgspec.structs.replace(engines["e"], target="full", layers=LayerRange(0, 0))
    dispatcher._routing_state.apply_change(EngineChange("full", full))
    dispatcher._health.record_reported_avoidance("full", 3.0, 10.0)
    dispatcher._health.record_unreachable("e", 10.0)
    job = make_job()
    assert dispatcher.assign(job.service, job.demand, 10.1).head.target == "e"


class OpenQuarantine:
    """Quarantine that refuses nothing and lists the targets it is told of."""

    def __init__(self):
        self.interrupted = []

    async def record_interruption(self, job, engines, *run):
        self.interrupted += [engine.target for engine in engines]

    def begin_run(self, job):
        return None

    def check(self, job, is_run, unix_s):
        pass


async def spoil(*arguments):
    raise ConnectionSpoiled("bytes that are no response")


def test_plain_target_that_spoils_connections_becomes_suspect(log):
    async def run():
        health, dispatcher = make_plain_dispatcher(log)
        quarantine = OpenQuarantine()
        forwarder = PlainForwarder(
            None, None, dispatcher, health, quarantine, None, Closing(), log
        )
        forwarder._send = spoil
        service = Service("stock")
        job = msgspec.structs.replace(make_job(), service=service)
        for _ in range(2):
            with pytest.raises(Refusal):
                await forwarder.forward(job, None)
        assert health.is_suspect("near", now())
        assert quarantine.interrupted == ["near", "near"]
        assert dispatcher.assign(service, job.demand, now()).head.target == "far"

    asyncio.run(run())


def make_stream_forwarder(log, queue, dispatcher, health, quarantine):
    return StreamForwarder(
        None,
        None,
        dispatcher,
        queue,
        health,
        quarantine,
        None,
        None,
        Closing(),
        log,
        FakeMetrics(),
    )


def test_head_that_spoils_connections_becomes_suspect(log):
    async def run():
        dispatcher, queue = make_queue(log)
        health, quarantine = TargetHealth(), OpenQuarantine()
        forwarder = make_stream_forwarder(log, queue, dispatcher, health, quarantine)
        forwarder._relay = spoil
        stream = StreamState(make_job(), lambda: True)
        for _ in range(2):
            assignment = await queue.assign(make_job(), (), 1.0)
            result = await forwarder._attempt(stream, assignment, None)
            assert result is AttemptResult.BROKEN
        assert health.is_suspect("e", now())
        assert quarantine.interrupted == ["e", "e"]
        # It is the only one.
        assert (await queue.assign(make_job(), (), 1.0)).head.target == "e"

    asyncio.run(run())


def test_stream_that_an_engine_rejected_is_judged_again_as_the_gateway_leaves(log):
    # It was passed on to another engine, however late, and cut at the end.
    async def run():
        dispatcher, queue = make_queue(log)
        forwarder = make_stream_forwarder(
            log, queue, dispatcher, TargetHealth(), OpenQuarantine()
        )
        n_attempts = 0

        async def reject(stream, assignment, turn):
            nonlocal n_attempts
            n_attempts += 1
            stream.job.inbound.is_passed_on = True
            dispatcher.release(assignment)
            forwarder._closing.begin(now(), now() + 5.0)
            return AttemptResult.NOT_RUN

        async def take_retry():
            return True

        forwarder._attempt = reject
        with pytest.raises(Refusal) as refused:
            await forwarder.forward(make_job(), take_retry)
        assert n_attempts == 1
        assert (refused.value.code, refused.value.outcome) == (
            "leaving",
            Outcome.NOT_RUN,
        )

    asyncio.run(run())


@pytest.mark.parametrize(
    "error",
    [
        ExchangeBroken("closed"),
        ConnectionSpoiled("no response"),
        MisplacedEvents("4", ["1"]),
        TimeoutError(),
    ],
    ids=lambda error: type(error).__name__,
)
@pytest.mark.parametrize("has_layers", [True, False])
def test_engine_at_work_is_probed_whatever_ends_its_attempt(log, error, has_layers):
    # Guards against losses recorded only for chains, or only for broken connections.
    async def fail(*arguments):
        raise error

    async def run():
        dispatcher, queue = make_queue(log)
        quarantine = OpenQuarantine()
        forwarder = make_stream_forwarder(
            log, queue, dispatcher, TargetHealth(), quarantine
        )
        forwarder._relay = fail
        stream = StreamState(make_job(), lambda: True)
        assignment = await queue.assign(make_job(), (), 1.0)
        if not has_layers:
            assignment = msgspec.structs.replace(assignment, chain=())
        with suppress(Refusal):
            await forwarder._attempt(stream, assignment, None)
        assert quarantine.interrupted == ["e"]

    asyncio.run(run())


def test_requests_wait_in_fair_order_while_caches_are_full(log):
    async def run():
        dispatcher, queue = make_queue(log)
        held = [await queue.assign(make_job(), (), 1.0) for _ in range(2)]
        order = []

        async def wait(name):
            assignment = await queue.assign(make_job(name), (), 1.0)
            order.append(name)
            return assignment

        for _ in range(8):
            queue._queues["pool"].waiting.record_completion(now())
        tasks = []
        for name in ("large", "large", "small"):
            tasks.append(asyncio.create_task(wait(name)))
            await asyncio.sleep(0)
        assert len(queue) == 3
        for assignment in held:
            dispatcher.release(assignment)
            await asyncio.sleep(0.01)
        assert order == ["large", "small"]
        dispatcher.release(tasks[0].result())
        await asyncio.wait_for(tasks[1], 1.0)

    asyncio.run(run())


def test_waiting_request_is_assigned_when_a_peer_reports_free_capacity(log):
    # Another daemon's load fills the engine; its end is received only through gossip.
    async def run():
        dispatcher, queue = make_queue(log)
        load = StageLoad(2, 1280.0, 2)
        dispatcher._ledger.record_peer_load("other", {"e": load}, now())
        waiting = asyncio.create_task(queue.assign(make_job(), (), 5.0))
        await asyncio.sleep(0)
        queue.recheck_capacity()
        assert not waiting.done()
        dispatcher._ledger.record_peer_load("other", {}, now())
        await asyncio.sleep(RECHECK_INTERVAL_S)
        queue.recheck_capacity()
        await asyncio.wait_for(waiting, 0.5)

    asyncio.run(run())


def test_requests_of_a_service_do_not_wait_for_those_of_another(log):
    async def run():
        _, queue = make_queue(log)
        gone = msgspec.structs.replace(make_job(), service=Service("gone", model=MODEL))
        waiting = asyncio.create_task(queue.assign(gone, (), 5.0))
        await asyncio.sleep(0)
        await asyncio.wait_for(queue.assign(make_job(), (), 1.0), 0.5)
        assert len(queue) == 1
        waiting.cancel()
        await asyncio.wait([waiting])
        assert not len(queue)

    asyncio.run(run())


def test_request_that_excludes_the_free_target_holds_up_no_others(log):
    async def run():
        dispatcher, queue = make_queue(log)
        held = [await queue.assign(make_job(), (), 1.0) for _ in range(2)]
        for _ in range(8):
            queue._queues["pool"].waiting.record_completion(now())
        waiting = [
            asyncio.create_task(queue.assign(make_job(), avoid, 5.0))
            for avoid in ((), ("e",), (), ("e", "f"), ("e",), ())
        ]
        await asyncio.sleep(0)
        for n_free, assignment in enumerate(held, 1):
            dispatcher.release(assignment)
            await asyncio.sleep(0.01)
            served = [n for n, task in enumerate(waiting) if task.done()]
            assert served == [0, 2][:n_free]
        # A target that none of them excludes takes them in the order of their turns.
        engine = dispatcher._routing_state.engines["e"]
        other = msgspec.structs.replace(engine, target="g", address="g:1")
        dispatcher._routing_state.apply_change(EngineChange("g", other))
        dispatcher.record_targets_changed()
        await asyncio.sleep(0.01)
        assert [n for n, task in enumerate(waiting) if task.done()] == [0, 1, 2, 3]
        for task in waiting:
            task.cancel()
        await asyncio.wait(waiting)
        assert not len(queue)

    asyncio.run(run())


@pytest.mark.parametrize("avoid", [(), ("f",)])
def test_error_in_the_search_for_one_request_ends_no_other(log, avoid):
    # It would be raised where another request gives its room back.
    async def run():
        dispatcher, queue = make_queue(log)
        held = [await queue.assign(make_job(), (), 1.0) for _ in range(2)]
        for _ in range(8):
            queue._queues["pool"].waiting.record_completion(now())
        faulty = make_job()
        waiting = [
            asyncio.create_task(queue.assign(job, avoid, 5.0))
            for job in (make_job(), faulty, make_job())
        ]
        await asyncio.sleep(0)
        assign = dispatcher.assign

        def fail(service, demand, now_s, avoid=(), defer=()):
            if demand is faulty.demand:
                raise KeyError("layers")
            return assign(service, demand, now_s, avoid, defer)

        dispatcher.assign = fail
        for assignment in held:
            dispatcher.release(assignment)
        await asyncio.wait(waiting, timeout=1.0)
        assert isinstance(waiting[1].exception(), KeyError)
        assert all(waiting[n].result() for n in (0, 2))
        assert not len(queue)

    asyncio.run(run())


def test_request_with_too_long_predicted_wait_is_refused_at_once(log):
    async def run():
        dispatcher, queue = make_queue(log)
        held = [await queue.assign(make_job(), (), 1.0) for _ in range(2)]
        first = asyncio.create_task(queue.assign(make_job(), (), 1.0))
        await asyncio.sleep(0)
        started_s = now()
        with pytest.raises(Refusal) as error:
            await queue.assign(make_job(), (), 1.0)
        assert now() - started_s < 0.1
        assert error.value.status == 503
        assert error.value.retry_after_s >= 0.5
        dispatcher.release(held[0])
        await first

    asyncio.run(run())


def test_retry_time_grows_with_the_number_of_refused_callers(log):
    async def run():
        _, queue = make_queue(log)
        for _ in range(2):
            await queue.assign(make_job(), (), 1.0)
        waiting = asyncio.create_task(queue.assign(make_job(), (), 0.5))
        await asyncio.sleep(0)
        queue._queues["pool"].waiting.record_completion(now())
        queue._queues["pool"].waiting.record_completion(now())
        times_s = []
        for _ in range(5):
            with pytest.raises(Refusal) as error:
                await queue.assign(make_job(), (), 0.01)
            times_s.append(error.value.retry_after_s)
        assert times_s == sorted(times_s)
        assert times_s[0] < times_s[-1]
        with pytest.raises(Refusal):
            await waiting

    asyncio.run(run())


def test_cancelled_waiting_request_keeps_no_capacity(log):
    async def run():
        dispatcher, queue = make_queue(log)
        held = [await queue.assign(make_job(), (), 1.0) for _ in range(2)]
        cancelled = asyncio.create_task(queue.assign(make_job(), (), 1.0))
        await asyncio.sleep(0)
        # Capacity becomes free and the caller disconnects before the request's task
        # runs again.
        dispatcher.release(held[0])
        cancelled.cancel()
        with pytest.raises(asyncio.CancelledError):
            await cancelled
        assert len(queue) == 0
        await asyncio.wait_for(queue.assign(make_job(), (), 0.1), 1.0)

    asyncio.run(run())


async def serve_bytes(answer, keep=True):
    """Listen on loopback and answer each request with the given bytes."""
    ended = asyncio.Event()

    async def handle(reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(answer)
                await writer.drain()
                if not keep:
                    return
                if not await reader.read(1):
                    ended.set()
                    return
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}", ended


def test_cancelled_request_closes_its_connection():
    # When a caller disconnects from its stream, the engine must not continue for two
    # more seconds.
    async def run():
        address, ended = await serve_bytes(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        )
        with ConnectionPool() as pool:

            async def ask():
                async with pool.exchange(address, 1.0, RequestId("a")) as exchange:
                    await exchange.send("GET", "/")
                    await exchange.finish()

            task = asyncio.create_task(ask())
            await asyncio.sleep(0.1)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            await asyncio.wait_for(ended.wait(), 1.0)

    asyncio.run(run())


def test_connection_is_kept_only_after_a_complete_answer():
    async def run():
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        address, _ = await serve_bytes(answer)
        with ConnectionPool() as pool:
            for n in range(3):
                async with pool.exchange(address, 1.0, RequestId(f"{n}")) as exchange:
                    assert await exchange.send("GET", "/") == 200
                    assert (await exchange.finish()).body == b"ok"
            assert pool.n_opened == 1
            async with pool.exchange(address, 1.0, RequestId("new"), is_new=True):
                pass
            assert pool.n_opened == 2

    asyncio.run(run())


def test_request_without_a_descriptor_for_its_connection_was_not_sent(monkeypatch):
    # Any other error has an unknown outcome: a caller may not repeat its request then.
    def fail(family):
        raise OSError(errno.EMFILE, "no descriptor")

    async def run():
        monkeypatch.setattr(socket, "socket", fail)
        with pytest.raises(ConnectFailed, match="no descriptor"):
            await Exchange.open("127.0.0.1:9", 1.0)
        monkeypatch.undo()

    asyncio.run(run())


def test_answer_to_an_earlier_request_is_discarded():
    async def run():
        stray = b"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
        own = b"HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew"
        address, _ = await serve_bytes(stray + own)
        with await Exchange.open(address, 1.0) as exchange:
            await exchange.send(
                "GET", "/", is_expected=lambda _, h: h.get("Id") == "new"
            )
            assert (await exchange.finish()).body == b"new"

    asyncio.run(run())


def test_body_without_content_length_is_complete_only_if_connection_was_closed():
    async def run():
        answer = b"HTTP/1.1 200 OK\r\n\r\nall"
        address, _ = await serve_bytes(answer, keep=False)
        with await Exchange.open(address, 1.0) as exchange:
            await exchange.send("GET", "/")
            assert (await exchange.finish()).body == b"all"
        short = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"
        address, _ = await serve_bytes(short, keep=False)
        with await Exchange.open(address, 1.0) as exchange:
            await exchange.send("GET", "/")
            with pytest.raises(ExchangeBroken):
                await exchange.finish()

    asyncio.run(run())


class FakeMetrics:
    def record_wait(self, waited_s):
        pass

    def record_attempt(self, result):
        pass


def test_log_does_not_block_when_its_reader_stops(tmp_path):
    reading, writing = os.pipe()
    log = DecisionLog("d1", writing)
    started_s = now()
    for kind in range(400):
        for _ in range(150):
            log.record(f"kind-{kind}", text="x" * 50)
        log.flush()
    assert now() - started_s < 5.0
    assert log.n_lost > 0
    os.close(reading)
    os.close(writing)


def test_log_limits_each_kind_and_counts_suppressed_lines(tmp_path):
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    log = DecisionLog("d1", descriptor)
    for n in range(5000):
        log.record("storm", n=n)
    log.record("rare")
    log._budgets["storm"].available = 1.0
    log.flush()
    os.close(descriptor)
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    kinds = [row["event"] for row in rows]
    assert kinds.count("storm") < 400
    assert "rare" in kinds
    left_out = [row for row in rows if row["event"] == "log.left_out"]
    assert left_out[0]["of"] == "storm"
    assert left_out[0]["n_lines"] == 5000 - kinds.count("storm")


class FakeFeed:
    def __init__(self, *answers):
        self.answers = list(answers)

    async def _next(self):
        if not self.answers:
            await asyncio.sleep(3600)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def snapshot(self):
        return await self._next()

    async def changes(self, position, wait_s):
        return await self._next()


def test_feed_is_read_again_after_unavailability_and_truncation(log):
    feed = FakeFeed(
        LogUnavailable("down"),
        FeedPage(("a",), 3),
        Truncated(9),
        FeedPage(("b",), 9),
        FeedPage(("c",), 10),
    )
    seen, snapshots = [], []
    age = StateAge(5.0)
    follower = FeedFollower(
        "f",
        feed,
        seen.append,
        snapshots.append,
        age,
        log,
        0.0,
        0.0,
        random.Random(1),
    )

    async def run():
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.4)
        task.cancel()

    asyncio.run(run())
    assert snapshots == [("a",), ("b",)]
    assert seen == ["c"]
    assert age.current_at_s is not None


def test_retries_are_limited_by_requests_and_share_of_slack(log, tmp_path):
    limits = RetryLimits(
        0.2,
        slack=20.0,
        window_s=10.0,
        count_daemons=lambda: 8,
        mesh=None,
        fleet=FleetView(None, 0.0),
        log=log,
        metrics=GatewayMetrics("celje"),
        random_state=random.Random(1),
        started_s=now() - 60.0,
    )
    take = [limits.record_request("pool", "r") for _ in range(10)][-1]
    # 0.8 of (0.2 x 10 requests + a slack of 20 over 8 daemons).

    async def take_all():
        return [await take() for _ in range(4)]

    assert asyncio.run(take_all()) == [True, True, True, False]
    assert asyncio.run(limits.record_request("other", "r")())
    log.flush()
    denied = json.loads((tmp_path / "log").read_text())
    assert denied["event"] == "retry.denied"
    counts = [denied[f"n_{name}"] for name in ("requests", "retries", "daemons")]
    assert counts == [10, 3, 8]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 50])
def test_events_are_complete_for_any_chunk_size(size):
    stream = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 30))
    events = EventBuffer()
    out = b""
    for at in range(0, len(stream), size):
        complete = events.feed(stream[at : at + size])
        assert complete == b"" or complete.endswith(b"\n\n")
        out += complete
    assert out == stream
    assert (events.last_id, events.n_events, events.remainder) == ("29", 29, b"")


def test_started_stream_waits_for_capacity_until_its_deadline(log):
    # An engine stops responding while all caches are full. A stream that has sent 30
    # events must not be given up after one second while its caller is still connected.
    async def run():
        dispatcher, queue = make_queue(log)
        held = [await queue.assign(make_job(), (), 1.0) for _ in range(2)]
        waiting = asyncio.create_task(queue.assign(make_job(), (), 1.0))
        await asyncio.sleep(0)
        forwarder = StreamForwarder(
            None, None, dispatcher, queue, *[None] * 5, log, FakeMetrics()
        )
        stream = StreamState(make_job(), lambda: True)
        stream.is_started = True
        resumed = asyncio.create_task(forwarder._assign(stream))
        await asyncio.sleep(1.2)
        assert waiting.done()
        assert not resumed.done()
        dispatcher.release(held[0])
        assert (await asyncio.wait_for(resumed, 1.0)).head.target == "e"
        with pytest.raises(Refusal):
            waiting.result()

    asyncio.run(run())


@pytest.mark.parametrize("is_found", [True, False])
def test_search_that_is_not_needed_gives_its_room_back(log, is_found):
    # The engine goes on while a search for another chain is in progress, or just as it
    # has found one.
    async def run():
        dispatcher, queue = make_queue(log)
        held = [await queue.assign(make_job(), (), 1.0) for _ in range(2)]
        with ChainSearch(queue, dispatcher) as search:
            search.start(make_job(), ())
            await asyncio.sleep(0.01)
            assert search.take() is None
            if is_found:
                dispatcher.release(held.pop())
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        if not is_found:
            dispatcher.release(held.pop())
        assert len(queue) == 0
        assert await queue.assign(make_job(), (), 0.1)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("keep_alive", "idle_s"), [("timeout=5", 4.0), ("timeout=\u00b2", 4.0), ("", 4.0)]
)
def test_idle_time_that_is_no_number_is_the_default(keep_alive, idle_s):
    assert _idle_time_s(keep_alive) == idle_s


@pytest.mark.parametrize("separator", [b"\n\n", b"\r\n\r\n"])
def test_events_are_found_however_their_bytes_are_split(separator):
    data = separator.join([b"id: 1\ndata: a", b"id: 2\ndata: b", b""])
    events = EventBuffer()
    complete = b"".join(events.feed(bytes([byte])) for byte in data)
    assert complete == data
    assert (events.last_id, events.n_events) == ("2", 2)
    assert not events.is_inside_event


def test_event_without_end_is_not_buffered_without_end():
    events = EventBuffer()
    block = b"x" * (MAX_EVENT_BYTES // 4)
    for _ in range(4):
        assert events.feed(block) == b""
    with pytest.raises(AnswerTooLarge):
        events.feed(b"x")


def test_connection_that_opens_while_the_loop_is_held_up_is_used():
    # The kernel opens it in time; the event loop finds out later.
    async def hold(reader, writer):
        try:
            await reader.read()
        finally:
            writer.close()

    async def run():
        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        opening = asyncio.ensure_future(Exchange.open(f"127.0.0.1:{port}", 0.1))
        await asyncio.sleep(0)
        time.sleep(0.3)
        try:
            (await opening).close()
        finally:
            server.close()

    asyncio.run(run())


def test_gateway_keeps_the_pause_of_an_engine_whose_entry_comes_back():
    # Its requests were sent on in the pause: the removal of the entry had ended it.
    gateway = Gateway.__new__(Gateway)
    gateway._health, gateway._closures = TargetHealth(), TargetClosures()
    gateway._pool = SimpleNamespace(drop=lambda address: None)
    gateway._paces = None
    gateway._dispatcher = SimpleNamespace(record_targets_changed=lambda: None)
    engine = Engine(target="t", service="s", address="t:1", domain="d", incarnation=1)
    gateway._closures.close(engine, 5.0, now())
    gateway._handle_engine_change(engine, None)
    gateway._handle_engine_change(None, engine)
    assert gateway._closures.is_closed(engine, now())
    restarted = msgspec.structs.replace(engine, incarnation=2)
    gateway._handle_engine_change(engine, restarted)
    assert not gateway._closures.is_closed(restarted, now())
