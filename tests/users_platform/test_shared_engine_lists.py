"""The list of engines as daemons share it: each copy is the list at its position."""

import asyncio
import json
import os
import random
from types import SimpleNamespace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway import DecisionLog
from cassiaspread_daemon.gateway._engine_notices import EngineNotices, LeavingEngine
from cassiaspread_daemon.gateway._feed_sharing import EngineFollower, ReaderRole
from cassiaspread_daemon.gateway._protocols import EngineChange
from cassiaspread_daemon.gateway._routing_state import RoutingState
from cassiaspread_platform._engines import EngineFeed, decode_entry
from cassiaspread_platform._store import KeyedPage, KeyedRecord, NewestRecords

TARGETS = ("a", "b", "c")
N_DAEMONS = 3
# States of an entry: removed, or process and whether it is draining.
STATES = (None, (1, False), (1, True), (2, False), (2, True))


def entry(state):
    """Return the value of a record."""
    if state is None:
        return b""
    born, is_draining = state
    fields = {
        "service": "s",
        "address": f"10.0.0.{born}:80",
        "zone": "celje",
        "state": "draining" if is_draining else "ready",
        "born": born,
        "slots": 1,
        "sequence": 1,
    }
    return json.dumps(fields).encode()


class ListStore:
    """The list of engines in the store; reads may be held back."""

    def __init__(self):
        self.log = []

    def listed(self, position):
        """Return the entries at a position."""
        newest = {record.key: record.value for record in self.log[:position]}
        return {key: decode_entry(key, v) for key, v in newest.items() if v}


class Reader:
    """Reads of one daemon: each is answered when the test says so."""

    def __init__(self, store):
        self._store = store
        self._may_answer = asyncio.Event()

    async def read_newest(self, topic):
        # Some engines are read later than the others, and the position is the first.
        position = len(self._store.log)
        await self._may_answer.wait()
        log = self._store.log
        newest = {record.key: record for record in log}
        return NewestRecords(list(newest.values()), position, len(log))

    async def read_keyed(self, topic, start, wait_s):
        records = self._store.log[start:]
        await self._may_answer.wait()
        end = start + len(records)
        return KeyedPage(records, end, end)

    def answer(self):
        self._may_answer.set()
        self._may_answer = asyncio.Event()


class Sharing:
    """Keeps the updates that a daemon publishes."""

    def __init__(self, updates):
        self._updates = updates

    def subscribe(self, kind, update_type, receive, forward, read_position):
        self.receive = receive

    def role(self, kind, now_s):
        return ReaderRole.FLEET

    def publish(self, kind, build, confirmed_s, is_forwarded=False):
        self._updates.append(build(None))


class Daemon:
    """One daemon that follows the list and hears of engines that leave."""

    def __init__(self, store, updates, log, supervisor):
        self.state = RoutingState(log, 5.0, 5.0)
        self.sharing = Sharing(updates)
        self.reader = Reader(store)
        self.follower = EngineFollower(
            self.sharing,
            self.state,
            EngineFeed(self.reader, log),
            self.replace,
            log,
            0.0,
            1.0,
            random.Random(1),
        )
        self.notices = EngineNotices(
            self.state,
            None,
            None,
            None,
            supervisor,
            None,
            lambda: None,
            log,
            SimpleNamespace(record_notice=lambda kind: None),
        )
        self.reading = None
        self.latest_position = 0

    def replace(self, changes):
        self.state.retain({change.target for change in changes})
        for change in changes:
            self.state.apply_change(EngineChange(change.target, change.engine))

    async def begin_read(self):
        if self.reading is None:
            self.reading = asyncio.create_task(self.follower._read())
        await asyncio.sleep(0)

    async def end_read(self, store):
        if self.reading is None:
            return
        if self.follower._position is None:
            self.latest_position = len(store.log)
        self.reader.answer()
        await self.reading
        self.reading = None

    async def stop(self):
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.wait([self.reading])

    def hear_leaving(self, target, incarnation):
        self.notices._receive(LeavingEngine(target, incarnation), None)

    def check(self, store):
        position = self.follower._position
        if position is None or position < self.latest_position:
            # A snapshot may be ahead of its position.
            return
        listed = store.listed(position)
        assert self.state.engines.keys() == listed.keys()
        for target, engine in self.state.engines.items():
            is_leaving = listed[target].is_leaving
            has_left = self.state.has_left(target, engine.incarnation)
            assert engine.is_leaving == (is_leaving or has_left), target
            assert engine.incarnation == listed[target].incarnation, target


