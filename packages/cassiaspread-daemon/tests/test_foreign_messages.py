"""Messages of other daemons give checked values or are turned away, and stop nothing.

The examples are derived from a fixed seed, so that every run plays the same ones. A
larger number is played by hand: ``FOREIGN_VALUE_EXAMPLES=20000 pytest ...``.
"""

import asyncio
import math
import os
import random
import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.base import MalformedDocument, decode_with
from cassiaspread_core.placement import Engine
from cassiaspread_core.quarantine import SuspectRecord
from cassiaspread_core.routing import ClientLimits, RouteTable, StateAge
from cassiaspread_daemon.gateway import _feed_sharing as feed_sharing
from cassiaspread_daemon.gateway._document_spread import Document
from cassiaspread_daemon.gateway._duty import HolderSign
from cassiaspread_daemon.gateway._engine_notices import LeavingEngine
from cassiaspread_daemon.gateway._feed_sharing import (
    ConfigurationFollower,
    ConfigurationUpdate,
    EngineFollower,
    EngineUpdate,
    FeedSharing,
)
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._loads import LoadReport
from cassiaspread_daemon.gateway._protocols import EngineChange, FeedPage
from cassiaspread_daemon.gateway._retry_limits import Loan, LoanRequest
from cassiaspread_daemon.gateway._routing_state import FeedFollower, RoutingState
from cassiaspread_daemon.mesh import Sender

N_EXAMPLES = int(os.environ.get("FOREIGN_VALUE_EXAMPLES", "100"))
MESSAGE_TYPES = (
    ConfigurationUpdate,
    Document,
    EngineUpdate,
    HolderSign,
    LeavingEngine,
    Loan,
    LoanRequest,
    LoadReport,
    SuspectRecord,
    feed_sharing._Acknowledgement,
    feed_sharing._Update,
)
KEYS = st.one_of(st.text(max_size=5), st.integers(-(2**63), 2**64 - 1))
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=8),
    st.binary(max_size=8),
)
VALUES = st.recursive(
    SCALARS,
    lambda children: st.one_of(
        st.lists(children, max_size=9),
        st.dictionaries(KEYS, children, max_size=4),
    ),
    max_leaves=12,
)
# Values of the right shape for a message, apart from their numbers.
SHAPED = st.one_of(
    st.lists(st.one_of(st.integers(-(2**63), 2**64 - 1), st.floats()), max_size=4),
    st.dictionaries(st.sampled_from(["a", "b"]), VALUES, max_size=2).map(
        lambda rows: [rows, rows, rows, rows]
    ),
)
DATA = st.one_of(
    VALUES.map(msgspec.msgpack.encode),
    SHAPED.map(msgspec.msgpack.encode),
    st.binary(max_size=40),
    st.just(b"\x91" * 100_000),
)
OWN = Sender("vm", "d", "own", "10.0.0.1:1")
PEER = Sender("vm-2", "d", "peer", "10.0.0.2:1")


class RecordingLog:
    def __init__(self):
        self.rows = []

    def record(self, event, **fields):
        self.rows.append({"event": event, **fields})

    def of(self, event):
        return [row for row in self.rows if row["event"] == event]


class RecordingMesh:
    """Keeps the handlers, and delivers messages as the mesh does."""

    sender = OWN

    def __init__(self):
        self.handlers = {}

    def register(self, kind, body_type, handler):
        self.handlers[kind] = body_type, handler

    def peers(self):
        return []

    def active_members(self):
        return []

    def deliver(self, kind, message):
        body_type, handler = self.handlers[kind]
        data = msgspec.msgpack.encode(message)
        body = msgspec.msgpack.decode(data, type=body_type)
        return asyncio.run(handler(body, PEER))


def check_numbers(value):
    if isinstance(value, msgspec.Struct):
        value = [getattr(value, name) for name in value.__struct_fields__]
    if isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, float):
        assert math.isfinite(value)
    elif isinstance(value, int):
        assert 0 <= value <= 2**63 - 1
    elif isinstance(value, (list, tuple)):
        for item in value:
            check_numbers(item)


@pytest.mark.parametrize("message_type", MESSAGE_TYPES)
def test_message_of_another_daemon_is_checked_whole(message_type):
    decoder = msgspec.msgpack.Decoder(message_type)

    @settings(max_examples=N_EXAMPLES, derandomize=True, deadline=None)
    @given(DATA)
    def check(data):
        try:
            message = decode_with(decoder, data)
        except MalformedDocument:
            return
        check_numbers(message)

    check()


