"""Answers to callers beside configurations, behind links of a limited rate."""

import json
import random
import subprocess
import sys
import time
import zlib
from collections import defaultdict
from types import SimpleNamespace

import pytest

from tests.fleet import ROOT, free_port
from tests.users_platform.callers import DEADLINE_S
from tests.users_platform.deployment import (
    PEER_IPS,
    PLAIN_SERVICE,
    STANDINS,
    configuration,
    route,
    wait_for,
)

N_GATEWAYS = 7
GATEWAYS = tuple(f"gateway-celje-{n}" for n in range(N_GATEWAYS))
# 2 Mbit/s. The users' links of 10 Mbit/s are shared by larger domains.
LINK_BYTES_PER_S = 250_000
CALM_S = 3.0
APPLY_BOUND_S = 3.0
# Number of additional routes of each configuration and time until the next one, in
# seconds; the last two change one route.
CHANGES = ((1720, APPLY_BOUND_S), (3440, APPLY_BOUND_S), (3440, 1.5), (3440, 3.0))
SETTLE_S = 2.5
LEAD_S = 1.0
TIMEOUT_S = 30.0
LINKS_MODULE = "tests.users_platform.standins.links"
SEED = 33
MAX_SHOWN = 5
SHOWN_WAIT_S = 0.3


