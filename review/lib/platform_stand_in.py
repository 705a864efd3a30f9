"""Stand-ins for the users' platform: store, plain engines and gateway processes.

Everything listens on loopback addresses. The store follows the pages on keyed topics,
groups and long polling; engines answer soundly.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
READ_BYTES = 256 * 1024
HEARTBEAT_S = 1.2
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
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._started_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the script, in seconds."""
        return time.monotonic() - self._started_s

    def write(self, event, **fields):
        """Add one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._path.open("a") as file:
            file.write(f"{self.now_s():8.3f} {event} {text}\n")


def free_port(ip="127.0.0.1"):
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Return start line, headers in lower case and body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            length = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(length + 2))[:-2]
            if not length:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def format_answer(status, headers, body):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: keyed topics with one partition, and groups."""

    def __init__(self, record):
        self._record = record
        self._topics = {}
        self._changed = asyncio.Event()
        self._groups = {}
        self._server = None
        self._writers = set()
        self._written_s = {}
        self._is_away = False
        self.era = 0
        self.port = 0

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop: accept no more connections and close those that are open."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    def move_from(self, other):
        """Take over all records and groups of a store that stops."""
        self._topics, self._groups = other._topics, other._groups
        self._written_s = other._written_s

    def put(self, topic, key, value):
        """Append a record on behalf of the operator or an engine: the store's ack."""
        name = key.encode()
        self._topics.setdefault(topic, []).append(bytes([len(name)]) + name + value)
        self._written_s.setdefault(topic, []).append(time.monotonic())
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def restore(self, age_s, away_s):
        """Be away for a moment, and come back from a copy of some seconds before."""
        copied_s = time.monotonic() - age_s
        self._is_away = True
        for writer in self._writers:
            writer.close()
        self._notify()
        await asyncio.sleep(away_s)
        for topic, times in self._written_s.items():
            n_kept = sum(written_s <= copied_s for written_s in times)
            del times[n_kept:], self._topics[topic][n_kept:]
        self._groups = {}
        self.era += 1
        self._is_away = False
        self._notify()

    async def _serve(self, reader, writer):
        if self._is_away:
            writer.close()
            return
        self._writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                _, target, _ = start.split(" ")
                path, _, query = target.partition("?")
                pairs = [item.partition("=") for item in query.split("&") if item]
                values = {name: value for name, _, value in pairs}
                status, answer = await self._answer(path, values, body)
                if isinstance(answer, dict):
                    answer = json.dumps(answer).encode()
                era = {"Store-Era": str(self.era)}
                writer.write(format_answer(status, era, answer))
                await writer.drain()
                if "close" in headers.get("connection", ""):
                    break
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path, query, body):
        if path == "/-/log-read":
            return await self._read(query)
        if path == "/-/log-newest":
            return self._newest(query)
        if path == "/-/log-append":
            return self._append(query, body)
        if path in ("/-/log-join", "/-/log-leave"):
            return self._join(path, json.loads(body))
        return 404, b""

    async def _read(self, query):
        topic, start = query["topic"], int(query["from"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(self._topics.get(topic, ())) <= start:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        records = self._topics.get(topic, [])
        if start > len(records):
            return 410, {"first_offset": 0}
        page = struct.pack(">QQ", len(records), 0)
        for item in records[start:]:
            page += struct.pack(">I", len(item)) + item
        return 200, page

    def _newest(self, query):
        records = self._topics.get(query["topic"], [])
        newest = {}
        for offset, item in enumerate(records):
            newest[item[1 : 1 + item[0]]] = offset, item[1 + item[0] :]
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        return 200, {"items": items, "has_more": False, "end_offset": len(records)}

    def _append(self, query, body):
        records = self._topics.setdefault(query["topic"], [])
        offset = len(records)
        begin = 0
        while begin < len(body):
            (length,) = struct.unpack_from(">I", body, begin)
            records.append(body[begin + 4 : begin + 4 + length])
            self._written_s.setdefault(query["topic"], []).append(time.monotonic())
            begin += 4 + length
        self._notify()
        return 200, {"offset": offset, "end_offset": len(records)}

    def _join(self, path, call):
        group = self._groups.setdefault(call["group"], {"generation": 0, "ends": {}})
        now_s, before = time.monotonic(), list(group["ends"])
        if path == "/-/log-leave":
            group["ends"].pop(call["member"], None)
        else:
            group["ends"] = {m: e for m, e in group["ends"].items() if e > now_s}
            group["ends"].setdefault(call["member"], 0)
            group["ends"][call["member"]] = now_s + call["ttl_ms"] / 1000
        members = list(group["ends"])
        if members != before:
            group["generation"] += 1
        is_holder = bool(members) and members[0] == call["member"]
        parts = [[call["topics"][0], 0, 0]] if is_holder and "topics" in call else []
        return 200, {"generation": group["generation"], "parts": parts}


class Engine:
    """A plain service: it runs each request once and answers it."""

    def __init__(self, name, service, zone, store, record, work_s=0.02):
        self.name = name
        self._service = service
        self._zone = zone
        self.store = store
        self._record = record
        self._work_s = work_s
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server = None
        self._port = 0
        self._writers = set()
        self.runs = []
        self.address = ""

    async def start(self):
        """Listen and register in the store."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, limit=READ_BYTES
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        self._beat = asyncio.create_task(self._renew())

    @property
    def is_running(self):
        """Whether the process listens."""
        return self._server is not None

    def stop(self):
        """End as a crashed process does: all channels close, nothing is said."""
        self._beat.cancel()
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def start_again(self):
        """Start as a new process under the same identifier and address."""
        self._born = int(time.time() * 1000)
        self._sequence = 0
        await self.start()

    async def _renew(self):
        while True:
            self._sequence += 1
            entry = {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                if start.startswith("GET /-/report "):
                    writer.write(format_answer(200, {}, self._report()))
                    await writer.drain()
                    continue
                request = headers.get("attempt-id", "")
                identity = {"Instance-Id": self.name}
                if request:
                    identity["Attempt-Id"] = request
                if headers.get("expect-instance", self.name) != self.name:
                    writer.write(format_answer(421, identity, b""))
                    continue
                tenant = headers.get("tenant", "")
                self.runs.append((request, self._record.now_s(), tenant))
                self._record.write(
                    "run", engine=self.name, id=request, bytes=len(body), tenant=tenant
                )
                await self.answer(writer, request, headers, body)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _report(self):
        report = {
            "phase": "unified",
            "models": [],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": 0,
            "kv_used_tokens": 0,
            "kv_total_tokens": 1,
            "request_handles": 0,
            "born": self._born,
        }
        return json.dumps(report).encode()

    async def answer(self, writer, request, headers, body):
        """Run a request to its end."""
        await asyncio.sleep(self._work_s)
        identity = {
            "Instance-Id": self.name,
            "Attempt-Id": request,
            "Response-Seal": f"seal-{request}",
        }
        writer.write(format_answer(200, identity, b"done " + request.encode()))
        await writer.drain()


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, name, zone, folder, store_port, record, peers):
        self.name = name
        self.ip = _free_ip()
        self.port = free_port(self.ip)
        self.readiness_port = free_port(self.ip)
        self._zone = zone
        self._folder = Path(folder)
        self._record = record
        self._store_port = store_port
        self._peers = peers
        peers.append(self.ip)
        self.process = None
        self.is_wanted = True

    @property
    def settings_path(self):
        """Settings file of the process."""
        return self._folder / f"{self.name}.json"

    def write_settings(self, bounds=None, store_port=None):
        """Write the settings file."""
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge", "control"],
            "ip": self.ip,
            "zone": self._zone,
            "listen": {
                "frontend": f"{self.ip}:{self.port}",
                "readiness": f"{self.ip}:{self.readiness_port}",
                "control_plane": f"{self.ip}:8229",
            },
            "internal_ports": [7340, 7355],
            "seeds": [f"{ip}:8229" for ip in self._peers[:3]],
            "bootstrap": False,
            "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
            "heartbeat_ms": 1200,
            "bounds": bounds or BOUNDS,
            "platform": {
                "address": f"127.0.0.1:{store_port or self._store_port}",
                "form": "log",
                "ttl_min_ms": 1000,
            },
        }
        self.settings_path.write_text(json.dumps(settings))

    async def start(self):
        """Start the process with the command of the deploy file."""
        log = (self._folder / f"{self.name}.log").open("ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CASSIASPREAD_BOOT"] = str(self.settings_path)
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "cassiaspread_platform",
            "--metrics-port",
            "7350",
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._record.write("gateway.started", name=self.name)

    async def wait_ready(self, timeout_s=20.0):
        """Wait until the readiness check succeeds; return whether it did."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.readiness() == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def readiness(self):
        """Return the status of the readiness check, ``None`` without an answer."""
        call = b"GET /-/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.readiness_port
                )
                writer.write(call)
                start, _, _ = await read_message(reader)
                writer.close()
                return int(start.split(" ")[1])
        except (OSError, EOFError, TimeoutError):
            return None

    def rss_mb(self):
        """Return the private resident memory of the process in MB; 0 if it ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self):
        """End the process."""
        self.is_wanted = False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def _free_ip():
    """Return a loopback address whose fixed ports are free."""
    for _ in range(100):
        ip = ".".join(["127", *(str(random.randint(2, 250)) for _ in range(3))])
        try:
            for port in (7340, 7350):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return ip
    raise OSError("no loopback address with free ports")


def route(name, prefix, kind, service, **fields):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 20000,
        "latency_slo_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        **fields,
    }


def configuration(version, routes, services, tenants):
    """Return a configuration in the operator's format."""
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 400}
            for name in services
        ],
        "limits": LIMITS,
        "tenants": tenants,
    }
    return json.dumps(document, ensure_ascii=False).encode()


def request_head(method, path, key, deadline_ms, length, request=None):
    """Return the head of a requester's request, and its identifier."""
    request = request or os.urandom(8).hex()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {request}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
    ]
    if length:
        lines.append(f"Content-Length: {length}")
    return request, ("\r\n".join(lines) + "\r\n\r\n").encode()


async def call(gateway, record, key, path, method="GET", deadline_ms=2000, body=b""):
    """Send one request on a new channel; return its identifier and status."""
    request, head = request_head(method, path, key, deadline_ms, len(body))
    record.write("sent", id=request, to=gateway.name, path=path, key=key)
    status = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.port)
            writer.write(head + body)
            start, _, _ = await read_message(reader)
            status = int(start.split(" ")[1])
            writer.close()
    except (OSError, EOFError, TimeoutError):
        pass
    record.write("answered", id=request, status=status)
    return request, status


def is_troubled():
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(run, folder):
    """Run a case; exit with 0 if the rule held, 1 if it broke, 2 if it can't run."""
    # All that was started ends too if the script is ended early.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        is_broken = asyncio.run(run(folder))
    except Exception as error:
        print(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
