"""A fleet with network partitions between domains, and a checker of its policy."""

import base64
import json
import os
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import msgspec

from cassiaspread_core.policy import Snapshot
from tests.fleet import Fleet, Process, Route, bearer, free_port, request, wait_for

OPERATOR = bearer("operator-token")
PROPAGATION_BOUND_S = 10.0


def get_as_operator(daemon: Process, path: str, answer_type=None, timeout_s=2.0):
    status, _, body = request(
        "GET", daemon.address, path, headers=OPERATOR, timeout_s=timeout_s
    )
    if status != 200:
        raise OSError(f"{daemon.name} answered {status}")
    return msgspec.json.decode(body, type=answer_type) if answer_type else body


def policy_status(daemon: Process) -> dict:
    return json.loads(get_as_operator(daemon, "/operators/status"))["policy"]


class PartitionedFleet:
    """Daemons in domains whose connections to the log and to each other can be cut.

    Each domain has its own VM list and its own proxy route to the log.
    """

    def __init__(self, fleet: Fleet, domains: tuple[str, ...]) -> None:
        self.fleet, self.domains = fleet, domains
        self.daemons: dict[str, tuple[str, Process]] = {}
        self.vm_lists = {d: fleet.start_standin("vm_list", f"vms-{d}") for d in domains}
        self.log_routes = {
            d: fleet.start_proxy(f"log-{d}", fleet.log.address) for d in domains
        }
        self.peer_routes: dict[str, list[Route]] = {d: [] for d in domains}
        self._vms: dict[str, list[dict]] = {d: [] for d in domains}
        for vm_list in self.vm_lists.values():
            wait_for(vm_list.is_responding)

    def start(self, name: str, domain: str, peer_mode="pass", **flags) -> Process:
        flags = {"log": self.log_routes[domain].address} | flags
        peer = f"127.0.0.1:{free_port()}"
        daemon = self.fleet.start_daemon(
            name,
            domain,
            peer_listen=peer,
            vm_list=self.vm_lists[domain].address,
            **flags,
        )
        for reader in self.domains:
            address = peer
            if reader != domain:
                route = self.fleet.start_proxy(f"{reader}-{name}", peer)
                route.set(peer_mode)
                self.peer_routes[reader].append(route)
                self.peer_routes[domain].append(route)
                address = route.address
            vm = {"vm": name, "role": "daemon", "name": name, "address": address}
            self._vms[reader].append(vm | {"domain": domain, "state": "live"})
            self._publish(reader)
        self.daemons[name] = domain, daemon
        return daemon

    def kill(self, name: str) -> str:
        domain, daemon = self.daemons.pop(name)
        daemon.kill()
        for reader in self.domains:
            self._vms[reader] = [vm for vm in self._vms[reader] if vm["vm"] != name]
            self._publish(reader)
        return domain

    def set_peers(self, domain: str, mode: str) -> None:
        for route in self.peer_routes[domain]:
            route.set(mode)

    def _publish(self, domain: str) -> None:
        request("PUT", self.vm_lists[domain].address, "/vms", self._vms[domain])


def run_cli(fleet, daemons, *arguments, log=None, stdin=None):
    """Run ``cassiaspread``; return its exit status, standard output and errors."""
    environment = {
        "CASSIASPREAD_DAEMONS": ",".join(daemon.address for daemon in daemons),
        "CASSIASPREAD_LOG": log or fleet.log.address,
        "CASSIASPREAD_OPERATOR_TOKEN": "operator-token",
    }
    completed = subprocess.run(
        [str(Path(sys.executable).parent / "cassiaspread"), *map(str, arguments)],
        env=os.environ | environment,
        capture_output=True,
        text=True,
        input=stdin,
        timeout=60,
    )
    return completed.returncode, completed.stdout, completed.stderr


def read_stream(fleet: Fleet, start: int = 0) -> list[tuple[int, bytes]]:
    records: list[tuple[int, bytes]] = []
    while True:
        path = f"/streams/policy?start={start + len(records)}&n_records=1000000"
        page = json.loads(request("GET", fleet.log.address, path)[2])
        records += [
            (r["offset"], base64.b64decode(r["value"])) for r in page["records"]
        ]
        if not page["records"] or records[-1][0] + 1 >= page["end"]:
            return records


