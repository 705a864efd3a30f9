"""Cost of relaying tokens through one daemon, and added time to the first token.

The daemon's CPU time and memory are read from ``/proc`` while streams at 28 ms
a token run through it; the time to the first token is measured alternately with
and without the daemon, in the same run. The last line is the ratio of the tokens that
half a core relays to the objective of 12,000 per second.
"""

import argparse
import http.client
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from cassiaspread_core.pipeline import Stage
from tests.fleet import ROOT, Fleet, Process, bearer, free_port, request, wait_for

OBJECTIVE_TOKENS_PER_S = 12_000
CORE_SHARE = 0.5
N_FIRST_TOKENS = 200
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"no VmRSS line in /proc/{pid}/status")


def start(fleet: Fleet) -> tuple[Process, Process]:
    """Start a fast engine and a daemon that routes to it."""
    fleet.publish_base_configuration()
    port = free_port()
    argv = [sys.executable, "-m", "benchmarks.fast_engine", f"--port={port}"]
    engine = fleet.start("fast", f"127.0.0.1:{port}", [*argv, "--name=fast"])
    fleet.list_vm("fast", "engine", "fast", engine.address, "cautin")
    daemon = fleet.start_daemon("d1", "cautin", poll_interval_ms=500)
    fleet.wait_ready(daemon)
    body = {"model": "draft", "prompt": "warm-up", "max_tokens": 1}
    wait_for(lambda: call(daemon, body)[0] == 200)
    return engine, daemon


def call(daemon: Process, body: dict) -> tuple:
    """Send one completion to the daemon."""
    caller = bearer("osorno-token")
    return request("POST", daemon.address, "/v1/completions", body, caller)


def time_first_token(address: str, path: str, body: dict, headers: dict) -> float:
    """Return the seconds from opening a connection to the first byte of the body."""
    started_s = time.perf_counter()
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("POST", path, json.dumps(body), headers)
    connection.getresponse().read1(1)
    elapsed_s = time.perf_counter() - started_s
    connection.close()
    return elapsed_s


def measure_first_token(engine: Process, daemon: Process) -> tuple[float, float]:
    """Return the median milliseconds to the first token, direct and relayed."""
    stage = Stage("fast", engine.address, engine.address, 0, 8)
    order = {
        "request": "r",
        "attempt": 1,
        "start": 0,
        "max_tokens": 1,
        "prompt": "loin",
        "plan": [[stage.engine, stage.address]],
    }
    body = {"model": "draft", "prompt": "loin", "max_tokens": 1, "stream": True}
    caller = bearer("osorno-token")
    direct, relayed = [], []
    for _ in range(N_FIRST_TOKENS):
        direct.append(time_first_token(engine.address, "/engine/generate", order, {}))
        relayed.append(
            time_first_token(daemon.address, "/v1/completions", body, caller)
        )
    return 1e3 * statistics.median(direct), 1e3 * statistics.median(relayed)


def measure_load(daemon: Process, n_streams: int, measure_s: float) -> dict:
    """Run streams and return the tokens, CPU time and memory."""
    argv = [sys.executable, "-m", "benchmarks.stream_load"]
    argv += [f"--address={daemon.address}", f"--n-streams={n_streams}"]
    argv += [f"--measure-s={measure_s}"]
    with subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE, text=True) as load:
        assert load.stdout is not None
        load.stdout.readline()
        cpu_s = read_cpu_s(daemon.popen.pid)
        result = json.loads(load.stdout.readline())
        result["cpu_s"] = read_cpu_s(daemon.popen.pid) - cpu_s
        result["rss_bytes"] = read_rss_bytes(daemon.popen.pid)
    time.sleep(1.0)
    return result


def main() -> None:
    """Measure and print the figures, the ratio last."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--n-streams", type=int, nargs="+", default=[50, 150, 350])
    parser.add_argument("--n-repeats", type=int, default=3)
    parser.add_argument("--measure-s", type=float, default=4.0)
    arguments = parser.parse_args()
    best = 0.0
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        engine, daemon = start(fleet)
        direct_ms, relayed_ms = measure_first_token(engine, daemon)
        print(
            f"first token, median of {N_FIRST_TOKENS}: direct {direct_ms:.2f} ms, "
            f"relayed {relayed_ms:.2f} ms, added {relayed_ms - direct_ms:.2f} ms"
        )
        for n_streams in arguments.n_streams:
            for _ in range(arguments.n_repeats):
                load = measure_load(daemon, n_streams, arguments.measure_s)
                per_core = load["n_tokens"] / max(load["cpu_s"], 1 / TICKS_PER_S)
                best = max(best, per_core)
                print(
                    f"{n_streams} streams: {load['n_tokens'] / load['time_s']:.0f} "
                    f"tokens/s, {load['cpu_s'] / load['time_s']:.2f} cores, "
                    f"{per_core:.0f} tokens per core and second, "
                    f"{1e6 / per_core:.1f} us/token, "
                    f"{load['rss_bytes'] / 1024:.0f} KiB, {load['n_idle']} idle"
                )
    print(
        "tokens of half a core / objective: "
        f"{best * CORE_SHARE / OBJECTIVE_TOKENS_PER_S:.2f}"
    )


if __name__ == "__main__":
    main()
