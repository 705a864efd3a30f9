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


def start_domains(deployment):
    """Start two domains, each with engines for the model and a plain target."""
    deployment.publish_configuration(3)
    for zone in DOMAINS:
        deployment.add_engine(f"{zone}-large", MODEL_SERVICE, zone, "large")
        deployment.add_engine(f"{zone}-small", MODEL_SERVICE, zone, "small")
        deployment.add_engine(f"{zone}-plain", PLAIN_SERVICE, zone)
    for zone in DOMAINS:
        deployment.add_gateway(f"gateway-{zone}", zone)
    wait_for(lambda: all(deployment.is_ready(f"gateway-{zone}") for zone in DOMAINS))
    for zone in DOMAINS:
        wait_for(
            lambda name=f"gateway-{zone}": (
                deployment.request_stream(name, 1).status == 200
            )
        )
    return deployment


@pytest.fixture
def deployment(bare_deployment):
    """Two domains, for one test."""
    return start_domains(bare_deployment)


@pytest.fixture(scope="module")
def bare_module_deployment(tmp_path_factory):
    """A deployment of the store alone, for all tests of a module."""
    deployment = Deployment(tmp_path_factory.mktemp("deployment"))
    yield deployment
    deployment.close()


@pytest.fixture(scope="module")
def module_deployment(tmp_path_factory):
    """Two domains, for all tests of a module."""
    deployment = Deployment(tmp_path_factory.mktemp("deployment"))
    yield start_domains(deployment)
    deployment.close()
