"""Processor time of gateways at rest and under requests, by the number of daemons.

Run ``python -m benchmarks.bench_deployment [N...]`` (default: 9 30 63). Starts the
store, a few engines and that many gateways of three failure domains as real processes
on the stand-ins for the users' platform, and prints for each number, as TOML, the
processor time of a start, and that of a second at rest and under requests, by what it
was spent on. All figures are means over the daemons, in ms. The page
docs/design/own-interface-costs.md is made from such an output,
``benchmarks/deployment.toml``.
"""

import argparse
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks.measured_gateway import OTHER_TASKS
from tests.users_platform import deployment as standins
from tests.users_platform.deployment import Deployment

N_DAEMONS = (9, 30, 63)
DOMAINS = ("celje", "velenje", "ptuj")
N_ENGINES_PER_DOMAIN = 2
SETTLE_S = 8.0
REST_S = 10.0
LOAD_S = 8.0
REQUESTS_PER_S = 10
N_SCRAPES = 50
GROUPS = ("gossip", "feeds", "quarantine", "duty", "logs", OTHER_TASKS)
Sample = dict[str, float]


class MeasuredDeployment(Deployment):
    """Starts gateways that write their processor time.

    :param folder: folder for the files of the run.
    :param n_daemons: number of gateways that will be started.
    """

    def __init__(self, folder: Path, n_daemons: int) -> None:
        # Compiled files are used, as in an installation.
        self._environment = {
            "PYTHONDONTWRITEBYTECODE": "",
            "PYTHONPYCACHEPREFIX": str(folder / "compiled"),
            "PYTHONPATH": str(Path.cwd()),
        }
        subprocess.run(
            (sys.executable, "-c", "import cassiaspread_platform.gateway"),
            env={**os.environ, **self._environment},
            check=True,
        )
        super().__init__(folder)
        self.free_peer_ips = [f"127.0.1.{n}" for n in range(1, n_daemons + 1)]

    def start(self, name, *command, environment=None):
        """Start a process; a gateway as ``benchmarks.measured_gateway``."""
        if "cassiaspread_platform" in command:
            index = command.index("cassiaspread_platform")
            command = (
                "-m",
                "benchmarks.measured_gateway",
                self.samples_path(name),
                *command[index + 1 :],
            )
            environment = {**(environment or {}), **self._environment}
        super().start(name, *command, environment=environment)

    def samples_path(self, name: str) -> Path:
        """Return the file in which a gateway writes its processor time."""
        return self.folder / f"{name}.samples"

    def samples(self, name: str) -> list[Sample]:
        """Return the processor time of a gateway at each second."""
        return [
            msgspec.json.decode(line)
            for line in self.samples_path(name).read_text().splitlines()
        ]


def start_deployment(folder: Path, n_daemons: int) -> tuple[MeasuredDeployment, list]:
    """Start the processes and wait until all gateways are ready."""
    deployment = MeasuredDeployment(folder, n_daemons)
    standins.PEER_IPS = tuple(deployment.free_peer_ips)
    deployment.publish_configuration(1)
    for n, domain in enumerate(DOMAINS * N_ENGINES_PER_DOMAIN):
        deployment.add_engine(f"m{n}", standins.MODEL_SERVICE, domain, kind="large")
        deployment.add_engine(f"p{n}", standins.PLAIN_SERVICE, domain)
    names = [f"g{n}" for n in range(n_daemons)]
    for n, name in enumerate(names):
        deployment.add_gateway(name, DOMAINS[n % len(DOMAINS)], has_peers=True)
    for name in names:
        standins.wait_for(lambda name=name: deployment.is_ready(name), 30.0)
    return deployment, names


def rates(samples: list[Sample], begin_s: float, end_s: float) -> Sample:
    """Return the processor time of each group in ms per second of an interval."""
    inside = [s for s in samples if begin_s <= s["time_s"] <= end_s]
    first, last = inside[0], inside[-1]
    elapsed_s = last["time_s"] - first["time_s"]

    def rate(name: str) -> float:
        return 1000 * (last.get(name, 0.0) - first.get(name, 0.0)) / elapsed_s

    by_group = {group: rate(group) for group in GROUPS}
    main_ms, process_ms = rate("main_thread_s"), rate("process_s")
    by_group["loop"] = main_ms - sum(by_group.values()) - rate("measurement")
    by_group["other_threads"] = process_ms - main_ms
    by_group["all"] = process_ms
    return by_group


def mean_row(rows: list[Sample]) -> Sample:
    """Return the means of the columns."""
    return {name: statistics.mean(row[name] for row in rows) for name in rows[0]}


def request_for(deployment: Deployment, names: list[str], duration_s: float) -> int:
    """Send streams and plain calls at a fixed rate, to the daemons in turn."""
    began_s, n_sent = time.monotonic(), 0
    while time.monotonic() - began_s < duration_s:
        name = names[n_sent % len(names)]
        if n_sent % 2:
            response = deployment.request(name, "/stock/x")
        else:
            response = deployment.request_stream(name, 5)
        assert response.status == 200, (response.status, response.body)
        n_sent += 1
        due_s = began_s + n_sent / REQUESTS_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))
    return n_sent


def scrape(deployment: Deployment) -> Sample:
    """Return the processor time of reading the metrics of a daemon, in ms."""
    deployment.add_gateway("lone", DOMAINS[0], metrics=True)
    time.sleep(1.0)
    pid, port = deployment.processes["lone"].pid, deployment.ports["lone/metrics"]
    before_s = processor_s(pid)
    for _ in range(N_SCRAPES):
        deployment.call(port, "GET", "/metrics")
    return {"scrape": 1000 * (processor_s(pid) - before_s) / N_SCRAPES}


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(n_daemons: int) -> dict[str, Sample]:
    """Return the figures of a deployment with a number of daemons, by part."""
    with tempfile.TemporaryDirectory() as folder:
        deployment, names = start_deployment(Path(folder), n_daemons)
        try:
            time.sleep(SETTLE_S)
            rest_began_s = time.monotonic()
            time.sleep(REST_S)
            load_began_s = time.monotonic()
            n_sent = request_for(deployment, names, LOAD_S)
            load_ended_s = time.monotonic()
            samples = [deployment.samples(name) for name in names]
            scraped = scrape(deployment)
        finally:
            deployment.close()
    starts = [
        {"imports": 1000 * s[0]["start_s"], "first_second": 1000 * s[1]["process_s"]}
        for s in samples
    ]
    n_requests = n_sent / (load_ended_s - load_began_s) / n_daemons
    load = mean_row([rates(s, load_began_s, load_ended_s) for s in samples])
    return {
        "start": mean_row(starts) | scraped,
        "rest": mean_row([rates(s, rest_began_s, load_began_s) for s in samples]),
        "load": load | {"requests_per_s": n_requests},
    }


def main() -> None:
    """Print the figures of each number of daemons."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("n_daemons", type=int, nargs="*", default=N_DAEMONS)
    for n_daemons in parser.parse_args().n_daemons:
        figures = measure(n_daemons)
        print(f"[[run]]\nn_daemons = {n_daemons}")
        print(f"load_1min = {os.getloadavg()[0]:.1f}")
        for part, row in figures.items():
            cells = (f"{name} = {value:.2f}" for name, value in row.items())
            print(f"{part} = {{ {', '.join(cells)} }}")
        print(flush=True)


if __name__ == "__main__":
    main()
