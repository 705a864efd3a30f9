"""Quarantine of the gateway: what counts as a loss, who is refused, what is shared."""

import asyncio
import json
import os
import random
import socket

import msgspec
import pytest

from cassiaspread_core.base import LogUnavailable, Refusal
from cassiaspread_core.placement import Engine
from cassiaspread_core.quarantine import (
    MIN_TRIAL_S,
    Loss,
    RunStart,
    SuspectKind,
    SuspectRecord,
    part_fingerprint,
)
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway import DecisionLog, FeedPage, SuspectChange
from cassiaspread_daemon.gateway import _quarantine as quarantine_module
from cassiaspread_daemon.gateway._capacity_queue import CapacityQueue
from cassiaspread_daemon.gateway._feed_sharing import FeedSharing
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._job import unix_time_s
from cassiaspread_daemon.gateway._quarantine import (
    CLEARED_LIFETIME_S,
    MAX_RECORDS,
    MIN_RENEWAL_GAP_S,
    N_RENEWALS_ALIVE,
    QUARANTINE_S,
    Quarantine,
    Source,
)
from cassiaspread_daemon.gateway._suspect_sharing import SuspectSharing
from tests.gateway_jobs import make_job

FIRST_RUN = RunStart(1, 0)

LOSS_TIMEOUT_S = 5.0


@pytest.fixture
def log(tmp_path):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    yield DecisionLog("d1", descriptor)
    os.close(descriptor)


@pytest.fixture
def quarantine(log):
    return Quarantine(lambda engine: False, Supervisor("test"), log)


def free_address():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


def make_engine(target, address, incarnation=1):
    return Engine(
        target=target,
        service="pool",
        address=address,
        domain="celje",
        incarnation=incarnation,
    )


def make_record(fingerprint, *rounds, at_s=None):
    at_s = unix_time_s() if at_s is None else at_s
    losses = tuple(Loss(f"{fingerprint}-e{n}", "1", 0, at_s, round=n) for n in rounds)
    return SuspectRecord(
        fingerprint=fingerprint, organisation="celje", subject="pool", losses=losses
    )


async def lose(quarantine, job, n_losses):
    for index in range(n_losses):
        await lose_engine(quarantine, job, make_engine(f"e{index}", free_address()))


async def lose_engine(quarantine, job, engine):
    """Interrupt a request; the probe may take longer than the gateway waits for it."""
    await quarantine.record_interruption(job, [engine], quarantine.begin_run(job))
    async with asyncio.timeout(LOSS_TIMEOUT_S):
        while engine.target not in lost_targets(quarantine, job):
            await asyncio.sleep(0.01)


def lost_targets(quarantine, job):
    record = quarantine.find(job.fingerprint)
    return set() if record is None else {loss.target for loss in record.losses}


def test_request_is_refused_after_three_targets_ended_one_after_the_other(
    quarantine, log, tmp_path
):
    async def run():
        job = make_job(fingerprint="p")
        await lose(quarantine, job, 2)
        quarantine.check(job, False, unix_time_s())
        await lose_one_more(quarantine, job)
        with pytest.raises(Refusal) as not_run:
            quarantine.check(job, False, unix_time_s())
        with pytest.raises(Refusal) as has_run:
            quarantine.check(job, True, unix_time_s())
        assert (not_run.value.status, has_run.value.status) == (503, 502)
        assert 0 < not_run.value.retry_after_s <= QUARANTINE_S
        quarantine.check(make_job(fingerprint="q"), False, unix_time_s())

    asyncio.run(run())
    log.flush()
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    [imposed] = [line for line in lines if line["event"] == "quarantine.imposed"]
    assert (imposed["n_rounds"], len(imposed["targets"])) == (3, 3)
    refused = [line for line in lines if line["event"] == "request.quarantined"]
    assert [line["has_run"] for line in refused] == [False, True]


def make_prompt_job(number, *parts):
    """Return a stream with shared parts in its prompt, otherwise like no other."""
    job = make_job(fingerprint=f"r{number}")
    return msgspec.structs.replace(
        job,
        parameters=msgspec.structs.replace(job.parameters, shared_parts=parts),
        part_fingerprints=tuple(map(part_fingerprint, parts)),
    )


