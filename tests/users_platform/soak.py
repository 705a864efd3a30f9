"""Soak test of real processes under random faults, observed by callers and targets.

``python -m tests.users_platform.soak --seeds 50`` runs many seeds and prints the
violated guarantees. Faults occur in series and overlap. The seed determines the
schedule but not the timing of the processes.
"""

import argparse
import http.client
import json
import os
import random
import select
import signal
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from itertools import pairwise
from pathlib import Path

import msgspec

from tests.fleet import free_port
from tests.users_platform.deployment import (
    DOMAINS,
    HOST,
    KEY,
    MODEL_SERVICE,
    N_LAYERS,
    PLAIN_SERVICE,
    Deployment,
    Respawner,
    configuration,
    route,
    wait_for,
)

N_CALLERS = 8
# Callers that come back on their connections after pauses around the idle timeout.
N_PATIENT_CALLERS = 8
REVOKED_KEY = "key-that-goes"
ORGANISATIONS = {KEY: "celje-shops", REVOKED_KEY: "leaving-shops"}
DEADLINE_S = 5.0
# Settings of the gateways: time until a revoked key is refused, and time from SIGTERM
# to the end of the process.
REVOKE_S = 5.0
GRACE_S = 8.0
# Guaranteed bound on recovery after the last fault.
RECOVERY_BOUND_S = 12.0
# Time that a complete answer may take beyond its deadline.
ANSWER_SLACK_S = 0.5
# Time after a fault during which it may still affect calls.
SETTLE_S = 3.0
# A request with this body ends the engines of its own service, which listen without a
# proxy and are restarted. From the third end on, and after the time in which gateways
# learn of it, it may run this often.
CRASH_TEXT = "crash"
CRASH_SERVICE = "crash-pool"
CRASH_ENGINES = ("celje-crash", "velenje-crash")
CRASH_INTERVAL_S = 0.5
RESPAWN_S = 1.0
CONTROL_TIMEOUT_S = 0.2
N_CRASHES, LEARN_S, N_LATE_RUNS = 3, 3.0, 3
# Prompts that contain this part end the engines of a service of their own, no two of
# them alike; sound ones share their organisation and their other parts. From the fifth
# end on, and after LEARN_S, few of them may run; from twice that time on, sound ones
# must not be refused for what crashes engines.
BAD_PART = "bad"
PART_SERVICE = "part-pool"
PART_ENGINES = tuple(f"{zone}-part-{n}" for zone in DOMAINS for n in range(2))
PART_KINDS = ("part", "bad-part")
SHARED_PARTS = ("51", "52", "53")
N_PART_CRASHES, N_PART_EVENTS = 5, 8
MAX_QUARANTINED_RATIO, MIN_PART_CALLS = 0.5, 10
NOT_RUN_STATUSES = {408, 421, 429, 503}
N_GATEWAYS = 2
ENGINES = {
    f"{zone}-{name}": (service, zone, kind)
    for zone in DOMAINS
    for name, service, kind in (
        ("large", MODEL_SERVICE, "large"),
        ("small", MODEL_SERVICE, "small"),
        ("plain", PLAIN_SERVICE, ""),
    )
}
# Kinds of faults and their relative frequencies.
FAULTS = {
    "engine-kill": 3,
    "engine-pause": 2,
    "gateway-kill": 2,
    "gateway-pause": 1,
    "gateway-term": 4,
    "gateway-hup": 1,
    "path-cut": 2,
    "path-silence": 2,
    "path-silence-old": 2,
    "path-drop-answers": 2,
    "path-drop-requests": 1,
    "path-delay": 2,
    "store-refuse": 2,
    "store-silent": 1,
    "store-rebalance": 1,
    "store-truncate": 1,
    "configuration": 2,
}

# Faults of answers, drawn apart: streams end inside an event, or bytes have no end.
ANSWER_FAULTS = {
    "answers-break": {"close_after": 2, "break_how": "end"},
    "answers-endless": {"flood": "chunks"},
}
# Engines that say that they leave, and end, or want a pause. Drawn apart.
NOTICES = {
    "notice-leaving": {"leaving": True},
    "notice-pause": {"full": True, "retry_after": "1.5"},
}
N_NOTICES = 3
# Where a zone has more gateways than N_GATEWAYS, those beside the one that reads the
# list of engines for all others are killed, in series, at about the moment at which the
# engine in use begins to leave. Gateways of the other zone get no requests, in whose
# answers they would hear of it, until the bound on its leaving has passed.
HERD_INTERVAL_S = 5.0
HERD_FOR_S, HERD_RANGE_S = 2.0, 0.2
# An engine renews its entry within this time, and ends so long after the bound.
RENEWAL_S, DRAIN_LEFT_S = 0.5, 0.8
DRAIN_S = 2.0
DRAIN_NOTICE = "notice-draining"
DRAINING = {"state": "draining", "leaving": True}
READS = 'kind="/-/log-read keyed.servers"'
READER_POLL_S = 1.0
# A request that was sent within the bound may reach the engine later.
DRAIN_SLACK_S = 0.15
# A request may be on its way when an engine asks for none.
NOTICE_SLACK_S = 0.5
SOUND_ANSWERS = {"close_after": None, "break_how": "close", "flood": None}
N_ANSWER_FAULTS = 4