DAEMON = st.integers(0, N_DAEMONS - 1)
TARGET = st.sampled_from(TARGETS)
STEPS = st.one_of(
    st.tuples(st.just("write"), TARGET, st.sampled_from(STATES)),
    st.tuples(st.just("write"), TARGET, st.sampled_from(STATES)),
    st.tuples(st.just("begin"), DAEMON),
    st.tuples(st.just("end"), DAEMON),
    st.tuples(st.just("read"), DAEMON),
    st.tuples(st.just("hear"), DAEMON, TARGET, st.sampled_from((1, 2))),
    st.tuples(st.just("deliver"), DAEMON, st.integers(0, 3)),
    st.tuples(st.just("deliver"), DAEMON, st.integers(0, 3)),
    st.tuples(st.just("restart"), DAEMON),
)


async def play(steps, descriptor):
    store, updates = ListStore(), []
    log = DecisionLog("d", descriptor)
    async with Supervisor("daemons") as supervisor:
        daemons = [Daemon(store, updates, log, supervisor) for _ in range(N_DAEMONS)]
        for kind, *arguments in steps:
            if kind == "write":
                target, state = arguments
                store.log.append(KeyedRecord(target, entry(state)))
                continue
            index, *arguments = arguments
            daemon = daemons[index]
            if kind in ("begin", "read"):
                await daemon.begin_read()
            if kind in ("end", "read"):
                await daemon.end_read(store)
            if kind == "hear":
                daemon.hear_leaving(*arguments)
            if kind == "deliver" and arguments[0] < len(updates):
                # The latest of them, in any order and more than once.
                daemon.sharing.receive(updates[-1 - arguments[0]], None)
            if kind == "restart":
                await daemon.stop()
                daemons[index] = Daemon(store, updates, log, supervisor)
            for each in daemons:
                each.check(store)
        for daemon in daemons:
            await daemon.stop()


READY = [("write", "a", (1, False)), ("read", 0), ("read", 1)]


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.lists(STEPS, max_size=40))
# The reader hears that an engine leaves before it reads so.
@example(
    [
        *READY,
        ("hear", 0, "a", 1),
        ("write", "a", (1, True)),
        ("read", 0),
        ("deliver", 1, 0),
    ]
)
# The entry changes and comes back within a page; the receiver has the change.
@example(
    [
        *READY,
        ("write", "a", (2, False)),
        ("read", 1),
        ("write", "a", (1, False)),
        ("read", 0),
        ("deliver", 1, 0),
    ]
)
# The reader's snapshot is ahead of the position that its first page starts at.
@example(
    [
        ("write", "a", (1, False)),
        ("read", 1),
        ("begin", 0),
        ("write", "a", (2, False)),
        ("end", 0),
        ("read", 0),
        ("deliver", 1, 0),
    ]
)
# An update arrives while an older page is read.
@example(
    [
        *READY,
        ("write", "a", (2, False)),
        ("begin", 0),
        ("write", "a", None),
        ("read", 1),
        ("deliver", 0, 0),
        ("end", 0),
    ]
)
def test_copy_of_each_daemon_is_the_list_at_its_position(steps):
    # An update that left out what its sender had heard otherwise was confirmed as
    # current: a leaving engine got bookings of other zones until it ended.
    with open(os.devnull, "wb") as sink:
        asyncio.run(play(steps, sink.fileno()))
