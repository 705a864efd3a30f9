"""Daemons in domains whose ways to the log and to each other can be cut; a judge."""

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
BOUND_S = 10.0


def operator_get(daemon: Process, path: str, answer_type=None, timeout_s=2.0):
    status, _, body = request(
        "GET", daemon.address, path, headers=OPERATOR, timeout_s=timeout_s
    )
    if status != 200:
        raise OSError(f"{daemon.name} answered {status}")
    return msgspec.json.decode(body, type=answer_type) if answer_type else body


def policy_status(daemon: Process) -> dict:
    return json.loads(operator_get(daemon, "/operators/status"))["policy"]


class SplitFleet:
    """Each domain has a VM list and a way to the log of its own."""

    def __init__(self, fleet: Fleet, domains: tuple[str, ...]) -> None:
        self.fleet, self.domains = fleet, domains
        self.daemons: dict[str, tuple[str, Process]] = {}
        self.lists = {d: fleet.start_standin("vm_list", f"vms-{d}") for d in domains}
        self.logs = {
            d: fleet.start_proxy(f"log-{d}", fleet.log.address) for d in domains
        }
        self.peers: dict[str, list[Route]] = {d: [] for d in domains}
        self._vms: dict[str, list[dict]] = {d: [] for d in domains}
        for vm_list in self.lists.values():
            wait_for(vm_list.answers)

    def start(self, name: str, domain: str, peer_mode="pass", **flags) -> Process:
        flags = {"log": self.logs[domain].address} | flags
        peer = f"127.0.0.1:{free_port()}"
        daemon = self.fleet.start_daemon(
            name,
            domain,
            peer_listen=peer,
            vm_list=self.lists[domain].address,
            **flags,
        )
        for reader in self.domains:
            address = peer
            if reader != domain:
                route = self.fleet.start_proxy(f"{reader}-{name}", peer)
                route.set(peer_mode)
                self.peers[reader].append(route)
                self.peers[domain].append(route)
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
        for route in self.peers[domain]:
            route.set(mode)

    def _publish(self, domain: str) -> None:
        request("PUT", self.lists[domain].address, "/vms", self._vms[domain])


def command(fleet, daemons, *arguments, log=None, stdin=None):
    """Run the command line; return its exit status, output and errors."""
    environment = {
        "CASSIASPREAD_DAEMONS": ",".join(daemon.address for daemon in daemons),
        "CASSIASPREAD_LOG": log or fleet.log.address,
        "CASSIASPREAD_OPERATOR_TOKEN": "operator-token",
    }
    done = subprocess.run(
        [str(Path(sys.executable).parent / "cassiaspread"), *map(str, arguments)],
        env=os.environ | environment,
        capture_output=True,
        text=True,
        input=stdin,
        timeout=60,
    )
    return done.returncode, done.stdout, done.stderr


def read_stream(fleet: Fleet, start: int = 0) -> list[tuple[int, bytes]]:
    path = f"/streams/policy?start={start}&n_records=1000000"
    page = json.loads(request("GET", fleet.log.address, path)[2])
    return [(r["offset"], base64.b64decode(r["value"])) for r in page["records"]]


def copy_stream(fleet: Fleet, copy: list[tuple[int, bytes]], stop) -> None:
    """Copy records before retention removes them, until told to stop."""
    while not stop.is_set():
        with suppress(OSError, KeyError):
            copy += read_stream(fleet, len(copy))
        time.sleep(0.1)


class Sample(NamedTuple):
    """What a daemon had in force at a time."""

    time_s: float
    daemon: str
    snapshot: Snapshot


class Isolation(NamedTuple):
    """A domain had neither the log nor other domains."""

    domain: str
    begin_s: float
    end_s: float


class Judge:
    """Holds samples against the stream, read by rules of its own."""

    def __init__(self, stream: list[tuple[int, bytes]]) -> None:
        self.in_force: list[dict] = [{}]
        self.accepted: set[int] = set()
        for offset, value in stream:
            in_force = dict(self.in_force[-1])
            try:
                record = json.loads(value)
                key = record["kind"], record["name"]
                present = in_force.get(key, (None,))[0]
                if record["replaces"] == present:
                    in_force[key] = offset, record["value"]
                    self.accepted.add(offset)
            except (ValueError, KeyError, TypeError):
                pass
            self.in_force.append(in_force)

    def check_order(self, samples: list[Sample]) -> None:
        """One order everywhere, no step back, nothing rejected in force."""
        latest: dict[str, int] = {}
        for sample in samples:
            covered = sample.snapshot.covered
            assert covered >= latest.get(sample.daemon, 0), sample.daemon
            latest[sample.daemon] = covered
            entries = sample.snapshot.entries
            in_force = {(e.kind.value, e.name): (e.offset, e.value) for e in entries}
            assert in_force == self.in_force[covered], (sample.daemon, covered)

    def check_outcomes(self, changes: list[dict]) -> None:
        """What operators were told is what the stream says."""
        for change in changes:
            if change["outcome"] in ("accepted", "rejected"):
                is_accepted = change["offset"] in self.accepted
                assert is_accepted is (change["outcome"] == "accepted"), change

    def spread(
        self,
        samples: list[Sample],
        domains: dict[str, str],
        isolations: list[Isolation],
    ) -> list[float]:
        """Check the bound; return how long each record took on each daemon."""
        delays = []
        seen_s: dict[int, float] = {}
        for sample in samples:
            for offset in range(sample.snapshot.covered):
                seen_s.setdefault(offset, sample.time_s)
        for daemon, domain in domains.items():
            own = [s for s in samples if s.daemon == daemon]
            for offset, since_s in seen_s.items():
                if not own or offset not in self.accepted:
                    continue
                since_s = max(since_s, own[0].time_s)
                for isolation in isolations:
                    is_cut = isolation.begin_s - BOUND_S <= since_s <= isolation.end_s
                    if isolation.domain == domain and is_cut:
                        since_s = isolation.end_s
                delay = self._delay(own, offset, since_s)
                if delay is not None:
                    delays.append(delay)
        return delays

    def _delay(self, own, offset: int, since_s: float) -> float | None:
        has = [s.time_s for s in own if s.snapshot.covered > offset]
        end_s = has[0] if has else own[-1].time_s
        assert end_s - since_s <= BOUND_S, (own[0].daemon, offset, end_s - since_s)
        return max(0.0, end_s - since_s) if has else None


def sample_daemons(split: SplitFleet, samples: list[Sample], stop) -> None:
    """Ask every daemon for what it has in force until told to stop."""
    while not stop.is_set():
        for name, (_, daemon) in list(split.daemons.items()):
            try:
                snapshot = operator_get(daemon, "/operators/policy", Snapshot)
            except (OSError, ValueError):
                continue
            samples.append(Sample(time.time(), name, snapshot))
        time.sleep(0.05)
