"""Daemons lend each other retries within the shared budget."""

import asyncio
import os
import random

import pytest

from cassiaspread_daemon.gateway import DecisionLog
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._retry_limits import RetryLimits
from cassiaspread_daemon.mesh import Sender
from tests.fake_mesh import FakeMesh, FakeNetwork

N_DAEMONS, SLACK, RATIO = 10, 40.0, 0.2


@pytest.fixture
def log(tmp_path):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    yield DecisionLog("d1", descriptor)
    os.close(descriptor)


def make_fleet(log):
    senders = [
        Sender(f"vm{n}", "d", f"i{n}", f"10.0.0.{n}:1") for n in range(N_DAEMONS)
    ]
    network = FakeNetwork()
    limits = []
    for sender in senders:
        mesh = FakeMesh(network, sender, senders)
        limits.append(
            RetryLimits(
                RATIO,
                SLACK,
                window_s=10.0,
                count_daemons=lambda: N_DAEMONS,
                mesh=mesh,
                fleet=FleetView(mesh, 0.0),
                log=log,
                metrics=GatewayMetrics("d"),
                random_state=random.Random(1),
                started_s=now() - 60.0,
            )
        )
    return limits, network


async def take_all(take, n_asked):
    return sum([await take() for _ in range(n_asked)])


def test_daemon_with_many_lost_streams_gets_retries_of_others(log):
    async def run():
        limits, _ = make_fleet(log)
        take = limits[0].record_request("pool", "r")
        n_taken = await take_all(take, 40)
        own_share = 0.8 * (RATIO + SLACK / N_DAEMONS)
        assert n_taken > 3 * own_share
        for other in limits[1:]:
            n_taken += await take_all(other.record_request("pool", "r"), 40)
        assert n_taken <= 0.8 * (RATIO * N_DAEMONS + SLACK)

    asyncio.run(run())


def test_daemon_that_reaches_nobody_has_its_own_share(log):
    async def run():
        limits, network = make_fleet(log)
        network.meshes.clear()
        take = limits[0].record_request("pool", "r")
        assert await take_all(take, 40) == int(0.8 * (RATIO + SLACK / N_DAEMONS))

    asyncio.run(run())


def test_denied_retries_do_not_ask_again_and_again(log):
    async def run():
        limits, network = make_fleet(log)
        take = limits[0].record_request("pool", "r")
        while await take():
            pass
        network.n_sent = 0
        assert await take_all(take, 100) == 0
        assert network.n_sent <= 3

    asyncio.run(run())
