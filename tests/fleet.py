"""Daemons and stand-ins started as real processes on free local ports."""

import json
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from contextlib import suppress
from pathlib import Path
from typing import ClassVar

import msgspec

from cassiaspread_core.base import MalformedDocument, decode_json
from cassiaspread_core.policy import EntryKind, EntryRecord, hash_token
from cassiaspread_core.timeline import Event, merge_events
from tests.json_lines import decode_lines

START_TIMEOUT_S = 20.0
POLL_S = 0.02
ROOT = Path(__file__).resolve().parent.parent
CONSOLE_SCRIPT = Path(sys.executable).parent / "cassiaspreadd"


class PortAllocator:
    """Allocates ports that no other test run and no outgoing connection uses.

    Blocks of ports lie below the ephemeral range. A process owns a block while it is
    bound to the first port of the block. Ports that processes of an earlier owner still
    use are left out.
    """

    FIRST_PORT, LAST_PORT, BLOCK_SIZE = 10_000, 32_000, 100

    def __init__(self) -> None:
        self._reservations: list[socket.socket] = []
        self._free: list[int] = []

    def allocate(self) -> int:
        while True:
            if not self._free:
                self._reserve_block()
            port = self._free.pop(0)
            if _is_free(port):
                return port

    def _reserve_block(self) -> None:
        for first in range(self.FIRST_PORT, self.LAST_PORT, self.BLOCK_SIZE):
            reservation = socket.socket()
            try:
                reservation.bind(("127.0.0.1", first))
            except OSError:
                reservation.close()
                continue
            self._reservations.append(reservation)
            self._free = list(range(first + 1, first + self.BLOCK_SIZE))
            return
        raise RuntimeError("no free block of ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("", port))
        except OSError:
            return False
    return True


free_port = PortAllocator().allocate


def wait_for(condition, timeout_s: float = START_TIMEOUT_S):
    deadline_s = time.monotonic() + timeout_s
    while True:
        with suppress(OSError, ValueError):
            if value := condition():
                return value
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"{condition} still false after {timeout_s} s")
        time.sleep(POLL_S)


