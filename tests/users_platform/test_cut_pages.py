"""Copies of the store's topics behind pages that are cut off, in virtual time.

The store cuts pages anywhere, puts records of other keys between those that matter and
returns them over slow links, beside writers in series. With faults, calls fail or are
answered late, records are removed before they are read, snapshots have empty pages and
messages between daemons are lost. A copy that counts as current at some time must hold
each record that was acknowledged before.
"""

import asyncio
import base64
import json
import os
import random
import struct
from bisect import bisect_left
from contextlib import asynccontextmanager
from urllib.parse import parse_qs, urlsplit

import pytest
from tornado.httputil import HTTPHeaders

from cassiaspread_core.base import DomainId, Incarnation
from cassiaspread_core.routing import StateAge
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.exchange import Response
from cassiaspread_daemon.gateway import DecisionLog
from cassiaspread_daemon.gateway import _feed_sharing as feed_sharing
from cassiaspread_daemon.gateway import _routing_state as routing_state
from cassiaspread_daemon.gateway._feed_sharing import (
    ConfigurationFollower,
    EngineFollower,
    FeedSharing,
)
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._protocols import EngineChange
from cassiaspread_daemon.gateway._routing_state import FeedFollower, RoutingState
from cassiaspread_daemon.mesh import PeerUnreachable, Sender
from cassiaspread_platform._configuration import ConfigurationFeed
from cassiaspread_platform._engines import EngineFeed
from cassiaspread_platform._store import Store
from cassiaspread_platform._suspects import KeyedSuspectTopic
from tests import virtual_time
from tests.fake_mesh import FakeMesh, FakeNetwork

# The last two refused keys where an update came before its document.
SEEDS = (*range(6), 100, 146)
DOMAINS = ("a", "b")
N_DAEMONS = 3
LENGTH_S = 8.0
SETTLE_S = 3.0
SAMPLE_INTERVAL_S = 0.02
# Bounds of the users' deployments whose machines have the slowest links.
REVOKE_S, CONFIG_APPLY_S = 5.0, 3.0
DRAIN_S = 3.0
CONFIGURATION_WAIT_S = 1.0
MAX_RECORD_BYTES = 262_144
LINK_BYTES_PER_S = 7e6 / 8
KIB = 1024
TARGETS = [f"i-{n}" for n in range(6)]
FINGERPRINTS = [f"f-{n}" for n in range(4)]


class PlayedStore:
    """Topics of the store, with the time of each record.

    :param random_state: chooses where pages end.
    :param clock: returns the time in seconds.
    :param fails: whether calls may fail.
    """

    def __init__(self, random_state, clock, fails):
        self.random_state = random_state
        self.clock = clock
        self.fails = fails
        self.topics = {}
        # Offset before which the records of a topic were removed.
        self.first_offsets = {}
        self.histories = {}
        self.changed = asyncio.Event()

    def write(self, topic, key, value, number=None):
        """Append a record; the number identifies its value in a copy."""
        encoded = key.encode()
        record = bytes([len(encoded)]) + encoded + value
        self.topics.setdefault(topic, []).append((key, value, record))
        times_s, numbers = self.history(topic, key)
        times_s.append(self.clock())
        numbers.append(number)
        self.changed.set()
        self.changed = asyncio.Event()

    def history(self, topic, key):
        """Return the times and the numbers of a key's records."""
        return self.histories.setdefault((topic, key), ([], []))

    async def read(self, topic, start, max_bytes, wait_s):
        deadline_s = self.clock() + wait_s
        while len(self.topics.get(topic, ())) <= start and self.clock() < deadline_s:
            try:
                async with asyncio.timeout(deadline_s - self.clock()):
                    await self.changed.wait()
            except TimeoutError:
                break
        records, first = self.topics.get(topic, []), self.first_offsets.get(topic, 0)
        if start < first:
            return 410, json.dumps({"first_offset": first}).encode()
        page = struct.pack(">QQ", len(records), first)
        new = [record for *_, record in records[start:]]
        n_most = self.random_state.choice((1, 2, 3, len(new)))
        for n, record in enumerate(new[:n_most]):
            if n and len(page) + 4 + len(record) > max_bytes:
                break
            page += struct.pack(">I", len(record)) + record
        return 200, page

    async def newest(self, topic, after):
        newest = {}
        for offset, (key, value, _) in enumerate(self.topics.get(topic, ())):
            newest[key] = offset, value
        keys = sorted(k for k, (_, value) in newest.items() if value and k > after)
        n_most = self.random_state.randint(1, 3)
        if self.fails and self.random_state.random() < 0.1:
            n_most = 0
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:n_most]
        ]
        page = {
            "items": items,
            "has_more": len(keys) > n_most,
            "end_offset": len(self.topics.get(topic, ())),
        }
        return 200, json.dumps(page).encode()

    async def answer(self, target):
        if self.fails and self.random_state.random() < 0.1:
            return 503, b""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if self.fails and self.random_state.random() < 0.05:
            self.first_offsets[query["topic"]] = len(
                self.topics.get(query["topic"], ())
            )
        if parts.path == "/-/log-newest":
            return await self.newest(query["topic"], query.get("after", ""))
        return await self.read(
            query["topic"],
            int(query["from"]),
            int(query.get("max_kb", KIB)) * KIB,
            int(query.get("wait_ms", 0)) / 1000,
        )


