"""The placement duty: who applies for it, and who gives it up."""

import asyncio
import os
import random

import pytest

from cassiaspread_core.base import LogUnavailable
from cassiaspread_core.membership import Member
from cassiaspread_core.targets import TargetClosures
from cassiaspread_daemon.gateway import DecisionLog, DutyState
from cassiaspread_daemon.gateway._duty import HolderSign, PlacementDuty
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._routing_state import RoutingState


class FakeStore:
    def __init__(self):
        self.state = DutyState(7, is_holder=True)
        self.n_renewals = 0

    async def renew(self, fencing_token):
        self.n_renewals += 1
        if self.state is None:
            raise LogUnavailable("turned away")
        return self.state


class FakeMesh:
    own_member = Member("i1", "vm1", "d", "10.0.0.1:1")

    def add_topic(self, name, produce, body_type, consume):
        self.produce, self.consume = produce, consume


class FakeFleet:
    def __init__(self):
        self.known = [FakeMesh.own_member]

    def members(self, now_s):
        return self.known


@pytest.fixture
def log(tmp_path):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    yield DecisionLog("d1", descriptor)
    os.close(descriptor)


def make_duty(log):
    store, mesh, fleet = FakeStore(), FakeMesh(), FakeFleet()
    duty = PlacementDuty(
        store,
        None,
        RoutingState(log, 5.0, 5.0),
        mesh,
        fleet,
        TargetClosures(),
        log,
        GatewayMetrics("d"),
        random.Random(1),
    )
    return duty, store, mesh, fleet


async def renew_for(duty, duration_s):
    task = asyncio.create_task(duty.renew())
    await asyncio.sleep(duration_s)
    task.cancel()


def test_holder_that_the_store_turns_away_stops_once_another_one_holds_the_duty(log):
    async def run():
        duty, store, mesh, _ = make_duty(log)
        await renew_for(duty, 0.05)
        assert duty.is_holder
        assert mesh.produce().fencing_token == 7
        store.state = None
        await renew_for(duty, 0.05)
        # Nobody else can hold it while the store turns all daemons away.
        assert duty.is_holder
        mesh.consume(HolderSign(0, 7), None)
        assert duty.is_holder
        mesh.consume(HolderSign(0, 8), None)
        assert not duty.is_holder

    asyncio.run(run())


def test_daemon_that_is_no_candidate_does_not_call_the_store(log):
    async def run():
        duty, store, mesh, fleet = make_duty(log)
        fleet.known = []
        await renew_for(duty, 0.05)
        assert store.n_renewals == 0
        # Signs of a holder are as old as their senders say, rounded up.
        mesh.consume(HolderSign(3, 9), None)
        assert 3 <= mesh.produce().age_s <= 4
        assert mesh.produce().fencing_token == 9

    asyncio.run(run())


def test_daemon_that_has_heard_of_no_holder_gives_no_sign_of_one(log):
    async def run():
        duty, store, mesh, _ = make_duty(log)
        assert mesh.produce() is None
        store.state = DutyState(7, is_holder=False)
        await renew_for(duty, 0.05)
        assert mesh.produce() is None
        mesh.consume(HolderSign(2, 7), None)
        assert mesh.produce().age_s >= 2

    asyncio.run(run())
