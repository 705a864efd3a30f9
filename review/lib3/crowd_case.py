"""A crowd of callers that are not controlled before one gateway, and its memory."""

import asyncio
import contextlib
import itertools
import json
import os
import subprocess
import sys
import time
from pathlib import Path

from review.lib3.case import KEY, ROOT, Case, free_port, route
from review.lib3.engine import Engine
from review.lib3.store import Store

SERVICE = "agenda-envios"
# memory_mb of the machine, taken as the larger megabyte.
MAX_BYTES = 300 * 1024 * 1024
# Two machines at least, each three times.
MACHINES = ("edge-1", "edge-2")
N_ENDS = 3
RESTART_S = 0.5
SAMPLE_S = 0.1
CROWD_S = 28.0
ORDINARY_INTERVAL_S = 0.5
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


def own_bytes(pid):
    """Return the resident memory of a process, without that of files."""
    status = Path(f"/proc/{pid}/status").read_text()
    [line] = [line for line in status.split("\n") if line.startswith("RssAnon:")]
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


def used_bytes(pid):
    """Return what counts toward the limit of a process."""
    return own_bytes(pid) + unread_bytes(pid)


async def ask(case, name):
    """Send requests of an ordinary caller at intervals."""
    for n in itertools.count():
        began_s = time.monotonic()
        attempt = f"{name}-{n}"
        status = await case.call(name, "GET", "/stock/1", attempt, timeout_s=PATIENCE_S)
        took_s = time.monotonic() - began_s
        case.record("ordinary", machine=name, answer=status, after_s=f"{took_s:.2f}")
        await asyncio.sleep(ORDINARY_INTERVAL_S)


async def run_life(case, name, n_callers, kind):
    """Run a gateway beside one crowd; return its peak, and whether it ended.

    The platform kills a process that exceeds the memory of its machine; the case does.
    """
    await case.wait_ready(name)
    while await case.call(name, "GET", "/stock/1", "warm-up") != 200:
        await asyncio.sleep(0.1)
    process = case.processes[name]
    case.record("crowd", machine=name, n_callers=n_callers, kind=kind)
    words = [sys.executable, "-m", "review.lib3.crowd", case.ports[name]]
    words += [n_callers, kind, CROWD_S]
    crowd = subprocess.Popen([str(word) for word in words], cwd=ROOT)
    case.processes[f"crowd of {name}"] = crowd
    peak = 0
    while crowd.poll() is None:
        await asyncio.sleep(SAMPLE_S)
        if process.poll() is None:
            peak = max(peak, await asyncio.to_thread(used_bytes, process.pid))
        if process.poll() is not None or peak > MAX_BYTES:
            case.record("END", machine=name, mb=round(peak / 1e6), exit=process.poll())
            for each in (process, crowd):
                each.kill()
                each.wait()
            return peak, True
    if crowd.returncode:
        raise RuntimeError(f"the crowd ended with {crowd.returncode}")
    return peak, False


async def run_machine(case, name, n_callers, kind):
    """Run a gateway, and again after each end; return its peak and number of ends."""
    peak, n_ends = 0, 0
    for _ in range(N_ENDS):
        life_peak, is_ended = await run_life(case, name, n_callers, kind)
        peak = max(peak, life_peak)
        if not is_ended:
            break
        n_ends += 1
        await asyncio.sleep(RESTART_S)
        case.launch(name)
    return peak, n_ends


async def run_crowd(record_path, n_callers, kind):
    """Return whether fewer than two machines end three times each."""
    async with Case(record_path) as case:
        store = Store(case.record)
        store_port = free_port()
        await case.serve(store.handle, store_port)
        engine = Engine("i-1", SERVICE, free_port(), "osorno-norte", store, case.record)
        await case.serve(engine.handle, engine.port)
        case.run_task(engine.ping())
        await store.put("keyed.op", "config", configuration())
        for n, name in enumerate(MACHINES):
            case.start_gateway(name, f"127.0.0.{n + 2}", store_port)
            case.run_task(ask(case, name))
        results = await asyncio.gather(
            *(run_machine(case, name, n_callers, kind) for name in MACHINES)
        )
        for name, (peak, n_ends) in zip(MACHINES, results, strict=True):
            case.record(
                "result", machine=name, peak_mb=round(peak / 1e6), n_ends=n_ends
            )
        peaks = ", ".join(f"{peak / 1e6:.0f}" for peak, _ in results)
        ends = ", ".join(str(n_ends) for _, n_ends in results)
        print(f"peaks of {peaks} MB, limit {MAX_BYTES / 1e6:.0f}; ends: {ends}")
        return not all(n_ends >= N_ENDS for _, n_ends in results)
