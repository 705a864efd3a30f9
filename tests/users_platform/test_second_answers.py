"""Engines that answer twice, the second time late, on a connection in use again."""

import contextlib
import email
import json
import socket
import time

import pytest

from tests.users_platform.deployment import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    wait_for,
)

GATEWAY = "gateway"
PLAIN_ENGINE = "plain"
HEAD = "head"
# Time that the engine takes for each request, in seconds: longer than any delay below.
RUN_S = 0.12
N_REQUESTS = 4
N_EVENTS = 5
N_SOUND = 8
SECOND_ANSWERS = {
    "signed, earlier id": {"is_signed": True, "names": "earlier"},
    "signed, no id": {"is_signed": True},
    "signed, chunked": {
        "is_signed": True,
        "names": "earlier",
        "delimiter": "chunks",
    },
    "signed, other id": {"is_signed": True, "names": "other"},
    "200": {},
    "404": {"status": 404},
    "500": {"status": 500},
    "204": {"status": 204, "delimiter": "none"},
    "503 not run": {"status": 503, "is_refusal": True},
    "429 not run": {"status": 429, "is_refusal": True},
    "421": {"status": 421},
    "503 not run, earlier id": {
        "status": 503,
        "is_refusal": True,
        "names": "earlier",
    },
    "no length": {"is_signed": True, "names": "earlier", "delimiter": "none"},
    "short": {"is_signed": True, "names": "earlier", "delimiter": "short"},
    "no id, short": {"status": 404, "delimiter": "short"},
    "headless": {"delimiter": "headless"},
    "in parts, signed, earlier id": {
        "is_signed": True,
        "names": "earlier",
        "n_parts": 4,
    },
    "in parts, 404": {"status": 404, "n_parts": 4},
    "in parts, 503 not run": {"status": 503, "is_refusal": True, "n_parts": 4},
    "400 not run": {"status": 400, "is_refusal": True},
}
DELAYS_S = (0.0, 0.03)
# Time after which an engine writes a refusal once more, in seconds.
REFUSED_AGAIN_S = 0.4


@pytest.fixture(scope="module")
def stuttering_deployment(bare_module_deployment):
    """One gateway, one plain engine and one engine that serves streams alone."""
    deployment = bare_module_deployment
    deployment.publish_configuration(3)
    deployment.add_engine(PLAIN_ENGINE, PLAIN_SERVICE, "celje")
    deployment.add_engine(HEAD, MODEL_SERVICE, "celje", "large")
    deployment.add_gateway(GATEWAY, "celje")
    wait_for(lambda: deployment.is_ready(GATEWAY))
    wait_for(lambda: deployment.request(GATEWAY, "/stock/1").status == 200)
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200)
    deployment.control(PLAIN_ENGINE, begin_s=RUN_S)
    # A second answer in the middle of a stream could not be told from the stream.
    deployment.control(HEAD, begin_s=RUN_S, event_s=0.0)
    return deployment


@pytest.fixture
def second_answers(stuttering_deployment, request):
    """Engines send second answers in the test, and no more after it."""
    deployment = stuttering_deployment

    def begin(kind, delay_s):
        for name in (PLAIN_ENGINE, HEAD):
            second = SECOND_ANSWERS[kind]
            deployment.control(name, second=second, second_after_s=delay_s)
        return deployment

    yield begin
    for name in (PLAIN_ENGINE, HEAD):
        deployment.control(name, second=None)
    # No answer of this test may follow later.
    time.sleep(max(DELAYS_S))


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("kind", SECOND_ANSWERS)
def test_plain_answer_is_not_that_of_another_request(second_answers, kind, delay_s):
    deployment = second_answers(kind, delay_s)
    for n in range(N_REQUESTS):
        path = f"/stock/{kind.replace(' ', '-')}/{n}"
        answer = deployment.request(
            GATEWAY, path, "GET", Attempt_Id=f"plain-{n}", Deadline_Ms="2000"
        )
        assert answer.status == 200, (n, answer.body)
        assert json.loads(answer.body) == {"by": PLAIN_ENGINE, "path": path}
        assert answer.headers.get_all("Attempt-Id") == [f"plain-{n}"]


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("kind", SECOND_ANSWERS)
def test_stream_is_not_that_of_another_request(second_answers, kind, delay_s):
    deployment = second_answers(kind, delay_s)
    for n in range(N_REQUESTS):
        answer = deployment.request_stream(
            GATEWAY, N_EVENTS, Attempt_Id=f"stream-{n}", Deadline_Ms="4000"
        )
        assert answer.status == 200, (n, answer.body)
        assert answer.is_complete
        assert answer.event_ids == list(range(1, N_EVENTS + 1))
        assert b"second" not in answer.body
        assert answer.headers.get_all("Attempt-Id") == [f"stream-{n}"]


def test_answer_that_names_no_request_is_not_waited_behind(stuttering_deployment):
    deployment = stuttering_deployment
    deployment.control(PLAIN_ENGINE, omit_id=True)
    try:
        answer = deployment.request(GATEWAY, "/book/x", Deadline_Ms="3000")
    finally:
        deployment.control(PLAIN_ENGINE, omit_id=False)
    # At the deadline it would be 504.
    assert answer.status == 502


