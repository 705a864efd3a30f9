"""A small deployment of real processes on stand-ins for the users' platform."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from tests.fleet import ROOT, free_port
from tests.json_lines import decode_lines, decode_log

STANDINS = "tests.users_platform.standins"
HOST = "shop.example"
MODEL_SERVICE = "model-pool"
PLAIN_SERVICE = "booking-pool"
N_LAYERS = 8
KEY = "key-of-celje"
DOMAINS = ("celje", "velenje")
DEFAULT_TIMEOUT_S = 15.0
# Addresses at which gateways that communicate listen for each other; all use one port.
PEER_IPS = tuple(f"127.0.0.{n}" for n in range(2, 66))
RESPAWN_POLL_S = 0.05


def wait_for(condition, timeout_s=DEFAULT_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"{condition} still false after {timeout_s} s")


def route(name, prefix, kind, service, **fields):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 8000,
        "latency_slo_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }


def configuration(version, **changes):
    engine = {
        "slots": 4,
        "kv_token_bytes": 1_000_000,
        "step_ms": 1.0,
        "read_per_s": 100_000,
        "layers": N_LAYERS,
        "layer_mb": 100.0,
        "kinds": [
            {"name": "large", "size_mb": 900.0 + 60_000},
            {"name": "small", "size_mb": 400.0 + 30_000},
        ],
        "models": [{"name": "m", "load_s": 1.0}],
        "usual": {"prompt": 100, "answer": 40},
    }
    return {
        "version": version,
        "routes": [
            route("draft", "/draft/", "streaming", MODEL_SERVICE, resumable=True),
            route("book", "/book/", "non_idempotent", PLAIN_SERVICE, max_attempts=1),
            route("stock", "/stock/", "idempotent", PLAIN_SERVICE),
            route("open", "/open/", "idempotent", PLAIN_SERVICE, anonymous=True),
        ],
        "services": [
            {"name": MODEL_SERVICE, "engine": engine},
            {"name": PLAIN_SERVICE},
        ],
        "limits": {"idle_timeout_ms": 15000},
        "tenants": [{"name": "celje-shops", "api_keys": [KEY], "priority": 1}],
        **changes,
    }


class Response:
    def __init__(self, response, body, is_complete):
        self.status = response.status
        self.headers = response.headers
        self.body = body
        self.is_complete = is_complete

    @property
    def event_ids(self):
        lines = self.body.decode().split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class Deployment:
    """Starts processes and ends each by its own process identifier."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = {}
        self.commands = {}
        self.ports = {}
        # Addresses of ports that are not served on 127.0.0.1.
        self.hosts = {}
        self.peer_port = free_port()
        self.free_peer_ips = list(PEER_IPS)
        self.store_port = self.ports["store"] = free_port()
        self.history_path = folder / "history.jsonl"
        self.history_path.touch()
        store = ("-m", f"{STANDINS}.store")
        self.start("store", *store, "--port", self.store_port)
        wait_for(lambda: self.accepts_connections(self.store_port))

    def start(self, name, *command, environment=None):
        self.commands[name] = (command, environment)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *map(str, command)],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **(environment or {})},
            )

    def restart(self, name):
        """Start a process that has ended again, with the same command."""
        command, environment = self.commands[name]
        self.start(name, *command, environment=environment)

    def accepts_connections(self, port):
        with socket.socket() as probe:
            return probe.connect_ex((self.host(port), port)) == 0

    def host(self, port):
        return self.hosts.get(port, "127.0.0.1")

    def call(self, port, method, path, body=b"", headers=None, timeout_s=10.0):
        connection = http.client.HTTPConnection(
            self.host(port), port, timeout=timeout_s
        )
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            try:
                return Response(response, response.read(), True)
            except http.client.IncompleteRead as error:
                return Response(response, error.partial, False)
        finally:
            connection.close()

    def control(self, name, timeout_s=10.0, **values):
        body = json.dumps(values).encode()
        port = self.ports[name]
        answer = self.call(port, "POST", "/control", body, timeout_s=timeout_s)
        return json.loads(answer.body)

    def put_record(self, topic, key, value):
        path = f"/put?topic={topic}&key={key}"
        self.call(self.store_port, "POST", path, value)

    def publish_configuration(self, version, **changes):
        value = json.dumps(configuration(version, **changes)).encode()
        self.put_record("keyed.op", "config", value)

    def add_engine(self, name, service, zone, kind="", advertise="", **options):
        self.ports[name] = free_port()
        flags = [f"--{k.replace('_', '-')}={value}" for k, value in options.items()]
        self.start(
            name,
            "-m",
            f"{STANDINS}.engine",
            "--port",
            self.ports[name],
            "--id",
            name,
            "--service",
            service,
            "--zone",
            zone,
            "--kind",
            kind,
            "--store",
            f"127.0.0.1:{self.store_port}",
            "--history",
            self.history_path,
            "--advertise",
            advertise,
            *flags,
        )

    def add_gateway(
        self,
        name,
        zone,
        metrics=False,
        store_port=None,
        has_peers=False,
        launcher=("-m", "cassiaspread_platform"),
        environment=None,
        waits=True,
        limits=None,
        **bounds,
    ):
        """Start a gateway; with ``has_peers`` it communicates with others like it.

        Without ``waits`` it may not listen yet; ``limits`` are those of its VM.
        """
        port, readiness_port = free_port(), free_port()
        ip, peer_port, seeds = "127.0.0.1", free_port(), []
        if has_peers:
            ip, peer_port = self.free_peer_ips.pop(0), self.peer_port
            seeds = [f"{seed_ip}:{peer_port}" for seed_ip in PEER_IPS[:3]]
        flags = []
        if metrics:
            metrics_port = self.ports[f"{name}/metrics"] = free_port()
            self.hosts[metrics_port] = ip
            flags = ["--metrics-port", metrics_port]
        self.ports[name], self.ports[f"{name}/ready"] = port, readiness_port
        settings = {
            "node_name": name,
            "ip": ip,
            "zone": zone,
            "listen": {
                "frontend": f"127.0.0.1:{port}",
                "readiness": f"127.0.0.1:{readiness_port}",
            },
            "internal_ports": [peer_port, peer_port],
            "seeds": seeds,
            "heartbeat_ms": 400,
            "something_new": {"is": "ignored"},
            **({"limits": limits} if limits else {}),
            "bounds": {"revoke_ms": 5000, "grace_s": 8, "retry_budget_slack": 400}
            | bounds,
            "platform": {
                "address": f"127.0.0.1:{store_port or self.store_port}",
                "ttl_min_ms": 500,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.start(
            name,
            *launcher,
            *flags,
            environment={"CASSIASPREAD_BOOT": str(path), **(environment or {})},
        )
        if waits:
            self.wait_listening(name)

    def wait_listening(self, name):
        """Wait until a gateway listens on all of its ports, one after the other."""
        names = (name, f"{name}/ready", f"{name}/metrics")
        ports = [self.ports[n] for n in names if n in self.ports]
        wait_for(lambda: all(map(self.accepts_connections, ports)))

    def is_ready(self, name):
        port = self.ports[f"{name}/ready"]
        return self.call(port, "GET", "/-/readyz").status == 200

    def request(self, name, path, method="POST", body=b"order", **headers):
        all_headers = {
            "Host": HOST,
            "Attempt-Id": os.urandom(8).hex(),
            "Deadline-Ms": "5000",
            "Authorization": f"Bearer {KEY}",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        return self.call(self.ports[name], method, path, body, all_headers)

    def request_stream(self, name, n_events=10, **headers):
        stream_headers = {"Token_Count": f"100,{4 * n_events}", "Model": "m", **headers}
        return self.request(name, "/draft/x?q=1", **stream_headers)

    def history(self, kind):
        rows = decode_lines(self.history_path.read_bytes())
        return [row for row in rows if row["kind"] == kind]

    def log_lines(self, name):
        return decode_log((self.folder / f"{name}.log").read_bytes())

    def decisions(self, name, event):
        return [row for row in self.log_lines(name) if row["event"] == event]

    def layered_engines(self, gateway):
        """Return the engines of which a gateway knows that they hold all layers."""
        events = ("engine.seen", "engine.changed")
        rows = [row for event in events for row in self.decisions(gateway, event)]
        return {row["target"] for row in rows if row["layers"] == [0, N_LAYERS]}

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class Respawner:
    """Restarts ended processes, as a platform does; a context manager.

    :param deployment: owner of the processes.
    :param names: names of the processes, each started at the latest within the context.
    :param delay_s: time between the end of a process and its restart, in seconds.
    """

    def __init__(self, deployment, names, delay_s):
        self._deployment = deployment
        self._names = names
        self._delay_s = delay_s
        self._is_over = threading.Event()
        self._pool = ThreadPoolExecutor(1)

    def __enter__(self):
        self._result = self._pool.submit(self._run)
        return self

    def __exit__(self, exc_type, *exc_info):
        self._is_over.set()
        self._pool.shutdown()
        if exc_type is None:
            self._result.result()
            assert self._deployment.processes.keys() >= set(self._names)

    def _run(self):
        due_s = {}
        while not self._is_over.wait(RESPAWN_POLL_S):
            now_s = time.monotonic()
            for name in self._names:
                process = self._deployment.processes.get(name)
                if process is None or process.poll() is None:
                    continue
                if now_s >= due_s.setdefault(name, now_s + self._delay_s):
                    del due_s[name]
                    self._deployment.restart(name)