class Link:
    """Connections of one daemon to the store.

    :param store: the store.
    :param bytes_per_s: rate at which answers arrive.
    """

    def __init__(self, store, bytes_per_s):
        self.store = store
        self.bytes_per_s = bytes_per_s
        self.busy_until_s = 0.0

    @asynccontextmanager
    async def single_exchange(self, address, connect_timeout_s):
        yield Call(self)

    async def carry(self, n_bytes):
        """Wait until an answer has arrived, after those before it."""
        now_s = self.store.clock()
        begin_s = max(now_s, self.busy_until_s)
        self.busy_until_s = begin_s + n_bytes / self.bytes_per_s
        late_s = 0.002
        if self.store.fails and self.store.random_state.random() < 0.2:
            late_s = self.store.random_state.uniform(0.0, 2.0)
        await asyncio.sleep(self.busy_until_s + late_s - now_s)


class Call:
    def __init__(self, link):
        self.link = link

    async def send(self, method, target, data, headers):
        self.target = target

    async def finish(self):
        await asyncio.sleep(0.002)
        status, body = await self.link.store.answer(self.target)
        await self.link.carry(len(body))
        return Response(status, HTTPHeaders(), body)


class SlowMesh(FakeMesh):
    """Messages that take their time and may be lost.

    :param store: holds the random generator and whether messages are lost.
    """

    def __init__(self, store, *arguments):
        super().__init__(*arguments)
        self.store = store

    async def ask(self, address, kind, body, reply_type, timeout_s):
        random_state = self.store.random_state
        await asyncio.sleep(random_state.uniform(0.001, 0.05))
        if self.store.fails and random_state.random() < 0.1:
            raise PeerUnreachable(address)
        reply = await super().ask(address, kind, body, reply_type, timeout_s)
        await asyncio.sleep(random_state.uniform(0.001, 0.05))
        return reply


def configuration(version, n_bytes, random_state):
    """Return a configuration of a size, which may be hard to compress."""
    document = {"version": version, "routes": [], "services": [], "padding": ""}
    missing = max(0, n_bytes - len(json.dumps(document)))
    if random_state.random() < 0.5:
        document["padding"] = "x" * missing
    else:
        document["padding"] = random_state.randbytes(missing // 2).hex()
    return json.dumps(document).encode()


def entry(born):
    """Return the entry of an engine, which identifies its process."""
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "state": "ready",
        "born": born,
        "slots": 1,
        "sequence": born,
    }
    return json.dumps(fields).encode()


def suspect(fingerprint, cleared_s):
    fields = {
        "fingerprint": fingerprint,
        "organisation": "o",
        "subject": "s",
        "cleared_s": cleared_s,
    }
    return json.dumps(fields).encode()


async def write_configurations(store, random_state):
    """Write storms of configurations until cancelled."""
    version = 1
    while True:
        n_bytes = random_state.choice((300, 60_000, 261_000, 261_000))
        gap_s = random_state.choice((0.02, 0.08, 0.2))
        for _ in range(random_state.randint(1, 25)):
            version += random_state.randint(1, 4)
            value = configuration(version, n_bytes, random_state)
            store.write("keyed.op", "config", value, version)
            await asyncio.sleep(gap_s)
        await asyncio.sleep(random_state.uniform(0.0, 1.5))


async def write_other_keys(store, random_state):
    """Write records beside the configurations until cancelled."""
    while True:
        store.write("keyed.op", "other", b"value")
        await asyncio.sleep(random_state.uniform(0.05, 0.8))


async def write_entries(store, random_state):
    """Write and remove entries of engines and suspects until cancelled."""
    n = 0
    while True:
        n += 1
        target = random_state.choice(TARGETS)
        is_removed = random_state.random() < 0.2
        fingerprint = random_state.choice(FINGERPRINTS)
        if is_removed:
            store.write("keyed.servers", target, b"")
            store.write("keyed.suspects", fingerprint, b"")
        else:
            store.write("keyed.servers", target, entry(n), n)
            value = suspect(fingerprint, float(n))
            store.write("keyed.suspects", fingerprint, value, n)
        await asyncio.sleep(random_state.choice((0.0, 0.005, 0.05, 0.4)))


