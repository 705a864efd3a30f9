"""End-to-end requests through real processes, without faults."""

import json

import pytest
import uuid6
from uuid6 import uuid7

from tests.fleet import Fleet, bearer, request, wait_for
from tests.standins.engine import expected_token

CALLER = bearer("osorno-token")
N_TOKENS = 6


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.publish_base_configuration()
        fleet.start_engine("e1", "cautin", 0, 4)
        fleet.start_engine("e2", "cautin", 4, 8)
        fleet.start_service("booking-1", "cautin")
        daemon = fleet.start_daemon("d1", "cautin")
        fleet.wait_ready(daemon)
        wait_for(lambda: complete(fleet)[0] == 200)
        wait_for(lambda: book(fleet, "GET")[0] == 200)
        yield fleet


def complete(fleet, **body):
    body = {"model": "draft", "prompt": "loin", "max_tokens": N_TOKENS} | body
    address = fleet.processes["d1"].address
    return request("POST", address, "/v1/completions", body, CALLER)


def book(fleet, method="POST", **headers):
    address = fleet.processes["d1"].address
    path = "/v1/services/booking/slots"
    return request(method, address, path, b"{}", CALLER | headers)


def expected_answer(prompt):
    return "".join(expected_token(prompt, i) for i in range(N_TOKENS))


def test_completion_is_complete(fleet):
    status, _, body = complete(fleet)
    assert status == 200
    assert json.loads(body)["choices"][0]["text"] == expected_answer("loin")


def test_stream_ends_with_terminator(fleet):
    status, _, body = complete(fleet, stream=True)
    events = body.decode().strip().split("\n\n")
    assert status == 200
    assert events[-1] == "data: [DONE]"
    assert [e.split("\n")[0] for e in events[:-1]] == [
        f"id: {i}" for i in range(N_TOKENS + 1)
    ]


def test_each_layer_runs_once_in_order(fleet):
    complete(fleet, prompt="rack")
    steps = fleet.history("e1") + fleet.history("e2")
    runs = {}
    for step in steps:
        key = step["request"], step["position"]
        runs.setdefault(key, []).append((step["begin"], step["end"]))
    assert runs
    assert all(ranges == [(0, 4), (4, 8)] for ranges in runs.values())


def test_booking_is_confirmed(fleet):
    key = str(uuid6.uuid7())
    status, _, body = book(fleet, **{"Idempotency-Key": key})
    assert status == 200
    assert json.loads(body)["key"] == key


REFUSALS = [
    pytest.param({"path": "/v1/other"}, 404, "unknown-path", id="path"),
    pytest.param({"body": b"{"}, 400, "bad-json", id="json"),
    pytest.param({"body": b"\xff"}, 400, "bad-json", id="utf8"),
    pytest.param({"body": b"{}"}, 400, "bad-body", id="body"),
    pytest.param(
        {"body": b'{"model":"x","prompt":""}'}, 404, "unknown-model", id="model"
    ),
    pytest.param(
        {"body": b'{"model":"draft","prompt":"","max_tokens":99999}'},
        400,
        "too-many-tokens",
        id="max-tokens",
    ),
    pytest.param({"path": "/v1/services/x/y"}, 404, "unknown-service", id="service"),
    pytest.param(
        {"path": "/v1/services/booking/y"},
        400,
        "missing-idempotency-key",
        id="no-key",
    ),
    pytest.param(
        {"path": "/v1/services/booking/y", "headers": {"Idempotency-Key": "a b"}},
        400,
        "bad-idempotency-key",
        id="bad-key",
    ),
    pytest.param(
        {"headers": {"Authorization": ""}}, 401, "missing-token", id="no-token"
    ),
    pytest.param({"headers": bearer("other")}, 401, "unknown-token", id="wrong-token"),
    pytest.param({"body": b"x" * 2_000_000}, 413, "body-too-large", id="large-body"),
    pytest.param(
        {"headers": {"X-Large": "x" * 40_000}},
        431,
        "headers-too-large",
        id="large-headers",
    ),
    pytest.param(
        {"headers": {"X-Request-Timeout": "-1"}},
        400,
        "deadline-passed",
        id="past-deadline",
    ),
    pytest.param(
        {"headers": {"X-Request-Timeout": "soon"}}, 400, "bad-timeout", id="timeout"
    ),
    pytest.param(
        {"headers": {"Last-Event-ID": "x"}}, 400, "bad-event-id", id="event-id"
    ),
]


@pytest.mark.parametrize(("call", "status", "code"), REFUSALS)
def test_refusal_has_status_and_problem_type(fleet, call, status, code):
    path = call.get("path", "/v1/completions")
    body = call.get("body", b'{"model":"draft","prompt":"x"}')
    headers = CALLER | call.get("headers", {})
    address = fleet.processes["d1"].address
    got, answer_headers, answer = request("POST", address, path, body, headers)
    problem = json.loads(answer)
    assert (got, problem["type"]) == (status, f"urn:cassiaspread:problem:{code}")
    assert answer_headers["Content-Type"] == "application/problem+json"
    assert problem["outcome"] == "not-run"


def test_refused_continuation_has_unknown_outcome(fleet):
    headers = CALLER | {"Last-Event-ID": "3", "X-Request-Timeout": "-1"}
    address = fleet.processes["d1"].address
    body = {"model": "draft", "prompt": "x", "stream": True}
    status, _, answer = request("POST", address, "/v1/completions", body, headers)
    assert (status, json.loads(answer)["outcome"]) == (400, "unknown")


@pytest.mark.parametrize("path", ["/healthz", "/readyz", "/metrics"])
def test_operations_endpoints_respond(fleet, path):
    assert request("GET", fleet.processes["d1"].address, path)[0] == 200


@pytest.mark.parametrize("path", ["/v1/completions", "/v1/services/booking/slots"])
def test_answers_to_the_same_key_have_the_same_request_id(fleet, path):
    address = fleet.processes["d1"].address
    body = {"model": "draft", "prompt": "rib", "max_tokens": 1}
    key = {"Idempotency-Key": str(uuid7())}
    request_ids = [
        request("POST", address, path, body, CALLER | headers)[1]["X-Request-Id"]
        for headers in (key, key, {})
    ]
    assert request_ids[0] == request_ids[1] != request_ids[2]
    events = wait_for(lambda: fleet.events(request_ids[0]))
    assert {event.request for event in events} == {request_ids[0]}


def test_events_need_an_operator(fleet):
    address = fleet.processes["d1"].address
    assert request("GET", address, "/operators/events", headers=CALLER)[0] == 403
    operator = bearer("operator-token")
    status, _, body = request("GET", address, "/operators/events", headers=operator)
    assert status == 200
    assert b"token" not in body
