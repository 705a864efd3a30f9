"""Requests with lost or late answers run again only where their route allows it."""

import itertools
import os
from typing import NamedTuple

import pytest

from tests.users_platform.deployment import (
    DOMAINS,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    route,
    wait_for,
)

KINDS = ("idempotent", "non_idempotent", "streaming")
SERVICES = (PLAIN_SERVICE, MODEL_SERVICE)
ENGINES = tuple(f"{z}-{kind}" for z in DOMAINS for kind in ("plain", "large", "small"))
GATEWAY = "gateway-celje"
DEADLINE_MS = "1500"
# Another target is asked after a third of the time left; a run ends later than that.
SLOW_RUN_S = 0.9
STREAM_HEADERS = {"Token_Count": "100,40", "Model": "m"}


class Case(NamedTuple):
    """Kind of a route, whether it is resumable, and its service."""

    kind: str
    is_resumable: bool
    service: str

    @property
    def prefix(self):
        return f"/{self.kind}-{self.is_resumable}-{self.service}/"

    @property
    def may_repeat(self):
        if self.kind == "streaming":
            return self.is_resumable
        return self.kind == "idempotent"


CASES = tuple(
    itertools.starmap(Case, itertools.product(KINDS, (False, True), SERVICES))
)


@pytest.fixture(scope="module")
def fleet(module_deployment):
    """Routes of all kinds, with and without ``resumable``, to both services."""
    deployment = module_deployment
    # Each domain has a plain target, so that a request may run twice in each service.
    routes = [
        route(
            case.prefix.strip("/"),
            case.prefix,
            case.kind,
            case.service,
            resumable=case.is_resumable,
            latency_slo_ms=200,
        )
        for case in CASES
    ]
    deployment.publish_configuration(4, routes=configuration(4)["routes"] + routes)
    wait_for(
        lambda: any(
            row["version"] == 4
            for row in deployment.decisions(GATEWAY, "configuration.in_force")
        )
    )
    return deployment


def set_engines(deployment, **values):
    for name in ENGINES:
        deployment.control(name, **values)


def count_runs(deployment, request_id):
    return sum(
        row["headers"]["Attempt-Id"] == request_id for row in deployment.history("run")
    )


def send(deployment, case, headers):
    request_id = os.urandom(8).hex()
    all_headers = {"Deadline_Ms": DEADLINE_MS, "Attempt_Id": request_id, **headers}
    answer = deployment.request(GATEWAY, f"{case.prefix}1", **all_headers)
    return request_id, answer


@pytest.mark.parametrize("headers", [{}, STREAM_HEADERS], ids=["plain", "stream"])
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.prefix.strip("/"))
def test_lost_answers_run_again_only_where_the_kind_allows_it(fleet, case, headers):
    # Guards against a non-idempotent route marked resumable that runs requests twice.
    # The first one leaves a connection that is kept.
    _, answer = send(fleet, case, STREAM_HEADERS)
    assert answer.status == 200
    set_engines(fleet, drop_response=True)
    try:
        request_id, answer = send(fleet, case, headers)
    finally:
        set_engines(fleet, drop_response=False)
    assert answer.status == 502
    assert count_runs(fleet, request_id) == (2 if case.may_repeat else 1)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.prefix.strip("/"))
def test_late_answers_run_again_only_where_the_kind_allows_it(fleet, case):
    # Guards against a second run beside one whose answer is late.
    set_engines(fleet, begin_s=SLOW_RUN_S)
    try:
        request_id, _ = send(fleet, case, STREAM_HEADERS)
    finally:
        set_engines(fleet, begin_s=0.0)
    n_runs = count_runs(fleet, request_id)
    assert 1 <= n_runs <= (2 if case.may_repeat else 1)