def copy_stream(fleet: Fleet, copy: list[tuple[int, bytes]], stop) -> None:
    """Copy records until ``stop`` is set, before retention removes them."""
    while not stop.is_set():
        with suppress(OSError, KeyError):
            copy += read_stream(fleet, len(copy))
        time.sleep(0.1)


class Sample(NamedTuple):
    """Snapshot of the policy in force on a daemon at a time."""

    time_s: float
    daemon: str
    snapshot: Snapshot


class Isolation(NamedTuple):
    """Period in which a domain reached neither the log nor other domains."""

    domain: str
    begin_s: float
    end_s: float


class PolicyChecker:
    """Checks samples against the stream, folded independently of the product's code."""

    def __init__(self, stream: list[tuple[int, bytes]]) -> None:
        self.in_force: list[dict] = [{}]
        self.accepted: set[int] = set()
        for offset, value in stream:
            in_force = dict(self.in_force[-1])
            try:
                record = json.loads(value)
                key = record["kind"], record["name"]
                current = in_force.get(key, (None,))[0]
                if record["replaces"] == current:
                    in_force[key] = offset, record["value"]
                    self.accepted.add(offset)
            except (ValueError, KeyError, TypeError):
                pass
            self.in_force.append(in_force)

    def check_order(self, samples: list[Sample]) -> None:
        """Check one order everywhere, no step back and no rejected record in force."""
        latest: dict[str, int] = {}
        for sample in samples:
            covered = sample.snapshot.covered
            assert covered >= latest.get(sample.daemon, 0), sample.daemon
            latest[sample.daemon] = covered
            entries = sample.snapshot.entries
            in_force = {(e.kind.value, e.name): (e.offset, e.value) for e in entries}
            assert in_force == self.in_force[covered], (sample.daemon, covered)

    def check_reported_outcomes(self, changes: list[dict]) -> None:
        """Check the outcomes reported to operators against the stream."""
        for change in changes:
            if change["outcome"] in ("accepted", "rejected"):
                is_accepted = change["offset"] in self.accepted
                assert is_accepted is (change["outcome"] == "accepted"), change

    def check_propagation(
        self,
        samples: list[Sample],
        domains: dict[str, str],
        isolations: list[Isolation],
    ) -> list[float]:
        """Check the propagation bound; return the delays in seconds."""
        delays_s = []
        first_seen_s: dict[int, float] = {}
        for sample in samples:
            for offset in range(sample.snapshot.covered):
                first_seen_s.setdefault(offset, sample.time_s)
        for daemon, domain in domains.items():
            daemon_samples = [s for s in samples if s.daemon == daemon]
            for offset, since_s in first_seen_s.items():
                if not daemon_samples or offset not in self.accepted:
                    continue
                since_s = max(since_s, daemon_samples[0].time_s)
                for isolation in isolations:
                    is_isolated = (
                        isolation.begin_s - PROPAGATION_BOUND_S
                        <= since_s
                        <= isolation.end_s
                    )
                    if isolation.domain == domain and is_isolated:
                        since_s = isolation.end_s
                delay_s = self._propagation_delay(daemon_samples, offset, since_s)
                if delay_s is not None:
                    delays_s.append(delay_s)
        return delays_s

    def _propagation_delay(
        self, daemon_samples, offset: int, since_s: float
    ) -> float | None:
        covering_s = [s.time_s for s in daemon_samples if s.snapshot.covered > offset]
        end_s = covering_s[0] if covering_s else daemon_samples[-1].time_s
        assert end_s - since_s <= PROPAGATION_BOUND_S, (
            daemon_samples[0].daemon,
            offset,
            end_s - since_s,
        )
        return max(0.0, end_s - since_s) if covering_s else None


def sample_daemons(partitioned: PartitionedFleet, samples: list[Sample], stop) -> None:
    """Sample the policy in force on every daemon until ``stop`` is set."""
    while not stop.is_set():
        for name, (_, daemon) in list(partitioned.daemons.items()):
            try:
                snapshot = get_as_operator(daemon, "/operators/policy", Snapshot)
            except (OSError, ValueError):
                continue
            samples.append(Sample(time.time(), name, snapshot))
        time.sleep(0.05)