class LinkedFleet:
    """Gateways of one domain, each behind a link of its own.

    :param deployment: runs the processes.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.ports = {name: free_port() for name in GATEWAYS}
        self.routes = []

    def start(self):
        self.deployment.publish_configuration(3)
        self.deployment.add_engine("celje-plain", PLAIN_SERVICE, "celje")
        peers = {
            name: f"{ip}:{self.deployment.peer_port}"
            for name, ip in zip(GATEWAYS, PEER_IPS, strict=False)
        }
        for name in GATEWAYS:
            links = {}
            for other, address in peers.items():
                port = free_port()
                links[address] = f"127.0.0.1:{port}"
                self.add_route(port, address, requests=name, responses=other)
            self.deployment.add_gateway(
                name,
                "celje",
                has_peers=True,
                launcher=("-m", f"{STANDINS}.linked_gateway"),
                environment={"PEER_LINKS": json.dumps(links)},
                waits=False,
            )
            address = f"127.0.0.1:{self.deployment.ports[name]}"
            self.add_route(self.ports[name], address, responses=name)
        rates = dict.fromkeys(GATEWAYS, LINK_BYTES_PER_S)
        plan = self.deployment.folder / "links.json"
        plan.write_text(json.dumps({"rates": rates, "routes": self.routes}))
        self.deployment.start("links", "-m", LINKS_MODULE, plan)
        for name in GATEWAYS:
            self.deployment.wait_listening(name)
        wait_for(lambda: all(map(self.deployment.is_ready, GATEWAYS)))
        # Meanwhile the gateways come to know each other.
        self.start_callers(SETTLE_S).communicate(timeout=TIMEOUT_S)

    def add_route(self, port, upstream, **vms):
        self.routes.append({"listen": port, "upstream": upstream, **vms})

    def start_callers(self, length_s):
        command = [sys.executable, "-m", "tests.users_platform.callers", str(length_s)]
        command += map(str, self.ports.values())
        return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)

    def finish_callers(self, callers):
        """Return all requests, and those that the fleet answered late.

        The time that a process on the way of a request had no processor is not the
        fleet's; the time that a gateway was busy is.
        """
        printed = json.loads(callers.communicate(timeout=TIMEOUT_S)[0])
        rows = printed["requests"]
        names = {port: name for name, port in self.ports.items()}
        for row in rows:
            row["gateway"] = names[row.pop("port")]
        assert {row["gateway"] for row in rows} == set(GATEWAYS)
        delays = {name: self.gateway_delays(name) for name in GATEWAYS}
        shared = list(map(tuple, printed["delays"]))
        shared += self.standin_delays("links") + self.standin_delays("celje-plain")
        for row in rows:
            end_s = row["sent_s"] + row["duration_s"]
            starved = merge_delays(shared + delays[row["gateway"]])
            row["starved_s"] = sum(
                max(min(end, end_s) - max(begin, row["sent_s"]), 0.0)
                for begin, end in starved
            )
        late = [
            row
            for row in rows
            if row["status"] is None
            or row["duration_s"] - row["starved_s"] > DEADLINE_S
        ]
        return rows, late

    def standin_delays(self, name):
        """Return the end and the length of each delay of a stand-in, in seconds."""
        rows = self.deployment.log_lines(name)
        return [(row["time_s"], row["delay_s"]) for row in rows if "delay_s" in row]

    def gateway_delays(self, name):
        """Return the end and length of each time without a processor, in seconds."""
        rows = self.deployment.decisions(name, "loop.delayed")
        starved_ms = [row["delay_ms"] - row["busy_ms"] for row in rows]
        return [
            (row["time_s"], max(ms, 0) / 1000)
            for row, ms in zip(rows, starved_ms, strict=True)
        ]

    def in_force_s(self, version):
        """Return when all gateways had this version or a newer one, if they did."""
        first_s = []
        for name in GATEWAYS:
            rows = self.deployment.decisions(name, "configuration.in_force")
            times_s = [row["time_s"] for row in rows if row["version"] >= version]
            if not times_s:
                return None
            first_s.append(min(times_s))
        return max(first_s)


def merge_delays(delays):
    """Return disjoint intervals that cover delays, of which each has end and length."""
    merged = []
    for begin, end in sorted((end - length, end) for end, length in delays):
        if merged and begin <= merged[-1][1]:
            merged[-1][1] = max(merged[-1][1], end)
        else:
            merged.append([begin, end])
    return merged


@pytest.fixture(scope="module")
def fleet(bare_module_deployment):
    fleet = LinkedFleet(bare_module_deployment)
    fleet.start()
    return fleet


def build_routes(n_more, change):
    """Return the routes of a configuration, one of them with the timeout ``change``."""
    names = random.Random(SEED)
    base = configuration(0)["routes"]
    return base + [
        route(
            f"r{n}",
            f"/{names.getrandbits(52):013x}/",
            "idempotent",
            PLAIN_SERVICE,
            timeout_ms=change if n == 0 else 8000,
        )
        for n in range(n_more)
    ]


def describe(fleet, rows, late, published):
    """Return what was late and what the gateways sent each other, as lines."""
    start_s = published[0][1]
    lines = [
        f"{len(late)} of {len(rows)} requests had no complete answer within "
        f"{DEADLINE_S} s with a processor; times in seconds after the first "
        "configuration"
    ]
    ended = {
        row["request"]: row["elapsed_ms"] / 1000
        for name in GATEWAYS
        for row in fleet.deployment.decisions(name, "request.ended")
    }
    n_ended = sum(ended.get(row["id"], DEADLINE_S) < DEADLINE_S for row in late)
    lines.append(f"{n_ended} of them had request.ended within {DEADLINE_S} s")
    for version, published_s, n_bytes in published:
        in_force_s = fleet.in_force_s(version)
        until = None if in_force_s is None else round(in_force_s - published_s, 2)
        lines.append(
            f"{published_s - start_s:.2f} version {version}, {n_bytes} bytes "
            f"compressed, in force everywhere after {until} s"
        )
    for name in GATEWAYS:
        sent_s = sorted(r["sent_s"] - start_s for r in late if r["gateway"] == name)
        if sent_s:
            lines.append(
                f"{name}: {len(sent_s)} late, sent between {sent_s[0]:.2f} and "
                f"{sent_s[-1]:.2f}"
            )
    delays = fleet.deployment.decisions("links", "links.delayed")
    seconds = [(round(row["time_s"] - start_s, 2), row["delay_s"]) for row in delays]
    n_slow = sum(row["duration_s"] > DEADLINE_S for row in rows)
    longest_s = max(row["starved_s"] for row in rows)
    lines.append(
        f"{n_slow} requests took longer than {DEADLINE_S} s; longest time without a "
        f"processor during one {longest_s:.2f} s"
    )
    uses = fleet.deployment.decisions("links", "link.used")
    wait_s = max(row["longest_wait_s"] for row in uses if row["time_s"] > start_s)
    lines.append(f"longest wait at a link {wait_s} s")
    lines.append(f"stand-in for links late: {[s for s in seconds if s[0] > 0]}")
    not_told = defaultdict(list)
    for name in GATEWAYS:
        for row in fleet.deployment.decisions(name, "peer.not_told"):
            second = int(row["time_s"] - start_s)
            not_told[second, name, row["feed"]].append(row["n_bytes"])
    for (second, name, feed), sizes in sorted(not_told.items()):
        if second >= 0:
            lines.append(
                f"second {second}: {name} peer.not_told {feed}, {len(sizes)} peers, "
                f"{sum(sizes)} bytes"
            )
    for row in uses:
        end_s = row["time_s"] - start_s
        if end_s > 0 and row["longest_wait_s"] > SHOWN_WAIT_S:
            lines.append(
                f"second until {end_s:.2f}: {row['link']} queued {row['n_bytes']} "
                f"bytes, longest wait {row['longest_wait_s']} s"
            )
    return "\n".join(lines)


def test_callers_behind_links_get_answers_while_nothing_changes(fleet):
    rows, late = fleet.finish_callers(fleet.start_callers(CALM_S))
    assert not late, (len(late), len(rows), late[:MAX_SHOWN])
    assert {row["status"] for row in rows} == {200}


@pytest.fixture(scope="module")
def changes(fleet):
    """Publish the configurations beside callers; return what happened."""
    callers = fleet.start_callers(LEAD_S + sum(length_s for _, length_s in CHANGES))
    published = []
    time.sleep(LEAD_S)
    for n, (n_more, length_s) in enumerate(CHANGES):
        version, routes = 10 + n, build_routes(n_more, 8000 + n)
        document = json.dumps(configuration(version, routes=routes)).encode()
        published.append((version, time.time(), len(zlib.compress(document))))
        fleet.deployment.publish_configuration(version, routes=routes)
        time.sleep(max(published[-1][1] + length_s - time.time(), 0))
    rows, late = fleet.finish_callers(callers)
    text = describe(fleet, rows, late, published)
    print(text)
    return SimpleNamespace(late=late, published=published, text=text)


def test_answers_do_not_wait_behind_a_configuration_that_daemons_send_each_other(
    changes,
):
    assert not changes.late, changes.text


def test_no_link_is_full_until_the_deadline_of_a_caller(fleet, changes):
    rows = fleet.deployment.decisions("links", "link.used")
    start_s = changes.published[0][1]
    waits_s = [row["longest_wait_s"] for row in rows if row["time_s"] > start_s]
    # Unlike the time of an answer, this does not depend on the load of the machine.
    assert max(waits_s) < DEADLINE_S, changes.text


def test_large_configurations_are_in_force_in_time_behind_links(fleet, changes):
    for version, published_s, _ in changes.published:
        in_force_s = fleet.in_force_s(version)
        assert in_force_s is not None, changes.text
        assert in_force_s - published_s < APPLY_BOUND_S, changes.text
