"""Time from a fault to the next token at the caller, for each kind of fault.

Three stages with several replicas each take 10 ms a step, so that a token takes
30 ms; several streams run through one daemon. Each round injects one fault,
measures the streams that it interrupted and repairs it. ``slow`` injects no
fault: its engines jitter, and stall for less than ``engine_silence_ms``; it counts
verdicts other than slow. The last line is the ratio of the objective for closed
connections to their 95th percentile.
"""

import argparse
import signal
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import xxhash

from tests.fleet import Fleet, Process, Route, wait_for
from tests.streams import StreamCaller, read_events, start_ready_daemons, start_stages

STEP_MS = 10
N_TOKENS = 90
N_BEFORE = 10
OBJECTIVE_CLOSED_S = 0.09
REPAIR_S = 0.6
STALL_S = 0.3
CLOSED = ("kill-head", "kill-middle", "kill-tail")

ROUTES: dict[str, Route] = {}

# Injects a fault and returns a function that repairs it.
Fault = Callable[[Fleet], Callable[[], None]]


def kill(name: str) -> Fault:
    """Return a fault that kills an engine; the repair restarts it."""

    def fault(fleet: Fleet) -> Callable[[], None]:
        fleet.processes[name].kill()
        return fleet.processes[name].start

    return fault


def freeze(name: str) -> Fault:
    """Return a fault that suspends an engine's process until the repair."""

    def fault(fleet: Fleet) -> Callable[[], None]:
        fleet.processes[name].signal(signal.SIGSTOP)
        return lambda: fleet.processes[name].signal(signal.SIGCONT)

    return fault


def silence(name: str) -> Fault:
    """Return a fault that stops all data on the open connections to an engine."""

    def fault(fleet: Fleet) -> Callable[[], None]:
        route = ROUTES[name]
        route.set("silence-old")
        return lambda: route.set("pass")

    return fault


FAULTS = {
    "kill-head": kill("h0"),
    "kill-middle": kill("m0"),
    "kill-tail": kill("t0"),
    "freeze-head": freeze("h0"),
    "freeze-middle": freeze("m0"),
    "silent-connection": silence("h0"),
}


def request_id(key: str) -> str:
    """Return the identifier that a daemon assigns to a request with a key."""
    return xxhash.xxh3_128_hexdigest(f"osorno\n{key}".encode())


def begin_streams(daemon: Process, n_streams: int, label: str) -> list[StreamCaller]:
    """Start streams one after the other and wait until all are running."""
    callers = []
    for index in range(n_streams):
        key = {"Idempotency-Key": f"{label}-{index}"}
        callers.append(StreamCaller(daemon, f"{label} {index}", N_TOKENS, **key))
        time.sleep(0.02)
    for caller in callers:
        caller.wait_for_tokens(N_BEFORE)
    return callers


def next_token_s(caller: StreamCaller, fault_s: float) -> float:
    """Return the time from a fault to the first token after it."""
    return min(t for t in caller.times_s if t > fault_s) - fault_s


def measure_fault(
    fleet: Fleet, daemon: Process, fault: Fault, n_streams: int, label: str
) -> list[float]:
    """Inject one fault and return the waits of the interrupted streams."""
    callers = begin_streams(daemon, n_streams, label)
    fault_s = time.monotonic()
    repair = fault(fleet)
    for caller in callers:
        caller.check_complete()
    repair()
    interrupted = {
        event["request"]
        for event in read_events(daemon)
        if event["kind"] == "stream.interrupted"
    }
    time.sleep(REPAIR_S)
    return [
        next_token_s(caller, fault_s)
        for index, caller in enumerate(callers)
        if request_id(f"{label}-{index}") in interrupted
    ]


def measure_daemon(daemons: list[Process], n_streams: int, label: str) -> list[float]:
    """Kill a daemon, repeat its requests at another one and return the waits."""
    callers = begin_streams(daemons[0], n_streams, label)
    time.sleep(0.3)
    fault_s = time.monotonic()
    daemons[0].kill()
    repeated = []
    for index, caller in enumerate(callers):
        caller.finish()
        start = len(caller.tokens)
        headers = {
            "Idempotency-Key": f"{label}-{index}",
            "Last-Event-ID": str(start - 1),
        }
        second = StreamCaller(daemons[1], caller.prompt, N_TOKENS, **headers)
        repeated.append((second, start))
    for second, start in repeated:
        second.check_complete(start)
    daemons[0].start()
    wait_for(daemons[0].is_responding)
    time.sleep(REPAIR_S)
    return [next_token_s(second, fault_s) for second, _ in repeated]


