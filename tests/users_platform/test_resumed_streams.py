"""Streams that broke off, and what the engine that they resume at answers."""

import re

import pytest

from tests.users_platform.deployment import (
    MODEL_SERVICE,
    configuration,
    route,
    wait_for,
)

GATEWAY = "gateway"
ENGINES = ("head-a", "head-b", "head-c")
N_EVENTS = 6
N_BEFORE = 3
# Heads are chosen at random, so that one in three tries shows the case at most.
N_TRIES = 40
# Time of the callers of streams whose first engine stays silent, in milliseconds: a
# second start begins after a second.
SILENCE_DEADLINE_MS = 3000
# Pause in which the last event of an engine that breaks off is passed on, in seconds.
BREAK_AFTER_S = 0.1
RETRY_SLACK = 100_000
BEGINNING = list(range(1, N_BEFORE + 1))
WHOLE = list(range(1, N_EVENTS + 1))
SOUND = {
    "close_after": None,
    "mute_after": None,
    "break_text": "",
    "break_after_s": 0.0,
    "continuation": None,
}


def events(*ids, end="\n"):
    return "".join(f"id: {n}{end}data: token {n}{end}{end}" for n in ids)


FAILURE = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed\n\n"
# Bodies of signed answers with status 200 that do not go on after the third event.
MISPLACED = {
    "head and text of a failure": FAILURE,
    "failure as an event without id": "event: error\ndata: failed\n\n",
    "from the beginning": events(*WHOLE),
    "begins after a gap": events(6),
    "gap inside": events(4, 5, 7),
    "repeats the last one": events(3, 4, 5, 6),
    "repeats one inside": events(4, 4, 5, 6),
    "goes back": events(4, 5, 3, 6),
    "id in words": "id: four\ndata: x\n\n",
    "other digits": "id: \u0664\ndata: x\n\n",
    "leading zero": "id: 04\ndata: x\n\n",
    "empty id": "id:\ndata: x\n\n",
    "two ids": "id: 9\nid: 4\ndata: x\n\n",
    "event without id inside": events(4) + "data: x\n\n" + events(5, 6),
    "failure behind an event": events(4) + FAILURE,
    "no event": "",
    "comment alone": ": ping\n\n",
}
CONTINUATIONS = {
    "plain": events(4, 5, 6),
    "carriage returns": events(4, 5, 6, end="\r\n"),
    "no space": events(4, 5, 6).replace("id: ", "id:"),
    "version": "weight-versions: 2\n" + events(4, 5, 6),
    "comments": ": ping\n\n: ping\n" + events(4) + ": ping\n\n" + events(5, 6),
    "id behind the data": "data: token 4\nid: 4\n\n" + events(5, 6),
}
SIGNED = {"is_signed": True, "names": "earlier"}
FAILURES = {
    "500": SIGNED | {"status": 500, "body": FAILURE},
    "404": SIGNED | {"status": 404},
    "302": SIGNED | {"status": 302, "headers": ["Location: /x"]},
    "206": SIGNED | {"status": 206, "body": events(4, 5, 6)},
    "204": SIGNED | {"status": 204, "delimiter": "none", "body": ""},
    "garbage": {"delimiter": "headless", "body": FAILURE[-12:] + events(4, 5, 6)},
    "unsigned": {"names": "earlier", "body": events(4, 5, 6)},
    "no identifier": {"is_signed": True, "body": events(4, 5, 6)},
    "other identifier": {"is_signed": True, "names": "x", "body": events(4, 5, 6)},
    "JSON": SIGNED | {"headers": ["Content-Type: application/json"]},
}


@pytest.fixture(scope="module")
def module_heads(bare_module_deployment):
    """One gateway and three engines, each of which can run a stream alone."""
    deployment = bare_module_deployment
    routes = [
        *configuration(0)["routes"],
        route(
            "thrice",
            "/thrice/",
            "streaming",
            MODEL_SERVICE,
            resumable=True,
            max_attempts=3,
        ),
    ]
    deployment.publish_configuration(3, routes=routes)
    for name in ENGINES:
        deployment.add_engine(name, MODEL_SERVICE, "celje", "large")
    # Each test takes a retry or two, within seconds.
    deployment.add_gateway(GATEWAY, "celje", retry_budget_slack=RETRY_SLACK)
    wait_for(lambda: deployment.is_ready(GATEWAY))
    wait_for(lambda: request(deployment, "/thrice/x").status == 200)
    wait_for(lambda: deployment.layered_engines(GATEWAY) == set(ENGINES))
    return deployment


@pytest.fixture
def heads(module_heads):
    """Streams without ``Last-Event-Id`` end after three events."""
    control(module_heads, **SOUND | {"close_after": N_BEFORE})
    yield module_heads
    control(module_heads, **SOUND)


def control(deployment, **fields):
    for name in ENGINES:
        deployment.control(name, **fields)


def request(deployment, path="/draft/x", **headers):
    count = f"100,{4 * N_EVENTS}"
    return deployment.request(GATEWAY, path, Token_Count=count, Model="m", **headers)


def runs_of(deployment, request_id):
    return [
        row["engine"]
        for row in deployment.history("run")
        if row["headers"].get("Attempt-Id") == request_id
    ]


def assert_broken_off_in_order(answer):
    """Check that the caller has a beginning of the stream, and can tell that it is."""
    assert answer.status == 200
    assert not answer.is_complete, answer.body
    n_events = len(answer.event_ids)
    assert n_events >= N_BEFORE
    assert answer.body.decode() == events(*range(1, n_events + 1))