@pytest.fixture
def followers():
    """Followers of both feeds of one daemon, and what reaches them."""
    log, mesh = RecordingLog(), RecordingMesh()
    state = RoutingState(log, 5.0, 5.0)
    sharing = FeedSharing(OWN.domain, mesh, FleetView(mesh, 0.0), None, log)
    sharing.spread = lambda *args: None

    class Configurations:
        def decode(self, document):
            return RouteTable(len(document), [], [], None, ClientLimits(), document)

    configuration = ConfigurationFollower(
        sharing, Configurations(), state, log, 0.0, random.Random(1)
    )
    engines = EngineFollower(
        sharing, state, None, lambda changes: None, log, 0.0, 1.0, random.Random(1)
    )
    configuration._position = engines._position = 5
    configuration._has_newest = engines._has_newest = True
    return state, mesh, log


def update(content, **fields):
    raw = msgspec.Raw(content)
    return feed_sharing._Update(raw, **fields)


@pytest.mark.parametrize("content", [b"\x91" * 100_000, b"\xc1", b"\x93\x05\x06"])
def test_malformed_update_is_logged_and_acknowledged(followers, content):
    _state, mesh, log = followers
    _, handler = mesh.handlers["feed-engines"]
    reply = asyncio.run(handler(update(content), PEER))
    assert reply.position == 5
    assert [row["peer"] for row in log.of("update.unreadable")] == [PEER.address]


@pytest.mark.parametrize("clock_s", [1e11, 1e12])
def test_update_from_the_future_confirms_no_more_than_now(followers, clock_s):
    state, mesh, _log = followers
    content = msgspec.msgpack.encode(EngineUpdate(5, 6, ()))
    sent = update(content, peer_clock_s=clock_s, peer=OWN.incarnation)
    mesh.deliver("feed-engines", sent)
    assert state.engines_age.current_at_s <= feed_sharing.suspended_clock_s()


@pytest.mark.parametrize("clock_s", [math.nan, math.inf, -math.inf, 1e300])
def test_update_without_a_usable_time_is_turned_away(followers, clock_s):
    state, mesh, _log = followers
    content = msgspec.msgpack.encode(EngineUpdate(5, 6, ()))
    sent = update(content, peer_clock_s=clock_s, peer=OWN.incarnation)
    with pytest.raises(msgspec.ValidationError):
        mesh.deliver("feed-engines", sent)
    assert state.engines_age.current_at_s is None


@pytest.mark.parametrize("address", ["host:80", "10.0.0.1:99999", "", "10.0.0.1:²"])
def test_engine_without_a_usable_address_is_none(followers, address):
    state, mesh, log = followers

    def change(name, address):
        engine = Engine(target=name, service="s", address=address, domain="d")
        return EngineChange(name, engine)

    changes = (change("odd", address), change("sound", "10.0.0.1:80"))
    content = msgspec.msgpack.encode(EngineUpdate(5, 6, changes))
    mesh.deliver("feed-engines", update(content))
    assert set(state.engines) == {"sound"}
    assert [row["target"] for row in log.of("engine.unreadable")] == ["odd"]


def test_document_that_grows_without_end_is_not_decompressed(followers, monkeypatch):
    state, mesh, log = followers
    monkeypatch.setattr(feed_sharing, "MAX_DECOMPRESSED_BYTES", 1000)
    for n_bytes, version in ((1001, None), (1000, 1000)):
        document = zlib.compress(bytes(n_bytes))
        content = msgspec.msgpack.encode(ConfigurationUpdate(n_bytes, document))
        mesh.deliver("feed-configuration", update(content))
        assert (state.table and state.table.version) == version
    assert len(log.of("configuration.unreadable")) == 1


def test_item_that_cannot_be_applied_does_not_stop_its_feed():
    class Pages:
        async def snapshot(self):
            return FeedPage((), 0)

        async def changes(self, position, wait_s):
            if position:
                raise asyncio.CancelledError
            return FeedPage(("odd", "sound"), 2)

    def apply(item):
        if item == "odd":
            raise OverflowError("too large")
        applied.append(item)

    log, applied = RecordingLog(), []
    follower = FeedFollower(
        "feed",
        Pages(),
        apply,
        lambda items: None,
        StateAge(5.0),
        log,
        0.0,
        0.0,
        random.Random(1),
    )
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(follower.run())
    assert applied == ["sound"]
    assert [row["error"] for row in log.of("feed.item_failed")] == ["OverflowError"]