@pytest.fixture
def second_engine(stuttering_deployment):
    """Another plain engine, asked only where the first one is no choice."""
    deployment = stuttering_deployment
    deployment.add_engine("far", PLAIN_SERVICE, "velenje")
    wait_for(
        lambda: any(
            row["target"] == "far"
            for row in deployment.decisions(GATEWAY, "engine.seen")
        )
    )
    yield deployment
    deployment.kill("far")
    deployment.control(PLAIN_ENGINE, spoils=False)


def test_request_is_not_repeated_at_the_engine_that_spoiled_its_answer(second_engine):
    deployment = second_engine
    path = "/stock/spoiled"

    def is_near_engine_asked():
        answer = deployment.request(GATEWAY, path, "GET")
        return answer.status == 200 and json.loads(answer.body)["by"] == PLAIN_ENGINE

    wait_for(is_near_engine_asked)
    deployment.control(PLAIN_ENGINE, spoils=True)
    answer = deployment.request(GATEWAY, path, "GET", Attempt_Id="spoiled")
    runs = deployment.history("run")
    ran_at = [r["engine"] for r in runs if r["headers"]["Attempt-Id"] == "spoiled"]
    assert ran_at == [PLAIN_ENGINE, "far"]
    assert answer.status == 200
    assert json.loads(answer.body)["by"] == "far"


@pytest.fixture
def second_head(stuttering_deployment):
    """Another head of streams, asked only where the first one is no choice."""
    deployment = stuttering_deployment
    services = configuration(0)["services"]
    kinds = services[0]["engine"]["kinds"]
    kinds.append(kinds[0] | {"name": "slow", "pace": 20.0, "read_factor": 20.0})
    deployment.publish_configuration(4, services=services)
    deployment.add_engine("far-head", MODEL_SERVICE, "velenje", "slow")
    wait_for(lambda: "far-head" in deployment.layered_engines(GATEWAY))
    yield deployment
    deployment.kill("far-head")
    deployment.control(HEAD, spoils=False)


def test_stream_is_not_repeated_at_the_engine_that_spoiled_its_answer(second_head):
    deployment = second_head

    def send_sound():
        request_id = f"sound-{time.monotonic()}"
        assert stream(request_id).is_complete
        return request_id

    def heads_of(request_id):
        return [
            row["engine"]
            for row in deployment.history("run")
            if row["headers"].get("Attempt-Id") == request_id
        ]

    def stream(request_id):
        return deployment.request_stream(GATEWAY, N_EVENTS, Attempt_Id=request_id)

    # A head with recent failures would be suspect after one more.
    for _ in range(N_SOUND):
        wait_for(lambda: heads_of(send_sound()) == [HEAD])
    deployment.control(HEAD, spoils=True)
    answer = stream("spoiled-stream")
    assert heads_of("spoiled-stream") == [HEAD, "far-head"]
    assert answer.is_complete
    assert answer.event_ids == list(range(1, N_EVENTS + 1))


class KeptCaller:
    """A caller that keeps its connection and sees each byte on it."""

    def __init__(self, port):
        self._socket = socket.create_connection(("127.0.0.1", port), timeout=5.0)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._socket.close()

    def request(self, method, path, **headers):
        fields = {"Host": HOST, "Authorization": f"Bearer {KEY}", **headers}
        lines = [f"{name.replace('_', '-')}: {v}" for name, v in fields.items()]
        head = "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""])
        self._socket.sendall(head.encode())

    def count_answers(self):
        """Return the number of answers to the last request; each has to be complete."""
        data, n_answers = b"", 0
        self._socket.settimeout(5.0)
        while not n_answers or data:
            received = self._socket.recv(65536)
            assert received, f"the connection ended behind {data}"
            n_complete, data = split_answers(data + received)
            n_answers += n_complete
        # What nobody asked for would follow by then.
        self._socket.settimeout(RUN_S + max(DELAYS_S))
        with contextlib.suppress(TimeoutError):
            return n_answers, self._socket.recv(65536)
        return n_answers, b""


def split_answers(data):
    """Return the number of complete answers that follow each other, and the rest."""
    n_answers = 0
    while b"\r\n\r\n" in data:
        head, _, body = data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 OK\r\n"), head
        fields = email.message_from_bytes(head.partition(b"\r\n")[2])
        if fields["Transfer-Encoding"] == "chunked":
            length = -1
            while length:
                size, separator, body = body.partition(b"\r\n")
                length = int(size, 16) if separator else 0
                if not separator or len(body) < length + 2:
                    return n_answers, data
                assert body[length : length + 2] == b"\r\n"
                body = body[length + 2 :]
        else:
            length = int(fields["Content-Length"])
            if len(body) < length:
                return n_answers, data
            body = body[length:]
        data = body
        n_answers += 1
    return n_answers, data