def test_log_says_which_part_a_request_is_refused_for(quarantine, log, tmp_path):
    async def run():
        for number in range(3):
            engine = make_engine(f"e{number}", free_address())
            await lose_engine(quarantine, make_prompt_job(number, "5c1e"), engine)
        quarantine.check(make_prompt_job(8, "91bd"), False, unix_time_s())
        with pytest.raises(Refusal) as refused:
            quarantine.check(make_prompt_job(9, "91bd", "5c1e"), False, unix_time_s())
        assert refused.value.retry_after_s <= 2 * MIN_TRIAL_S

    asyncio.run(run())
    log.flush()
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    [line] = [line for line in lines if line["event"] == "request.quarantined"]
    assert (line["part"], line["kind"]) == ("5c1e", "prompt-part")
    assert line["targets"] == ["e0", "e1", "e2"]
    assert 0.0 <= line["last_loss_age_s"] <= line["first_loss_age_s"]
    lost = [line for line in lines if line["event"] == "target.lost"]
    assert [line["shared_parts"] for line in lost] == [["5c1e"]] * 3


def test_queue_refuses_what_a_verdict_on_a_part_concerns(quarantine):
    checked = []

    def recheck():
        for job in (make_prompt_job(1, "5c1e"), make_prompt_job(2, "91bd")):
            checked.append((job.fingerprint, quarantine.is_refused(job)))

    quarantine.verdict_callbacks.append(recheck)

    async def run():
        for number in range(3):
            engine = make_engine(f"e{number}", free_address())
            await lose_engine(quarantine, make_prompt_job(10 + number, "5c1e"), engine)

    asyncio.run(run())
    assert checked == [("r1", True), ("r2", False)]


async def lose_one_more(quarantine, job):
    await lose_engine(quarantine, job, make_engine("e-last", free_address()))


def test_target_that_accepts_connections_is_not_lost(quarantine):
    # A connection that breaks does not mean that the target ended.
    async def hold(reader, writer):
        try:
            await reader.read()
        finally:
            writer.close()

    async def run():
        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with server:
            engine = make_engine("e", address)
            await quarantine.record_interruption(make_job(), [engine], FIRST_RUN)
            await asyncio.sleep(0.1)
        assert quarantine.n_suspects == 0

    asyncio.run(run())


