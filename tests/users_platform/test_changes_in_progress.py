"""Changes of the configuration and signals beside requests in every stage.

A request that was read is answered completely or refused with a status; a change alone
ends none.
"""

import http.client
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from tests.users_platform.deployment import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    route,
    wait_for,
)

GATEWAY = "gateway-celje"
MODEL_ENGINES = ("celje-large", "celje-small", "velenje-large", "velenje-small")
PLAIN_ENGINES = ("celje-plain", "velenje-plain")
N_EVENTS = 12
N_LONG_EVENTS = 48
EVENT_S = 0.05
# Time between the start of a run and its answer.
BEGIN_S = 0.4
# No engine has a cache for two prompts of this many tokens.
LARGE_PROMPT = 40_000
ANSWER_BYTES = 4_000_000
OTHER_MODEL, OTHER_PLAIN = "other-model-pool", "other-plain-pool"
BASE_LIMITS = {"idle_timeout_ms": 15_000, "max_body_bytes": 4096}
# The objective is long, so that requests wait for a cache to become free.
ROUTE_FIELDS = {"latency_slo_ms": 3000}


def base_routes(**changes):
    fields = ROUTE_FIELDS | changes
    model, plain = MODEL_SERVICE, PLAIN_SERVICE
    return [
        route("draft", "/draft/", "streaming", model, **{"resumable": True} | fields),
        route("once", "/once/", "streaming", model, **{"max_attempts": 1} | fields),
        route(
            "book", "/book/", "non_idempotent", plain, **{"max_attempts": 1} | fields
        ),
        route("stock", "/stock/", "idempotent", plain, **fields),
    ]


def moved_routes():
    services = {MODEL_SERVICE: OTHER_MODEL, PLAIN_SERVICE: OTHER_PLAIN}
    return [{**r, "service": services[r["service"]]} for r in base_routes()]


def split_routes():
    return [
        {
            **moved,
            "service": None,
            "backends": [
                {"service": kept["service"], "weight": 0.0},
                {"service": moved["service"], "weight": 1.0},
            ],
        }
        for kept, moved in zip(base_routes(), moved_routes(), strict=True)
    ]


def all_services():
    model, plain = configuration(0)["services"]
    return [model, plain, {**model, "name": OTHER_MODEL}, {"name": OTHER_PLAIN}]


def smaller_engines():
    model, plain = configuration(0)["services"]
    return [{**model, "engine": {**model["engine"], "slots": 1}}, plain]


CHANGES = {
    "routes": [
        {"routes": [{**r, "name": f"{r['name']}-2"} for r in base_routes()]},
        {"routes": [{**r, "host": "other.example"} for r in base_routes()]},
        {
            "routes": [
                {**r, "path_prefix": f"/v2{r['path_prefix']}"} for r in base_routes()
            ]
        },
        {"routes": []},
    ],
    "services": [
        {"services": smaller_engines()},
        {"routes": split_routes(), "services": all_services()},
        {"routes": moved_routes(), "services": all_services()},
        {"routes": [], "services": []},
    ],
    "bounds raised": [
        {"routes": base_routes(timeout_ms=20_000)},
        {"routes": base_routes(max_attempts=5)},
        {"routes": base_routes(priority=0)},
        {"routes": base_routes(gap_aim_ms=2000)},
    ],
    "bounds lowered": [
        {"routes": base_routes(timeout_ms=100)},
        {"routes": base_routes(latency_slo_ms=10)},
        {"routes": base_routes(max_attempts=1)},
        {"routes": base_routes(priority=9)},
        {"routes": base_routes(gap_aim_ms=10)},
    ],
    "kinds": [
        {"routes": base_routes(resumable=False)},
        {"routes": base_routes(route_kind="non_idempotent", resumable=False)},
        {"routes": base_routes(route_kind="idempotent", resumable=False)},
        {"routes": base_routes(anonymous=True)},
    ],
    "organisations": [
        {"tenants": None},
        {"tenants": [{"name": "celje-shops", "api_keys": ["new"], "priority": 9}]},
        {"tenants": [{"name": "others", "api_keys": [KEY]}]},
        {"tenants": []},
    ],
    "limits": [
        {"limits": {"max_header_bytes": 64, "max_body_bytes": 16}},
        {"limits": {"header_timeout_ms": 50, "idle_timeout_ms": 50}},
        {"limits": {"header_timeout_ms": 9000, "idle_timeout_ms": 90_000}},
        {"limits": {"max_header_bytes": 10**6, "max_body_bytes": 10**8}},
    ],
}


@pytest.fixture(scope="module")
def fleet(module_deployment):
    """Answers take long enough for a change; versions are counted."""
    module_deployment.version = 10
    restore(module_deployment)
    return module_deployment