def assert_whole(answer):
    assert answer.status == 200
    assert answer.is_complete
    ids = re.findall(r"^id: ?(\d+)", answer.body.decode(), re.MULTILINE)
    assert list(map(int, ids)) == WHOLE


@pytest.mark.parametrize("delimiter", ["length", "chunks", "none"])
@pytest.mark.parametrize("kind", MISPLACED)
def test_answer_that_does_not_go_on_is_not_joined_to_a_stream(heads, kind, delimiter):
    answer = SIGNED | {"delimiter": delimiter, "body": MISPLACED[kind]}
    control(heads, continuation=answer)
    assert_broken_off_in_order(request(heads))


@pytest.mark.parametrize("kind", ["from the beginning", "no event", "gap inside"])
def test_answer_that_does_not_go_on_is_not_joined_to_a_part_of_an_event(heads, kind):
    control(
        heads,
        break_text="id: {id}\ndata: tok",
        continuation=SIGNED | {"body": MISPLACED[kind]},
    )
    assert_broken_off_in_order(request(heads))


@pytest.mark.parametrize("kind", CONTINUATIONS)
def test_stream_goes_on_with_the_event_after_its_last_one(heads, kind):
    control(heads, continuation=SIGNED | {"body": CONTINUATIONS[kind]})
    assert_whole(request(heads))


@pytest.mark.parametrize("kind", FAILURES)
def test_failure_is_not_joined_to_a_stream(heads, kind):
    control(heads, continuation=FAILURES[kind])
    assert_broken_off_in_order(request(heads))


@pytest.mark.parametrize(
    "answer",
    [
        SIGNED | {"body": MISPLACED["from the beginning"]},
        SIGNED | {"body": FAILURE},
        SIGNED | {"body": ""},
        {"status": 503, "is_refusal": True, "names": "earlier"},
    ],
)
def test_stream_resumes_elsewhere_if_an_answer_does_not_go_on(heads, answer):
    for n in range(N_TRIES):
        faulty = ENGINES[n % len(ENGINES)]
        control(heads, continuation=SIGNED | {"body": events(4, 5, 6)})
        heads.control(faulty, continuation=answer)
        request_id = f"elsewhere-{n}-{len(heads.history('run'))}"
        assert_whole(request(heads, "/thrice/x", Attempt_Id=request_id))
        engines = runs_of(heads, request_id)
        if len(engines) == 3:
            assert engines[1] == faulty
            return
    raise AssertionError(f"none of {N_TRIES} streams came to the faulty engine second")


@pytest.mark.parametrize(
    "kind", ["from the beginning", "failure as an event without id", "no event"]
)
def test_answer_beside_a_silent_engine_that_does_not_go_on_is_not_joined(heads, kind):
    control(
        heads,
        close_after=None,
        mute_after=N_BEFORE,
        continuation=SIGNED | {"body": MISPLACED[kind]},
    )
    n_before = len(heads.decisions(GATEWAY, "second.ended"))
    answer = request(heads, Deadline_Ms=str(SILENCE_DEADLINE_MS))
    assert_broken_off_in_order(answer)
    assert answer.event_ids == BEGINNING
    ended = wait_for(lambda: heads.decisions(GATEWAY, "second.ended")[n_before:])
    assert [row["result"] for row in ended] == ["failed"]


@pytest.mark.parametrize("kind", ["from the beginning", "gap inside"])
def test_caller_that_resumes_gets_no_events_that_it_has(heads, kind):
    control(heads, continuation=SIGNED | {"body": MISPLACED[kind]})
    answer = request(heads, Last_Event_Id=str(N_BEFORE))
    assert answer.status == 502 or not answer.is_complete
    if answer.status == 200:
        assert answer.event_ids == [4, 5]


def test_caller_that_resumes_gets_the_events_that_follow(heads):
    control(heads, continuation=SIGNED | {"body": CONTINUATIONS["plain"]})
    answer = request(heads, Last_Event_Id=str(N_BEFORE))
    assert answer.is_complete
    assert answer.event_ids == [4, 5, 6]


@pytest.mark.parametrize("text", ["data: token\n\n", "id: x\n\n", "id: 9\n\n"])
def test_stream_whose_place_is_not_known_does_not_resume(heads, text):
    # The events of the first engine, and a further one before it breaks off.
    control(
        heads,
        break_text=text,
        break_after_s=BREAK_AFTER_S,
        continuation=SIGNED | {"body": events(4, 5, 6)},
    )
    answer = request(heads, Attempt_Id=f"unplaced-{text[:5]}")
    assert not answer.is_complete
    assert answer.body.decode() == events(*BEGINNING) + text


def test_stream_without_ids_does_not_run_again_after_its_first_events(heads):
    control(
        heads,
        close_after=0,
        break_text="data: a\n\n",
        break_after_s=BREAK_AFTER_S,
        continuation=SIGNED | {"body": events(4, 5, 6)},
    )
    answer = request(heads, Attempt_Id="no-ids")
    assert not answer.is_complete
    assert answer.body == b"data: a\n\n"
    assert len(runs_of(heads, "no-ids")) == 1


def test_refused_continuation_is_explained(heads):
    control(heads, continuation=SIGNED | {"body": events(6)})
    request(heads, Attempt_Id="explained")
    rows = wait_for(
        lambda: [
            row
            for row in heads.decisions(GATEWAY, "attempt.misplaced")
            if row["request"] == "explained"
        ]
    )
    assert [(row["expected"], row["found"]) for row in rows] == [("4", ["6"])]
    assert [row["head"] for row in rows] == runs_of(heads, "explained")[1:]
