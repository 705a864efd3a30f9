"""Daemons and targets that leave while requests are in progress."""

import http.client
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from uuid6 import uuid7

from cassiaspread_daemon.load._admission import SHARE_INTERVAL_S
from tests.fleet import Fleet, bearer, read_report, request, wait_for
from tests.standins.engine import expected_token

CALLER = bearer("osorno-token")
OPERATOR = bearer("operator-token")
N_TOKENS = 40


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.publish_base_configuration()
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
    wait_for(lambda: is_service_ready(daemon))
    return daemon


def is_service_ready(daemon):
    path = "/v1/services/booking/slots"
    return request("GET", daemon.address, path, None, CALLER)[0] == 200


def expected_text(prompt, n_tokens):
    return "".join(expected_token(prompt, i) for i in range(n_tokens))


def test_sigterm_interrupts_no_request_while_the_balancer_lags(fleet):
    service = start_targets(fleet)
    daemon = start_daemon(fleet, balancer_lag_ms=2_000)
    service.control(delay_s=3.0)
    with ThreadPoolExecutor(32) as pool:
        early = [
            pool.submit(complete, daemon, f"early {i}", N_TOKENS, True)
            for i in range(4)
        ]
        bookings = [pool.submit(book, daemon, str(uuid7())) for _ in range(4)]
        wait_for(lambda: len(fleet.history("booking-1")) >= 4)
        daemon.signal(signal.SIGTERM)
        wait_for(lambda: request("GET", daemon.address, "/readyz")[0] == 503, 2.0)
        late = [pool.submit(complete, daemon, f"late {i}", 20) for i in range(8)]
        late_booking = pool.submit(book, daemon, str(uuid7()))
        for stream in early:
            status, _, body = stream.result()
            assert status == 200
            assert body.endswith(b"data: [DONE]\n\n")
        for i, answer in enumerate(late):
            status, headers, body = answer.result()
            assert (status, headers["Connection"]) == (200, "close")
            text = json.loads(body)["choices"][0]["text"]
            assert text == expected_text(f"late {i}", 20)
        for booking in [*bookings, late_booking]:
            assert booking.result()[0] == 200
    assert daemon.popen.wait(20.0) == 0


def test_drain_timeout_ends_longer_requests(fleet):
    service = start_targets(fleet)
    daemon = start_daemon(fleet, drain_timeout_ms=500)
    service.control(delay_s=60.0)
    with ThreadPoolExecutor(1) as pool:
        key = str(uuid7())
        booking = pool.submit(book, daemon, key)
        wait_for(lambda: any(c["key"] == key for c in fleet.history("booking-1")))
        daemon.signal(signal.SIGTERM)
        assert daemon.popen.wait(20.0) == 0
        with pytest.raises(OSError, match=r"closed|reset"):
            booking.result()


def test_requests_that_cannot_end_in_the_drain_are_not_passed_on(fleet):
    # Guards against daemons that pass on what they will have to interrupt.
    service = start_targets(fleet, step_ms=30)
    daemon = start_daemon(fleet, balancer_lag_ms=2_000, drain_timeout_ms=500)
    service.control(delay_s=1.5)
    assert book_first(daemon)[0] == 200
    assert complete(daemon, "measured", 25)[0] == 200
    daemon.signal(signal.SIGTERM)
    begin_s = time.monotonic()
    with ThreadPoolExecutor(32) as pool:
        answers = []
        for n in range(8):
            time.sleep(max(0.0, begin_s + 0.2 * n + 0.1 - time.monotonic()))
            answers.append(pool.submit(book_first, daemon))
            answers.append(pool.submit(complete, daemon, f"late {n}", 25))
        statuses = [answer.result()[0] for answer in answers]
        bodies = [answer.result()[2] for answer in answers]
    assert set(statuses) == {200, 503}
    assert statuses[:2] == [200, 200]
    assert statuses[-2:] == [503, 503]
    for status, body in zip(statuses, bodies, strict=True):
        if status == 503:
            assert json.loads(body)["outcome"] == "not-run"
    n_booked = statuses[::2].count(200) + 1
    n_runs = sum(row["method"] == "POST" for row in fleet.history("booking-1"))
    assert n_runs == n_booked
    assert daemon.popen.wait(20.0) == 0