@pytest.mark.parametrize("is_ending", [True, False])
def test_target_that_closes_the_probe_is_probed_again(quarantine, is_ending):
    # A process that ends may close the request's connection before the socket on which
    # it listens; a target beyond its limit of connections closes each new one.
    async def run():
        def close(reader, writer):
            writer.close()
            if is_ending:
                server.close()

        server = await asyncio.start_server(close, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        engine = make_engine("e", address)
        await quarantine.record_interruption(make_job(), [engine], FIRST_RUN)
        await asyncio.sleep(0.1)
        server.close()
        assert quarantine.n_suspects == (1 if is_ending else 0)

    asyncio.run(run())


@pytest.mark.parametrize("is_unreachable", [True, False])
def test_silent_target_is_lost_unless_its_domain_is_cut_off(
    log, monkeypatch, is_unreachable
):
    async def connect(address):
        return quarantine_module.ProbeResult.SILENT

    monkeypatch.setattr(
        "cassiaspread_daemon.gateway._loss_probe.LossProbe.run",
        lambda self, address, now_s: connect(address),
    )
    quarantine = Quarantine(lambda e: is_unreachable, Supervisor("test"), log)
    engine = make_engine("e", "127.0.0.1:1")
    asyncio.run(quarantine.record_interruption(make_job(), [engine], FIRST_RUN))
    assert quarantine.n_suspects == (0 if is_unreachable else 1)


def test_answer_clears_the_losses_before_it(quarantine):
    job = make_job(fingerprint="p")
    quarantine.merge(make_record("p", 1, 2, 3), Source.PEER, unix_time_s())
    with pytest.raises(Refusal):
        quarantine.check(job, False, unix_time_s())
    quarantine.record_answer(job, unix_time_s())
    quarantine.check(job, False, unix_time_s())
    assert quarantine.begin_run(job).round == 1


def test_target_that_renews_its_entry_did_not_end(quarantine):
    # Behind a network partition all connections are refused, but the entries of the
    # targets are renewed.
    job = make_job(fingerprint="p")
    quarantine.merge(make_record("p", 1, 2, 3), Source.PEER, unix_time_s())
    for n in range(N_RENEWALS_ALIVE):
        with pytest.raises(Refusal):
            quarantine.check(job, False, unix_time_s())
        for incarnation in (1, 2):
            engine = make_engine("p-e1", "a:1", incarnation)
            quarantine.record_renewal(engine, n * MIN_RENEWAL_GAP_S, unix_time_s())
    quarantine.check(job, False, unix_time_s())


def test_old_renewals_read_in_quick_succession_refute_no_loss(quarantine):
    # Seen in soak seed 200: a daemon that had been paused took the renewals from before
    # the end of an engine as a proof that it lived.
    job = make_job(fingerprint="p")
    quarantine.merge(make_record("p", 1, 2, 3), Source.PEER, unix_time_s())
    for n in range(10):
        engine = make_engine("p-e1", "a:1")
        quarantine.record_renewal(engine, 1.0 + n * 0.05, unix_time_s())
    with pytest.raises(Refusal):
        quarantine.check(job, False, unix_time_s())


def test_target_that_restarted_unseen_is_lost_again(quarantine):
    # Seen in soak seed 200: while the store was away, the list showed the incarnation
    # that had ended before, and the loss of its successor was taken for the same one.
    async def run():
        job = make_job(fingerprint="p")
        engine = make_engine("e", free_address())
        for _ in range(3):
            run_start = quarantine.begin_run(job)
            await quarantine.record_interruption(job, [engine], run_start)
        with pytest.raises(Refusal):
            quarantine.check(job, False, unix_time_s())

    asyncio.run(run())


def test_copies_interrupted_by_one_end_count_it_once(quarantine):
    async def run():
        job = make_job(fingerprint="p")
        engine = make_engine("e", free_address())
        run_starts = [quarantine.begin_run(job) for _ in range(4)]
        for run_start in run_starts:
            await quarantine.record_interruption(job, [engine], run_start)
        assert len(quarantine.find("p").counted) == 1

    asyncio.run(run())


def test_records_expire_and_are_bounded(quarantine):
    now_s = unix_time_s()
    quarantine.merge(make_record("p", 1, 2, 3, at_s=now_s), Source.PEER, now_s)
    for n in range(MAX_RECORDS + 10):
        quarantine.merge(make_record(f"f{n}", 1, at_s=now_s), Source.PEER, now_s)
    assert quarantine.n_suspects == MAX_RECORDS
    # The record with the most losses is the last to be evicted.
    assert quarantine.n_crashing == 1
    quarantine.expire(now_s + CLEARED_LIFETIME_S + 1.0)
    assert quarantine.n_suspects == MAX_RECORDS
    quarantine.expire(now_s + QUARANTINE_S + 1.0)
    assert (quarantine.n_suspects, quarantine.n_crashing) == (0, 0)
    old = make_record("p", 1, 2, 3, at_s=now_s - QUARANTINE_S - 1.0)
    quarantine.merge(old, Source.STORE, now_s)
    assert quarantine.n_suspects == 0


class FakeTopic:
    """Records of the store, which may lose some, and be unavailable."""

    def __init__(self):
        self.records = {}
        self.is_unavailable = False
        self.position = 0
        self.n_writes = 0

    async def snapshot(self):
        if self.is_unavailable:
            raise LogUnavailable("down")
        items = tuple(SuspectChange(f, r) for f, r in self.records.items())
        return FeedPage(items, self.position)

    async def changes(self, position, wait_s):
        await asyncio.sleep(3600)

    async def write(self, changes):
        self.n_writes += 1
        if self.is_unavailable:
            raise LogUnavailable("down")
        for change in changes:
            self.records[change.fingerprint] = change.record
            if change.record is None:
                del self.records[change.fingerprint]


async def wait_for(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.02)


def run_sharing(quarantine, log, topic, use):
    async def run():
        async with Supervisor("sharing") as supervisor:
            feed_sharing = FeedSharing(
                "celje", None, FleetView(None, 0.0), supervisor, log
            )
            sharing = SuspectSharing(
                quarantine, None, feed_sharing, topic, supervisor, log, random.Random(1)
            )
            sharing.start()
            await use(sharing)

    asyncio.run(run())


def test_records_are_written_again_after_an_outage(quarantine, log):
    topic = FakeTopic()
    topic.is_unavailable = True

    async def use(sharing):
        quarantine.merge(make_record("p", 1, 2), Source.OWN, unix_time_s())
        await wait_for(lambda: topic.n_writes)
        assert not topic.records
        topic.is_unavailable = False
        await wait_for(lambda: "p" in topic.records)

    run_sharing(quarantine, log, topic, use)


def test_store_gets_the_records_that_a_snapshot_lacks(quarantine, log):
    topic = FakeTopic()
    quarantine.merge(make_record("p", 1, 2, 3), Source.PEER, unix_time_s())
    quarantine.merge(make_record("q", 1), Source.PEER, unix_time_s())
    topic.records["p"] = make_record("p", 1)
    topic.records["r"] = make_record("r", 1, 2, 3)

    async def use(sharing):
        await wait_for(lambda: topic.records["p"].n_rounds == 3)
        assert quarantine.n_crashing == 2
        # A single loss is not worth a write.
        assert "q" not in topic.records

    run_sharing(quarantine, log, topic, use)


def make_part_record(part, at_s):
    loss = Loss(f"{part}-e", "1", 0, at_s, organisations=("celje",))
    return SuspectRecord(
        fingerprint=part_fingerprint(part),
        organisation="celje",
        subject="pool",
        losses=(loss,),
        kind=SuspectKind.PROMPT_PART,
    )


def test_store_gets_parts_that_are_not_cleared_soon(quarantine, log):
    # Each daemon may see a part only once.
    topic = FakeTopic()

    async def use(sharing):
        now_s = unix_time_s()
        for part in ("5c1e", "91bd"):
            quarantine.merge(make_part_record(part, now_s), Source.OWN, now_s)
        quarantine.record_progress(make_prompt_job(1, "91bd"), unix_time_s())
        await wait_for(lambda: part_fingerprint("5c1e") in topic.records)
        await asyncio.sleep(0.5)
        assert list(topic.records) == [part_fingerprint("5c1e")]

    run_sharing(quarantine, log, topic, use)


def test_expired_records_are_removed_from_the_store(quarantine, log):
    topic = FakeTopic()
    old_s = unix_time_s() - QUARANTINE_S - 1.0
    topic.records["p"] = make_record("p", 1, 2, 3, at_s=old_s)

    async def use(sharing):
        await wait_for(lambda: not topic.records)
        assert quarantine.n_crashing == 0

    run_sharing(quarantine, log, topic, use)


def test_waiting_request_is_refused_when_its_quarantine_is_known(quarantine, log):
    async def run():
        queue = CapacityQueue(FullDispatcher(), None, log)
        quarantine.verdict_callbacks.append(
            lambda: queue.refuse_waiting(
                lambda job: quarantine.check(job, False, unix_time_s())
            )
        )
        crashing = asyncio.create_task(queue.assign(make_job(fingerprint="p"), (), 5.0))
        innocent = asyncio.create_task(queue.assign(make_job(), (), 5.0))
        await asyncio.sleep(0)
        quarantine.merge(make_record("p", 1, 2, 3), Source.PEER, unix_time_s())
        queue.recheck_capacity()
        with pytest.raises(Refusal) as refused:
            await asyncio.wait_for(crashing, 0.5)
        assert refused.value.code == "quarantined"
        assert not innocent.done()
        assert len(queue) == 1
        innocent.cancel()

    asyncio.run(run())


class FullDispatcher:
    """A dispatcher that never has capacity."""

    def __init__(self):
        self.capacity_callbacks = []

    def assign(self, service, demand, now_s, avoid=(), defer=()):
        return None


def test_records_keep_their_rounds_on_the_wire():
    record = make_record("p", 1, 2, 3)
    data = msgspec.json.encode(record)
    assert msgspec.json.decode(data, type=SuspectRecord) == record
