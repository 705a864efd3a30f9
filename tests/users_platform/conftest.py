"""Deployments on the platform's stand-ins."""

import pytest

from tests.users_platform.deployment import (
    DOMAINS,
    MODEL,
    PLAIN,
    Deployment,
    wait_for,
)


@pytest.fixture
def bare(tmp_path):
    """A store and nothing else."""
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.close()


@pytest.fixture
def deployment(bare):
    """Two domains: each holds the model once or more, and a plain target."""
    bare.publish(3)
    for zone in DOMAINS:
        bare.add_engine(f"{zone}-large", MODEL, zone, "large")
        bare.add_engine(f"{zone}-small", MODEL, zone, "small")
        bare.add_engine(f"{zone}-plain", PLAIN, zone)
    for zone in DOMAINS:
        bare.add_gateway(f"gateway-{zone}", zone)
    wait_for(lambda: all(bare.is_ready(f"gateway-{zone}") for zone in DOMAINS))
    for zone in DOMAINS:
        wait_for(lambda name=f"gateway-{zone}": bare.stream(name, 1).status == 200)
    return bare
