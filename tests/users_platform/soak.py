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
import signal
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
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
NOT_RUN_STATUSES = {408, 421, 429, 503}
GATEWAYS = tuple(f"gateway-{zone}-{n}" for zone in DOMAINS for n in range(2))
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
SOUND_ANSWERS = {"close_after": None, "break_how": "close", "flood": None}
N_ANSWER_FAULTS = 4


class Fault(msgspec.Struct):
    """One fault of a schedule.

    :param at_s: begin in seconds from the start.
    :param for_s: duration in seconds.
    :param kind: a key of ``FAULTS`` or ``ANSWER_FAULTS``.
    :param on: the affected process or proxy route.
    """

    at_s: float
    for_s: float
    kind: str
    on: str


class Call(msgspec.Struct):
    """One request as observed by its caller; times are in Unix seconds."""

    id: str
    kind: str
    gateway: str
    key: str
    n_events: int
    begin_s: float
    end_s: float = 0.0
    status: int = 0
    # The body arrived completely.
    is_complete: bool = msgspec.field(default=False, name="is_whole")
    body: bytes = b""
    error: str = ""


def draw_schedule(seed, length_s):
    """Return the faults of a seed, earliest first."""
    random_state = random.Random(seed)
    schedule, at_s = [], 0.5
    while at_s < length_s:
        kind = random_state.choices(list(FAULTS), list(FAULTS.values()))[0]
        if kind.startswith("gateway"):
            on = random_state.choice(GATEWAYS)
        elif kind.startswith("path"):
            on = random_state.choice([*ENGINES, *(f"{g}/store" for g in GATEWAYS)])
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
    return schedule