def restore(fleet):
    publish(fleet)
    for name in MODEL_ENGINES:
        fleet.control(name, event_s=EVENT_S, begin_s=BEGIN_S, close_after=None)
    for name in PLAIN_ENGINES:
        fleet.control(name, begin_s=BEGIN_S, answer_bytes=ANSWER_BYTES)


def publish(fleet, **changes):
    """Publish a configuration and wait until it is in force."""
    fleet.version += 1
    changes = {"routes": base_routes(), "limits": BASE_LIMITS, **changes}
    fleet.publish_configuration(fleet.version, **changes)
    wait_for(
        lambda: any(
            row["version"] == fleet.version
            for row in fleet.decisions(GATEWAY, "configuration.in_force")
        ),
        timeout_s=3.0,
    )


def stream(fleet, path, prompt=100, n_events=N_EVENTS):
    headers = {"Token_Count": f"{prompt},{4 * n_events}", "Deadline_Ms": "8000"}
    return fleet.request(GATEWAY, path, Model="m", **headers)


def assert_stream(answer, n_events=N_EVENTS):
    assert answer.status == 200, answer.body
    assert answer.is_complete, answer.event_ids
    assert answer.event_ids == list(range(1, n_events + 1))


class RawCaller:
    """A caller that sends and reads parts of messages on a connection of its own."""

    def __init__(self, fleet, receive_bytes=None):
        self.socket = socket.socket()
        if receive_bytes is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.settimeout(10.0)
        self.socket.connect(("127.0.0.1", fleet.ports[GATEWAY]))

    def send_head(self, method, path, *lines):
        head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Attempt-Id: raw"]
        head += ["Deadline-Ms: 8000", f"Authorization: Bearer {KEY}", *lines]
        self.socket.sendall("\r\n".join([*head, "", ""]).encode())

    def answer(self):
        """Read an answer; a body that is not complete raises."""
        response = http.client.HTTPResponse(self.socket)
        response.begin()
        response.read()
        return response.status


def start_half_bodies(fleet):
    """Send the first half of a body with a length, and of one in chunks."""
    callers = [RawCaller(fleet), RawCaller(fleet)]
    callers[0].send_head("POST", "/stock/half", "Content-Length: 1000")
    callers[0].socket.sendall(b"x" * 500)
    callers[1].send_head("POST", "/book/half", "Transfer-Encoding: chunked")
    callers[1].socket.sendall(b"1f4\r\n" + b"x" * 500 + b"\r\n")
    return callers


def end_half_bodies(callers):
    callers[0].socket.sendall(b"x" * 500)
    callers[1].socket.sendall(b"1f4\r\n" + b"x" * 500 + b"\r\n0\r\n\r\n")


