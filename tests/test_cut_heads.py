"""Services and engines that break off their answers inside the head."""

import json

import pytest
from uuid6 import uuid7

from tests.fleet import Fleet, bearer, request, wait_for

CALLER = bearer("osorno-token")
N_LAYERS = 8
HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CUTS = {
    "status line": "HTTP/1.1 20",
    "name": HEAD + "Content-Le",
    "length": HEAD + "Content-Length: 1",
    "length of nothing": HEAD + "Content-Length: 0\r\n",
    "blank line": HEAD + "Content-Length: 0\r\n\r",
    "no length": HEAD,
    "chunk size": HEAD + "Transfer-Encoding: chunked\r\n\r\n1",
    "trailer": HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-T",
    "after an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD,
}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.publish_base_configuration(N_LAYERS)
        fleet.start_engine("e1", "cautin", 0, N_LAYERS)
        fleet.start_service("booking-1", "cautin")
        fleet.wait_ready(fleet.start_daemon("d1", "cautin"))
        wait_for(lambda: complete(fleet, "start")[0] == 200)
        wait_for(lambda: book(fleet, "start")[0] == 200)
        yield fleet


def complete(fleet, prompt, **fields):
    body = {"model": "draft", "prompt": prompt, "max_tokens": 3, **fields}
    address = fleet.processes["d1"].address
    headers = CALLER | {"X-Request-Timeout": "3"}
    return request("POST", address, "/v1/completions", body, headers)


def book(fleet, slot):
    headers = CALLER | {"Idempotency-Key": str(uuid7())}
    address = fleet.processes["d1"].address
    return request("POST", address, f"/v1/services/booking/{slot}", b"{}", headers)


@pytest.mark.parametrize("cut", CUTS)
def test_booking_whose_answer_is_cut_inside_its_head_is_unknown(fleet, cut):
    service = fleet.processes["booking-1"]
    service.control(cut_head=CUTS[cut])
    n_before = len(fleet.history("booking-1"))
    status, _, body = book(fleet, cut.replace(" ", "-"))
    assert len(fleet.history("booking-1")) == n_before + 1
    assert status >= 500, body
    assert json.loads(body)["outcome"] == "unknown"
    service.control(cut_head=None)
    wait_for(lambda: book(fleet, "after")[0] == 200)


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("cut", CUTS)
def test_completion_cut_inside_its_head_is_not_passed_on(fleet, cut, is_stream):
    engine = fleet.processes["e1"]
    engine.control(cut_head=CUTS[cut])
    status, _, body = complete(fleet, f"{cut} {is_stream}", stream=is_stream)
    if status == 200:
        assert is_stream
        assert b"[DONE]" not in body
        assert b"error" in body
    else:
        assert status >= 500, body
    engine.control(cut_head=None)
    wait_for(lambda: complete(fleet, "after")[0] == 200)
