"""Runs one case: the gateway as the deploy file starts it, and the record."""

import asyncio
import contextlib
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.lib3 import web

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "shop.example"
KEY = "key-of-osorno"
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
MAX_S = 112.0
MAX_FDS = 4100


def free_port():
    """Return a port that is free on all loopback addresses used."""
    while True:
        port = random.randrange(12_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for ip in ("127.0.0.1", "127.0.0.2", "127.0.0.3"):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((ip, port))
            except OSError:
                continue
            return port


def is_troubled():
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name, prefix, kind, service, **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 5000,
        "latency_slo_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        **fields,
    }


def limit_descriptors():
    """Give a process the descriptors of its machine."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


class Case:
    """One run: processes and the record; an asynchronous context manager.

    :param record_path: file that the record is written to at the end.
    """

    def __init__(self, record_path):
        self._record_path = Path(record_path)
        self._lines = []
        self._begin_s = time.monotonic()
        self._tasks = []
        self._servers = []
        self._temporary = Path(tempfile.mkdtemp())
        self._settings_paths = {}
        self.processes = {}
        self.ports = {}
        self.peer_port = free_port()

    def record(self, what, **fields):
        """Add a line to the record."""
        at_s = time.monotonic() - self._begin_s
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{at_s:8.3f} s  {what}  {values}".rstrip())

    def at(self, time_s):
        """Return a time relative to the start of the run, rounded."""
        return round(time_s - self._begin_s, 3)

    def run_task(self, awaitable):
        """Run something until the end of the case."""
        self._tasks.append(asyncio.ensure_future(awaitable))

    async def serve(self, handle, port, write=None):
        """Serve a stand-in on the loopback address; return the server."""
        server = await web.serve(handle, port, write)
        self._servers.append(server)
        return server

    def start_gateway(self, name, ip, store_port, link_mbps=1000, bounds=()):
        """Start a gateway with the command of the deploy file."""
        zone = "osorno-norte"
        listen = {
            kind: f"127.0.0.1:{free_port()}"
            for kind in ("frontend", "readiness", "control_plane")
        }
        self.ports[name] = int(listen["frontend"].rpartition(":")[2])
        self.ports[f"{name}/ready"] = int(listen["readiness"].rpartition(":")[2])
        settings = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge", "control"],
            "ip": ip,
            "zone": zone,
            "region": "zona-austral",
            "zones": {zone: "zona-austral"},
            "listen": listen,
            "internal_ports": [self.peer_port, self.peer_port + 15],
            "seeds": [f"127.0.0.{n}:8229" for n in (2, 3)],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "max_fds": MAX_FDS,
                "link_mbps": float(link_mbps),
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": {
                "stability_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "config_apply_ms": 2000,
                "partition_max_ms": 5000,
                "revoke_strict": True,
                "revoke_ms": 5000,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_budget_slack": 202,
                "fencing_enforced": True,
                **dict(bounds),
            },
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "form": "log",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "parts": 8,
                "keep_s": 300,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "ttl_min_ms": 1000,
            },
        }
        self._settings_paths[name] = self._temporary / f"{name}.json"
        self._settings_paths[name].write_text(json.dumps(settings))
        self.launch(name)

    def launch(self, name):
        """Start the process of a machine, as it was started first."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        # Several gateways share one machine here, so each gets a port of its own.
        words[words.index("--metrics-port") + 1] = str(free_port())
        with (self._temporary / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                words,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "CASSIASPREAD_BOOT": str(self._settings_paths[name]),
                },
                preexec_fn=limit_descriptors,
            )

    async def wait_ready(self, name, timeout_s=20.0):
        """Wait until a gateway reports itself ready."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                port = self.ports[f"{name}/ready"]
                status, _, _ = await web.request(port, "GET", "/-/readyz", {})
                if status == 200:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{name} does not get ready")

    async def call(self, name, method, path, attempt, key=KEY, timeout_s=10.0):
        """Send a request of a caller; return the status, or the kind of failure."""
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": "1000",
            "Authorization": f"Bearer {key}",
        }
        try:
            status, _, _ = await web.request(
                self.ports[name], method, path, headers, b"", timeout_s
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            return type(error).__name__
        return status

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        # Connections that the end of the case interrupts are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        self._record_path.write_text("\n".join(self._lines) + "\n")
        shutil.rmtree(self._temporary, ignore_errors=True)


def main(run):
    """Run a case and exit with its result.

    :param run: returns whether the rule held.
    """

    async def bounded():
        task = asyncio.current_task()
        # Also a case that is ended ends its processes.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(MAX_S):
            return await run()

    try:
        held = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(CANNOT_RUN)
    sys.exit(HELD if held else BROKEN)
