"""Engines, services, the log, the VM list and daemons that answer twice."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from uuid6 import uuid7

from tests.fleet import Fleet, bearer, request, wait_for
from tests.standins.engine import expected_token

PROGRAM = str(Path(sys.executable).parent / "cassiaspread")
CALLER = bearer("osorno-token")
N_TOKENS = 6
N_LAYERS = 8
N_REQUESTS = 3
BODY = '{"confirmation": "second", "offset": 0, "records": []}'
SECOND_ANSWERS = {
    **{
        str(status): (
            f"HTTP/1.1 {status} Second\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n{BODY}"
        )
        for status in (200, 404, 409, 429, 500, 503)
    },
    "no length": f"HTTP/1.1 200 Second\r\n\r\n{BODY}",
    "short": f"HTTP/1.1 200 Second\r\nContent-Length: 999\r\n\r\n{BODY}",
    "headless": BODY,
}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.publish_base_configuration(N_LAYERS)
        fleet.start_engine("e1", "cautin", 0, N_LAYERS // 2)
        fleet.start_engine("e2", "cautin", N_LAYERS // 2, N_LAYERS)
        fleet.start_service("booking-1", "cautin")
        for name in ("d1", "d2"):
            fleet.wait_ready(fleet.start_daemon(name, "cautin"))
        for name in ("d1", "d2"):
            wait_for(lambda n=name: complete(fleet, n, "start")[0] == 200)
            wait_for(lambda n=name: book(fleet, n, "start")[0] == 200)
        yield fleet


@pytest.fixture
def second_answers(fleet):
    """All stand-ins send second answers of a kind in the test, and none after it."""
    standins = ("e1", "e2", "booking-1", "log", "vm_list")

    def begin(kind):
        for name in standins:
            fleet.processes[name].control(second=SECOND_ANSWERS[kind])

    yield begin
    for name in standins:
        fleet.processes[name].control(second=None)


def complete(fleet, name, prompt, **fields):
    body = {"model": "draft", "prompt": prompt, "max_tokens": N_TOKENS, **fields}
    address = fleet.processes[name].address
    return request("POST", address, "/v1/completions", body, CALLER)


def book(fleet, name, slot):
    headers = CALLER | {"Idempotency-Key": str(uuid7())}
    address = fleet.processes[name].address
    path = f"/v1/services/booking/{slot}"
    return request("POST", address, path, b"{}", headers)


def run_command(fleet, *argv):
    addresses = ",".join(fleet.processes[name].address for name in ("d1", "d2"))
    options = ["--daemons", addresses, "--log", fleet.log.address]
    completed = subprocess.run(
        [PROGRAM, *options, "--token", "operator-token", *argv],
        capture_output=True,
        text=True,
        timeout=30,
    )
    return completed.returncode, completed.stdout, completed.stderr


@pytest.mark.parametrize("kind", SECOND_ANSWERS)
def test_answer_is_not_that_of_another_request(fleet, second_answers, kind):
    second_answers(kind)
    for n in range(N_REQUESTS):
        for name in ("d1", "d2"):
            prompt = f"{kind}-{name}-{n}"
            status, _, body = complete(fleet, name, prompt)
            assert status == 200, body
            expected = "".join(expected_token(prompt, i) for i in range(N_TOKENS))
            assert json.loads(body)["choices"][0]["text"] == expected
            status, _, body = complete(fleet, name, prompt, stream=True)
            assert status == 200, body
            assert body.decode().strip().split("\n\n")[-1] == "data: [DONE]"
            assert b"second" not in body
            slot = f"{kind.replace(' ', '-')}-{name}-{n}"
            status, _, body = book(fleet, name, slot)
            assert status == 200, body
            assert json.loads(body)["path"].endswith(slot)
            assert json.loads(body)["confirmation"].startswith("booking-1-")
    runs = fleet.history("booking-1")
    assert len(runs) == len({run["key"] for run in runs})


@pytest.mark.parametrize("kind", SECOND_ANSWERS)
def test_command_is_not_answered_by_an_earlier_answer(fleet, second_answers, kind):
    second_answers(kind)
    for argv, expected in (
        (["members"], "alive"),
        (["policy", "show"], "draft"),
        (["timeline"], "policy.accepted"),
    ):
        status, output, errors = run_command(fleet, *argv)
        assert status == 0, errors
        assert expected in output