def test_stream_that_may_outlast_the_drain_is_not_begun_after_the_lag(fleet):
    # Guards against streams that are longer than those before them and are cut.
    start_targets(fleet)
    daemon = start_daemon(fleet, balancer_lag_ms=500, drain_timeout_ms=1_500)
    assert complete(daemon, "measured", 2, True)[0] == 200
    connection = http.client.HTTPConnection(daemon.address, timeout=10)
    connection.request("GET", "/healthz")
    connection.getresponse().read()
    daemon.signal(signal.SIGTERM)
    wait_for(lambda: refuses_connections(daemon), 5.0)
    body = {"model": "draft", "prompt": "loin", "max_tokens": N_TOKENS, "stream": True}
    connection.request("POST", "/v1/completions", json.dumps(body), CALLER)
    answer = connection.getresponse()
    assert answer.status == 503
    assert json.loads(answer.read())["outcome"] == "not-run"
    assert daemon.popen.wait(20.0) == 0


def test_waiting_stream_that_may_outlast_the_drain_is_refused_after_the_lag(fleet):
    # Guards against streams that get their slot late in the drain and are cut.
    for name, begin, end in ("e1", 0, 4), ("e2", 4, 8):
        fleet.start_engine(name, "cautin", begin, end, step_ms=20, n_slots=1)
    fleet.start_service("booking-1", "cautin")
    daemon = start_daemon(fleet, balancer_lag_ms=500, drain_timeout_ms=4_000)
    time.sleep(2 * SHARE_INTERVAL_S)
    with ThreadPoolExecutor(3) as pool:
        n_running = len(requests_on(fleet, "e1")) + 2
        running = [
            pool.submit(complete, daemon, f"running {i}", N_TOKENS, True)
            for i in range(2)
        ]
        wait_for(lambda: len(requests_on(fleet, "e1")) == n_running)
        waiting = pool.submit(complete, daemon, "waiting", 4 * N_TOKENS, True)
        wait_for(lambda: has_event(daemon, "admission.queued"))
        daemon.signal(signal.SIGTERM)
        status, _, body = waiting.result()
        is_refused_early = not any(stream.done() for stream in running)
        assert status == 503
        assert json.loads(body)["outcome"] == "not-run"
        assert is_refused_early
        for stream in running:
            assert stream.result()[2].endswith(b"data: [DONE]\n\n")
    assert daemon.popen.wait(20.0) == 0


def has_event(daemon, kind):
    return any(event["kind"] == kind for event in read_report(daemon, "events"))


def book_first(daemon):
    path = "/v1/services/booking/slots"
    headers = CALLER | {
        "Idempotency-Key": str(uuid7()),
        "Idempotency-First-Call": "?1",
    }
    return request("POST", daemon.address, path, b"{}", headers)


def test_open_connection_is_served_until_idle(fleet):
    start_targets(fleet)
    daemon = start_daemon(fleet, balancer_lag_ms=300)
    connection = http.client.HTTPConnection(daemon.address, timeout=10)
    connection.request("GET", "/healthz")
    connection.getresponse().read()
    daemon.signal(signal.SIGTERM)
    wait_for(lambda: refuses_connections(daemon), 5.0)
    body = {"model": "draft", "prompt": "loin", "max_tokens": 5}
    connection.request("POST", "/v1/completions", json.dumps(body), CALLER)
    answer = connection.getresponse()
    assert answer.status == 200
    assert answer.headers["Connection"] == "close"
    assert expected_text("loin", 5) in answer.read().decode()
    assert daemon.popen.wait(20.0) == 0


def refuses_connections(daemon):
    try:
        request("GET", daemon.address, "/healthz")
    except OSError:
        return True
    return False


def usable_targets(daemon):
    return {t["target"] for t in read_report(daemon, "observations") if t["is_usable"]}


def member_states(daemon):
    return {m["vm"]: m["state"] for m in read_report(daemon, "members")}


def requests_on(fleet, engine):
    return {step["request"] for step in fleet.history(engine)}


def test_peers_are_notified_at_once_when_a_daemon_leaves(fleet, daemons):
    leaving = fleet.start_daemon("d9", "cautin", balancer_lag_ms=1_500)
    for daemon in daemons:
        wait_for(lambda d=daemon: member_states(d).get("d9") == "alive")
    leaving.signal(signal.SIGTERM)
    for daemon in daemons:
        wait_for(lambda d=daemon: member_states(d)["d9"] == "leaving", 2.0)
    assert leaving.popen.poll() is None
    for daemon in daemons:
        wait_for(lambda d=daemon: member_states(d)["d9"] == "lost", 15.0)


