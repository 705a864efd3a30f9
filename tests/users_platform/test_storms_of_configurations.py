"""Large configurations in quick succession, over a slow link to the store."""

import time

import pytest

from tests.users_platform.deployment import (
    DOMAINS,
    KEY,
    PLAIN_SERVICE,
    configuration,
    route,
    wait_for,
)

OTHER_KEY = "second-key-of-celje"
CONFIG_APPLY_S = 3.0
N_MORE_ROUTES = 1_000
LINK_BYTES_PER_S = 7e6 / 8
STORM_S, GAP_S = 2.0, 0.08
AFTER_S = 2.0
POLL_S = 0.05


@pytest.fixture
def fleet(bare_deployment):
    """Three gateways, two of which pass configurations on to each other."""
    bare_deployment.publish_configuration(1, **large(KEY, OTHER_KEY))
    for zone in DOMAINS:
        bare_deployment.add_engine(f"{zone}-plain", PLAIN_SERVICE, zone)
    names = [f"gateway-{n}" for n in range(3)]
    for n, name in enumerate(names):
        bare_deployment.add_gateway(
            name, DOMAINS[0], has_peers=n > 0, config_apply_ms=1000 * CONFIG_APPLY_S
        )
    wait_for(lambda: all(map(bare_deployment.is_ready, names)))
    for name in names:
        wait_for(lambda name=name: read_stock(bare_deployment, name, KEY) == 200)
    return names


def large(*keys):
    """Return a large configuration with some keys."""
    routes = configuration(0)["routes"] + [
        route(f"more-{n}", f"/more-{n}/", "idempotent", PLAIN_SERVICE)
        for n in range(N_MORE_ROUTES)
    ]
    return {"routes": routes, "tenants": [{"name": "shops", "api_keys": list(keys)}]}


def read_stock(deployment, name, key):
    authorization = f"Bearer {key}"
    return deployment.request(
        name, "/stock/1", "GET", Authorization=authorization
    ).status


def test_key_ends_in_time_behind_a_storm_and_the_others_are_served(
    bare_deployment, fleet
):
    # Guards against a cut page that counts as current: a key that had been taken
    # away worked until seconds later, or the other ones were refused meanwhile.
    bare_deployment.control("store", link_bytes_per_s=LINK_BYTES_PER_S)
    version, begin_s = 1, time.monotonic()
    kept, ended = [], []
    while time.monotonic() < begin_s + STORM_S:
        version += 1
        bare_deployment.publish_configuration(version, **large(KEY, OTHER_KEY))
        kept.append(read_stock(bare_deployment, fleet[version % 3], OTHER_KEY))
        time.sleep(GAP_S)
    bare_deployment.publish_configuration(version + 1, **large(OTHER_KEY))
    acked_s = time.monotonic()
    n = 0
    while time.monotonic() < acked_s + CONFIG_APPLY_S + AFTER_S:
        n += 1
        kept.append(read_stock(bare_deployment, fleet[n % 3], OTHER_KEY))
        sent_s = time.monotonic()
        status = read_stock(bare_deployment, fleet[n % 3], KEY)
        if sent_s > acked_s + CONFIG_APPLY_S:
            ended.append(status)
        time.sleep(POLL_S)
    assert set(kept) == {200}
    assert set(ended) == {401}
    # The pages were cut, so that there was something to get wrong.
    assert any(bare_deployment.decisions(name, "feed.cut") for name in fleet)