# A sound target may be silent for up to this long, in seconds, and goes on. Drawn apart
# in series, beside which the operator changes settings.
MAX_SILENCE_S = 1.4
N_SILENCE_SERIES = 3
SETTINGS = ("settings-timeout", "settings-route", "settings-service", "settings-hup")
IDLE_SETTING = "settings-idle"
# Idle timeouts between which the operator switches, in seconds.
SHORT_IDLE_S, LONG_IDLE_S = 3.0, 9.0
# Callers reuse connections that were idle for up to this part of the timeout.
REUSE_RATIO = 0.8
LONG_TIMEOUT_S, SHORT_TIMEOUT_S = 8.0, 4.0
# Time after its ack within which a configuration takes effect.
APPLY_S = 2.0
# A leaving gateway may close a connection on which a request arrives at that time.
CLOSE_SLACK_S = 0.2
# Silences with less time between them count as one, in seconds.
MIN_PAUSE_S = 0.2
IDLE_STEP_S = 0.1
# Requests that are in progress in the last part of the grace may be cut.
GRACE_RATIO = 5 / 6
# Time after SIGTERM for which the load balancer sends requests, and steps of a stop.
BALANCER_LAG_S = 3.0
STOP_STEPS_S = (0.0, BALANCER_LAG_S, GRACE_RATIO * GRACE_S)
# Streams of all lengths that are sent around each step of a stop, on connections that
# are kept for it, and how long before or after the step, in seconds.
N_STOP_STREAMS, STEP_RANGE_S = 5, 0.05
MAX_STOP_EVENTS = 400
# Their route has a timeout of its own.
STOP_TIMEOUT_S = 15.0
STOP_ROUTE = route(
    "stop",
    "/stop/",
    "streaming",
    MODEL_SERVICE,
    resumable=True,
    timeout_ms=1000 * STOP_TIMEOUT_S,
)
# Route whose streams run at most once, and a service that shares a route's requests.
ONCE_ROUTE = route("once", "/once/", "streaming", MODEL_SERVICE, max_attempts=1)
SIDE_SERVICE = "side-pool"
SIDE_ENGINES = ("celje-side", "velenje-side")
# Neither the gateways nor the targets are at fault during these.
PLANNED = {"engine-silence", IDLE_SETTING, *SETTINGS}


class Fault(msgspec.Struct):
    """One fault of a schedule.

    :param at_s: begin in seconds from the start.
    :param for_s: duration in seconds.
    :param kind: a key of ``FAULTS`` or ``ANSWER_FAULTS``, or one of ``PLANNED``.
    :param on: the affected process or proxy route.
    """

    at_s: float
    for_s: float
    kind: str
    on: str


class Call(msgspec.Struct):
    """One request as observed by its caller; times are in Unix seconds.

    :param opened_s: time at which its connection was opened, 0.0 if it was not.
    :param idle_since_s: time from which its connection was idle.
    """

    id: str
    kind: str
    gateway: str
    key: str
    n_events: int
    begin_s: float
    opened_s: float = 0.0
    idle_since_s: float = 0.0
    end_s: float = 0.0
    status: int = 0
    # The body arrived completely.
    is_complete: bool = msgspec.field(default=False, name="is_whole")
    body: bytes = b""
    error: str = ""
    # Shared parts of its prompt.
    parts: list[str] = []

    @property
    def deadline_s(self):
        return STOP_TIMEOUT_S if self.kind == "stop" else DEADLINE_S

    @property
    def is_stream(self):
        return self.kind in ("draft", "once", "stop", *PART_KINDS)


def gateway_names(n_gateways):
    """Return the names of the gateways, with that number in each zone."""
    return [f"gateway-{zone}-{n}" for zone in DOMAINS for n in range(n_gateways)]


def draw_schedule(seed, length_s, n_gateways=N_GATEWAYS):
    """Return the faults of a seed, earliest first."""
    gateways = gateway_names(n_gateways)
    random_state = random.Random(seed)
    schedule, at_s = [], 0.5
    while at_s < length_s:
        kind = random_state.choices(list(FAULTS), list(FAULTS.values()))[0]
        if kind.startswith("gateway"):
            on = random_state.choice(gateways)
        elif kind.startswith("path"):
            on = random_state.choice([*ENGINES, *(f"{g}/store" for g in gateways)])
        else:
            on = random_state.choice(list(ENGINES))
        for_s = random_state.uniform(0.3, 3.0)
        if on.endswith("/store"):
            # Long enough for the gateway's configuration to become too old to accept
            # keys, while the operator revokes one.
            for_s += REVOKE_S
            schedule.append(Fault(at_s + 0.2, 0.1, "configuration", on))
        schedule.append(Fault(at_s, for_s, kind, on))
        # Faults in quick succession, then a pause.
        is_series = random_state.random() < 0.6
        at_s += random_state.uniform(0.05, 0.4) if is_series else 2.0
    # Drawn apart, so that the schedules of earlier seeds keep their faults.
    restored_s = random.Random(f"{seed}-restore").uniform(2.0, length_s)
    schedule.append(Fault(restored_s, 0.1, "store-restore", "store"))
    random_state = random.Random(f"{seed}-answers")
    for _ in range(N_ANSWER_FAULTS):
        kind = random_state.choice(list(ANSWER_FAULTS))
        on = random_state.choice(list(ENGINES))
        at_s, for_s = random_state.uniform(0, length_s), random_state.uniform(0.5, 3)
        schedule.append(Fault(at_s, for_s, kind, on))
    random_state = random.Random(f"{seed}-notices")
    for _ in range(N_NOTICES):
        kind = random_state.choice(list(NOTICES))
        on = random_state.choice(list(ENGINES))
        at_s, for_s = random_state.uniform(0, length_s), random_state.uniform(0.5, 2)
        schedule.append(Fault(at_s, for_s, kind, on))
    if n_gateways > N_GATEWAYS:
        schedule += draw_herds(seed, length_s)
    return schedule + draw_silences(seed, length_s)


def draw_herds(seed, length_s):
    """Return kills of those that pass updates on, each as an engine leaves."""
    random_state = random.Random(f"{seed}-herds")
    herds, begin_s = [], 2 * READER_POLL_S
    while begin_s < length_s:
        at_s = begin_s + random_state.uniform(0.0, 0.2 * HERD_INTERVAL_S)
        begin_s += HERD_INTERVAL_S
        herds.append(Fault(at_s, HERD_FOR_S, "herd-kill", "reader"))
        left_s = at_s + random_state.uniform(-HERD_RANGE_S, HERD_RANGE_S)
        for_s = RENEWAL_S + DRAIN_S + DRAIN_LEFT_S
        herds.append(Fault(left_s, for_s, "herd-drain", "engine"))
    return herds


def draw_silences(seed, length_s):
    """Return silences of sound targets, with changed settings beside them."""
    random_state = random.Random(f"{seed}-silences")
    raised_s = random_state.uniform(1.0, 3.0)
    lowered_s = raised_s + random_state.uniform(0.4, 0.8) * length_s
    schedule = [Fault(s, 0.1, IDLE_SETTING, "operator") for s in (raised_s, lowered_s)]
    for _ in range(N_SILENCE_SERIES):
        at_s = random_state.uniform(0.0, 0.6 * length_s)
        n_targets = random_state.choice((1, 2, 4))
        names = random_state.sample([*ENGINES, *SIDE_ENGINES], n_targets)
        for _ in range(random_state.randrange(1, 4)):
            for_s = random_state.uniform(0.8, MAX_SILENCE_S)
            schedule += [Fault(at_s, for_s, "engine-silence", name) for name in names]
            for kind in SETTINGS:
                changed_s = at_s + random_state.uniform(0.0, for_s)
                schedule.append(Fault(changed_s, 0.1, kind, "operator"))
            at_s += for_s + random_state.uniform(0.3, 0.8)
    return schedule