@pytest.fixture
def daemons(fleet):
    daemons = [fleet.start_daemon(f"d{i}", "cautin") for i in range(3)]
    for daemon in daemons:
        wait_for(lambda d=daemon: list(member_states(d).values()) == ["alive"] * 2)
    return daemons


def start_engines(fleet, daemons, *names):
    """Start engines that each hold all layers."""
    engines = [fleet.start_engine(name, "cautin", 0, 8, step_ms=50) for name in names]
    wait_usable(daemons, names)
    return engines


def wait_usable(daemons, names, timeout_s=20.0):
    for daemon in daemons:
        wait_for(lambda d=daemon: usable_targets(d) == set(names), timeout_s)


def test_leaving_target_gets_no_new_work(fleet, daemons):
    """Each of three engines is reported as leaving by a different source.

    The sources are the engine's status, the VM list and an operator. Later the status
    and the list report live again, which must not bring the engines back.
    """
    leaving = "e-status", "e-list", "e-operator"
    engines = start_engines(fleet, daemons, *leaving, "e-stays")
    with ThreadPoolExecutor(24) as pool:
        early = [
            pool.submit(complete, daemons[i % 3], f"early {i}", 100) for i in range(18)
        ]
        for name in leaving:
            wait_for(lambda n=name: requests_on(fleet, n))
        engines[0].control(state="leaving")
        address = engines[1].address
        fleet.list_vm("e-list", "engine", "e-list", address, "cautin", "leaving")
        body = {"target": "e-operator"}
        drain = "/operators/drain"
        assert request("POST", daemons[1].address, drain, body, OPERATOR)[0] == 200
        time.sleep(2.0)
        before = {name: requests_on(fleet, name) for name in leaving}
        engines[0].control(state="live")
        fleet.list_vm("e-list", "engine", "e-list", address, "cautin")
        for i in range(12):
            assert complete(daemons[i % 3], f"late {i}")[0] == 200
        time.sleep(0.5)
        assert [usable_targets(daemon) for daemon in daemons] == [{"e-stays"}] * 3
        assert {name: requests_on(fleet, name) for name in leaving} == before
        for i, answer in enumerate(early):
            status, _, body = answer.result()
            text = json.loads(body)["choices"][0]["text"]
            assert (status, text) == (200, expected_text(f"early {i}", 100))
    for engine in engines[:3]:
        engine.kill()
        engine.start()
    wait_usable(daemons, [*leaving, "e-stays"])


def test_vm_list_does_not_make_a_failed_target_usable(fleet, daemons):
    killed, frozen, _ = start_engines(fleet, daemons, "ea", "eb", "ec")
    killed.kill()
    frozen.signal(signal.SIGSTOP)
    wait_usable(daemons, ["ec"], 6.0)
    fleet.list_vm("ea", "engine", "ea", killed.address, "cautin")
    deadline_s = time.monotonic() + 1.5
    while time.monotonic() < deadline_s:
        assert [usable_targets(daemon) for daemon in daemons] == [{"ec"}] * 3
        time.sleep(0.1)
    frozen.signal(signal.SIGCONT)
    wait_usable(daemons, ["eb", "ec"])


def test_service_on_a_leaving_vm_gets_no_new_calls(fleet):
    services = [fleet.start_service(f"booking-{i}", "cautin") for i in range(2)]
    daemon = start_daemon_for_services(fleet)
    address = services[0].address
    fleet.list_vm("booking-0", "service", "booking", address, "cautin", "leaving")
    wait_for(lambda: usable_targets(daemon) == {"booking-1"}, 4.0)
    before = len(fleet.history("booking-0"))
    assert all(book(daemon, str(uuid7()))[0] == 200 for _ in range(10))
    assert len(fleet.history("booking-0")) == before


def start_daemon_for_services(fleet):
    daemon = fleet.start_daemon("d1", "cautin")
    wait_for(lambda: usable_targets(daemon) == {"booking-0", "booking-1"})
    return daemon


def test_drain_of_an_unknown_target_is_refused(fleet):
    daemon = fleet.start_daemon("d1", "cautin")
    fleet.wait_ready(daemon)
    for body, status in ({"target": "x"}, 404), ({}, 400), ([], 400):
        answer = request("POST", daemon.address, "/operators/drain", body, OPERATOR)
        assert answer[0] == status
