"""Randomized faults from outside real processes, and what callers and targets see.

``python -m tests.users_platform.soak --seeds 50`` plays many seeds and prints what
broke a promise. Faults come in series and overlap; the schedule follows the seed, the
timing of the processes does not.
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
from pathlib import Path

import msgspec

from tests.users_platform.deployment import (
    DOMAINS,
    HOST,
    KEY,
    MODEL,
    N_LAYERS,
    PLAIN,
    Deployment,
    free_port,
    wait_for,
)

N_CALLERS = 8
REVOKED_KEY = "key-that-goes"
TENANTS = {KEY: "celje-shops", REVOKED_KEY: "leaving-shops"}
DEADLINE_S = 5.0
# From the settings of the gateways: revoked keys, and the time that SIGTERM leaves.
REVOKE_S = 5.0
GRACE_S = 8.0
# Promised bound of recovery after the last fault.
RECOVER_S = 12.0
# What a final answer may take beyond its deadline.
ANSWER_SLACK_S = 0.5
# Time after a fault in which it may still show.
SETTLE_S = 3.0
NOT_RUN_STATUSES = {408, 421, 429, 503}
GATEWAYS = tuple(f"gateway-{zone}-{n}" for zone in DOMAINS for n in range(2))
ENGINES = {
    f"{zone}-{name}": (service, zone, kind)
    for zone in DOMAINS
    for name, service, kind in (
        ("large", MODEL, "large"),
        ("small", MODEL, "small"),
        ("plain", PLAIN, ""),
    )
}
# Faults by name, each with how often it is drawn.
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


class Fault(msgspec.Struct):
    """One fault of a schedule.

    :param at_s: when it begins, in seconds from the start.
    :param for_s: how long it lasts.
    :param kind: a key of ``FAULTS``.
    :param on: process or route that it is done to.
    """

    at_s: float
    for_s: float
    kind: str
    on: str


class Call(msgspec.Struct):
    """One request as its caller saw it; times are Unix seconds."""

    id: str
    kind: str
    gateway: str
    key: str
    n_events: int
    begin_s: float
    end_s: float = 0.0
    status: int = 0
    is_whole: bool = False
    body: bytes = b""
    error: str = ""


def draw_schedule(seed, length_s):
    """Return the faults of a seed, oldest first."""
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
            # Long enough that what the gateway knows of keys gets too old, while the
            # operator takes one away.
            for_s += REVOKE_S
            schedule.append(Fault(at_s + 0.2, 0.1, "configuration", on))
        schedule.append(Fault(at_s, for_s, kind, on))
        # A series in quick succession, then a pause.
        is_series = random_state.random() < 0.6
        at_s += random_state.uniform(0.05, 0.4) if is_series else 2.0
    return schedule


class Soak:
    """A deployment behind a proxy, its callers and the faults done to it."""

    def __init__(self, folder, seed, length_s):
        self.deployment = Deployment(folder)
        self.schedule = draw_schedule(seed, length_s)
        self.seed = seed
        self.calls = []
        self.revoked_s = None
        self.version = 1
        self.is_over = threading.Event()
        self.terminated = {}
        self.locks = {name: threading.Lock() for name in (*GATEWAYS, *ENGINES)}
        # Faults as they were done: begin and end in Unix seconds.
        self.done = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.is_over.set()
        self.deployment.close()

    def set_up(self):
        deployment = self.deployment
        self.publish()
        proxy = deployment.ports["proxy"] = free_port()
        flags = ("--port", proxy, "--name", "proxy")
        deployment.start("proxy", "-m", "tests.standins.fault_proxy", *flags)
        wait_for(lambda: deployment.reaches(proxy))
        for name, (service, zone, kind) in ENGINES.items():
            port = free_port()
            advertise = f"127.0.0.1:{port}"
            deployment.add_engine(name, service, zone, kind, advertise)
            upstream = f"127.0.0.1:{deployment.ports[name]}"
            self.set_path(name, listen=port, upstream=upstream)
        upstream = f"127.0.0.1:{deployment.store_port}"
        for name in GATEWAYS:
            port = free_port()
            self.set_path(f"{name}-store", listen=port, upstream=upstream)
            deployment.add_gateway(name, name.split("-")[1], store_port=port)
        for name in GATEWAYS:
            wait_for(lambda name=name: self.serves(name), 30.0)

    def set_path(self, name, **values):
        port = self.deployment.ports["proxy"]
        body = json.dumps(values).encode()
        self.deployment.call(port, "POST", f"/routes/{name}", body)

    def publish(self):
        self.version += 1
        keys = [KEY] if self.revoked_s else [KEY, REVOKED_KEY]
        tenants = [{"name": TENANTS[k], "api_keys": [k], "priority": 1} for k in keys]
        self.deployment.publish(self.version, tenants=tenants)

    def serves(self, name):
        try:
            streamed = self.deployment.stream(name, 2)
            booked = self.deployment.request(name, "/book/check")
        except (OSError, http.client.HTTPException):
            return False
        return streamed.status == booked.status == 200 and streamed.is_whole

    def play(self):
        with ThreadPoolExecutor(N_CALLERS) as pool:
            callers = [pool.submit(self.call_on, n) for n in range(N_CALLERS)]
            try:
                self.run_schedule()
                recovered_s = time.monotonic()
                for name in GATEWAYS:
                    left_s = recovered_s + RECOVER_S - time.monotonic()
                    wait_for(lambda name=name: self.serves(name), max(0.1, left_s))
            finally:
                self.is_over.set()
            for caller in callers:
                caller.result()

    def run_schedule(self):
        moments = [(f.at_s, n, f, True) for n, f in enumerate(self.schedule)]
        moments += [
            (f.at_s + f.for_s, n, f, False) for n, f in enumerate(self.schedule)
        ]
        start_s = time.monotonic()
        for at_s, _, fault, begins in sorted(moments, key=lambda m: m[:2]):
            time.sleep(max(0.0, start_s + at_s - time.monotonic()))
            self.apply(fault, begins)
        for process in GATEWAYS:
            self.bring_back(process)

    def apply(self, fault, begins):
        now_s = time.time()
        self.done[id(fault)] = (
            (fault, now_s, now_s + fault.for_s)
            if begins
            else (fault, self.done[id(fault)][1], now_s)
        )
        family, _, how = fault.kind.partition("-")
        if family in ("engine", "gateway"):
            self.signal(fault.on, how, begins)
        elif family == "path":
            name = fault.on.replace("/", "-")
            if how == "delay":
                self.set_path(name, delay_s=0.05 if begins else 0.0)
            else:
                self.set_path(name, mode=how if begins else "pass")
        elif fault.kind == "configuration" and begins:
            if self.revoked_s is None:
                self.revoked_s = time.time()
            self.publish()
        elif how in ("refuse", "silent"):
            self.deployment.control("store", **{how: begins})
        elif how == "rebalance" and begins:
            self.deployment.control("store", rebalance=True)
        elif how == "truncate" and begins:
            self.deployment.control("store", truncate=True)

    def signal(self, name, how, begins):
        process = self.deployment.processes[name]
        if not begins:
            process.send_signal(signal.SIGCONT)
            if how != "pause":
                # A process that leaves may take its time.
                threading.Thread(target=self.bring_back, args=(name,)).start()
            return
        numbers = {
            "kill": signal.SIGKILL,
            "pause": signal.SIGSTOP,
            "term": signal.SIGTERM,
            "hup": signal.SIGHUP,
        }
        process.send_signal(numbers[how])
        if how == "term":
            self.terminated[name] = time.monotonic()

    def bring_back(self, name):
        """Start a process again; one that leaves is killed when its time is over."""
        with self.locks[name]:
            process = self.deployment.processes[name]
            if name in self.terminated:
                left_s = self.terminated.pop(name) + GRACE_S - time.monotonic()
                try:
                    process.wait(max(0.0, left_s))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
            if process.poll() is not None and not self.is_over.is_set():
                self.deployment.restart(name)

    def call_on(self, number):
        """Call over kept connections until the soak is over."""
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
            is_kept = self.send(connection, call)
            call.end_s = time.time()
            self.calls.append(call)
            if not is_kept:
                connection.close()
                connection = None
            time.sleep(random_state.uniform(0.0, 0.1))

    def send(self, connection, call):
        headers = {
            "Host": HOST,
            "Attempt-Id": call.id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {call.key}",
        }
        if call.kind == "draft":
            headers |= {"Token-Count": f"100,{4 * call.n_events}", "Model": "m"}
        method = "GET" if call.kind == "stock" else "POST"
        try:
            connection.request(method, f"/{call.kind}/{call.id}", b"", headers)
            response = connection.getresponse()
            call.status = response.status
            try:
                call.body = response.read()
                call.is_whole = True
            except http.client.IncompleteRead as error:
                call.body = error.partial
            return call.is_whole and not response.will_close
        except (OSError, http.client.HTTPException) as error:
            call.error = type(error).__name__
            return False

    def note_calls(self):
        """Write the calls and the faults that were done beside the logs."""
        path = self.deployment.folder / "calls.json"
        faults = [(begin, end, fault) for fault, begin, end in self.done.values()]
        path.write_bytes(msgspec.json.encode({"calls": self.calls, "faults": faults}))

    def findings(self):
        """Return what broke a promise, one line each."""
        runs = {}
        for row in self.deployment.history("run"):
            runs.setdefault(row["headers"].get("Attempt-Id"), []).append(row)
        found = []
        for call in self.calls:
            found += self.judge(call, runs.get(call.id, []))
        return found

    def judge(self, call, runs):
        if call.kind == "book" and len(runs) > 1:
            yield f"{call.id}: not repeatable, ran {len(runs)} times"
        if call.kind == "book" and call.status in NOT_RUN_STATUSES and runs:
            yield f"{call.id}: answered {call.status}, but ran"
        if call.status in (404, 400) or (call.status == 401 and call.key == KEY):
            yield f"{call.id}: a proper request was denied with {call.status}"
        if call.status == 200 and call.is_whole:
            yield from self.judge_body(call, runs)
        for run in runs:
            if run["headers"].get("Tenant") != TENANTS[call.key]:
                yield f"{call.id}: ran for {run['headers'].get('Tenant')}"
            if call.key == REVOKED_KEY and self.revoked_s is not None:
                late_s = call.begin_s - self.revoked_s - REVOKE_S
                if late_s > 0:
                    yield f"{call.id}: ran {late_s:.1f} s after its key was to be gone"
            layers = [n for _, b, e in run["hops"] for n in range(b, e)]
            if call.kind == "draft" and layers != list(range(N_LAYERS)):
                yield f"{call.id}: ran the layers {layers}"
        if runs and not call.status and self.has_only_sigterm(call):
            yield f"{call.id}: cut by SIGTERM of {call.gateway} ({call.error})"
        took_s = call.end_s - call.begin_s
        if took_s > DEADLINE_S + ANSWER_SLACK_S and not self.is_paused(call):
            yield f"{call.id}: no final answer after {took_s:.1f} s ({call.error})"

    def judge_body(self, call, runs):
        if not runs:
            yield f"{call.id}: answered, but never ran"
        elif call.kind == "draft":
            ids = [
                int(line[4:])
                for line in call.body.decode().split("\n")
                if line.startswith("id: ")
            ]
            if ids != list(range(1, call.n_events + 1)):
                yield f"{call.id}: whole with events {ids} of {call.n_events}"
        elif json.loads(call.body)["path"] != f"/{call.kind}/{call.id}":
            yield f"{call.id}: got another answer: {call.body!r}"

    def has_only_sigterm(self, call):
        """Return whether nothing but the end of its gateway can have cut a call."""
        during = [
            fault
            for fault, begin_s, end_s in self.done.values()
            if begin_s < call.end_s and end_s + SETTLE_S > call.begin_s
        ]
        return bool(during) and all(
            fault.kind == "gateway-term" and fault.on == call.gateway
            for fault in during
        )

    def is_paused(self, call):
        """Return whether a signal may have kept the gateway from answering."""
        return any(
            fault.on == call.gateway and fault.kind == "gateway-pause"
            for fault in self.schedule
        )


def play(seed, length_s, folder):
    """Play one seed and return what broke a promise.

    :param seed: seed of the schedule and of the callers.
    :param length_s: how long faults begin, in seconds.
    :param folder: where logs and the history go.
    """
    with Soak(folder, seed, length_s) as soak:
        soak.set_up()
        try:
            soak.play()
        except AssertionError as error:
            return [f"not recovered within {RECOVER_S} s: {error}", *soak.findings()]
        finally:
            soak.note_calls()
        return soak.findings()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="how many")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--length", type=float, default=10.0, help="seconds of faults")
    parser.add_argument("--jobs", type=int, default=2, help="seeds at the same time")
    arguments = parser.parse_args()
    parent = Path(tempfile.mkdtemp(prefix="soak-"))

    def run(seed):
        folder = parent / str(seed)
        folder.mkdir()
        found = play(seed, arguments.length, folder)
        print(f"seed {seed}: {len(found)} findings ({folder})", flush=True)
        for line in found:
            print(f"  {line}", flush=True)
        return bool(found)

    seeds = range(arguments.first, arguments.first + arguments.seeds)
    with ThreadPoolExecutor(arguments.jobs) as pool:
        n_failed = sum(pool.map(run, seeds))
    print(f"{len(seeds)} seeds, {n_failed} with findings")
    sys.exit(n_failed > 0)


if __name__ == "__main__":
    main()
