"""Membership of real daemons that join, crash, freeze, are replaced or cut off."""

import signal
import time
from collections import defaultdict

import pytest

from tests.fleet import Fleet, bearer, free_port, read_report, request, wait_for

OPERATOR = bearer("operator-token")
CALLER = bearer("osorno-token")

# Twice the guaranteed 3 s, which allows for a busy machine.
BOUND_S = 6.0
N_DAEMONS = 9

# Twice the 5 s within which a daemon detects that its requests to a peer fail, while it
# still receives requests from that peer.
ONE_WAY_DETECTION_BOUND_S = 10.0


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.publish_base_configuration()
        yield fleet


def states(daemon):
    """Return the member state of the latest incarnation of each VM's daemon.

    VMs without a record count as lost: a daemon that joins after the loss of another
    has no record of it.
    """
    members = sorted(read_report(daemon, "members"), key=lambda m: m["incarnation"])
    return defaultdict(lambda: "lost", {m["vm"]: m["state"] for m in members})


def usable_targets(daemon):
    return {t["target"] for t in read_report(daemon, "observations") if t["is_usable"]}


def pollers(daemon, target):
    found = [t for t in read_report(daemon, "observations") if t["target"] == target]
    return set(found[0]["pollers"])


def wait_states(daemons, expected, timeout_s=BOUND_S):
    for daemon in daemons:
        others = {vm: s for vm, s in expected.items() if vm != daemon.name}
        wait_for(lambda d=daemon, o=others: has_states(d, o), timeout_s)


def has_states(daemon, expected):
    found = states(daemon)
    return all(found[vm] == state for vm, state in expected.items())


def start_routed(fleet, name, domain, **flags):
    """Start a daemon that its peers reach through a proxy."""
    peer_listen = f"127.0.0.1:{free_port()}"
    route = fleet.start_proxy(name, peer_listen)
    flags |= {"peer_listen": peer_listen, "advertise": route.address}
    daemon = fleet.start_daemon(name, domain, **flags)
    fleet.list_vm(name, "daemon", name, route.address, domain)
    return daemon, route


def test_domain_of_nine_agrees_after_each_fault(fleet):
    """The VM list is unavailable; the first daemon is the only seed."""
    seed = f"127.0.0.1:{free_port()}"
    fleet.vm_list.control(available=False)
    daemons = [fleet.start_daemon("d0", "celje", peer_listen=seed)]
    flags = {"seeds": seed}
    daemons += [
        fleet.start_daemon(f"d{i}", "celje", **flags) for i in range(1, N_DAEMONS)
    ]
    alive = {daemon.name: "alive" for daemon in daemons}
    wait_states(daemons, alive, timeout_s=20.0)

    daemons[1].kill()
    daemons[2].signal(signal.SIGSTOP)
    wait_states(daemons[3:], alive | {"d1": "lost", "d2": "lost"})
    daemons[2].signal(signal.SIGCONT)
    wait_states(daemons[2:], alive | {"d1": "lost"})

    address = next(a for a in daemons[1].argv if a.startswith("--peer-listen"))
    flags["peer_listen"] = address.partition("=")[2]
    successor = fleet.start_daemon("other-vm", "celje", **flags)
    wait_states([*daemons[2:], successor], alive | {"d1": "lost", "other-vm": "alive"})


def test_daemon_that_a_peer_cannot_reach_is_suspect_until_it_can(fleet):
    daemon, route = start_routed(fleet, "d1", "celje")
    observer = fleet.start_daemon("d2", "celje")
    wait_states([daemon, observer], {"d1": "alive", "d2": "alive"}, 20.0)
    route.set("cut")
    wait_states([observer], {"d1": "suspect"}, ONE_WAY_DETECTION_BOUND_S)
    wait_states([daemon], {"d2": "alive"})
    route.set("pass")
    wait_states([observer], {"d1": "alive"})


def test_silent_connections_are_replaced(fleet):
    daemon, route = start_routed(fleet, "d1", "celje")
    observer = fleet.start_daemon("d2", "celje")
    wait_states([daemon, observer], {"d1": "alive", "d2": "alive"}, 20.0)
    route.set("silence-old")
    deadline_s = time.monotonic() + 4.0
    while time.monotonic() < deadline_s:
        assert states(observer)["d1"] == "alive"
        assert states(daemon)["d2"] == "alive"
        time.sleep(0.2)


def complete(daemon):
    body = {"model": "draft", "prompt": "loin", "max_tokens": 2}
    return request("POST", daemon.address, "/v1/completions", body, CALLER)[0]


def test_cut_domain_serves_its_targets_and_rejoins(fleet):
    domains = ["celje", "celje", "zalec", "zalec"]
    started = [start_routed(fleet, f"d{i}", d) for i, d in enumerate(domains)]
    daemons, routes = [d for d, _ in started], [r for _, r in started]
    engines = {"celje": "ea", "zalec": "eb"}
    for domain, name in engines.items():
        fleet.start_engine(name, domain, 0, 8)
    alive = {daemon.name: "alive" for daemon in daemons}
    wait_states(daemons, alive, 20.0)
    for daemon in daemons:
        wait_for(lambda d=daemon: usable_targets(d) == {"ea", "eb"})

    for route in routes:
        route.set("silence")
    fleet.vm_list.control(available=False)
    wait_states(daemons[:2], {"d2": "suspect", "d3": "suspect"}, 20.0)
    assert {complete(daemon) for daemon in daemons} == {200}
    assert "ea" in usable_targets(daemons[0])
    assert "eb" in usable_targets(daemons[2])
    for route in routes:
        route.set("pass")
    wait_states(daemons, alive, 12.0)
    for daemon in daemons:
        wait_for(lambda d=daemon: usable_targets(d) == {"ea", "eb"})


def test_other_daemons_poll_an_engine_whose_pollers_die(fleet):
    daemons = [fleet.start_daemon(f"d{i}", "celje") for i in range(4)]
    engine = fleet.start_engine("ea", "celje", 0, 8)
    for daemon in daemons:
        wait_for(lambda d=daemon: usable_targets(d) == {"ea"})
        wait_for(lambda d=daemon: list(states(d).values()) == ["alive"] * 3)
    wait_for(lambda: len({frozenset(pollers(d, "ea")) for d in daemons}) == 1)
    first = pollers(daemons[0], "ea")
    assert len(first) == 2
    rest = [daemon for daemon in daemons if daemon.name not in first]
    for name in first:
        fleet.processes[name].kill()
    for daemon in rest:
        names = {d.name for d in rest}
        wait_for(lambda d=daemon, n=names: pollers(d, "ea") == n, BOUND_S)
        assert usable_targets(daemon) == {"ea"}
    engine.kill()
    for daemon in rest:
        wait_for(lambda d=daemon: usable_targets(d) == set(), BOUND_S)
    engine.start()
    for daemon in rest:
        wait_for(lambda d=daemon: usable_targets(d) == {"ea"}, BOUND_S)


def test_daemon_without_the_vm_list_receives_targets_from_peers(fleet):
    fleet.start_engine("ea", "celje", 0, 8)
    seed = f"127.0.0.1:{free_port()}"
    first = fleet.start_daemon("d0", "celje", peer_listen=seed)
    wait_for(lambda: usable_targets(first) == {"ea"})
    fleet.vm_list.control(available=False)
    second = fleet.start_daemon("d1", "celje", seeds=seed)
    wait_for(lambda: usable_targets(second) == {"ea"})
    wait_for(lambda: complete(second) == 200)
