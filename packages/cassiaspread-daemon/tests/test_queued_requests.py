"""Queued requests end at their own deadline, whatever happens to their model."""

import asyncio
import random
import time

import pytest

from cassiaspread_core.admission import DaemonDemand
from cassiaspread_core.base import Outcome, Refusal
from cassiaspread_core.pipeline import EngineReport
from cassiaspread_core.policy import Limits, Model, Policy
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.load import Admission
from cassiaspread_daemon.mesh import Sender

MODEL, ORGANISATION = "draft", "osorno"
N_LAYERS = 8
ENGINE = EngineReport(
    target="e",
    address="",
    link="",
    domain="cautin",
    model=MODEL,
    begin=0,
    end=N_LAYERS,
    n_slots=1,
)
# One request runs at a time.
POLICY = Policy(limits=Limits(slot_ratio=1.0), models={MODEL: Model(n_layers=N_LAYERS)})
NEVER_ENDS_S = 10.0


class LoneMesh:
    """Mesh of a daemon without peers."""

    sender = Sender("d1", "cautin", "i", "")

    def add_topic(self, name, produce, body_type, consume) -> None:
        self.produce = produce


class Daemon:
    """Admission with one slot, which a request without end occupies."""

    def __init__(self) -> None:
        self.policy, self.mesh = POLICY, LoneMesh()
        events = EventRing("d1", 100, time.time)
        self.admission = Admission(
            self.mesh,
            events,
            lambda: self.policy,
            lambda model: [ENGINE],
            random.Random(0),
        )

    def acquire_slot(self, request: str, left_s: float, check=lambda now_s: None):
        deadline_s = time.monotonic() + left_s
        return self.admission.acquire_slot(
            MODEL, ORGANISATION, request, 1, deadline_s, check=check
        )

    async def refuse(self, left_s: float) -> tuple[Refusal, float]:
        """Return the refusal of a queued request and how late it was, in seconds."""
        deadline_s = time.monotonic() + left_s
        async with asyncio.timeout(NEVER_ENDS_S):
            with pytest.raises(Refusal) as refused:
                async with self.acquire_slot("queued", left_s):
                    pass
        return refused.value, time.monotonic() - deadline_s

    @property
    def demand(self) -> DaemonDemand:
        return self.mesh.produce().get(MODEL, DaemonDemand())


def test_queued_request_is_refused_without_an_update_of_shares():
    async def run():
        daemon = Daemon()
        async with daemon.acquire_slot("running", 60.0):
            refusal, late_s = await daemon.refuse(0.2)
            return refusal, late_s, daemon.demand.total

    refusal, late_s, n_requests = asyncio.run(run())
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert refusal.retry_after_s >= 1.0
    assert late_s >= 0.0
    assert n_requests == 1


def test_queued_request_is_refused_before_its_deadline_by_its_expected_duration():
    async def run():
        daemon = Daemon()
        async with daemon.acquire_slot("measured", 60.0) as slot:
            await asyncio.sleep(0.5)
            slot.record_tokens(1, is_complete=True)
        async with daemon.acquire_slot("running", 60.0):
            return await daemon.refuse(1.2)

    refusal, late_s = asyncio.run(run())
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert late_s < 0.0


def test_queued_request_is_refused_after_its_model_left_the_policy():
    async def run():
        daemon = Daemon()
        updates = asyncio.ensure_future(daemon.admission.run())
        async with daemon.acquire_slot("running", 60.0):
            refused = asyncio.ensure_future(daemon.refuse(0.4))
            await asyncio.sleep(0)
            daemon.policy = Policy(limits=POLICY.limits)
            refusal, _ = await refused
        updates.cancel()
        return refusal, daemon.demand.total

    refusal, n_requests = asyncio.run(run())
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert n_requests == 0


def test_queued_request_gets_the_slot_that_becomes_free_before_its_deadline():
    async def run():
        daemon = Daemon()
        async with daemon.acquire_slot("running", 60.0):
            queued = daemon.acquire_slot("queued", 60.0)
            waiting = asyncio.ensure_future(queued.__aenter__())
            await asyncio.sleep(0.05)
            assert not waiting.done()
        slot = await waiting
        await queued.__aexit__(None, None, None)
        return slot.ticket.organisation, daemon.demand.total

    assert asyncio.run(run()) == (ORGANISATION, 0)


def test_queued_request_whose_caller_leaves_frees_its_place():
    async def run():
        daemon = Daemon()
        async with daemon.acquire_slot("running", 60.0):
            waiting = asyncio.ensure_future(daemon.refuse(60.0))
            await asyncio.sleep(0.05)
            n_before = daemon.demand.total
            waiting.cancel()
            await asyncio.wait({waiting})
            return n_before, daemon.demand.total

    assert asyncio.run(run()) == (2, 1)


def test_queued_request_that_can_no_longer_begin_is_refused():
    # Guards against requests that wait for a slot in a daemon that leaves, and are then
    # begun and cut.
    def check(now_s):
        if is_leaving:
            raise Refusal(503, "leaving", "leaving", Outcome.NOT_RUN)

    async def run():
        nonlocal is_leaving
        daemon = Daemon()
        updates = asyncio.ensure_future(daemon.admission.run())
        async with daemon.acquire_slot("running", 60.0):
            queued = daemon.acquire_slot("queued", 60.0, check)
            waiting = asyncio.ensure_future(queued.__aenter__())
            await asyncio.sleep(0.05)
            n_before, is_leaving = daemon.demand.total, True
            async with asyncio.timeout(NEVER_ENDS_S):
                with pytest.raises(Refusal, match="leaving"):
                    await waiting
            n_after = daemon.demand.total
        updates.cancel()
        return n_before, n_after

    is_leaving = False
    assert asyncio.run(run()) == (2, 1)


def test_request_that_can_no_longer_begin_does_not_get_its_slot():
    def check(now_s):
        raise Refusal(503, "leaving", "leaving", Outcome.NOT_RUN)

    async def run():
        daemon = Daemon()
        with pytest.raises(Refusal, match="leaving"):
            async with daemon.acquire_slot("late", 60.0, check):
                pass
        return daemon.demand.total

    assert asyncio.run(run()) == 0
