"""Calls to the store do not grow with the number of daemons."""

import re
import signal
import time

import pytest

from tests.users_platform.deployment import MODEL_SERVICE, wait_for

GATEWAYS = tuple(
    f"gateway-{zone}-{n}" for zone in ("celje", "velenje") for n in range(3)
)
# Calls a second on a calm day, with two domains: the configuration once a second, the
# list of engines every 0.8 s, and renewals of the duty by four candidates and by a
# holder that is none of them.
CALLS_PER_S = 1.0 + 1 / 0.8 + 5.0
# Long polls of the suspects that begin, and calls at the ends of the measured time.
N_OTHER_CALLS = 8
MEASURED_S = 6.0
APPLY_BOUND_S = 2.0
# A membership ends after 1.5 s here; candidates renew theirs once a second.
TAKEOVER_BOUND_S = 1.5 + 1.1
# Without any candidate the others apply after six seconds without a sign of a holder,
# which gossip delays by up to two rounds.
REPLACED_BOUND_S = 6.0 + 2.0 + 1.1
START_S = 0.5


@pytest.fixture
def fleet(bare_deployment):
    """Six gateways in two domains; all seed addresses are in the first one."""
    bare_deployment.publish_configuration(3)
    for zone in ("celje", "velenje"):
        bare_deployment.add_engine(f"{zone}-large", MODEL_SERVICE, zone, "large")
    for name in GATEWAYS:
        zone = name.split("-")[1]
        bare_deployment.add_gateway(name, zone, metrics=True, has_peers=True)
    wait_for(lambda: all(map(bare_deployment.is_ready, GATEWAYS)))
    wait_for(lambda: find_holder(bare_deployment))
    time.sleep(4.0)
    return bare_deployment


def calls(deployment, name):
    port = deployment.ports[f"{name}/metrics"]
    text = deployment.call(port, "GET", "/metrics").body.decode()
    rows = re.findall(r'store_calls_total\{.*kind="([^"]*)".*\} (\S+)', text)
    return {kind: float(count) for kind, count in rows}


def find_holder(deployment):
    changes = [
        (row["time_s"], name, row["is_holder"])
        for name in GATEWAYS
        for row in deployment.decisions(name, "duty.changed")
    ]
    holders = [name for _, name, is_holder in sorted(changes) if is_holder]
    return holders[-1] if holders else None


def difference(before, after):
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}


def calls_of_each(deployment, for_s):
    before = {name: calls(deployment, name) for name in GATEWAYS}
    time.sleep(for_s)
    return {
        name: difference(before[name], calls(deployment, name)) for name in GATEWAYS
    }


def test_few_daemons_of_a_fleet_call_the_store(fleet):
    made = calls_of_each(fleet, MEASURED_S)
    n_calls = sum(sum(kinds.values()) for kinds in made.values())
    assert n_calls <= MEASURED_S * CALLS_PER_S + N_OTHER_CALLS, made
    for kind in ("/-/log-read keyed.op", "/-/log-read keyed.servers"):
        assert sum(kinds.get(kind, 0) > 1 for kinds in made.values()) == 1, made


def find_reader(deployment, kind):
    made = calls_of_each(deployment, 2.5)
    return max(GATEWAYS, key=lambda name: made[name].get(kind, 0))


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_configuration_comes_into_force_without_its_reader(fleet, number):
    reader = find_reader(fleet, "/-/log-read keyed.op")
    fleet.kill(reader, number)
    published_s = time.time()
    fleet.publish_configuration(9)
    others = set(GATEWAYS) - {reader}

    def has_version(name):
        rows = fleet.decisions(name, "configuration.in_force")
        return any(row["version"] == 9 for row in rows)

    wait_for(lambda: all(map(has_version, others)))
    for name in others:
        [row] = [
            row
            for row in fleet.decisions(name, "configuration.in_force")
            if row["version"] == 9
        ]
        assert row["time_s"] - published_s < APPLY_BOUND_S


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_duty_passes_to_another_candidate(fleet, number):
    holder = find_holder(fleet)
    fleet.kill(holder, number)
    wait_for(lambda: find_holder(fleet) != holder, TAKEOVER_BOUND_S)


def find_candidates(deployment):
    """Return the four daemons that apply, and the holder, once no others do.

    A holder of before keeps the duty although it is none of the four.
    """
    made = calls_of_each(deployment, 2.5)
    names = {name for name in GATEWAYS if made[name].get("/-/log-join", 0) > 0}
    holder = find_holder(deployment)
    is_settled = holder in names and len(names) in (4, 5)
    return names if is_settled else None


def test_duty_is_taken_over_when_all_candidates_are_lost(fleet):
    candidates = wait_for(lambda: find_candidates(fleet))
    for name in candidates:
        fleet.kill(name)
    wait_for(lambda: find_holder(fleet) not in candidates, REPLACED_BOUND_S)
