"""Engines that say in their answers that they leave, or want a pause."""

import signal
import time

import pytest

from tests.users_platform.deployment import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    wait_for,
)

GATEWAYS = ("gateway-celje", "gateway-velenje")
PAUSE_S = 3.0
# Requests that are on their way when an engine asks for a pause.
SLACK_S = 0.5
GOSSIP_S = 1.5


@pytest.fixture
def fleet(bare_deployment):
    """Two gateways that communicate, with two plain targets and two engines."""
    bare_deployment.publish_configuration(3)
    for zone in ("celje", "velenje"):
        bare_deployment.add_engine(f"{zone}-large", MODEL_SERVICE, zone, "large")
        bare_deployment.add_engine(f"{zone}-plain", PLAIN_SERVICE, zone)
    for name in GATEWAYS:
        zone = name.split("-")[1]
        bare_deployment.add_gateway(name, zone, has_peers=True)
    for name in GATEWAYS:
        wait_for(
            lambda name=name: bare_deployment.request_stream(name, 1).status == 200,
            30.0,
        )
        wait_for(lambda name=name: call(bare_deployment, name).status == 200)
        # A test may stop the store, from which gateways learn the layers of engines.
        wait_for(lambda name=name: len(bare_deployment.layered_engines(name)) == 2)
    return bare_deployment


def call(deployment, gateway):
    return deployment.request(gateway, "/stock/1", "GET", b"")


SENDERS = {
    "plain": call,
    "large": lambda deployment, gateway: deployment.request_stream(gateway, 2),
}


def engine_in_use(deployment, kind, gateway):
    """Return the engine that runs the requests of a gateway; others are its equals."""
    assert SENDERS[kind](deployment, gateway).status == 200
    return deployment.history("run")[-1]["engine"]


def reached(deployment, engine, since_s, until_s=float("inf")):
    """Return the requests that reached an engine from gateways."""
    return [
        row
        for kind in ("run", "refusal", "report")
        for row in deployment.history(kind)
        if row["engine"] == engine and since_s < row["at_s"] < until_s
    ]


@pytest.mark.parametrize("is_store_reached", [True, False])
@pytest.mark.parametrize("kind", SENDERS)
def test_engine_that_says_it_leaves_gets_no_more_work(fleet, kind, is_store_reached):
    gateway = GATEWAYS[0]
    leaving = engine_in_use(fleet, kind, gateway)
    if not is_store_reached:
        fleet.kill("store", signal.SIGSTOP)
    fleet.control(leaving, leaving=True)

    def knows():
        SENDERS[kind](fleet, gateway)
        rows = fleet.decisions(gateway, "engine.leaving")
        return any(row["target"] == leaving for row in rows)

    # The list of engines goes on to say that it is ready.
    wait_for(knows)
    known_s = time.time()
    time.sleep(GOSSIP_S)
    told_s = time.time()
    for _ in range(10):
        for name in GATEWAYS:
            assert SENDERS[kind](fleet, name).status == 200
    runs = [row for row in fleet.history("run") if row["engine"] == leaving]
    assert not [row for row in runs if row["at_s"] > told_s]
    assert len([row for row in runs if row["at_s"] > known_s]) <= 1


@pytest.mark.parametrize("kind", SENDERS)
def test_engine_that_wants_a_pause_gets_no_request_until_its_end(fleet, kind):
    gateway = GATEWAYS[0]
    busy = engine_in_use(fleet, kind, gateway)
    fleet.control(busy, full=True, retry_after=str(PAUSE_S))

    def is_refused():
        SENDERS[kind](fleet, gateway)
        return fleet.decisions(gateway, "engine.closed")

    [closed] = wait_for(is_refused)
    assert closed["for_ms"] == PAUSE_S * 1000
    closed_s = closed["time_s"]
    fleet.control(busy, full=False, retry_after=None)
    while time.time() < closed_s + PAUSE_S - SLACK_S:
        assert SENDERS[kind](fleet, gateway).status == 200
        time.sleep(0.05)
    end_s = closed_s + PAUSE_S
    assert not reached(fleet, busy, closed_s + SLACK_S, end_s - 0.01)

    def is_used():
        SENDERS[kind](fleet, gateway)
        return reached(fleet, busy, end_s)

    wait_for(is_used)


@pytest.mark.parametrize("kind", SENDERS)
def test_caller_is_told_when_engines_that_all_want_a_pause_are_back(fleet, kind):
    engines = [f"{zone}-{kind}" for zone in ("celje", "velenje")]
    for name in engines:
        fleet.control(name, full=True, retry_after=str(PAUSE_S))
    answer = wait_for(
        lambda: next(
            (
                answer
                for answer in [SENDERS[kind](fleet, GATEWAYS[0])]
                if float(answer.headers.get("Retry-After", 0)) > 1.0
            ),
            None,
        )
    )
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) <= 1.5 * PAUSE_S
    for name in engines:
        assert len(reached(fleet, name, 0.0)) >= 1
        fleet.control(name, full=False, retry_after=None)
    wait_for(lambda: SENDERS[kind](fleet, GATEWAYS[0]).status == 200)


def test_restarted_engine_is_asked_at_once(fleet):
    fleet.control("celje-plain", full=True, retry_after="60")

    def is_refused():
        call(fleet, GATEWAYS[0])
        return fleet.decisions(GATEWAYS[0], "engine.closed")

    wait_for(is_refused)
    fleet.kill("celje-plain")
    fleet.processes["celje-plain"].wait()
    fleet.restart("celje-plain")
    restarted_s = time.time()

    def is_used():
        call(fleet, GATEWAYS[0])
        return reached(fleet, "celje-plain", restarted_s)

    wait_for(is_used)
