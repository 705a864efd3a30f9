"""What engines say of themselves is applied, told to others, and forgotten in time."""

import asyncio
import os
import random

import msgspec
import pytest

from cassiaspread_core.chains import LoadLedger
from cassiaspread_core.placement import Engine
from cassiaspread_core.targets import MAX_CLOSED_S, TargetClosures, TargetHealth
from cassiaspread_daemon.gateway import DecisionLog, EngineNotice
from cassiaspread_daemon.gateway._dispatch import Dispatcher
from cassiaspread_daemon.gateway._engine_notices import EngineNotices, LeavingEngine
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._protocols import EngineChange
from cassiaspread_daemon.gateway._routing_state import RoutingState

ENGINE = Engine(target="t", service="s", address="t:1", domain="d", incarnation=1)
LEAVES = EngineNotice(is_leaving=True)


class FakeMesh:
    def __init__(self):
        self.n_told = 0

    def add_delta_topic(self, name, topic):
        self.topic = topic

    def tell(self):
        self.n_told += 1

    @property
    def entries(self):
        """Entries that a peer of another domain would get."""
        return self.topic._hub.log(True).changes(0).full


@pytest.fixture
def log(tmp_path):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    yield DecisionLog("d1", descriptor)
    os.close(descriptor)


def make_notices(log):
    routing_state = RoutingState(log, 5.0, 5.0)
    routing_state.apply_change(EngineChange("t", ENGINE))
    closures, mesh = TargetClosures(), FakeMesh()
    dispatcher = Dispatcher(
        "d", routing_state, LoadLedger(), TargetHealth(), closures, random.Random(1)
    )
    notices = EngineNotices(
        routing_state, closures, dispatcher, mesh, mesh.tell, log, GatewayMetrics("d")
    )
    return notices, routing_state, mesh


def test_leaving_is_told_at_once_by_the_daemon_that_hears_it_first(log):
    notices, routing_state, mesh = make_notices(log)
    notices.record(ENGINE, LEAVES, 0.0)
    notices.record(ENGINE, LEAVES, 0.0)
    assert mesh.n_told == 1
    assert not routing_state.engines_of("s")
    notices, routing_state, mesh = make_notices(log)
    notices._receive(LeavingEngine("t", 1), None)
    assert mesh.n_told == 0
    assert not routing_state.engines_of("s")


def test_engine_that_left_is_not_told_of_any_more_when_it_is_gone(log):
    notices, routing_state, mesh = make_notices(log)
    notices.record(ENGINE, LEAVES, 0.0)
    assert len(mesh.entries) == 1
    routing_state.apply_change(EngineChange("t", None))
    assert not mesh.entries
    # An entry that comes back is of an engine that leaves; a restarted one is not.
    routing_state.apply_change(EngineChange("t", ENGINE))
    assert not routing_state.engines_of("s")
    restarted = msgspec.structs.replace(ENGINE, incarnation=2)
    routing_state.apply_change(EngineChange("t", restarted))
    assert routing_state.engines_of("s") == [restarted]


def test_end_of_a_pause_is_awaited_no_longer_than_the_pause_counts(log):
    async def run():
        notices, _, _ = make_notices(log)
        loop = asyncio.get_running_loop()
        notices.record(ENGINE, EngineNotice(pause_s=1e9), now())
        [timer] = loop._scheduled
        assert timer.when() - loop.time() <= MAX_CLOSED_S

    asyncio.run(run())
