"""Sound answers of all forms that must reach their callers, over kept connections."""

import http.client
import json

import pytest

from tests.users_platform.deployment import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    wait_for,
)

GATEWAY = "gateway"
PLAIN_ENGINE = "plain"
HEAD = "head"
N_REQUESTS = 3


@pytest.fixture(scope="module")
def small_deployment(bare_module_deployment):
    """One gateway, one plain engine and one engine that serves streams alone."""
    deployment = bare_module_deployment
    deployment.publish_configuration(3)
    deployment.add_engine(PLAIN_ENGINE, PLAIN_SERVICE, "celje")
    deployment.add_engine(HEAD, MODEL_SERVICE, "celje", "large")
    deployment.add_gateway(GATEWAY, "celje")
    wait_for(lambda: deployment.is_ready(GATEWAY))
    wait_for(lambda: deployment.request(GATEWAY, "/stock/1", "GET").status == 200)
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200)
    return deployment


@pytest.fixture
def controlled(small_deployment):
    """Set fields of both engines for one test."""
    changed = {}

    def control(**fields):
        changed.update(fields)
        for name in (PLAIN_ENGINE, HEAD):
            small_deployment.control(name, **fields)
        return small_deployment

    yield control
    control(**{name: None if name == "status" else False for name in changed})


def request_without_id(deployment, path, **headers):
    fields = {"Host": HOST, "Authorization": f"Bearer {KEY}", "Deadline-Ms": "3000"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    return deployment.call(deployment.ports[GATEWAY], "POST", path, b"order", fields)


@pytest.mark.parametrize("status", [201, 204, 404, 409])
def test_answer_without_a_body_is_passed_on(controlled, status):
    deployment = controlled(status=status)
    for _ in range(N_REQUESTS):
        answer = deployment.request(GATEWAY, "/stock/1", "GET")
        assert (answer.status, answer.body) == (status, b"")
        assert answer.headers["Response-Seal"] == f"seal-{PLAIN_ENGINE}"


def test_answers_to_head_have_no_body_and_keep_their_connection(small_deployment):
    deployment = small_deployment
    connection = http.client.HTTPConnection(
        "127.0.0.1", deployment.ports[GATEWAY], timeout=5.0
    )
    for n, method in enumerate(("HEAD", "GET", "HEAD", "GET")):
        fields = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Attempt-Id": f"head-{n}",
            "Deadline-Ms": "3000",
        }
        connection.request(method, "/stock/head", headers=fields)
        answer = connection.getresponse()
        body = answer.read()
        assert answer.status == 200
        assert answer.headers["Attempt-Id"] == f"head-{n}"
        if method == "GET":
            assert json.loads(body)["path"] == "/stock/head"
    connection.close()
    rows = wait_for(
        lambda: [
            row
            for row in deployment.decisions(GATEWAY, "attempt.ended")
            if row["request"] == "head-3"
        ]
    )
    assert rows[0]["is_kept"]


@pytest.mark.parametrize("path", ["/stock/1", "/book/1"])
def test_answer_that_ends_with_its_connection_is_passed_on(controlled, path):
    deployment = controlled(unframed=True)
    for _ in range(N_REQUESTS):
        answer = deployment.request(GATEWAY, path)
        assert answer.status == 200
        assert json.loads(answer.body) == {"by": PLAIN_ENGINE, "path": path}


@pytest.mark.parametrize("path", ["/stock/1", "/book/1"])
def test_refusal_that_names_its_request_is_a_promise(controlled, path):
    deployment = controlled(full=True)
    n_before = len(deployment.history("run"))
    for _ in range(N_REQUESTS):
        answer = deployment.request(GATEWAY, path)
        assert answer.status == 503
        assert json.loads(answer.body)["outcome"] == "not-run"
    assert len(deployment.history("run")) == n_before


def test_refused_stream_is_a_promise(controlled):
    deployment = controlled(full=True)
    n_before = len(deployment.history("run"))
    answer = deployment.request_stream(GATEWAY, 3, Deadline_Ms="2000")
    assert answer.status == 503
    assert json.loads(answer.body)["outcome"] == "not-run"
    assert len(deployment.history("run")) == n_before


def test_request_without_id_is_answered(small_deployment):
    for path in ("/stock/no-id", "/book/no-id"):
        answer = request_without_id(small_deployment, path)
        assert answer.status == 200
        assert json.loads(answer.body) == {"by": PLAIN_ENGINE, "path": path}
    answer = request_without_id(
        small_deployment, "/draft/x", Token_Count="100,12", Model="m"
    )
    assert answer.event_ids == [1, 2, 3]


@pytest.mark.parametrize("path", ["/stock/no-id", "/book/no-id", "/draft/x"])
def test_refusal_of_a_request_without_id_reaches_its_caller_at_once(controlled, path):
    deployment = controlled(needs_id=True)
    n_before = len(deployment.history("refusal"))
    for _ in range(N_REQUESTS):
        answer = request_without_id(
            deployment, path, Token_Count="100,12", Model="m", Deadline_Ms="2000"
        )
        assert answer.status == 400
    assert len(deployment.history("refusal")) == n_before + N_REQUESTS
    # The engines are not at fault, and none of them is avoided.
    assert deployment.request(GATEWAY, "/stock/1", "GET").status == 200
    assert deployment.request_stream(GATEWAY, 2).status == 200