def is_closed(connection):
    """Return whether the other end closed a connection that carries no request."""
    readable, _, _ = select.select([connection.sock], [], [], 0.0)
    return bool(readable)


def draw_patient_pause(random_state):
    """Return a pause around the idle timeout, in seconds."""
    pauses = ((0.0, 1.0), (1.0, REUSE_RATIO * SHORT_IDLE_S), (SHORT_IDLE_S, 7.0))
    return random_state.uniform(*random_state.choice(pauses))


class Version(msgspec.Struct):
    """A published configuration; times are in Unix seconds.

    :param sent_s: time from which it may be in force.
    :param acked_s: time at which the store had accepted it.
    :param idle_s: its idle timeout, in seconds.
    :param has_route: whether it contains ``ONCE_ROUTE``.
    """

    sent_s: float
    acked_s: float
    idle_s: float
    has_route: bool


class Soak:
    """A deployment behind a proxy, with callers and injected faults."""

    def __init__(self, folder, seed, length_s, n_gateways=N_GATEWAYS):
        self.deployment = Deployment(folder)
        self.schedule = draw_schedule(seed, length_s, n_gateways)
        self.gateways = gateway_names(n_gateways)
        self.has_herds = n_gateways > N_GATEWAYS
        # The gateway that reads the list of engines for all others.
        self.reader = None
        # Time until which gateways get no requests, on the monotonic clock.
        self.quiet_until_s = {}
        # Notices to the engines in use, by the identity of the fault.
        self.drained = {}
        self.seed = seed
        self.calls = []
        self.revoked_s = None
        self.version = 1
        # Settings that differ from their first values.
        self.changed = set()
        self.published = []
        self.is_over = threading.Event()
        # Processes that got SIGTERM, and when, on the monotonic clock.
        self.stopped = {}
        names = (*self.gateways, *ENGINES)
        self.restart_locks = {name: threading.Lock() for name in names}
        # Time of each start of a process after the first, in Unix seconds.
        self.restarts = []
        # Addresses of the engines behind the proxy.
        self.addresses = {}
        # Injected faults with begin and end in Unix seconds, by identity.
        self.injected = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.is_over.set()
        self.deployment.close()

    def set_up(self):
        deployment = self.deployment
        self.publish_configuration()
        proxy = deployment.ports["proxy"] = free_port()
        flags = ("--port", proxy, "--name", "proxy")
        deployment.start("proxy", "-m", "tests.standins.fault_proxy", *flags)
        wait_for(lambda: deployment.accepts_connections(proxy))
        for name, (service, zone, kind) in ENGINES.items():
            port = free_port()
            advertise = self.addresses[name] = f"127.0.0.1:{port}"
            deployment.add_engine(name, service, zone, kind, advertise)
            upstream = f"127.0.0.1:{deployment.ports[name]}"
            self.configure_route(name, listen=port, upstream=upstream)
        for name in CRASH_ENGINES:
            zone = name.split("-")[0]
            deployment.add_engine(name, CRASH_SERVICE, zone, crash_on=CRASH_TEXT)
        for name in PART_ENGINES:
            zone = name.split("-")[0]
            deployment.add_engine(
                name, PART_SERVICE, zone, "large", crash_parts=BAD_PART
            )
        for name in SIDE_ENGINES:
            deployment.add_engine(name, SIDE_SERVICE, name.split("-")[0])
        deployment.control("store", liberties_seed=self.seed)
        upstream = f"127.0.0.1:{deployment.store_port}"
        for name in self.gateways:
            port = free_port()
            self.configure_route(f"{name}-store", listen=port, upstream=upstream)
            deployment.add_gateway(
                name,
                name.split("-")[1],
                metrics=self.has_herds,
                store_port=port,
                has_peers=True,
            )
        for name in self.gateways:
            wait_for(lambda name=name: self.serves(name), 30.0)

    def configure_route(self, name, **values):
        port = self.deployment.ports["proxy"]
        body = json.dumps(values).encode()
        self.deployment.call(port, "POST", f"/routes/{name}", body)

    def publish_configuration(self):
        self.version += 1
        keys = [KEY] if self.revoked_s else [KEY, REVOKED_KEY]
        tenants = [
            {"name": ORGANISATIONS[k], "api_keys": [k], "priority": 1} for k in keys
        ]
        base = configuration(self.version)
        crash_route = route("crash", "/crash/", "idempotent", CRASH_SERVICE)
        part_route = route("part", "/part/", "streaming", PART_SERVICE, resumable=True)
        routes = [*base["routes"], crash_route, part_route]
        has_route = "settings-route" not in self.changed
        if has_route:
            routes.append(ONCE_ROUTE)
        is_short = "settings-timeout" in self.changed
        timeout_ms = 1000 * (SHORT_TIMEOUT_S if is_short else LONG_TIMEOUT_S)
        routes = [fields | {"timeout_ms": timeout_ms} for fields in routes]
        routes.append(STOP_ROUTE)
        if "settings-service" in self.changed:
            weights = {PLAIN_SERVICE: 1, SIDE_SERVICE: 3}
            backends = [{"service": s, "weight": w} for s, w in weights.items()]
            routes = [
                fields | ({"backends": backends} if fields["name"] == "stock" else {})
                for fields in routes
            ]
        engine = base["services"][0]["engine"]
        added = [
            {"name": CRASH_SERVICE},
            {"name": SIDE_SERVICE},
            {"name": PART_SERVICE, "engine": engine},
        ]
        idle_s = LONG_IDLE_S if IDLE_SETTING in self.changed else SHORT_IDLE_S
        sent_s = time.time()
        self.deployment.publish_configuration(
            self.version,
            tenants=tenants,
            routes=routes,
            services=[*base["services"], *added],
            limits={"idle_timeout_ms": 1000 * idle_s},
        )
        self.published.append(Version(sent_s, time.time(), idle_s, has_route))

    def serves(self, name):
        try:
            stream_response = self.deployment.request_stream(name, 2)
            booking_response = self.deployment.request(name, "/book/check")
        except (OSError, http.client.HTTPException):
            return False
        return (
            stream_response.status == booking_response.status == 200
            and stream_response.is_complete
        )

    def run(self):
        with (
            ThreadPoolExecutor(N_CALLERS + N_PATIENT_CALLERS + 5) as pool,
            ThreadPoolExecutor(len(self.gateways)) as stop_pool,
            Respawner(self.deployment, CRASH_ENGINES + PART_ENGINES, RESPAWN_S),
        ):
            callers = [pool.submit(self.run_caller, n) for n in range(N_CALLERS)]
            callers += [
                pool.submit(self.run_caller, f"patient-{n}", draw_patient_pause)
                for n in range(N_PATIENT_CALLERS)
            ]
            callers.append(pool.submit(self.run_crashing_caller))
            callers += [pool.submit(self.run_part_caller, n) for n in range(3)]
            callers += [
                stop_pool.submit(self.run_stop_caller, g) for g in self.gateways
            ]
            if self.has_herds:
                callers.append(pool.submit(self.watch_reader))
            try:
                self.run_schedule()
                last_fault_s = time.monotonic()
                for name in self.gateways:
                    left_s = last_fault_s + RECOVERY_BOUND_S - time.monotonic()
                    wait_for(lambda name=name: self.serves(name), max(0.1, left_s))
            finally:
                self.is_over.set()
            for caller in callers:
                caller.result()

    def run_schedule(self):
        events = [(f.at_s, n, f, True) for n, f in enumerate(self.schedule)]
        events += [(f.at_s + f.for_s, n, f, False) for n, f in enumerate(self.schedule)]
        start_s = time.monotonic()
        for at_s, _, fault, is_begin in sorted(events, key=lambda event: event[:2]):
            time.sleep(max(0.0, start_s + at_s - time.monotonic()))
            self.apply(fault, is_begin)
        for name in self.gateways:
            self.restart_if_ended(name)

    def apply(self, fault, is_begin):
        now_s = time.time()
        self.injected[id(fault)] = (
            (fault, now_s, now_s + fault.for_s)
            if is_begin
            else (fault, self.injected[id(fault)][1], now_s)
        )
        family, _, action = fault.kind.partition("-")
        if family in ("engine", "gateway"):
            self.apply_to_process(fault.on, action, is_begin)
        elif family == "answers":
            values = ANSWER_FAULTS[fault.kind] if is_begin else SOUND_ANSWERS
            # The process may be down or paused.
            with suppress(OSError, http.client.HTTPException):
                self.deployment.control(fault.on, timeout_s=CONTROL_TIMEOUT_S, **values)
        elif family == "notice":
            self.give_notice(fault, is_begin)
        elif fault.kind == "herd-drain":
            self.drain_engine_in_use(fault, is_begin)
        elif fault.kind == "herd-kill" and is_begin:
            self.kill_herd(now_s)
        elif family == "path":
            name = fault.on.replace("/", "-")
            if action == "delay":
                self.configure_route(name, delay_s=0.05 if is_begin else 0.0)
            else:
                self.configure_route(name, mode=action if is_begin else "pass")
        elif family == "settings" and is_begin:
            self.change_setting(fault.kind)
        elif fault.kind == "configuration" and is_begin:
            if self.revoked_s is None:
                self.revoked_s = time.time()
            self.publish_configuration()
        elif action in ("refuse", "silent"):
            self.deployment.control("store", **{action: is_begin})
        elif action == "rebalance" and is_begin:
            self.deployment.control("store", rebalance=True)
        elif action == "restore" and is_begin:
            self.deployment.control("store", restore=fault.for_s + SETTLE_S)
            # The operator and the engines write again what was lost.
            self.publish_configuration()
        elif action == "truncate" and is_begin:
            self.deployment.control("store", truncate=True)

    def drain_engine_in_use(self, fault, is_begin):
        """Let the engine leave that got a request last, and end it later."""
        if is_begin:
            used = [r["engine"] for r in self.deployment.history("run")]
            # Both zones use the same engines with layers.
            layered = {name for name, (_, _, kind) in ENGINES.items() if kind}
            on = next((name for name in reversed(used) if name in layered), None)
            if on is None:
                return
            self.drained[id(fault)] = Fault(fault.at_s, fault.for_s, DRAIN_NOTICE, on)
        notice = self.drained.get(id(fault))
        if notice is not None:
            self.apply(notice, is_begin)
        if not is_begin:
            self.drained.pop(id(fault), None)

    def kill_herd(self, now_s):
        """Kill the gateways beside the reader; those of the other zone get quiet."""
        if self.reader is None:
            return
        zone = self.reader.split("-")[1]
        killed = [g for g in self.gateways if zone in g and g != self.reader]
        for name in killed:
            self.deployment.processes[name].kill()
            kill = Fault(0.0, HERD_FOR_S, "gateway-kill", name)
            self.injected[id(kill)] = kill, now_s, now_s + HERD_FOR_S
        quiet_s = HERD_RANGE_S + RENEWAL_S + DRAIN_S + DRAIN_SLACK_S
        until_s = time.monotonic() + quiet_s
        others = [g for g in self.gateways if zone not in g]
        self.quiet_until_s |= dict.fromkeys(others, until_s)
        restart = threading.Timer(HERD_FOR_S, self.restart_all, (killed,))
        restart.start()

    def send_once(self, call):
        """Send a call over a new connection."""
        call.begin_s = time.time()
        port = self.deployment.ports[call.gateway]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=9.0)
        self.send(connection, call)
        connection.close()
        call.end_s = time.time()
        self.calls.append(call)

    def restart_all(self, names):
        for name in names:
            self.restart_if_ended(name)

    def watch_reader(self):
        """Find the gateway with the most reads of the list of engines."""
        before = {}
        while not self.is_over.wait(READER_POLL_S):
            counts = {name: self.count_reads(name) for name in self.gateways}
            grown = {name: counts[name] - before.get(name, 0.0) for name in counts}
            before = counts
            self.reader = max(grown, key=grown.get)

    def count_reads(self, name):
        """Return how often a gateway has read the list of engines; 0 if it is down."""
        port = self.deployment.ports[f"{name}/metrics"]
        with suppress(OSError, http.client.HTTPException):
            body = self.deployment.call(port, "GET", "/metrics", timeout_s=0.5).body
            for line in body.decode().splitlines():
                if "store_calls" in line and READS in line:
                    return float(line.rsplit(" ", 1)[1])
        return 0.0

    def is_quiet(self, gateway):
        return time.monotonic() < self.quiet_until_s.get(gateway, 0.0)

    def give_notice(self, fault, is_begin):
        if fault.kind in ("notice-leaving", DRAIN_NOTICE) and not is_begin:
            # The process may have ended before.
            self.deployment.kill(fault.on)
            # One that has not ended yet is not started again.
            self.deployment.processes[fault.on].wait()
            threading.Thread(target=self.restart_if_ended, args=(fault.on,)).start()
            return
        values = (NOTICES | {DRAIN_NOTICE: DRAINING})[fault.kind]
        if not is_begin:
            values = {"full": False}
        with suppress(OSError, http.client.HTTPException):
            self.deployment.control(fault.on, timeout_s=CONTROL_TIMEOUT_S, **values)

    def change_setting(self, kind):
        if kind != "settings-hup":
            self.changed ^= {kind}
            self.publish_configuration()
            return
        for name in self.gateways:
            # The signal would end a process that does not listen yet.
            if self.deployment.accepts_connections(self.deployment.ports[name]):
                self.deployment.kill(name, signal.SIGHUP)

    def apply_to_process(self, name, action, is_begin):
        process = self.deployment.processes[name]
        if not is_begin:
            process.send_signal(signal.SIGCONT)
            if action not in ("pause", "silence"):
                # The schedule does not wait for a leaving process, which may take up to
                # GRACE_S to end.
                threading.Thread(target=self.restart_if_ended, args=(name,)).start()
            return
        signals = {
            "kill": signal.SIGKILL,
            "pause": signal.SIGSTOP,
            "silence": signal.SIGSTOP,
            "term": signal.SIGTERM,
            "hup": signal.SIGHUP,
        }
        process.send_signal(signals[action])
        if action == "term" and self.stopped.get(name, (None,))[0] is not process:
            self.stopped[name] = process, time.monotonic()

    def restart_if_ended(self, name):
        """Restart a process that has ended; kill a leaving one that exceeds GRACE_S."""
        with self.restart_locks[name]:
            process = self.deployment.processes[name]
            stopped, stop_s = self.stopped.get(name, (None, 0.0))
            if stopped is process:
                left_s = stop_s + GRACE_S - time.monotonic()
                try:
                    process.wait(max(0.0, left_s))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
            if process.poll() is not None and not self.is_over.is_set():
                self.deployment.restart(name)
                self.restarts.append((name, time.time()))

    def run_caller(self, name, draw_pause=lambda state: state.uniform(0.0, 0.1)):
        """Send calls over persistent connections until the soak is over."""
        random_state = random.Random(f"{self.seed}-{name}")
        connection, gateway, opened_s, idle_since_s = None, "", 0.0, 0.0
        while not self.is_over.is_set():
            if connection is None:
                gateway = random_state.choice(self.gateways)
            if self.is_quiet(gateway):
                self.is_over.wait(0.05)
                continue
            if connection is None:
                port = self.deployment.ports[gateway]
                connection = http.client.HTTPConnection("127.0.0.1", port, timeout=9.0)
                opened_s = 0.0
                with suppress(OSError):
                    connection.connect()
                    opened_s = idle_since_s = time.time()
            call = Call(
                id=os.urandom(8).hex(),
                kind=random_state.choice(["draft", "once", "book", "stock"]),
                gateway=gateway,
                key=random_state.choice([KEY, KEY, REVOKED_KEY]),
                n_events=random_state.randrange(1, 40),
                begin_s=time.time(),
                opened_s=opened_s,
                idle_since_s=idle_since_s,
            )
            is_reusable = self.send(connection, call)
            call.end_s = idle_since_s = time.time()
            self.calls.append(call)
            if not is_reusable:
                connection.close()
                connection = None
            self.is_over.wait(draw_pause(random_state))

    def run_crashing_caller(self):
        """Send the crashing request again and again, over new connections."""
        random_state = random.Random(f"{self.seed}-crash")
        while not self.is_over.wait(CRASH_INTERVAL_S):
            call = Call(
                id=os.urandom(8).hex(),
                kind="crash",
                gateway=random_state.choice(self.gateways),
                key=KEY,
                n_events=0,
                begin_s=0.0,
            )
            self.send_once(call)

    def run_stop_caller(self, gateway):
        """Send streams of all lengths around each step of the stops of a gateway."""
        random_state = random.Random(f"{self.seed}-stop-{gateway}")
        n_streams, handled_s = N_STOP_STREAMS * len(STOP_STEPS_S), None
        kept = []
        with ThreadPoolExecutor(n_streams) as pool:
            while not self.is_over.wait(0.02):
                _, stop_s = self.stopped.get(gateway, (None, None))
                if stop_s is None or stop_s == handled_s:
                    kept = self.keep_connections(gateway, kept, n_streams)
                    continue
                handled_s = stop_s
                for step_s in STOP_STEPS_S:
                    at_s = stop_s + step_s
                    at_s += random_state.uniform(-STEP_RANGE_S, STEP_RANGE_S)
                    for _ in range(N_STOP_STREAMS):
                        if kept:
                            call = self.draw_stop_call(gateway, random_state)
                            pool.submit(self.send_at, at_s, *kept.pop(), call)
                        at_s += random_state.uniform(0.0, 0.02)

    def keep_connections(self, gateway, kept, n_connections):
        """Return connections that carried a request a short time ago.

        :param kept: connections, each with the time at which it was opened.
        """
        found = [each for each in kept if not is_closed(each[0])]
        port = self.deployment.ports[gateway]
        with suppress(OSError, http.client.HTTPException):
            while len(found) < n_connections:
                connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20.0)
                connection.connect()
                opened_s = time.time()
                connection.request("GET", "/nowhere", headers={"Host": HOST})
                response = connection.getresponse()
                response.read()
                if response.will_close:
                    break
                found.append((connection, opened_s))
        return found

    def draw_stop_call(self, gateway, random_state):
        return Call(
            id=os.urandom(8).hex(),
            kind="stop",
            gateway=gateway,
            key=KEY,
            n_events=random_state.choice((1, 40, MAX_STOP_EVENTS)),
            begin_s=0.0,
        )

    def send_at(self, at_s, connection, opened_s, call):
        """Send a call at a time of the monotonic clock."""
        time.sleep(max(0.0, at_s - time.monotonic()))
        call.begin_s = time.time()
        call.opened_s = call.idle_since_s = opened_s
        self.send(connection, call)
        connection.close()
        call.end_s = time.time()
        self.calls.append(call)

    def run_part_caller(self, number):
        """Send prompts of shared parts; the first caller's contain the bad part."""
        random_state = random.Random(f"{self.seed}-part-{number}")
        while not self.is_over.wait(random_state.uniform(0.1, 0.5)):
            parts = ["f0", random_state.choice(SHARED_PARTS)]
            call = Call(
                id=os.urandom(8).hex(),
                kind=PART_KINDS[number == 0],
                gateway=random_state.choice(self.gateways),
                key=KEY,
                n_events=N_PART_EVENTS,
                begin_s=0.0,
                parts=[*parts, BAD_PART] if number == 0 else parts,
            )
            self.send_once(call)

    def send(self, connection, call):
        """Send a call and return whether the connection can be reused."""
        headers = {
            "Host": HOST,
            "Attempt-Id": call.id,
            "Deadline-Ms": str(int(call.deadline_s * 1000)),
            "Authorization": f"Bearer {call.key}",
        }
        if call.is_stream:
            headers |= {"Token-Count": f"100,{4 * call.n_events}", "Model": "m"}
        method = "GET" if call.kind == "stock" else "POST"
        path, body = f"/{call.kind}/{call.id}", b""
        if call.kind == "crash":
            path, body = "/crash/same", CRASH_TEXT.encode()
        if call.kind in PART_KINDS:
            path, body = f"/part/{call.id}", call.id.encode()
            entries = [f"{part}:20" for part in (*call.parts, call.id)]
            headers["Prompt-Prefix"] = ",".join(entries)
        if call.opened_s and is_closed(connection):
            call.error = "closed before the request was sent"
            return False
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            call.status = response.status
            try:
                call.body = response.read()
                call.is_complete = True
            except http.client.IncompleteRead as error:
                call.body = error.partial
            return call.is_complete and not response.will_close
        except (OSError, http.client.HTTPException) as error:
            call.error = type(error).__name__
            return False

    def write_calls(self):
        """Write the calls and the injected faults to the folder of the logs."""
        path = self.deployment.folder / "calls.json"
        faults = [(begin, end, fault) for fault, begin, end in self.injected.values()]
        path.write_bytes(msgspec.json.encode({"calls": self.calls, "faults": faults}))

    def findings(self):
        """Return the violated guarantees, one line each."""
        runs = {}
        for row in self.deployment.history("run"):
            runs.setdefault(row["headers"].get("Attempt-Id"), []).append(row)
        findings = []
        for call in self.calls:
            findings += self.check_call(call, runs.get(call.id, []))
        for name in self.gateways:
            findings += self.check_notices(name)
        findings += self.check_drains(runs)
        return [*findings, *self.check_crashes(runs), *self.check_parts(runs)]

    def check_drains(self, runs):
        """Check that engines get no requests after the bound on their leaving."""
        for row in self.deployment.history("draining"):
            name, acked_s = row["engine"], row["at_s"]
            late_s = acked_s + DRAIN_S + DRAIN_SLACK_S
            ends = [at_s for on, at_s in self.restarts if on == name and at_s > acked_s]
            end_s = min(ends, default=float("inf"))
            for gateway in self.gateways:
                if (
                    late_s < end_s
                    and self.must_know_drain(gateway, acked_s, late_s)
                    and not any(
                        acked_s - SETTLE_S < known_s < late_s
                        for known_s in self.leaving_times(gateway, name)
                    )
                ):
                    yield f"{gateway}: did not know in time that {name} leaves"
            for call in self.calls:
                for run in runs.get(call.id, []):
                    reached = [run["engine"], *(hop[0] for hop in run["hops"])]
                    if (
                        late_s < run["at_s"] < end_s
                        and {name, self.addresses[name]} & set(reached)
                        and self.must_know_drain(call.gateway, acked_s, run["at_s"])
                        and not self.holds_requests(name, acked_s, run["at_s"])
                    ):
                        after_s = run["at_s"] - acked_s
                        yield f"{call.id}: reached {name} {after_s:.3f} s after its ack"

    def must_know_drain(self, gateway, acked_s, until_s):
        """Return whether a gateway is in touch from the ack of an entry to a time."""
        names = {gateway, f"{gateway}/store", "store"}
        return not any(
            (fault.on in names or fault.kind.startswith("store"))
            and begin_s < until_s
            and end_s + SETTLE_S > acked_s
            for fault, begin_s, end_s in self.injected.values()
        ) and not any(
            name == gateway and acked_s - SETTLE_S < at_s < until_s
            for name, at_s in self.restarts
        )

    def holds_requests(self, engine, begin_s, end_s):
        """Return whether requests may have waited at an engine or on its path."""
        return any(
            fault.on == engine
            and fault.kind != DRAIN_NOTICE
            and fault_begin_s < end_s
            and fault_end_s + SETTLE_S > begin_s
            for fault, fault_begin_s, fault_end_s in self.injected.values()
        )

    def leaving_times(self, gateway, engine):
        """Return when a gateway took an engine for one that leaves, or for gone."""
        return [
            row["time_s"]
            for row in self.deployment.log_lines(gateway)
            if row.get("target") == engine
            and (
                row["event"].startswith("engine.leaving")
                or row["event"] == "engine.gone"
                or row.get("is_leaving")
            )
        ]

    def check_notices(self, gateway):
        """Check that engines which leave or want a pause get no streams."""
        leaving_s, closed_s = {}, {}
        for row in self.deployment.log_lines(gateway):
            now_s, target = row["time_s"], row.get("target")
            if row["event"] == "gateway.started":
                leaving_s, closed_s = {}, {}
            elif row["event"] == "engine.seen":
                leaving_s.pop(target, None)
                closed_s.pop(target, None)
                # Its notice may have come before its entry.
                if row["is_leaving"]:
                    leaving_s[target] = now_s
            elif row["event"] == "engine.leaving":
                leaving_s[target] = now_s
            elif row["event"] == "engine.closed":
                closed_s[target] = now_s, now_s + row["for_ms"] / 1000
            elif row["event"] == "stream.assigned":
                for target, _, _ in row["chain"]:
                    begin_s, end_s = closed_s.get(target, (now_s, now_s))
                    is_left = now_s > leaving_s.get(target, now_s) + NOTICE_SLACK_S
                    if is_left or begin_s + NOTICE_SLACK_S < now_s < end_s:
                        yield f"{row['request']}: sent to {target} after its notice"

    def check_crashes(self, runs):
        """Check that the crashing request is not run again and again."""
        crashes = self.crash_times(None)
        if len(crashes) < N_CRASHES:
            return
        known_s = crashes[N_CRASHES - 1] + LEARN_S
        late = [
            call.id
            for call in self.calls
            if call.kind == "crash"
            and call.begin_s > known_s
            and not self.was_disturbed(call)
            for _ in runs.get(call.id, [])
        ]
        if len(late) > N_LATE_RUNS:
            yield f"the crashing request ran {len(late)} times too late: {late}"

    def crash_times(self, part):
        """Return when engines ended under a part, or under the crashing request."""
        rows = self.deployment.history("crash")
        return sorted(row["at_s"] for row in rows if row["part"] == part)

    def check_parts(self, runs):
        """Check that the bad part is found, and no other one taken for it."""
        crashes = self.crash_times(BAD_PART)
        if len(crashes) < N_PART_CRASHES:
            return
        fifth_s = crashes[N_PART_CRASHES - 1]
        calls = [call for call in self.calls if not self.was_disturbed(call)]
        late = [
            call.id
            for call in calls
            if call.kind == "bad-part" and call.begin_s > fifth_s + LEARN_S
            for _ in runs.get(call.id, [])
        ]
        if len(late) > N_LATE_RUNS:
            yield f"prompts with the bad part ran {len(late)} times too late: {late}"
        sound = [
            call
            for call in calls
            if call.kind == "part" and call.begin_s > fifth_s + 2 * LEARN_S
        ]
        refused = [call.id for call in sound if b":quarantined" in call.body]
        if len(sound) >= MIN_PART_CALLS and (
            len(refused) > MAX_QUARANTINED_RATIO * len(sound)
        ):
            yield f"{len(refused)} of {len(sound)} sound prompts refused: {refused}"

    def was_disturbed(self, call):
        """Return whether a fault touched the gateway of a call before it was sent."""
        spans = [
            (fault.on.partition("/")[0], begin_s, end_s)
            for fault, begin_s, end_s in self.injected.values()
        ]
        spans += [(name, at_s, at_s) for name, at_s in self.restarts]
        return any(
            name == call.gateway and begin_s < call.begin_s < end_s + LEARN_S
            for name, begin_s, end_s in spans
        )

    def check_call(self, call, runs):
        if call.status == 200 and not call.is_complete:
            yield from self.check_cut(call)
        if call.kind in ("book", "once") and len(runs) > 1:
            yield f"{call.id}: non-idempotent request ran {len(runs)} times"
        if call.kind == "book" and call.status in NOT_RUN_STATUSES and runs:
            yield f"{call.id}: refused with status {call.status}, but ran"
        is_denied = call.status in (404, 400)
        if call.status == 404 and call.kind == "once":
            in_force = self.versions_in_force(call.gateway, call.begin_s, call.end_s)
            is_denied = all(version.has_route for version in in_force)
        if is_denied or (call.status == 401 and call.key == KEY):
            yield f"{call.id}: valid request denied with status {call.status}"
        if call.status == 200 and call.is_complete:
            yield from self.check_body(call, runs)
        elif call.kind not in ("crash", *PART_KINDS):
            yield from self.check_end(call, runs)
        for run in runs:
            if run["headers"].get("Tenant") != ORGANISATIONS[call.key]:
                yield f"{call.id}: ran for organisation {run['headers'].get('Tenant')}"
            if call.key == REVOKED_KEY and self.revoked_s is not None:
                late_s = call.begin_s - self.revoked_s - REVOKE_S
                if late_s > 0:
                    yield f"{call.id}: ran {late_s:.1f} s after the bound on revocation"
            layers = [
                layer for _, begin, end in run["hops"] for layer in range(begin, end)
            ]
            if call.kind in ("draft", "once", "stop") and layers != list(
                range(N_LAYERS)
            ):
                yield f"{call.id}: ran layers {layers}"
        if runs and not call.status and self.is_affected_by_sigterm_alone(call):
            yield f"{call.id}: interrupted by SIGTERM of {call.gateway} ({call.error})"
        duration_s = call.end_s - call.begin_s
        if duration_s > call.deadline_s + ANSWER_SLACK_S and not self.may_be_paused(
            call
        ):
            yield f"{call.id}: not completed after {duration_s:.1f} s ({call.error})"

    def check_cut(self, call):
        """Check that a stopping gateway did not accept late what it cut at its end."""
        for fault, stop_s, _ in self.injected.values():
            after_s = call.begin_s - stop_s
            if (fault.kind, fault.on) != ("gateway-term", call.gateway) or not (
                BALANCER_LAG_S < after_s < GRACE_S
                and call.end_s > stop_s + GRACE_RATIO * GRACE_S
            ):
                continue
            is_other = any(
                name == call.gateway and stop_s < at_s < call.begin_s
                for name, at_s in self.restarts
            )
            is_killed = any(
                kill.kind == "gateway-kill"
                and kill.on == call.gateway
                and call.begin_s < kill_s < call.end_s
                for kill, kill_s, _ in self.injected.values()
            )
            if not is_other and not is_killed:
                yield f"{call.id}: accepted {after_s:.3f} s after SIGTERM and cut"

    def check_body(self, call, runs):
        if not runs:
            yield f"{call.id}: successful response without a run"
        elif call.is_stream:
            ids = [
                int(line[4:])
                for line in call.body.decode().split("\n")
                if line.startswith("id: ")
            ]
            if ids != list(range(1, call.n_events + 1)):
                yield f"{call.id}: complete stream with events {ids} of {call.n_events}"
        elif json.loads(call.body)["path"] != f"/{call.kind}/{call.id}":
            yield f"{call.id}: received the response to another request: {call.body!r}"

    def check_end(self, call, runs):
        """Check the end of a call that got no successful response."""
        if self.is_gateway_sound(call):
            end = (
                f"{call.kind} at {call.gateway} after {call.end_s - call.begin_s:.2f} s"
            )
            end += f", status {call.status} ({call.error or 'incomplete'})"
            is_sound = runs and self.are_targets_sound(call, runs)
            if is_sound and (call.error or not call.is_complete):
                yield f"{call.id}: ran on a sound target, but was cut: {end}"
            elif call.opened_s and not call.status and self.is_to_be_kept(call):
                idle_s = call.begin_s - call.idle_since_s
                yield f"{call.id}: closed after {idle_s:.1f} s of idleness: {end}"
        is_refused = call.is_complete and call.status in NOT_RUN_STATUSES
        if runs and is_refused and json.loads(call.body)["outcome"] == "not-run":
            yield f"{call.id}: {call.kind} ran, but was answered as not run"

    def is_gateway_sound(self, call):
        """Return whether the gateway of a call must answer it."""
        spans = [
            (fault.kind, begin_s, end_s)
            for fault, begin_s, end_s in self.injected.values()
            if fault.on == call.gateway and begin_s < call.end_s
        ]
        if any(
            kind in ("gateway-kill", "gateway-pause") and end_s > call.opened_s
            for kind, _, end_s in spans
        ) or any(
            name == call.gateway and call.opened_s < at_s < call.end_s
            for name, at_s in self.restarts
        ):
            return False
        terms_s = [begin_s for kind, begin_s, _ in spans if kind == "gateway-term"]
        terms_s = [at_s for at_s in terms_s if at_s > call.opened_s - GRACE_S]
        if not terms_s:
            return True
        return (
            call.end_s - call.begin_s > CLOSE_SLACK_S
            and call.end_s < min(terms_s) + GRACE_RATIO * GRACE_S
        )

    def are_targets_sound(self, call, runs):
        """Return whether the engines that ran a call had no fault but silences."""
        timeout_s = STOP_TIMEOUT_S if call.kind == "stop" else SHORT_TIMEOUT_S
        if call.end_s - call.begin_s > timeout_s - ANSWER_SLACK_S:
            return False
        names = {address: name for name, address in self.addresses.items()}
        engines = {run["engine"] for run in runs}
        engines |= {names[address] for run in runs for address, _, _ in run["hops"]}
        since_s = call.begin_s - SETTLE_S
        silences = []
        for fault, begin_s, end_s in self.injected.values():
            if fault.on not in engines or begin_s > call.end_s or end_s < since_s:
                continue
            if fault.kind in ("engine-silence", "engine-pause"):
                silences.append((fault.on, begin_s, end_s))
            elif fault.kind != "path-delay":
                return False
        if any(
            name in engines and since_s < at_s < call.end_s
            for name, at_s in self.restarts
        ):
            return False
        # Silences that touch are one.
        until = {}
        for name, begin_s, end_s in sorted(silences):
            first_s, last_s = until.get(name, (begin_s, begin_s))
            if begin_s > last_s + MIN_PAUSE_S:
                first_s = begin_s
            until[name] = first_s, max(last_s, end_s)
            if until[name][1] - first_s > MAX_SILENCE_S:
                return False
        return True

    def is_to_be_kept(self, call):
        """Return whether the idle timeout in force keeps the connection of a call."""
        at_s, limit_s = call.idle_since_s, 0.0
        while at_s < call.begin_s:
            in_force = self.versions_in_force(call.gateway, at_s, at_s)
            limit_s = max(limit_s, min(version.idle_s for version in in_force))
            if at_s - call.idle_since_s > REUSE_RATIO * limit_s:
                return False
            at_s += IDLE_STEP_S
        return True

    def versions_in_force(self, gateway, begin_s, end_s):
        """Return the configurations that a gateway may apply in a period."""
        is_late = any(
            (fault.kind.startswith("store") or fault.on.partition("/")[0] == gateway)
            and fault_begin_s < end_s
            and fault_end_s + SETTLE_S > begin_s
            for fault, fault_begin_s, fault_end_s in self.injected.values()
        )
        versions = [version for version in self.published if version.sent_s <= end_s]
        return versions[-1:] + [
            version
            for version, following in pairwise(versions)
            if is_late or following.acked_s + APPLY_S > begin_s
        ]

    def is_affected_by_sigterm_alone(self, call):
        """Return whether only SIGTERM to its gateway can have interrupted a call."""
        faults = [
            fault
            for fault, begin_s, end_s in self.injected.values()
            if begin_s < call.end_s
            and end_s + SETTLE_S > call.begin_s
            and fault.kind not in PLANNED
        ]
        return bool(faults) and all(
            fault.kind == "gateway-term" and fault.on == call.gateway
            for fault in faults
        )

    def may_be_paused(self, call):
        """Return whether the gateway of a call may have been paused by a signal."""
        return any(
            fault.on == call.gateway and fault.kind == "gateway-pause"
            for fault in self.schedule
        )


