"""A crowd of callers that are not controlled before one gateway, and its memory."""

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import threading
import time
from pathlib import Path

from review.lib3.case import KEY, ROOT, Case, free_port, route
from review.lib3.engine import Engine
from review.lib3.store import Store

SERVICE = "agenda-envios"
MEMORY_MB = 300
SAMPLE_S = 0.1
CROWD_S = 25.0
ORDINARY_INTERVAL_S = 0.3
PATIENCE_S = 10.0


def configuration():
    """Return the operator's configuration."""
    document = {
        "version": 3,
        "routes": [route("r-stock", "/stock/", "idempotent", SERVICE)],
        "services": [{"name": SERVICE, "health_path": "/healthz"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "osorno", "api_keys": [KEY], "priority": 1}],
    }
    return json.dumps(document).encode()


class MemoryWatch:
    """Samples the memory of a process in a thread; a context manager.

    :param process: the process.
    """

    def __init__(self, process):
        self._process = process
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        # Resident bytes, and these with the bytes that wait in its sockets.
        self.peak_resident = 0
        self.peak = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._is_over.set()
        self._thread.join()

    def _run(self):
        while not self._is_over.wait(SAMPLE_S):
            with contextlib.suppress(OSError, ValueError, IndexError):
                resident = resident_bytes(self._process.pid)
                self.peak_resident = max(self.peak_resident, resident)
                self.peak = max(self.peak, resident + unread_bytes(self._process.pid))


def resident_bytes(pid):
    """Return the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    [line] = [line for line in status.split("\n") if line.startswith("VmRSS:")]
    return int(line.split()[1]) * 1024


def unread_bytes(pid):
    """Return the bytes that wait in the receive queues of a process's sockets."""
    inodes = set()
    for path in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(path))
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(
        int(row[4].split(":")[1], 16) for row in rows if f"socket:[{row[9]}]" in inodes
    )


async def run_crowd(folder, n_callers, kind):
    """Return whether the gateway stays within the memory of its machine."""
    async with Case(folder) as case:
        store = Store(case.record)
        store_port = free_port()
        await case.serve(store.handle, store_port)
        engine = Engine("i-1", SERVICE, free_port(), "osorno-norte", store, case.record)
        await case.serve(engine.handle, engine.port)
        case.run_task(engine.ping())
        await store.put("keyed.op", "config", configuration())
        case.start_gateway("edge-1", "127.0.0.2", store_port)
        await case.wait_ready("edge-1")
        while await case.call("edge-1", "GET", "/stock/1", "warm-up") != 200:
            await asyncio.sleep(0.1)
        process = case.processes["edge-1"]
        case.record("memory before", mb=round(resident_bytes(process.pid) / 1e6))
        words = [sys.executable, "-m", "review.lib3.crowd", case.ports["edge-1"]]
        words += [n_callers, kind, CROWD_S]
        longest_s = 0.0
        with MemoryWatch(process) as watch:
            case.record("crowd begins", n_callers=n_callers, kind=kind)
            crowd = subprocess.Popen(
                [str(word) for word in words], cwd=ROOT, stdout=subprocess.PIPE
            )
            case.processes["crowd"] = crowd
            n = 0
            while crowd.poll() is None:
                n += 1
                began_s = time.monotonic()
                status = await case.call(
                    "edge-1", "GET", "/stock/1", f"o-{n}", timeout_s=PATIENCE_S
                )
                duration_s = time.monotonic() - began_s
                longest_s = max(longest_s, duration_s)
                case.record(
                    "ordinary caller", answer=status, after_s=f"{duration_s:.2f}"
                )
                await asyncio.sleep(ORDINARY_INTERVAL_S)
            case.record("crowd ends", said=crowd.stdout.read().decode().strip())
        peak_mb, resident_mb = watch.peak / 1e6, watch.peak_resident / 1e6
        has_ended = process.poll() is not None
        case.record(
            "result",
            resident_mb=round(resident_mb),
            with_unread_mb=round(peak_mb),
            limit_mb=MEMORY_MB,
            ended=has_ended,
            longest_wait_s=f"{longest_s:.2f}",
        )
        print(
            f"{resident_mb:.0f} MB, {peak_mb:.0f} MB with what is not read, of "
            f"{MEMORY_MB} MB; an ordinary caller waited {longest_s:.1f} s at most"
        )
        if resident_mb < 30 and not has_ended:
            raise RuntimeError("the memory could not be read")
        return not has_ended and peak_mb <= MEMORY_MB * 1.048576