@pytest.mark.parametrize("kind", SECOND_ANSWERS)
def test_kept_caller_gets_no_byte_beside_its_answers(second_answers, kind):
    deployment = second_answers(kind, 0.03)
    with KeptCaller(deployment.ports[GATEWAY]) as caller:
        for n in range(N_REQUESTS):
            caller.request("GET", f"/stock/{n}", Attempt_Id=f"kept-{kind}-{n}")
            assert caller.count_answers() == (1, b"")
            caller.request(
                "GET",
                "/draft/x",
                Attempt_Id=f"kept-stream-{kind}-{n}",
                Token_Count=f"100,{4 * N_EVENTS}",
                Model="m",
            )
            assert caller.count_answers() == (1, b"")


@pytest.fixture
def repeated_refusal(stuttering_deployment):
    """Let both engines refuse one request, and the refusal follow once more, late."""
    deployment = stuttering_deployment
    engines = (PLAIN_ENGINE, HEAD)

    def refuse(send, status, names):
        second = {"status": status, "is_refusal": True, "names": names}
        for name in engines:
            deployment.control(
                name, full=True, second=second, second_after_s=REFUSED_AGAIN_S
            )
        refused = send()
        for name in engines:
            deployment.control(
                name, full=False, second=None, begin_s=2 * REFUSED_AGAIN_S
            )
        return refused

    yield refuse
    for name in engines:
        deployment.control(name, begin_s=RUN_S, second_after_s=0.0)


@pytest.mark.parametrize("names", [None, "earlier"])
@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("kind", ["plain", "stream"])
def test_request_that_runs_is_not_refused_by_an_earlier_refusal(
    stuttering_deployment, repeated_refusal, kind, status, names
):
    deployment = stuttering_deployment

    def send():
        if kind == "stream":
            return deployment.request_stream(GATEWAY, 2, Deadline_Ms="3000")
        return deployment.request(GATEWAY, "/stock/x", "GET", Deadline_Ms="3000")

    assert send().status == 200
    assert repeated_refusal(send, status, names).status == 503
    n_before = len(deployment.history("run"))

    def send_until_it_runs():
        """Return the answer to a request that ran; its engine is avoided at first."""
        answer = send()
        return answer if len(deployment.history("run")) > n_before else None

    assert wait_for(send_until_it_runs, 5.0).status == 200
    assert len(deployment.history("run")) == n_before + 1


def test_log_tells_from_a_request_which_answer_was_dropped(second_answers):
    deployment = second_answers("signed, earlier id", 0.03)
    # The first connection brings the second answer while it is idle, the other one
    # while the next request runs on it.
    deployment.request(GATEWAY, "/stock/log", "GET", Attempt_Id="log-idle")
    rows = wait_for(
        lambda: [
            row
            for row in deployment.decisions(GATEWAY, "connection.unasked")
            if row["request"] == "log-idle"
        ]
    )
    assert rows[0]["address"] == f"127.0.0.1:{deployment.ports[PLAIN_ENGINE]}"
    assert rows[0]["when"] == "idle"
    deployment.request(GATEWAY, "/stock/log", "GET", Attempt_Id="log-first")
    deployment.request(GATEWAY, "/stock/log", "GET", Attempt_Id="log-second")
    (row,) = (
        row
        for row in deployment.decisions(GATEWAY, "answer.unproven")
        if row["request"] == "log-second"
    )
    assert (row["target"], row["named"]) == (PLAIN_ENGINE, "log-first")
    assert (row["status"], row["is_signed"], row["n_requests"]) == (200, True, 2)


@pytest.mark.parametrize("kind", ["404", "503 not run", "421"])
def test_refusal_is_not_taken_from_the_answer_to_another_request(second_answers, kind):
    deployment = second_answers(kind, 0.03)
    n_before = len(deployment.history("run"))
    answers = [deployment.request(GATEWAY, "/book/x") for _ in range(N_REQUESTS)]
    runs = deployment.history("run")[n_before:]
    assert [answer.status for answer in answers] == [200] * N_REQUESTS
    assert len(runs) == N_REQUESTS


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("kind", ["signed, earlier id", "503 not run, earlier id"])
def test_answer_is_not_that_of_an_earlier_request_with_the_same_id(
    second_answers, kind, delay_s
):
    deployment = second_answers(kind, delay_s)
    for n in range(N_REQUESTS):
        path = f"/stock/same-id/{n}"
        answer = deployment.request(GATEWAY, path, "GET", Attempt_Id="same")
        assert answer.status == 200, (n, answer.body)
        assert json.loads(answer.body) == {"by": PLAIN_ENGINE, "path": path}


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("kind", ["signed, earlier id", "503 not run, earlier id"])
def test_stream_is_not_that_of_an_earlier_request_with_the_same_id(
    second_answers, kind, delay_s
):
    deployment = second_answers(kind, delay_s)
    for n in range(1, 1 + N_REQUESTS):
        answer = deployment.request_stream(GATEWAY, n, Attempt_Id="same-stream")
        assert answer.status == 200, (n, answer.body)
        assert answer.event_ids == list(range(1, n + 1))