class Daemon:
    """Copies of the three topics at one daemon."""

    def __init__(self, sender, senders, network, store, supervisor, log, clock):
        random_state = random.Random(sender.vm)
        mesh = SlowMesh(store, network, sender, senders)
        client = Store("store:1", Link(store, LINK_BYTES_PER_S), MAX_RECORD_BYTES)
        sharing = FeedSharing(
            sender.domain, mesh, FleetView(mesh, -100.0), supervisor, log
        )
        self.store = store
        self.state = RoutingState(log, REVOKE_S, REVOKE_S, CONFIG_APPLY_S)
        self.suspects = {}
        self.suspects_age = StateAge(float("inf"))
        followers = [
            ConfigurationFollower(
                sharing,
                ConfigurationFeed(client, log),
                self.state,
                log,
                CONFIGURATION_WAIT_S,
                random_state,
            ),
            EngineFollower(
                sharing,
                self.state,
                EngineFeed(client, log),
                self._replace_engines,
                log,
                0.4 * DRAIN_S,
                DRAIN_S,
                random_state,
            ),
            FeedFollower(
                "suspects",
                KeyedSuspectTopic(client, log),
                self._apply_suspect,
                self._replace_suspects,
                self.suspects_age,
                log,
                2.0,
                0.5,
                random_state,
            ),
        ]
        for n, follower in enumerate(followers):
            supervisor.start(f"follower-{n}", follower.run)

    def _replace_engines(self, changes):
        self.state.retain({change.target for change in changes})
        for change in changes:
            self.state.apply_change(EngineChange(change.target, change.engine))

    def _apply_suspect(self, change):
        self.suspects[change.fingerprint] = change.record

    def _replace_suspects(self, changes):
        self.suspects = {change.fingerprint: change.record for change in changes}

    def check_contents(self):
        """Check that each copy holds what precedes the time at which it is current."""
        check = self._check_key
        version = None if self.state.table is None else self.state.table.version
        check("keyed.op", "config", self.state.configuration_age, version)
        for target in TARGETS:
            engine = self.state.engines.get(target)
            born = None if engine is None else engine.incarnation
            check("keyed.servers", target, self.state.engines_age, born)
        for fingerprint in FINGERPRINTS:
            record = self.suspects.get(fingerprint)
            cleared_s = None if record is None else record.cleared_s
            age = self.suspects_age
            check("keyed.suspects", fingerprint, age, cleared_s)

    def _check_key(self, topic, key, age, held):
        if age.current_at_s is None:
            return
        times_s, numbers = self.store.history(topic, key)
        n_before = bisect_left(times_s, age.current_at_s)
        # The newest record before that time, or a later one.
        allowed = numbers[n_before - 1 :] if n_before else [None, *numbers]
        assert held in allowed, (topic, key, age.current_at_s)

    def check_in_force(self, bound_s, now_s):
        """Check which configuration callers' keys are looked up in."""
        if not self.state.configuration_age.is_valid(now_s):
            return
        times_s, versions = self.store.history("keyed.op", "config")
        n_old = bisect_left(times_s, now_s - bound_s)
        assert self.state.table.version >= max(versions[:n_old], default=0)


async def play(seed, clock, fails, monkeypatch):
    """Play one seed; return how often a daemon refused keys, and how often it was seen.

    :param seed: chooses writes, cuts and times.
    :param clock: returns the time in seconds.
    :param fails: whether calls and messages may fail or be late.
    """
    for module in (feed_sharing, routing_state):
        monkeypatch.setattr(module, "suspended_clock_s", clock)
    monkeypatch.setattr(feed_sharing, "now", clock)
    store = PlayedStore(random.Random(seed), clock, fails)
    store.write("keyed.op", "config", configuration(1, 300, store.random_state), 1)
    network = FakeNetwork()
    senders = [
        Sender(f"vm-{d}-{n}-{seed}", DomainId(d), Incarnation(f"{d}{n}"), f"{d}:{n}")
        for d in DOMAINS
        for n in range(N_DAEMONS)
    ]
    n_refused = n_seen = 0
    with open(os.devnull, "wb") as sink:
        log = DecisionLog("d", sink.fileno())
        async with Supervisor("fleet") as fleet:
            daemons = [
                Daemon(s, senders, network, store, fleet.add_child(s.vm), log, clock)
                for s in senders
            ]
            for write in (write_configurations, write_other_keys, write_entries):
                fleet.start(
                    write.__name__, lambda w=write: w(store, random.Random(seed))
                )
            while clock() < LENGTH_S:
                await asyncio.sleep(SAMPLE_INTERVAL_S)
                log.flush()
                for daemon in daemons:
                    daemon.check_contents()
                    daemon.check_in_force(REVOKE_S, clock())
                    if not fails:
                        daemon.check_in_force(CONFIG_APPLY_S, clock())
                    if clock() > SETTLE_S:
                        n_seen += 1
                        age = daemon.state.configuration_age
                        n_refused += not age.is_valid(clock())
    return n_refused, n_seen


@pytest.mark.parametrize("seed", SEEDS)
def test_copy_that_counts_as_current_holds_what_was_acknowledged(seed, monkeypatch):
    # Guards against a page that is cut off and counts as the whole.
    virtual_time.run(lambda clock: play(seed, clock, True, monkeypatch))


@pytest.mark.parametrize("seed", SEEDS)
def test_storm_of_configurations_keeps_no_caller_with_a_key_waiting(seed, monkeypatch):
    # Guards against a gateway that reads each version of a storm before the newest.
    n_refused, n_seen = virtual_time.run(
        lambda clock: play(seed, clock, False, monkeypatch)
    )
    assert n_seen
    assert n_refused == 0