def run_seed(seed, length_s, folder, n_gateways=N_GATEWAYS):
    """Run one seed and return the violated guarantees.

    :param seed: seed of the schedule and of the callers.
    :param length_s: time during which faults begin, in seconds.
    :param folder: folder for logs and the history.
    :param n_gateways: number of gateways in each zone.
    """
    with Soak(folder, seed, length_s, n_gateways) as soak:
        soak.set_up()
        try:
            soak.run()
        except AssertionError as error:
            return [
                f"not recovered within {RECOVERY_BOUND_S} s: {error}",
                *soak.findings(),
            ]
        finally:
            soak.write_calls()
        return soak.findings()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument(
        "--length",
        type=float,
        default=10.0,
        help="time during which faults begin, in seconds",
    )
    parser.add_argument(
        "--jobs", type=int, default=2, help="number of seeds run at the same time"
    )
    parser.add_argument(
        "--gateways",
        type=int,
        default=N_GATEWAYS,
        help="number of gateways in each zone; if larger than the default, those that "
        "pass updates on are killed together",
    )
    arguments = parser.parse_args()
    parent = Path(tempfile.mkdtemp(prefix="soak-"))

    def run_and_print(seed):
        folder = parent / str(seed)
        folder.mkdir()
        findings = run_seed(seed, arguments.length, folder, arguments.gateways)
        print(f"seed {seed}: {len(findings)} findings ({folder})", flush=True)
        for line in findings:
            print(f"  {line}", flush=True)
        return bool(findings)

    seeds = range(arguments.first, arguments.first + arguments.seeds)
    with ThreadPoolExecutor(arguments.jobs) as pool:
        n_failed = sum(pool.map(run_and_print, seeds))
    print(f"{len(seeds)} seeds, {n_failed} with findings")
    sys.exit(n_failed > 0)


if __name__ == "__main__":
    main()
