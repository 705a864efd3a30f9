"""Daemons and targets that leave while requests are in progress."""

import http.client
import json
import signal
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.fleet import Fleet, bearer, request, wait_for
from tests.standins.engine import expected_token

CALLER = bearer("osorno-token")
OPERATOR = bearer("operator-token")
N_TOKENS = 40


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.publish_basics()
        yield fleet


def start_targets(fleet, step_ms=50):
    fleet.start_engine("e1", "cautin", 0, 4, step_ms=step_ms)
    fleet.start_engine("e2", "cautin", 4, 8, step_ms=step_ms)
    return fleet.start_service("booking-1", "cautin")


def complete(daemon, prompt="loin", n_tokens=1, stream=False):
    body = {"model": "draft", "prompt": prompt, "max_tokens": n_tokens}
    body["stream"] = stream
    return request("POST", daemon.address, "/v1/completions", body, CALLER)


def book(daemon, key):
    path = "/v1/services/booking/slots"
    headers = CALLER | {"Idempotency-Key": key}
    return request("POST", daemon.address, path, b"{}", headers)


def start_daemon(fleet, name="d1", **flags):
    daemon = fleet.start_daemon(name, "cautin", **flags)
    fleet.wait_ready(daemon)
    wait_for(lambda: complete(daemon)[0] == 200)
    wait_for(lambda: book_ready(daemon))
    return daemon


def book_ready(daemon):
    path = "/v1/services/booking/slots"
    return request("GET", daemon.address, path, None, CALLER)[0] == 200


def whole_text(prompt, n_tokens):
    return "".join(expected_token(prompt, i) for i in range(n_tokens))


def test_sigterm_cuts_nothing_while_the_balancer_lags(fleet):
    service = start_targets(fleet)
    daemon = start_daemon(fleet, balancer_lag_ms=2_000)
    service.control(delay_s=3.0)
    with ThreadPoolExecutor(32) as pool:
        early = [
            pool.submit(complete, daemon, f"early {i}", N_TOKENS, True)
            for i in range(4)
        ]
        bookings = [pool.submit(book, daemon, f"k{i}") for i in range(4)]
        wait_for(lambda: len(fleet.history("booking-1")) >= 4)
        daemon.signal(signal.SIGTERM)
        wait_for(lambda: request("GET", daemon.address, "/readyz")[0] == 503, 2.0)
        late = [pool.submit(complete, daemon, f"late {i}", 20) for i in range(8)]
        late_booking = pool.submit(book, daemon, "late")
        for stream in early:
            status, _, body = stream.result()
            assert status == 200
            assert body.endswith(b"data: [DONE]\n\n")
        for i, answer in enumerate(late):
            status, headers, body = answer.result()
            assert (status, headers["Connection"]) == (200, "close")
            text = json.loads(body)["choices"][0]["text"]
            assert text == whole_text(f"late {i}", 20)
        for booking in [*bookings, late_booking]:
            assert booking.result()[0] == 200
    assert daemon.popen.wait(20.0) == 0


def test_drain_bound_ends_what_takes_longer(fleet):
    service = start_targets(fleet)
    daemon = start_daemon(fleet, drain_timeout_ms=500)
    service.control(delay_s=60.0)
    with ThreadPoolExecutor(1) as pool:
        booking = pool.submit(book, daemon, "k1")
        wait_for(lambda: any(c["key"] == "k1" for c in fleet.history("booking-1")))
        daemon.signal(signal.SIGTERM)
        assert daemon.popen.wait(20.0) == 0
        with pytest.raises(OSError, match=r"closed|reset"):
            booking.result()


def test_open_connection_works_until_idle(fleet):
    start_targets(fleet)
    daemon = start_daemon(fleet, balancer_lag_ms=300)
    connection = http.client.HTTPConnection(daemon.address, timeout=10)
    connection.request("GET", "/healthz")
    connection.getresponse().read()
    daemon.signal(signal.SIGTERM)
    wait_for(lambda: refuses(daemon), 5.0)
    body = {"model": "draft", "prompt": "loin", "max_tokens": 5}
    connection.request("POST", "/v1/completions", json.dumps(body), CALLER)
    answer = connection.getresponse()
    assert answer.status == 200
    assert answer.headers["Connection"] == "close"
    assert whole_text("loin", 5) in answer.read().decode()
    assert daemon.popen.wait(20.0) == 0


def refuses(daemon):
    try:
        request("GET", daemon.address, "/healthz")
    except OSError:
        return True
    return False
