"""Control cost of a daemon as a function of the number of peers and engines.

``.venv/bin/python -m benchmarks.bench_control`` starts real daemons in front of
engines that serve only their status, lets them settle, and counts for some seconds
the bytes of all messages between daemons and of all polls, the CPU time and the
resident memory. The slopes give the cost in a domain of the design size.
"""

import os
import re
import signal
import socket
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import linear_regression
from typing import NamedTuple

from cassiaspread_core.observations import N_POLLERS
from tests.fleet import Fleet, Process, bearer, free_port, request, wait_for

WINDOW_S = 8.0
SETTLE_S = 6.0
ENGINES_PER_PROCESS = 60

# Above this number of engines polled per daemon the poll rate does not grow.
MAX_POLLED = 30

# Rates of a daemon with the default poll interval.
LIST_READS_PER_S = 1.0
LOG_READS_PER_S = 1.0

BUDGET_CORE = 0.041
BUDGET_BYTES_PER_S = 15_000.0
BUDGET_MEMORY_BYTES = 256e6
DESIGN_PEERS, DESIGN_ENGINES, DESIGN_DOMAINS = 28, 421, 14

OPERATOR = bearer("operator-token")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Case(NamedTuple):
    """One measurement: number of domains, and daemons and engines in each."""

    n_domains: int
    n_daemons: int
    n_engines: int


CASES = (
    Case(1, 3, 40),
    Case(1, 9, 40),
    Case(1, 9, 120),
    Case(1, 18, 120),
    Case(1, 29, 40),
    Case(1, 29, 421),
    Case(3, 9, 40),
    Case(1, 2, 421),
    Case(2, 2, 421),
)


class Usage(NamedTuple):
    """Totals over all daemons, cumulative except for the memory."""

    time_s: float
    cpu_s: float
    mesh_bytes: float
    poll_bytes: float
    n_polls: float
    memory_bytes: float


class Cost(NamedTuple):
    """Cost of one daemon."""

    core: float
    mesh_bytes_per_s: float
    poll_bytes_per_s: float
    platform_bytes_per_s: float
    memory_bytes: float

    @property
    def bytes_per_s(self) -> float:
        """All bytes that were counted, sent and received."""
        return self.mesh_bytes_per_s + self.poll_bytes_per_s + self.platform_bytes_per_s


def start_engines(fleet: Fleet, domain: str, n_engines: int) -> list[Process]:
    """Start engines, several per process, and add them to the list."""
    processes, rows = [], []
    for first in range(0, n_engines, ENGINES_PER_PROCESS):
        count = min(ENGINES_PER_PROCESS, n_engines - first)
        ports = [free_port() for _ in range(count)]
        while ports != list(range(ports[0], ports[0] + count)):
            ports = [free_port() for _ in range(count)]
        name = f"{domain}-{first}"
        flags = {"domain": domain, "first_port": ports[0], "n_engines": count}
        processes.append(fleet.start_standin("engine_group", name, **flags))
        for index, port in enumerate(ports):
            target = f"{name}-{index}"
            address = f"127.0.0.1:{port}"
            rows.append((target, "engine", target, address, domain, "live"))
    fleet.list_vms(rows)
    return processes


def is_settled(daemon: Process, case: Case) -> bool:
    """Return whether a daemon lists all others as alive and can use all engines."""
    n_peers = case.n_domains * case.n_daemons - 1
    n_engines = case.n_domains * case.n_engines
    return n_alive(daemon) == n_peers and n_usable(daemon) == n_engines


def n_alive(daemon: Process) -> int:
    """Return the number of daemons that a daemon lists as alive."""
    path = "/operators/members"
    return request("GET", daemon.address, path, headers=OPERATOR)[2].count(b'"alive"')


def n_usable(daemon: Process) -> int:
    """Return the number of targets that a daemon can use."""
    answer = request("GET", daemon.address, "/operators/observations", headers=OPERATOR)
    return answer[2].count(b'"is_usable":true')


