"""Permits for links come from one schedule, or from an own share of it."""

import asyncio
import os
import random

import msgspec
import pytest

from cassiaspread_core.chains import LoadLedger, RequestDemand, transfer_s
from cassiaspread_core.placement import Accelerator, Engine, LayerRange, ModelSpec
from cassiaspread_core.routing import Service
from cassiaspread_core.targets import TargetClosures, TargetHealth
from cassiaspread_daemon.gateway import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Dispatcher
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._link_permits import LinkPermits
from cassiaspread_daemon.gateway._protocols import EngineChange
from cassiaspread_daemon.gateway._routing_state import RoutingState
from cassiaspread_daemon.mesh import Sender
from tests.fake_mesh import FakeMesh, FakeNetwork
from tests.gateway_jobs import make_job

MODEL = ModelSpec(
    n_layers=8,
    layer_mb=1.0,
    cache_mb_per_token=0.001,
    accelerators={"card": Accelerator("card", 10_000.0)},
    activation_bytes=100_000.0,
    domain_link_mbps=1000.0,
)
N_DAEMONS = 4


def make_engine(domain, begin, end):
    return Engine(
        target=f"{domain}-{begin}",
        service="pool",
        address=f"{domain}:{begin}",
        domain=domain,
        accelerator="card",
        layers=LayerRange(begin, end),
        n_slots=8,
    )


@pytest.fixture
def log(tmp_path):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    yield DecisionLog("d1", descriptor)
    os.close(descriptor)


class Daemon:
    def __init__(self, mesh, log):
        routing_state = RoutingState(log, 5.0, 5.0)
        for engine in (make_engine("a", 0, 4), make_engine("b", 4, 8)):
            routing_state.apply_change(EngineChange(engine.target, engine))
        self.dispatcher = Dispatcher(
            mesh.sender.domain,
            routing_state,
            LoadLedger(),
            TargetHealth(),
            TargetClosures(),
            random.Random(1),
        )
        view = FleetView(mesh, 0.0)
        self.permits = LinkPermits(mesh, view, self.dispatcher, log)
        service = Service("pool", model=MODEL)
        demand = RequestDemand(900, 100, "a")
        self.job = msgspec.structs.replace(make_job(), service=service, demand=demand)

    def assign(self):
        return self.dispatcher.assign(self.job.service, self.job.demand, now())

    async def acquire(self):
        return await self.permits.acquire(self.assign(), self.job)


def make_daemons(log):
    senders = [
        Sender(f"vm{n}", "ab"[n % 2], f"i{n}", f"10.0.0.{n}:1")
        for n in range(N_DAEMONS)
    ]
    network = FakeNetwork()
    return [Daemon(FakeMesh(network, s, senders), log) for s in senders], network


def test_daemons_share_one_schedule(log):
    async def run():
        daemons, _ = make_daemons(log)
        granted = [await daemon.acquire() for daemon in daemons]
        assert granted == [True, False, False, False]
        # A link in use is avoided without asking again.
        assert daemons[1].assign() is None
        await asyncio.sleep(transfer_s(MODEL, daemons[1].job.demand))
        assert daemons[1].assign() is not None

    asyncio.run(run())


def test_daemon_that_can_not_ask_takes_its_share(log):
    async def run():
        daemons, network = make_daemons(log)
        network.meshes.clear()
        granted = [await daemon.acquire() for daemon in daemons]
        assert granted == [True] * N_DAEMONS
        # Each takes as much time as all of them together.
        work_s = transfer_s(MODEL, daemons[0].job.demand)
        schedules = [d.permits._own_shares or d.permits._schedules for d in daemons]
        waits_s = [
            schedule.try_acquire(0.0, 0.0, now())
            for by_link in schedules
            for schedule in by_link.values()
        ]
        assert sorted(waits_s)[1] > (N_DAEMONS - 1) * work_s

    asyncio.run(run())