def request(method, address, path, body=None, headers=None, timeout_s=30.0):
    """Return the status, headers and body of the response, error responses included."""
    data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
    call = urllib.request.Request(
        f"http://{address}{path}", data, headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(call, timeout=timeout_s) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        with error:
            return error.code, error.headers, error.read()


class Process:
    """A daemon or stand-in that runs as a process of a fleet."""

    def __init__(self, name: str, address: str, argv: list[str], log: Path) -> None:
        self.name, self.address, self.argv, self._log = name, address, argv, log
        self.start()

    def start(self) -> None:
        with self._log.open("ab") as log:
            self.popen = subprocess.Popen(
                self.argv, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, number: int) -> None:
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process without a graceful shutdown, as a crash would."""
        self.popen.kill()
        self.popen.wait()

    def stop(self, timeout_s: float = 10.0) -> int:
        """Shut the process down and return its exit status.

        It is killed if it has not ended ``timeout_s`` after SIGTERM.
        """
        if self.popen.poll() is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
            try:
                self.popen.wait(timeout_s)
            except subprocess.TimeoutExpired:
                self.kill()
        return self.popen.returncode

    def control(self, **fields: object) -> None:
        """Set control fields of a stand-in, such as its faults."""
        request("POST", self.address, "/control", fields)

    def is_responding(self) -> bool:
        path = "/control" if "standins" in str(self.argv) else "/healthz"
        return request("GET", self.address, path, timeout_s=1.0)[0] > 0


class Route:
    """One route of the fault-injecting proxy; its module lists the modes."""

    def __init__(self, control: str, name: str, upstream: str) -> None:
        self._control, self._path = control, f"/routes/{name}"
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        body = {"listen": port, "upstream": upstream}
        request("POST", self._control, self._path, body)

    def set(self, mode: str, delay_s: float = 0.0) -> None:
        body = {"mode": mode, "delay_s": delay_s}
        request("POST", self._control, self._path, body)


class Fleet:
    """Starts and ends the processes of one test; a context manager."""

    running: ClassVar[list["Fleet"]] = []

    def __init__(self, directory: Path) -> None:
        self.running.append(self)
        self.directory = directory
        self.processes: dict[str, Process] = {}
        self._vms: list[dict] = []
        self._n_records = 0
        self.log = self.start_standin("log")
        self.vm_list = self.start_standin("vm_list")
        for process in (self.log, self.vm_list):
            wait_for(process.is_responding)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.running.remove(self)
        for process in reversed(self.processes.values()):
            if process.popen.poll() is None:
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()

    def events(self, request_id: str = "") -> list[Event]:
        """Return the merged time lines of all daemons that respond."""
        path = f"/operators/events?request={request_id}" if request_id else ""
        events: list[Event] = []
        for process in self.processes.values():
            with suppress(OSError, MalformedDocument):
                response = request(
                    "GET",
                    process.address,
                    path or "/operators/events",
                    headers=bearer("operator-token"),
                    timeout_s=1.0,
                )
                events += decode_json(response[2], list[Event])
        return merge_events(events)

    def render_timeline(self, n_events: int = 200) -> str:
        """Format the latest events of all daemons, one event per line."""
        return "\n".join(
            f"{e.timestamp} {e.process} {e.kind} {e.request} {e.fields}"
            for e in self.events()[-n_events:]
        )

    def history(self, name: str) -> list[dict]:
        """Return the records of a stand-in's history file."""
        path = self.directory / f"{name}.history"
        return decode_lines(path.read_bytes())

    def start(self, name: str, address: str, argv: list[str]) -> Process:
        process = Process(name, address, argv, self.directory / f"{name}.log")
        self.processes[name] = process
        return process

    def start_standin(self, module: str, name: str | None = None, **flags) -> Process:
        port = free_port()
        name = name or module
        argv = [sys.executable, "-m", f"tests.standins.{module}", f"--port={port}"]
        argv.append(f"--name={name}")
        argv.append(f"--history={self.directory / name}.history")
        argv += [
            f"--{flag.replace('_', '-')}={value}"
            for flag, value in flags.items()
            if value is not None
        ]
        return self.start(name, f"127.0.0.1:{port}", argv)

    def start_proxy(self, name: str, upstream: str) -> "Route":
        """Add a proxy route that forwards to ``upstream`` and can inject faults."""
        if "fault_proxy" not in self.processes:
            wait_for(self.start_standin("fault_proxy").is_responding)
        return Route(self.processes["fault_proxy"].address, name, upstream)

    def start_engine(self, name: str, domain: str, begin: int, end: int, **flags):
        flags = {"model": "draft", "link_port": free_port()} | flags
        engine = self.start_standin(
            "engine", name, domain=domain, begin=begin, end=end, **flags
        )
        self.list_vm(name, "engine", name, engine.address, domain)
        return engine

    def start_service(self, name: str, domain: str, service: str = "booking"):
        process = self.start_standin("service", name)
        self.list_vm(name, "service", service, process.address, domain)
        return process

    def list_vm(self, vm, role, name, address, domain, state="live") -> None:
        """Add or replace a VM in the platform's list."""
        self.list_vms([(vm, role, name, address, domain, state)])

    def list_vms(self, rows: list[tuple]) -> None:
        """Add or replace VMs in the platform's list."""
        fields = ("vm", "role", "name", "address", "domain", "state")
        added = [dict(zip(fields, row, strict=True)) for row in rows]
        replaced = {entry["vm"] for entry in added}
        kept = [entry for entry in self._vms if entry["vm"] not in replaced]
        self._vms = kept + added
        request("PUT", self.vm_list.address, "/vms", self._vms)

    def start_daemon(
        self,
        name: str,
        domain: str,
        launcher: tuple[object, ...] = (CONSOLE_SCRIPT,),
        **flags: object,
    ) -> Process:
        port, peer_port = free_port(), free_port()
        flags = {
            "vm": name,
            "domain": domain,
            "listen": f"127.0.0.1:{port}",
            "peer_listen": f"127.0.0.1:{peer_port}",
            "log": self.log.address,
            "vm_list": self.vm_list.address,
            "poll_interval_ms": 100,
            "balancer_lag_ms": 100,
        } | flags
        argv = [*map(str, launcher)]
        argv += [f"--{flag.replace('_', '-')}={value}" for flag, value in flags.items()]
        self.list_vm(name, "daemon", name, str(flags["peer_listen"]), domain)
        return self.start(name, f"127.0.0.1:{port}", argv)

    def publish(self, kind: EntryKind, name: str, value: dict) -> int:
        """Publish a new configuration entry and return its offset."""
        record = EntryRecord(
            kind=kind, name=name, replaces=None, value=value, author="test"
        )
        body = msgspec.json.encode(record)
        response = request("POST", self.log.address, "/streams/policy", body)[2]
        return json.loads(response)["offset"]

    def publish_base_configuration(self, n_layers: int = 8) -> None:
        """Publish one model, one service, two organisations and one operator."""
        self.publish(EntryKind.MODEL, "draft", {"n_layers": n_layers})
        self.publish(EntryKind.SERVICE, "booking", {})
        for organisation in ("osorno", "savinja"):
            tokens = [hash_token(f"{organisation}-token")]
            value = {"token_sha256": tokens}
            self.publish(EntryKind.ORGANISATION, organisation, value)
        tokens = [hash_token("operator-token")]
        self.publish(EntryKind.OPERATOR, "ana", {"token_sha256": tokens})

    def wait_ready(self, daemon: Process) -> None:
        """Wait until the daemon's ``/readyz`` returns 200."""
        wait_for(lambda: request("GET", daemon.address, "/readyz")[0] == 200)


def bearer(token: str, **headers: str) -> dict[str, str]:
    """Return the request headers of a caller or operator with this token."""
    return {"Authorization": f"Bearer {token}"} | headers


def read_report(daemon: Process, name: str):
    """Return the report that a daemon serves under ``/operators/NAME``."""
    headers = bearer("operator-token")
    status, _, body = request(
        "GET", daemon.address, f"/operators/{name}", None, headers
    )
    if status != 200:
        raise ValueError(f"{daemon.name} answered {status}")
    return json.loads(body)
