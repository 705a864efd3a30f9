"""What engines say of themselves is applied, told to others, and forgotten in time."""

import asyncio
import os
import random

import msgspec
import pytest

from cassiaspread_core.chains import LoadLedger
from cassiaspread_core.placement import NO_LAYERS, Engine
from cassiaspread_core.targets import MAX_CLOSED_S, TargetClosures, TargetHealth
from cassiaspread_daemon._exchange import ConnectFailed
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway import DecisionLog, EngineNotice, EngineReport
from cassiaspread_daemon.gateway._dispatch import Dispatcher
from cassiaspread_daemon.gateway._engine_notices import EngineNotices, LeavingEngine
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._protocols import EngineChange
from cassiaspread_daemon.gateway._routing_state import RoutingState

ENGINE = Engine(target="t", service="s", address="t:1", domain="d", incarnation=1)
RESTARTED = msgspec.structs.replace(ENGINE, incarnation=2)
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


class FakeEngines:
    """Engines of which all report the same; ``None`` for no report."""

    def __init__(self, incarnation, notice=LEAVES):
        self.incarnation = incarnation
        self.notice = notice
        self.n_reports = 0

    async def report(self, address, timeout_s):
        self.n_reports += 1
        if self.incarnation is None:
            raise ConnectFailed(address)
        return EngineReport(
            layers=NO_LAYERS,
            is_loading=False,
            n_orders=0,
            incarnation=self.incarnation,
            notice=self.notice,
        )


class FakeSupervisor(Supervisor):
    """Runs each task to its end at once."""

    def __init__(self):
        super().__init__("test")

    def start_once(self, name, run):
        asyncio.run(run())


@pytest.fixture
def log(tmp_path):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    yield DecisionLog("d1", descriptor)
    os.close(descriptor)


def read_log(log, path):
    log.flush()
    rows = [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]
    return [
        {k: v for k, v in row.items() if k not in ("time_s", "process")}
        for row in rows
        if row["event"].startswith(("engine.leaving", "engine.not_asked"))
    ]


def make_notices(log, engines=None):
    routing_state = RoutingState(log, 5.0, 5.0)
    routing_state.apply_change(EngineChange("t", ENGINE))
    closures, mesh = TargetClosures(), FakeMesh()
    dispatcher = Dispatcher(
        "d", routing_state, LoadLedger(), TargetHealth(), closures, random.Random(1)
    )
    notices = EngineNotices(
        routing_state,
        closures,
        dispatcher,
        engines or FakeEngines(ENGINE.incarnation),
        FakeSupervisor(),
        mesh,
        mesh.tell,
        log,
        GatewayMetrics("d"),
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
    routing_state.apply_change(EngineChange("t", RESTARTED))
    assert routing_state.engines_of("s") == [RESTARTED]


def test_process_that_leaves_is_identified_by_its_report(log, tmp_path):
    engines = FakeEngines(RESTARTED.incarnation)
    notices, routing_state, mesh = make_notices(log, engines)
    for _ in range(3):
        notices.record(ENGINE, LEAVES, 0.0)
    assert engines.n_reports == 1
    # Peers may list either process.
    assert mesh.n_told == 2
    assert len(mesh.entries) == 2
    routing_state.apply_change(EngineChange("t", RESTARTED))
    assert not routing_state.engines_of("s")
    assert len(mesh.entries) == 1
    # Neither process comes back with an older copy of the list.
    routing_state.apply_change(EngineChange("t", ENGINE))
    assert not routing_state.engines_of("s")
    assert read_log(log, tmp_path / "log") == [
        {"event": "engine.leaving", "target": "t", "incarnation": 1},
        {
            "event": "engine.leaving_unlisted",
            "target": "t",
            "incarnation": 2,
            "listed": 1,
        },
    ]


@pytest.mark.parametrize(
    "engines",
    [
        FakeEngines(RESTARTED.incarnation, EngineNotice()),
        FakeEngines(0),
        FakeEngines(None),
    ],
    ids=["does not leave", "does not tell its start", "does not report"],
)
def test_process_that_is_not_known_to_leave_is_used(log, tmp_path, engines):
    notices, routing_state, mesh = make_notices(log, engines)
    notices.record(ENGINE, LEAVES, 0.0)
    assert mesh.n_told == 1
    assert not routing_state.engines_of("s")
    routing_state.apply_change(EngineChange("t", RESTARTED))
    assert routing_state.engines_of("s") == [RESTARTED]
    is_asked = engines.incarnation is not None
    events = [row["event"] for row in read_log(log, tmp_path / "log")]
    assert events == ["engine.leaving"] + ([] if is_asked else ["engine.not_asked"])


@pytest.mark.parametrize("listed", [RESTARTED, None])
def test_notice_of_a_process_that_is_not_listed_is_logged_as_such(
    log, tmp_path, listed
):
    notices, routing_state, mesh = make_notices(log)
    routing_state.apply_change(EngineChange("t", listed))
    notices._receive(LeavingEngine("t", 1), None)
    assert len(mesh.entries) == 1
    assert routing_state.engines_of("s") == ([] if listed is None else [listed])
    assert read_log(log, tmp_path / "log") == [
        {
            "event": "engine.leaving_unlisted",
            "target": "t",
            "incarnation": 1,
            "listed": None if listed is None else listed.incarnation,
        }
    ]
    following = msgspec.structs.replace(ENGINE, incarnation=3)
    routing_state.apply_change(EngineChange("t", following))
    assert not mesh.entries


def test_end_of_a_pause_is_awaited_no_longer_than_the_pause_counts(log):
    async def run():
        notices, _, _ = make_notices(log)
        loop = asyncio.get_running_loop()
        notices.record(ENGINE, EngineNotice(pause_s=1e9), now())
        [timer] = loop._scheduled
        assert timer.when() - loop.time() <= MAX_CLOSED_S

    asyncio.run(run())