def measure_slow(fleet: Fleet, daemon: Process, n_streams: int, label: str) -> None:
    """Count the verdicts on engines that are merely slow."""
    engines = [p for name, p in fleet.processes.items() if name[0] in "hmt"]
    for engine in engines:
        engine.control(jitter_ms=20, stall_ms=400, stall_ratio=0.01)
    callers = begin_streams(daemon, n_streams, label)
    for engine in engines:
        engine.signal(signal.SIGSTOP)
        time.sleep(STALL_S)
        engine.signal(signal.SIGCONT)
        time.sleep(STALL_S)
    for caller in callers:
        caller.check_complete()
    for engine in engines:
        engine.control(jitter_ms=0, stall_ms=0, stall_ratio=0)
    verdicts = [
        event["fields"]["verdict"]
        for event in read_events(daemon)
        if event["kind"] == "stream.interrupted"
    ]
    n_false = sum(verdict != "slow" for verdict in verdicts)
    print(
        f"slow: {len(callers)} streams, {len(verdicts)} silences probed, {n_false} "
        f"false verdicts ({100 * n_false / max(1, len(verdicts)):.1f} %)"
    )


def summarize(name: str, waits_s: list[float]) -> float:
    """Print the percentiles of one fault and return the 95th in seconds."""
    if len(waits_s) < 2:
        print(f"{name}: only {len(waits_s)} streams were interrupted")
        return 0.0
    p95_s = statistics.quantiles(waits_s, n=20, method="inclusive")[-1]
    print(
        f"{name}: {len(waits_s)} streams, fault to next token p50 "
        f"{1e3 * statistics.median(waits_s):.0f} ms, p95 {1e3 * p95_s:.0f} ms, "
        f"max {1e3 * max(waits_s):.0f} ms"
    )
    return p95_s


def start(fleet: Fleet, n_replicas: int) -> list[Process]:
    """Start engines, proxies in front of the heads, and two daemons."""
    engines = start_stages(fleet, n_replicas, step_ms=STEP_MS)
    for engine in engines[:n_replicas]:
        wait_for(engine.is_responding)
        route = fleet.start_proxy(engine.name, engine.address)
        ROUTES[engine.name] = route
    return start_ready_daemons(fleet, "d0", "d1")


def main() -> None:
    """Measure each kind of fault and print its figures."""
    parser = argparse.ArgumentParser()
    names = [*FAULTS, "kill-daemon", "slow"]
    parser.add_argument("--faults", nargs="+", choices=names, default=names)
    parser.add_argument("--n-rounds", type=int, default=3)
    parser.add_argument("--n-streams", type=int, default=4)
    parser.add_argument("--n-replicas", type=int, default=4)
    arguments = parser.parse_args()
    n_streams, closed_p95_s = arguments.n_streams, []
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        daemons = start(fleet, arguments.n_replicas)
        for name in arguments.faults:
            labels = [f"{name}-{i}" for i in range(arguments.n_rounds)]
            if name == "slow":
                measure_slow(fleet, daemons[0], n_streams, name)
                continue
            set_proxies(fleet, is_on=name == "silent-connection")
            waits_s: list[float] = []
            for label in labels:
                if name == "kill-daemon":
                    waits_s += measure_daemon(daemons, n_streams, label)
                else:
                    waits_s += measure_fault(
                        fleet, daemons[0], FAULTS[name], n_streams, label
                    )
            p95_s = summarize(name, waits_s)
            if name in CLOSED:
                closed_p95_s.append(p95_s)
    if any(closed_p95_s):
        print(
            "objective / p95 of closed connections: "
            f"{OBJECTIVE_CLOSED_S / max(closed_p95_s):.2f}"
        )


def set_proxies(fleet: Fleet, is_on: bool) -> None:
    """Make the heads advertise the addresses of their proxies, or their own."""
    for name, route in ROUTES.items():
        fleet.processes[name].control(advertise=route.address if is_on else None)
    time.sleep(REPAIR_S)


if __name__ == "__main__":
    main()