def raw_bytes(address: str, path: str, *headers: str) -> int:
    """Send a request as daemons do; return the bytes sent and received."""
    host, port = address.split(":")
    lines = [f"GET {path} HTTP/1.1", "Host: target", "Connection: close", *headers]
    data = "\r\n".join([*lines, "Content-Length: 0", "", ""]).encode()
    answer = b""
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(data)
        while chunk := connection.recv(65_536):
            answer += chunk
    return len(data) + len(answer)


def platform_bytes_per_s(fleet: Fleet) -> float:
    """Return the bytes/s one daemon spends on an unchanged list and policy stream."""
    etag = request("GET", fleet.vm_list.address, "/vms")[1]["Etag"]
    listed = raw_bytes(fleet.vm_list.address, "/vms", f"If-None-Match: {etag}")
    path = "/streams/policy?start=100&wait_ms=0&n_records=500"
    return LIST_READS_PER_S * listed + LOG_READS_PER_S * raw_bytes(
        fleet.log.address, path
    )


def read_usage(daemons: list[Process], groups: list[Process]) -> Usage:
    """Read the totals of all daemons."""
    cpu_s = memory = mesh = n_bytes = n_polls = 0.0
    for daemon in daemons:
        proc = Path("/proc") / str(daemon.popen.pid)
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        cpu_s += (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        memory += int((proc / "statm").read_text().split()[1]) * PAGE_BYTES
        metrics = request("GET", daemon.address, "/metrics")[2].decode()
        mesh += sum(map(float, re.findall(r"mesh_bytes_total{.*} (\S+)", metrics)))
    for group in groups:
        counts = request("GET", group.address, "/control")[2].decode()
        n_polls += float(re.search(r'"n_polls": (\d+)', counts)[1])
        n_bytes += float(re.search(r'"n_bytes": (\d+)', counts)[1])
    return Usage(time.monotonic(), cpu_s, mesh, n_bytes, n_polls, memory)


def measure(case: Case) -> Cost:
    """Measure one case and print it."""
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.publish_base_configuration()
        domains = [f"domain-{i}" for i in range(case.n_domains)]
        groups = [g for d in domains for g in start_engines(fleet, d, case.n_engines)]
        daemons = [
            fleet.start_daemon(f"{d}-entry-{i}", d, poll_interval_ms=500)
            for d in domains
            for i in range(case.n_daemons)
        ]
        started_s = time.monotonic()
        for daemon in daemons:
            wait_for(lambda d=daemon: is_settled(d, case), 60.0)
        settled_s = time.monotonic() - started_s
        time.sleep(SETTLE_S)
        before = read_usage(daemons, groups)
        time.sleep(WINDOW_S)
        after = read_usage(daemons, groups)
        platform = platform_bytes_per_s(fleet)
    return report(case, before, after, settled_s, platform)


def report(
    case: Case, before: Usage, after: Usage, settled_s: float, platform: float
) -> Cost:
    """Print the cost of one daemon."""
    span_s = after.time_s - before.time_s
    n = case.n_domains * case.n_daemons
    cost = Cost(
        (after.cpu_s - before.cpu_s) / span_s / n,
        (after.mesh_bytes - before.mesh_bytes) / span_s / n,
        (after.poll_bytes - before.poll_bytes) / span_s / n,
        platform,
        after.memory_bytes / n,
    )
    n_polls = (after.n_polls - before.n_polls) / span_s / n
    print(
        f"{case.n_domains} domains x {case.n_daemons:2} daemons, "
        f"{case.n_engines:3} engines: {100 * cost.core:5.2f} % of a core, "
        f"{cost.memory_bytes / 1e6:5.1f} MB, mesh {cost.mesh_bytes_per_s:6.0f} B/s, "
        f"polls {cost.poll_bytes_per_s:6.0f} B/s ({n_polls:4.1f}/s), "
        f"list and log {platform:4.0f} B/s, "
        f"settled after {settled_s:4.1f} s",
        flush=True,
    )
    return cost


def time_until(condition: Callable[[], bool]) -> float:
    """Return how long it takes until a condition holds, in seconds."""
    started_s = time.monotonic()
    wait_for(condition)
    return time.monotonic() - started_s


def measure_reactions() -> None:
    """Print how soon a domain of nine daemons agrees after a change."""
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.publish_base_configuration()
        start_engines(fleet, "domain", 40)
        flags = {"poll_interval_ms": 500, "balancer_lag_ms": 3_000}
        daemons = [fleet.start_daemon(f"d{i}", "domain", **flags) for i in range(9)]
        for daemon in daemons:
            wait_for(lambda d=daemon: is_settled(d, Case(1, 9, 40)), 60.0)
        body = {"target": "domain-0-7"}
        request("POST", daemons[0].address, "/operators/drain", body, OPERATOR)
        drained_s = time_until(lambda: all(n_usable(d) == 39 for d in daemons))
        daemons[8].kill()
        lost_s = time_until(lambda: all(n_alive(d) == 7 for d in daemons[:8]))
        daemons[7].signal(signal.SIGTERM)
        leaving_s = time_until(lambda: all(n_alive(d) == 6 for d in daemons[:7]))
        fleet.start_daemon("d9", "domain", **flags)
        joined_s = time_until(lambda: all(n_alive(d) == 7 for d in daemons[:7]))
    print(
        f"nine daemons agree: {drained_s:.2f} s after a drain, {lost_s:.2f} s after a "
        f"crash, {leaving_s:.2f} s after SIGTERM, {joined_s:.2f} s after the start of "
        "a process"
    )


def fit(costs: dict[Case, Cost], name: str) -> tuple[float, float, float]:
    """Return the constant, the slope per peer and per engine that a daemon polls."""
    few, many = Case(1, 9, 40), Case(1, 9, 120)
    change = getattr(costs[many], name) - getattr(costs[few], name)
    per_engine = change / (n_polled(many) - n_polled(few))
    rest = {
        case.n_daemons - 1: getattr(cost, name) - per_engine * n_polled(case)
        for case, cost in costs.items()
        if case.n_domains == 1 and n_polled(case) <= MAX_POLLED
    }
    per_peer, base = linear_regression(list(rest), list(rest.values()))
    return base, per_peer, per_engine


def other_domains_cost(costs: dict[Case, Cost], name: str) -> float:
    """Return the cost that all other domains add to one daemon."""
    if name == "memory_bytes":
        # Every daemon has a record of the targets of all domains.
        with_other, without = Case(2, 2, DESIGN_ENGINES), Case(1, 2, DESIGN_ENGINES)
        one_domain = getattr(costs[with_other], name) - getattr(costs[without], name)
        return one_domain * (DESIGN_DOMAINS - 1)
    # The delegates of a pair of domains are spread over the daemons.
    three, one = Case(3, 9, 40), Case(1, 9, 40)
    one_pair = 9 * (getattr(costs[three], name) - getattr(costs[one], name)) / 2
    return one_pair * (DESIGN_DOMAINS - 1) / (DESIGN_PEERS + 1)


def n_polled(case: Case) -> float:
    """Return how many engines each daemon polls."""
    return N_POLLERS * case.n_engines / case.n_daemons


def main() -> None:
    """Measure all cases, print slopes and the ratio to the budget."""
    measure_reactions()
    costs = {case: measure(case) for case in CASES}
    ratios = {}
    for name, budget, unit in (
        ("core", BUDGET_CORE, "of a core"),
        ("bytes_per_s", BUDGET_BYTES_PER_S, "B/s"),
        ("memory_bytes", BUDGET_MEMORY_BYTES, "B"),
    ):
        base, per_peer, per_engine = fit(costs, name)
        own_domain = getattr(costs[Case(1, DESIGN_PEERS + 1, DESIGN_ENGINES)], name)
        others = other_domains_cost(costs, name)
        print(
            f"{name}: {base:.5g} + {per_peer:.4g} a peer + {per_engine:.4g} an engine "
            f"polled; domain of the design size {own_domain:.5g} measured + "
            f"{others:.4g} for the other domains; budget {budget:g} {unit}"
        )
        ratios[name] = (own_domain + others) / budget
    print(", ".join(f"{name} {ratio:.2f}" for name, ratio in ratios.items()))
    print(f"ratio of the cost to the budget, the worst: {max(ratios.values()):.2f}")


if __name__ == "__main__":
    main()
