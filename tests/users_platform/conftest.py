"""Deployments on stand-ins for the users' platform."""

import pytest

from tests.users_platform.deployment import (
    DOMAINS,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Deployment,
    wait_for,
)


@pytest.fixture
def bare_deployment(tmp_path):
    """A deployment of the store alone."""
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.close()


@pytest.fixture
def deployment(bare_deployment):
    """Two domains, each with engines for the complete model and a plain target."""
    bare_deployment.publish_configuration(3)
    for zone in DOMAINS:
        bare_deployment.add_engine(f"{zone}-large", MODEL_SERVICE, zone, "large")
        bare_deployment.add_engine(f"{zone}-small", MODEL_SERVICE, zone, "small")
        bare_deployment.add_engine(f"{zone}-plain", PLAIN_SERVICE, zone)
    for zone in DOMAINS:
        bare_deployment.add_gateway(f"gateway-{zone}", zone)
    wait_for(
        lambda: all(bare_deployment.is_ready(f"gateway-{zone}") for zone in DOMAINS)
    )
    for zone in DOMAINS:
        wait_for(
            lambda name=f"gateway-{zone}": (
                bare_deployment.request_stream(name, 1).status == 200
            )
        )
    return bare_deployment
