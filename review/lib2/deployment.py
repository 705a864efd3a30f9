"""A small deployment: the project's gateways, its store stand-in and engines.

Gateways are started with the command of the deploy file, as separate processes, each on
a loopback address of its own. Their settings are those of the pages. What happens goes
to ``record.txt`` in the folder of the case.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from wire import Engine, Message, Run, request, run_periodically

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONES = ("celje", "velenje", "zalec")
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 30.0
# Longest time of a case; its processes are ended within a few seconds after that.
LIMIT_S = 112.0
LOOPBACK = "127.0.0.1"
# Bounds of the sites' sheets.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "partition_max_ms": 5000,
    "revoke_strict": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_budget_slack": 200,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 3000,
    "fencing_enforced": True,
}


class CannotRunError(Exception):
    """The case could not be set up."""


def has_trouble() -> bool:
    """Return whether the case includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(*hosts: str) -> int:
    """Return a TCP port that is free on all of some loopback addresses.

    :param hosts: the addresses.
    """
    for _ in range(100):
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts[1:]:
                    stack.enter_context(socket.socket()).bind((host, port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


def route(name: str, kind: str, service: str, **fields: object) -> dict[str, object]:
    """Return a route of the operator's configuration.

    :param name: its name, which is also its path.
    :param kind: what may be repeated.
    :param service: its service.
    :param fields: other fields.
    """
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 5000,
        "latency_slo_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        **fields,
    }


class Deployment:
    """Owns the processes and engines of one case; an asynchronous context manager.

    :param record: file that receives what happens.
    """

    def __init__(self, record: Path) -> None:
        self._record = record.open("w")
        self._started_s = time.monotonic()
        self._stack = contextlib.ExitStack()
        self._folder = Path(
            self._stack.enter_context(tempfile.TemporaryDirectory(prefix="review-"))
        )
        self._tasks: list[asyncio.Task] = []
        self.processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        self.store_port = 0
        self.gateways: dict[str, tuple[str, int]] = {}
        self.readiness: dict[str, tuple[str, int]] = {}
        self.metrics: dict[str, tuple[str, int]] = {}
        self.engines: dict[str, Engine] = {}

    async def __aenter__(self) -> "Deployment":
        return self

    async def start_store(self) -> None:
        """Start the store and wait until it listens."""
        self.store_port = free_port(LOOPBACK)
        command = ["python3", "-m", "tests.users_platform.standins.store"]
        self.start("store", [*command, "--port", str(self.store_port)], {})
        await self.wait_for(lambda: self.is_listening((LOOPBACK, self.store_port)))

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            self._end(process)
        for engine in self.engines.values():
            engine.stop()
        self._record.close()
        self._stack.close()

    def record(self, event: str, **fields: object) -> None:
        """Write one line of the record.

        :param event: what happened.
        :param fields: its details.
        """
        at_s = round(time.monotonic() - self._started_s, 4)
        line = {"at_s": at_s, "event": event, **fields}
        print(json.dumps(line, default=repr), file=self._record, flush=True)

    def record_runs(self, runs: list[Run]) -> None:
        """Write a line for each run to the record.

        :param runs: the runs of all engines.
        """
        for run in runs:
            ran_s = round(run.at_s - self._started_s, 4)
            self.record("ran", id=run.request_id, engine=run.engine, ran_s=ran_s)

    def start(self, name: str, command: list[str], environment: dict[str, str]) -> None:
        """Start a process at the root of the repository.

        :param name: its name.
        :param command: program and arguments.
        :param environment: variables beside those of the deploy file.
        """
        self.prepare(name, command, environment)
        variables = {
            **{n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ},
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            **environment,
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=variables
            )
        self.record("started", process=name)

    def prepare(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> None:
        """Keep the command of a process that is started later.

        :param name: its name.
        :param command: program and arguments.
        :param environment: variables beside those of the deploy file.
        """
        self._commands[name] = command, environment

    def restart(self, name: str) -> None:
        """Start a process that has ended, or was only prepared.

        :param name: its name.
        """
        self.start(name, *self._commands[name])

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started.

        :param name: its name.
        :param number: the signal.
        """
        self.record("signal", process=name, number=number.name)
        self.processes[name].send_signal(number)

    def log_lines(self, name: str) -> list[dict]:
        """Return the log lines of a process.

        :param name: its name.
        """
        lines = (self._folder / f"{name}.log").read_text(errors="replace").splitlines()
        found = []
        for line in lines:
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    async def wait_for(
        self,
        condition: Callable[[], object],
        timeout_s: float = START_TIMEOUT_S,
    ) -> object:
        """Wait until a condition holds.

        :param condition: the condition; it may be a coroutine function.
        :param timeout_s: longest wait in seconds.
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            value = condition()
            if isinstance(value, Awaitable):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.05)
        raise CannotRunError("the deployment did not become ready")

    def is_listening(self, address: tuple[str, int]) -> bool:
        """Return whether an address accepts connections.

        :param address: host and port.
        """
        with socket.socket() as probe:
            probe.settimeout(0.5)
            return probe.connect_ex(address) == 0

    async def control_store(self, **fields: object) -> None:
        """Change how the store behaves.

        :param fields: what its stand-in is told.
        """
        address, body = (LOOPBACK, self.store_port), json.dumps(fields).encode()
        await request(address, b"POST", b"/control", {"Host": "store"}, body)
        self.record("store", **fields)

    async def put(self, topic: str, key: str, value: bytes) -> float:
        """Write to the store as the operator or an engine; return when it was acked.

        :param topic: the topic.
        :param key: the key.
        :param value: the value; empty removes the key.
        """
        target = f"/put?topic={topic}&key={key}".encode()
        address = LOOPBACK, self.store_port
        answer = await request(address, b"POST", target, {"Host": "store"}, value)
        if answer is None or answer.status != 200:
            raise CannotRunError("the store did not take a record")
        return time.monotonic()

    async def configure(self, version: int, routes: list, **fields: object) -> float:
        """Publish a configuration; return when it was acknowledged.

        :param version: its version.
        :param routes: its routes.
        :param fields: other fields.
        """
        limits = {
            "max_header_bytes": 65536,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        services = sorted({str(r["service"]) for r in routes})
        value = {
            "version": version,
            "routes": routes,
            "services": [{"name": s, "health_path": "/healthz"} for s in services],
            "limits": limits,
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 2}],
            **fields,
        }
        at_s = await self.put("keyed.op", "config", json.dumps(value).encode())
        self.record("configured", version=version)
        return at_s

    async def add_engine(self, engine: Engine) -> None:
        """Start an engine that renews its entry until it is removed.

        :param engine: the engine.
        """
        await engine.start()
        self.engines[engine.name] = engine
        self.keep_entry(engine)

    def keep_entry(self, engine: Engine) -> None:
        """Renew the entry of an engine until it is removed.

        :param engine: the engine.
        """

        async def renew() -> None:
            if engine.name in self.engines:
                await self.publish(engine)

        self._tasks.append(asyncio.create_task(run_periodically(renew, HEARTBEAT_S)))

    async def publish(self, engine: Engine) -> float:
        """Write the entry of an engine; return when it was acknowledged.

        :param engine: the engine.
        """
        value = json.dumps(engine.entry()).encode()
        return await self.put("keyed.servers", engine.name, value)

    async def remove_engine(self, engine: Engine) -> None:
        """Remove the entry of an engine that has left.

        :param engine: the engine.
        """
        del self.engines[engine.name]
        await self.put("keyed.servers", engine.name, b"")

    async def add_gateways(
        self, n: int, zones: tuple[str, ...] = ZONES, n_spare: int = 0
    ) -> None:
        """Start gateways in turn in all zones, and wait until they are ready.

        :param n: their number.
        :param zones: the zones.
        :param n_spare: how many of them, the last ones, are not started yet.
        """
        hosts = [f"127.0.1.{i + 1}" for i in range(n)]
        frontend, readiness, control, metrics, internal = (
            free_port(*hosts) for _ in range(5)
        )
        for i, host in enumerate(hosts):
            zone = zones[i % len(zones)]
            name = f"edge-{zone}-{i // len(zones) + 1}"
            settings = {
                "node_name": name,
                "role": "gateway",
                "machine_class": "edge",
                "serves": ["edge", "control"],
                "ip": host,
                "zone": zone,
                "region": "si-central",
                "zones": dict.fromkeys(zones, "si-central"),
                "listen": {
                    "frontend": f"{host}:{frontend}",
                    "readiness": f"{host}:{readiness}",
                    "control_plane": f"{host}:{control}",
                },
                "internal_ports": [internal, internal],
                "seeds": [f"{other}:{control}" for other in hosts[:3]],
                "bootstrap": True,
                "limits": {"memory_mb": 300, "max_fds": 4100},
                "data_dir": None,
                "discovery": "platform",
                "entry": "vip",
                "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "bounds": BOUNDS,
                "platform": {
                    "address": f"{LOOPBACK}:{self.store_port}",
                    "form": "log",
                    "parts": 8,
                    "ttl_min_ms": 1000,
                },
            }
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(settings))
            command = ["python3", "-m", "cassiaspread_platform", "--metrics-port"]
            command += [str(metrics), "--enable", "moves_streams_early"]
            self.prepare(name, command, {"CASSIASPREAD_BOOT": str(path)})
            self.gateways[name] = host, frontend
            self.readiness[name] = host, readiness
            self.metrics[name] = host, metrics
        started = list(self.gateways)[: n - n_spare]
        for name in started:
            self.restart(name)
        for name in started:
            await self.wait_for(lambda name=name: self.is_ready(name))

    async def is_ready(self, name: str) -> bool:
        """Return whether a gateway says that it is ready.

        :param name: the gateway.
        """
        headers = {"Host": "readiness"}
        address = self.readiness[name]
        answer = await request(address, b"GET", b"/-/readyz", headers, timeout_s=1.0)
        return answer is not None and answer.status == 200

    async def count_store_calls(self, name: str, kind: str) -> float:
        """Return how often a gateway has called the store, by its metrics.

        :param name: the gateway.
        :param kind: kind of the calls.
        """
        address, headers = self.metrics[name], {"Host": "metrics"}
        answer = await request(address, b"GET", b"/metrics", headers, timeout_s=1.0)
        if answer is None:
            return 0.0
        for line in answer.body.decode().splitlines():
            if "store_calls_total{" in line and f'kind="{kind}"' in line:
                return float(line.rsplit(" ", 1)[1])
        return 0.0

    async def call(
        self,
        gateway: str,
        target: bytes,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 3000,
        method: bytes = b"POST",
        key: str = KEY,
    ) -> Message | None:
        """Send a caller's request to a gateway and record it with its answer.

        :param gateway: the gateway.
        :param target: path and query.
        :param request_id: identifier of the attempt.
        :param body: the body.
        :param deadline_ms: how long the caller waits, in milliseconds.
        :param method: HTTP method.
        :param key: the caller's key.
        """
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {key}",
        }
        self.record("sent", id=request_id, gateway=gateway, target=target)
        timeout_s = deadline_ms / 1000 + 0.5
        answer = await request(
            self.gateways[gateway], method, target, headers, body, timeout_s
        )
        status = None if answer is None else answer.status
        seal = None if answer is None else answer.headers.get("response-seal")
        self.record("answered", id=request_id, status=status, seal=seal)
        return answer

    def _end(self, process: subprocess.Popen) -> None:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()


def run_case(play: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if not run.

    The variable ``RECORD`` holds the path of the record.

    :param play: plays the case and returns whether the rule was broken.
    """

    async def play_in(deployment: Deployment) -> int:
        deployment.record("begins", trouble=has_trouble())
        try:
            async with asyncio.timeout(LIMIT_S):
                await deployment.start_store()
                is_broken = await play(deployment)
        except Exception as error:
            # Also what nobody expected is no broken rule.
            traceback.print_exc()
            deployment.record("not run", reason=repr(error))
            return NOT_RUN
        deployment.record("ends", is_broken=is_broken)
        return BROKEN if is_broken else HELD

    async def main() -> int:
        # A signal ends the case and all that it started.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with Deployment(ROOT / os.environ["RECORD"]) as deployment:
            return await play_in(deployment)

    try:
        status = asyncio.run(main())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        status = NOT_RUN
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status])
    sys.exit(status)