class InProgress:
    """Requests of which some are in every stage; a context manager."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.pool = ThreadPoolExecutor(16)
        self.n_runs = len(fleet.history("run"))
        self.running = self.start_streams(
            "/draft/1", "/once/1", "/draft/2", "/once/2", n_events=2 * N_EVENTS
        )
        self.wait_runs(len(self.running))
        time.sleep(BEGIN_S + 2 * EVENT_S)
        self.not_begun = self.start_streams("/draft/3", "/once/3", prompt=100)
        self.wait_runs(len(self.not_begun))
        self.waiting = self.start_streams("/draft/4", "/once/4")
        self.plain = [
            self.pool.submit(fleet.request, GATEWAY, path, Deadline_Ms="8000")
            for path in ("/stock/1", "/book/1")
        ]
        self.slow = RawCaller(fleet, receive_bytes=4096)
        self.slow.send_head("GET", "/stock/slow")
        self.half_bodies = start_half_bodies(fleet)
        self.wait_runs(len(self.plain) + 1)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.pool.shutdown()

    def start_streams(self, *paths, prompt=LARGE_PROMPT, n_events=N_EVENTS):
        return [
            self.pool.submit(stream, self.fleet, path, prompt, n_events)
            for path in paths
        ]

    def wait_runs(self, n_runs):
        self.n_runs += n_runs
        wait_for(lambda: len(self.fleet.history("run")) >= self.n_runs)

    def assert_all_answered(self):
        end_half_bodies(self.half_bodies)
        # Their route or key may be gone by the time the body is complete.
        assert {c.answer() for c in self.half_bodies} <= {200, 401, 404}
        assert self.slow.answer() == 200
        for answer in [future.result() for future in self.plain]:
            assert answer.status == 200, answer.body
            assert len(answer.body) == ANSWER_BYTES
        for answer in [future.result() for future in self.running]:
            assert_stream(answer, 2 * N_EVENTS)
        for answer in [future.result() for future in self.not_begun + self.waiting]:
            assert_stream(answer)


def longest_wait_ms(fleet, n_streams):
    lines = fleet.decisions(GATEWAY, "stream.assigned")[-n_streams:]
    return max(line["waited_ms"] for line in lines)


@pytest.mark.parametrize("field", CHANGES)
def test_changes_end_no_request_in_progress(fleet, field):
    with InProgress(fleet) as requests:
        for change in CHANGES[field]:
            publish(fleet, **change)
            fleet.kill(GATEWAY, signal.SIGHUP)
            time.sleep(EVENT_S)
        requests.assert_all_answered()
    # Two streams did wait for capacity.
    assert longest_wait_ms(fleet, 2) > 300
    restore(fleet)


@pytest.mark.parametrize(
    "change", [{"routes": []}, {"routes": [], "services": []}, {"tenants": []}]
)
def test_streams_resume_after_the_change_that_removed_what_they_use(fleet, change):
    with ThreadPoolExecutor(4) as pool:
        n_before = len(fleet.history("run"))
        answers = [pool.submit(stream, fleet, "/draft/x") for _ in range(4)]
        wait_for(lambda: len(fleet.history("run")) >= n_before + 4)
        heads = {row["engine"] for row in fleet.history("run")[n_before:]}
        for head in heads:
            fleet.control(head, close_after=8)
        publish(fleet, **change)
        wait_for(lambda: len(fleet.history("run")) > n_before + 4)
        for head in heads:
            fleet.control(head, close_after=None)
        for answer in answers:
            assert_stream(answer.result())
    restore(fleet)


@contextmanager
def full_engines(fleet):
    """Start a long stream on each engine of the model, and yield their answers."""
    with ThreadPoolExecutor(8) as pool:
        n_before = len(fleet.history("run"))
        answers = [
            pool.submit(stream, fleet, "/draft/long", LARGE_PROMPT, N_LONG_EVENTS)
            for _ in MODEL_ENGINES
        ]
        wait_for(lambda: len(fleet.history("run")) >= n_before + len(MODEL_ENGINES))
        yield pool, answers


def test_stream_does_not_wait_behind_those_of_another_service(fleet):
    # A route that moves to another service leaves requests that wait for the old one.
    publish(fleet, routes=moved_routes(), services=all_services())
    fleet.add_engine("celje-other", OTHER_MODEL, "celje", "large")
    wait_for(lambda: stream(fleet, "/draft/x", n_events=1).status == 200)
    publish(fleet, services=all_services())
    with full_engines(fleet) as (pool, answers):
        waiting = pool.submit(stream, fleet, "/draft/waiting", LARGE_PROMPT)
        time.sleep(EVENT_S)
        publish(fleet, routes=moved_routes(), services=all_services())
        assert_stream(stream(fleet, "/draft/moved", n_events=2), 2)
        assert not any(answer.done() for answer in [*answers, waiting])
        for answer in answers:
            assert_stream(answer.result(), N_LONG_EVENTS)
        assert_stream(waiting.result())
    fleet.kill("celje-other")
    restore(fleet)


def test_stream_does_not_wait_behind_one_that_avoids_the_free_engine(fleet):
    with full_engines(fleet) as (_, answers):
        head = fleet.history("run")[-1]["engine"]
        n_before = len(fleet.decisions(GATEWAY, "attempt.broken"))
        fleet.control(head, close_after=2)
        # The head broke off, so that its stream waits for another engine.
        wait_for(
            lambda: any(
                line["head"] == head
                for line in fleet.decisions(GATEWAY, "attempt.broken")[n_before:]
            )
        )
        time.sleep(BEGIN_S)
        fleet.control(head, close_after=None)
        assert_stream(stream(fleet, "/draft/free", LARGE_PROMPT, 2), 2)
        assert not any(answer.done() for answer in answers)
        for answer in answers:
            assert_stream(answer.result(), N_LONG_EVENTS)
    restore(fleet)


def test_leaving_daemon_ends_no_request_in_progress(fleet):
    # The last test of the module: the daemon ends.
    with InProgress(fleet) as requests:
        publish(fleet, routes=[])
        fleet.kill(GATEWAY, signal.SIGTERM)
        fleet.kill(GATEWAY, signal.SIGHUP)
        publish(fleet, tenants=[])
        fleet.kill(GATEWAY, signal.SIGTERM)
        requests.assert_all_answered()
    wait_for(lambda: fleet.processes[GATEWAY].poll() is not None)
    assert fleet.decisions(GATEWAY, "gateway.stopped")[0]["n_open"] == 0