class Soak:
    """A deployment behind a proxy, with callers and injected faults."""

    def __init__(self, folder, seed, length_s):
        self.deployment = Deployment(folder)
        self.schedule = draw_schedule(seed, length_s)
        self.seed = seed
        self.calls = []
        self.revoked_s = None
        self.version = 1
        self.is_over = threading.Event()
        # Time of SIGTERM by process, on the monotonic clock.
        self.sigterm_s = {}
        self.restart_locks = {name: threading.Lock() for name in (*GATEWAYS, *ENGINES)}
        # Time of each start of a process after the first, in Unix seconds.
        self.restarts = []
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
            advertise = f"127.0.0.1:{port}"
            deployment.add_engine(name, service, zone, kind, advertise)
            upstream = f"127.0.0.1:{deployment.ports[name]}"
            self.configure_route(name, listen=port, upstream=upstream)
        for name in CRASH_ENGINES:
            zone = name.split("-")[0]
            deployment.add_engine(name, CRASH_SERVICE, zone, crash_on=CRASH_TEXT)
        upstream = f"127.0.0.1:{deployment.store_port}"
        for name in GATEWAYS:
            port = free_port()
            self.configure_route(f"{name}-store", listen=port, upstream=upstream)
            deployment.add_gateway(
                name, name.split("-")[1], store_port=port, has_peers=True
            )
        for name in GATEWAYS:
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
        self.deployment.publish_configuration(
            self.version,
            tenants=tenants,
            routes=[*base["routes"], crash_route],
            services=[*base["services"], {"name": CRASH_SERVICE}],
        )

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
            ThreadPoolExecutor(N_CALLERS + 1) as pool,
            Respawner(self.deployment, CRASH_ENGINES, RESPAWN_S),
        ):
            callers = [pool.submit(self.run_caller, n) for n in range(N_CALLERS)]
            callers.append(pool.submit(self.run_crashing_caller))
            try:
                self.run_schedule()
                last_fault_s = time.monotonic()
                for name in GATEWAYS:
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
        for name in GATEWAYS:
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
        elif family == "path":
            name = fault.on.replace("/", "-")
            if action == "delay":
                self.configure_route(name, delay_s=0.05 if is_begin else 0.0)
            else:
                self.configure_route(name, mode=action if is_begin else "pass")
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

    def apply_to_process(self, name, action, is_begin):
        process = self.deployment.processes[name]
        if not is_begin:
            process.send_signal(signal.SIGCONT)
            if action != "pause":
                # The schedule does not wait for a leaving process, which may take up to
                # GRACE_S to end.
                threading.Thread(target=self.restart_if_ended, args=(name,)).start()
            return
        signals = {
            "kill": signal.SIGKILL,
            "pause": signal.SIGSTOP,
            "term": signal.SIGTERM,
            "hup": signal.SIGHUP,
        }
        process.send_signal(signals[action])
        if action == "term":
            self.sigterm_s[name] = time.monotonic()

    def restart_if_ended(self, name):
        """Restart a process that has ended; kill a leaving one that exceeds GRACE_S."""
        with self.restart_locks[name]:
            process = self.deployment.processes[name]
            if name in self.sigterm_s:
                left_s = self.sigterm_s.pop(name) + GRACE_S - time.monotonic()
                try:
                    process.wait(max(0.0, left_s))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
            if process.poll() is not None and not self.is_over.is_set():
                self.deployment.restart(name)
                self.restarts.append((name, time.time()))

    def run_caller(self, number):
        """Send calls over persistent connections until the soak is over."""
        random_state = random.Random(f"{self.seed}-{number}")
        connection, gateway = None, ""
        while not self.is_over.is_set():
            if connection is None:
                gateway = random_state.choice(GATEWAYS)
                port = self.deployment.ports[gateway]
                connection = http.client.HTTPConnection("127.0.0.1", port, timeout=9.0)
            call = Call(
                id=os.urandom(8).hex(),
                kind=random_state.choice(["draft", "draft", "book", "stock"]),
                gateway=gateway,
                key=random_state.choice([KEY, KEY, REVOKED_KEY]),
                n_events=random_state.randrange(1, 40),
                begin_s=time.time(),
            )
            is_reusable = self.send(connection, call)
            call.end_s = time.time()
            self.calls.append(call)
            if not is_reusable:
                connection.close()
                connection = None
            time.sleep(random_state.uniform(0.0, 0.1))

    def run_crashing_caller(self):
        """Send the crashing request again and again, over new connections."""
        random_state = random.Random(f"{self.seed}-crash")
        while not self.is_over.wait(CRASH_INTERVAL_S):
            call = Call(
                id=os.urandom(8).hex(),
                kind="crash",
                gateway=random_state.choice(GATEWAYS),
                key=KEY,
                n_events=0,
                begin_s=time.time(),
            )
            port = self.deployment.ports[call.gateway]
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=9.0)
            self.send(connection, call)
            connection.close()
            call.end_s = time.time()
            self.calls.append(call)

    def send(self, connection, call):
        """Send a call and return whether the connection can be reused."""
        headers = {
            "Host": HOST,
            "Attempt-Id": call.id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {call.key}",
        }
        if call.kind == "draft":
            headers |= {"Token-Count": f"100,{4 * call.n_events}", "Model": "m"}
        method = "GET" if call.kind == "stock" else "POST"
        path, body = f"/{call.kind}/{call.id}", b""
        if call.kind == "crash":
            path, body = "/crash/same", CRASH_TEXT.encode()
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
        return [*findings, *self.check_crashes(runs)]

    def check_crashes(self, runs):
        """Check that the crashing request is not run again and again."""
        crashes = sorted(row["at_s"] for row in self.deployment.history("crash"))
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
        if call.kind == "book" and len(runs) > 1:
            yield f"{call.id}: non-idempotent request ran {len(runs)} times"
        if call.kind == "book" and call.status in NOT_RUN_STATUSES and runs:
            yield f"{call.id}: refused with status {call.status}, but ran"
        if call.status in (404, 400) or (call.status == 401 and call.key == KEY):
            yield f"{call.id}: valid request denied with status {call.status}"
        if call.status == 200 and call.is_complete:
            yield from self.check_body(call, runs)
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
            if call.kind == "draft" and layers != list(range(N_LAYERS)):
                yield f"{call.id}: ran layers {layers}"
        if runs and not call.status and self.is_affected_by_sigterm_alone(call):
            yield f"{call.id}: interrupted by SIGTERM of {call.gateway} ({call.error})"
        duration_s = call.end_s - call.begin_s
        if duration_s > DEADLINE_S + ANSWER_SLACK_S and not self.may_be_paused(call):
            yield f"{call.id}: not completed after {duration_s:.1f} s ({call.error})"

    def check_body(self, call, runs):
        if not runs:
            yield f"{call.id}: successful response without a run"
        elif call.kind == "draft":
            ids = [
                int(line[4:])
                for line in call.body.decode().split("\n")
                if line.startswith("id: ")
            ]
            if ids != list(range(1, call.n_events + 1)):
                yield f"{call.id}: complete stream with events {ids} of {call.n_events}"
        elif json.loads(call.body)["path"] != f"/{call.kind}/{call.id}":
            yield f"{call.id}: received the response to another request: {call.body!r}"

    def is_affected_by_sigterm_alone(self, call):
        """Return whether only SIGTERM to its gateway can have interrupted a call."""
        faults = [
            fault
            for fault, begin_s, end_s in self.injected.values()
            if begin_s < call.end_s and end_s + SETTLE_S > call.begin_s
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


def run_seed(seed, length_s, folder):
    """Run one seed and return the violated guarantees.

    :param seed: seed of the schedule and of the callers.
    :param length_s: time during which faults begin, in seconds.
    :param folder: folder for logs and the history.
    """
    with Soak(folder, seed, length_s) as soak:
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
    arguments = parser.parse_args()
    parent = Path(tempfile.mkdtemp(prefix="soak-"))

    def run_and_print(seed):
        folder = parent / str(seed)
        folder.mkdir()
        findings = run_seed(seed, arguments.length, folder)
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
