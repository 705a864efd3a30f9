"""Quarantine of requests that crash their engines, under ordinary load."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import uuid6

from cassiaspread_core.policy import EntryKind
from tests.fleet import Fleet, bearer, request, wait_for
from tests.standins.engine import expected_token

CALLER = bearer("osorno-token")
OTHER = bearer("savinja-token")
OPERATOR = bearer("operator-token")
CRASH_TEXT = "poison"
N_TOKENS = 8
N_LONG = 150
N_HEADS, N_TAILS = 5, 2
GOSSIP_INTERVAL_S = 1.0
FLEET_TIMEOUT_S = 10.0


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.publish_base_configuration()
        for index in range(N_HEADS):
            fleet.start_engine(f"h{index}", "cautin", 0, 4, step_ms=10)
        for index in range(N_TAILS):
            fleet.start_engine(f"t{index}", "cautin", 4, 8, step_ms=10)
        daemons = [fleet.start_daemon(f"d{i}", "cautin") for i in range(3)]
        for daemon in daemons:
            fleet.wait_ready(daemon)
            wait_for(lambda d=daemon: complete(d, f"warm {d.name}")[0] == 200)
        # Daemons discover each other in the second round of gossip.
        time.sleep(2 * GOSSIP_INTERVAL_S)
        yield fleet


def daemons_of(fleet):
    return [fleet.processes[f"d{i}"] for i in range(3)]


def heads_of(fleet):
    return [fleet.processes[f"h{i}"] for i in range(N_HEADS)]


def complete(daemon, prompt, caller=CALLER, n_tokens=N_TOKENS):
    body = {"model": "draft", "prompt": prompt, "max_tokens": n_tokens}
    status, headers, answer = request(
        "POST", daemon.address, "/v1/completions", body, caller
    )
    return status, headers, json.loads(answer)


def is_complete(answer, prompt, n_tokens=N_TOKENS):
    status, _, body = answer
    expected = "".join(expected_token(prompt, i) for i in range(n_tokens))
    return status == 200 and body["choices"][0]["text"] == expected


def n_lost(fleet):
    return sum(engine.popen.poll() is not None for engine in heads_of(fleet))


def read_quarantine(daemon):
    answer = request("GET", daemon.address, "/operators/quarantine", headers=OPERATOR)
    return json.loads(answer[2])


def events_of(fleet, kind):
    """Return the fields of the events of a kind on all daemons."""
    found = []
    for daemon in daemons_of(fleet):
        path = "/operators/events"
        answer = request("GET", daemon.address, path, headers=OPERATOR)
        found += [e["fields"] for e in json.loads(answer[2]) if e["kind"] == kind]
    return found


def release(daemon, fingerprint):
    path, body = "/operators/quarantine/release", {"fingerprint": fingerprint}
    return request("POST", daemon.address, path, body, OPERATOR)[0]


class Load:
    """Sends ordinary requests to all daemons until the context ends."""

    def __init__(self, fleet, n_threads=6):
        self._daemons = daemons_of(fleet)
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,)) for n in range(n_threads)
        ]
        self.lost = []
        self.n_complete = 0

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        turn = 0
        while not self._stop.is_set():
            prompt = f"load {number} {turn}"
            daemon = self._daemons[(number + turn) % len(self._daemons)]
            answer = complete(daemon, prompt, OTHER)
            if is_complete(answer, prompt):
                self.n_complete += 1
            else:
                self.lost.append(answer)
            turn += 1


def test_crashing_request_kills_at_most_two_engines(fleet):
    for engine in heads_of(fleet):
        engine.control(crash_on=CRASH_TEXT)
    with Load(fleet) as load:
        answers = []
        for _ in range(4):
            for daemon in daemons_of(fleet):
                started_s = time.monotonic()
                answers.append(
                    (*complete(daemon, CRASH_TEXT), time.monotonic() - started_s)
                )
        wait_for(lambda: load.n_complete > 30)
    assert n_lost(fleet) == 2
    assert load.lost == []
    first, *later = answers
    assert first[2]["type"].endswith(":quarantined")
    assert first[2]["outcome"] == "unknown"
    for status, _, problem, _ in later:
        assert (status, problem["outcome"]) == (422, "not-run")
        assert problem["type"].endswith(":quarantined")
    noted = events_of(fleet, "suspect.noted")
    assert len({e["target"] for e in noted}) == 2


def test_quarantine_reaches_new_daemons_and_release_reaches_all(fleet):
    for engine in heads_of(fleet):
        engine.control(crash_on=CRASH_TEXT)
    complete(daemons_of(fleet)[0], CRASH_TEXT)
    [record] = read_quarantine(daemons_of(fleet)[1])["quarantined"]
    # A new daemon in another domain without peers reads the quarantine from the log.
    fleet.list_vm("d0", "daemon", "d0", "127.0.0.1:1", "cautin")
    new_daemon = fleet.start_daemon("d9", "llanquihue")
    fleet.wait_ready(new_daemon)
    wait_for(lambda: read_quarantine(new_daemon)["quarantined"], FLEET_TIMEOUT_S)
    assert complete(new_daemon, CRASH_TEXT)[0] == 422
    for engine in heads_of(fleet):
        if engine.popen.poll() is None:
            engine.control(crash_on="")
    assert release(daemons_of(fleet)[1], record["fingerprint"]) == 200
    for daemon in [*daemons_of(fleet), new_daemon]:
        wait_for(lambda d=daemon: complete(d, CRASH_TEXT)[0] == 200, FLEET_TIMEOUT_S)
    assert release(new_daemon, record["fingerprint"]) == 404


def test_coincident_engine_losses_quarantine_no_request(fleet):
    prompts = [f"innocent {n}" for n in range(10)]
    daemons = daemons_of(fleet)
    earlier = set(progress(fleet))
    with ThreadPoolExecutor(len(prompts)) as pool:
        answers = [
            pool.submit(complete, daemons[n % 3], prompt, CALLER, N_LONG)
            for n, prompt in enumerate(prompts)
        ]
        wait_for(lambda: n_requests_beyond(fleet, earlier, 20) == len(prompts))
        # Plans spread at random: killing a head that has no request interrupts none.
        first = max(
            (f"h{i}" for i in range(N_HEADS)),
            key=lambda head: len(requests_on(fleet, head) - earlier),
        )
        fleet.processes[first].kill()
        wait_for(lambda: n_requests_beyond(fleet, earlier, 60) == len(prompts))
        # The second engine to die has taken over a request from the first.
        second = events_of(fleet, "suspect.alone")[0]["targets"].split(",")[0]
        fleet.processes[second].kill()
        for prompt, answer in zip(prompts, answers, strict=True):
            assert is_complete(answer.result(), prompt, N_LONG)
    for daemon in daemons:
        assert read_quarantine(daemon)["quarantined"] == []
    noted = events_of(fleet, "suspect.noted")
    assert {e["target"] for e in noted} == {first, second}
    assert any(e["n_losses"] == 2 for e in noted)
    for daemon in daemons:
        wait_for(lambda d=daemon: not read_quarantine(d)["suspects"], FLEET_TIMEOUT_S)


@pytest.mark.parametrize("method", ["PUT", "POST"])
def test_call_that_crashes_services_is_quarantined(fleet, method):
    fleet.publish(EntryKind.SERVICE, "status", {"idempotent_methods": ["PUT"]})
    services = [
        fleet.start_service(f"s{i}", "cautin", service="status") for i in range(4)
    ]
    for service in services:
        wait_for(service.is_responding)
        service.control(crash_on=CRASH_TEXT)
    daemons = daemons_of(fleet)
    names = {service.name for service in services}
    wait_for(lambda: n_usable(fleet, names) == len(daemons) * len(services))
    answers = [call(daemons[n % 3], method, CRASH_TEXT) for n in range(6)]
    assert [a[0] for a in answers[2:]] == [422] * 4
    assert {a[1]["outcome"] for a in answers[:2]} == {"unknown"}
    assert sum(s.popen.poll() is not None for s in services) == 2
    assert call(daemons[0], method, "ordinary")[0] == 200


def n_usable(fleet, names):
    """Count the events of all daemons that a target has become usable."""
    return sum(e["target"] in names for e in events_of(fleet, "target.usable"))


def call(daemon, method, body):
    headers = CALLER | {"Idempotency-Key": str(uuid6.uuid7())}
    path = "/v1/services/status/packs"
    answer = request(method, daemon.address, path, body.encode(), headers)
    return answer[0], json.loads(answer[2])


def test_lost_connection_is_not_a_crash(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.publish_base_configuration()
        engine = fleet.start_engine("h0", "cautin", 0, 8, step_ms=10)
        wait_for(engine.is_responding)
        route = fleet.start_proxy("h0", engine.address)
        engine.control(advertise=route.address)
        daemon = fleet.start_daemon("d0", "cautin")
        wait_for(lambda: complete(daemon, "warm")[0] == 200)
        fleet.list_vm("h0", "engine", "h0", route.address, "cautin")
        with ThreadPoolExecutor(1) as pool:
            answer = pool.submit(complete, daemon, "cut", CALLER, N_LONG)
            wait_for(lambda: len(fleet.history("h0")) > N_TOKENS + 40)
            route.set("cut")
            route.set("pass")
            assert is_complete(answer.result(), "cut", N_LONG)
        assert read_quarantine(daemon) == {"quarantined": [], "suspects": []}


def progress(fleet):
    """Return the highest position that each request has reached."""
    reached = {}
    for index in range(N_TAILS):
        for step in fleet.history(f"t{index}"):
            position = max(reached.get(step["request"], 0), step["position"])
            reached[step["request"]] = position
    return reached


def requests_on(fleet, engine):
    return {step["request"] for step in fleet.history(engine)}


def n_requests_beyond(fleet, earlier, position):
    reached = progress(fleet)
    return sum(reached[r] > position for r in reached.keys() - earlier)
