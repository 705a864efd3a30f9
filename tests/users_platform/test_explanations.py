"""The cause of a failed request is found from its identifier and the logs alone.

Each test follows a path of docs/OPERATIONS.md.
"""

import http.client
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from tests.users_platform.deployment import (
    HOST,
    KEY,
    MODEL_SERVICE,
    configuration,
    route,
    wait_for,
)

GATEWAY = "gateway-celje"
ENGINES = ("celje-large", "celje-small", "velenje-large", "velenje-small")
OBJECTIVE_MS = 500
EVENT_S = 0.1
N_EVENTS = 12
# No engine has a cache for two prompts of this many tokens.
LARGE_PROMPT = 40_000


@pytest.fixture
def slow_deployment(deployment):
    """Streams take a second, on a resumable route and on one that runs them once."""
    once = route("once", "/once/", "streaming", MODEL_SERVICE, max_attempts=1)
    deployment.publish_configuration(4, routes=[*configuration(0)["routes"], once])
    wait_for(lambda: stream(deployment, "/once/x", "first", 100, 1).status == 200)
    wait_for(lambda: deployment.layered_engines(GATEWAY) == set(ENGINES))
    for name in ENGINES:
        deployment.control(name, event_s=EVENT_S)
    return deployment


def stream(deployment, path, request, prompt=100, n_events=N_EVENTS):
    return deployment.request(
        GATEWAY,
        path,
        Attempt_Id=request,
        Model="m",
        Token_Count=f"{prompt},{4 * n_events}",
        Deadline_Ms="8000",
    )


@contextmanager
def stream_in_progress(deployment, path, request, n_events=N_EVENTS):
    """Start a stream, and yield its head and its future answer once it has begun."""
    n_before = len(deployment.history("run"))
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(stream, deployment, path, request, 100, n_events)
        wait_for(lambda: len(deployment.history("run")) > n_before)
        time.sleep(3 * EVENT_S)
        yield deployment.history("run")[n_before]["engine"], answer


@contextmanager
def full_engines(deployment):
    """Start a long stream on each engine of the model."""
    n_before = len(deployment.history("run"))
    with ThreadPoolExecutor(len(ENGINES)) as pool:
        for name in ENGINES:
            pool.submit(stream, deployment, "/draft/x", f"long-{name}", LARGE_PROMPT)
        wait_for(lambda: len(deployment.history("run")) >= n_before + len(ENGINES))
        yield


def remove_entry(deployment, engine):
    path = f"/put?topic=keyed.servers&key={engine}"
    deployment.call(deployment.store_port, "POST", path)


def lines_of(deployment, event=None, **fields):
    """Return the lines that have all of these fields, as grep does."""
    rows = deployment.log_lines(GATEWAY)
    return [
        row
        for row in rows
        if event in (None, row["event"]) and fields.items() <= row.items()
    ]


def ended(deployment, request):
    [line] = wait_for(lambda: lines_of(deployment, "request.ended", request=request))
    return line


def holders(deployment, engine, at_s):
    """Return the streams that an engine ran at a time, by their lines."""
    ends_s = {
        row["request"]: row["time_s"] for row in lines_of(deployment, "request.ended")
    }
    return [
        row["request"]
        for row in lines_of(deployment, "stream.assigned")
        if row["chain"][0][0] == engine
        and row["time_s"] < at_s < ends_s.get(row["request"], float("inf"))
    ]


def test_stream_that_is_refused_at_once(slow_deployment):
    with full_engines(slow_deployment), ThreadPoolExecutor(1) as pool:
        pool.submit(stream, slow_deployment, "/draft/x", "waiting", LARGE_PROMPT)
        time.sleep(2 * EVENT_S)
        assert stream(slow_deployment, "/draft/x", "refused").status == 503
        line = ended(slow_deployment, "refused")
        assert (line["status"], line["outcome"]) == (503, "no-capacity")
        assert line["elapsed_ms"] < OBJECTIVE_MS
        # No attempt was sent: the wait was predicted to be longer than two objectives.
        assert not lines_of(slow_deployment, "stream.assigned", request="refused")
        [refusal] = lines_of(slow_deployment, "request.refused", request="refused")
        assert refusal["service"] == MODEL_SERVICE
        assert refusal["n_waiting"] == 1
        assert refusal["predicted_ms"] > 2 * OBJECTIVE_MS
        # Each engine was taken by a stream that was assigned before and ended later.
        for name in ENGINES:
            assert holders(slow_deployment, name, refusal["time_s"])


def test_stream_that_breaks_off_midway(slow_deployment):
    with stream_in_progress(slow_deployment, "/once/x", "broken") as (head, answer):
        slow_deployment.kill(head)
        remove_entry(slow_deployment, head)
        assert not answer.result().is_complete
    line = ended(slow_deployment, "broken")
    assert (line["status"], line["outcome"]) == (200, "target-failed")
    [attempt] = lines_of(slow_deployment, "attempt.broken", request="broken")
    assert attempt["is_sent"]
    assert attempt["head"] == head
    assert attempt["n_events"] == len(answer.result().event_ids)
    assert "closed" in attempt["reason"]
    # The route allows no other attempt, so that none was denied, and the target ended.
    assert len(lines_of(slow_deployment, "stream.assigned", request="broken")) == 1
    assert not lines_of(slow_deployment, "retry.denied", request="broken")
    [lost] = wait_for(
        lambda: lines_of(slow_deployment, "target.lost", request="broken")
    )
    assert lost["target"] == head
    [gone] = wait_for(lambda: lines_of(slow_deployment, "engine.gone", target=head))
    assert abs(gone["time_s"] - attempt["time_s"]) < 2.0


def test_stream_that_is_answered_after_its_objective(slow_deployment):
    with full_engines(slow_deployment):
        # The next stream has to wait, but less than two objectives.
        time.sleep(4 * EVENT_S)
        assert stream(slow_deployment, "/draft/x", "late", LARGE_PROMPT).is_complete
    line = ended(slow_deployment, "late")
    assert (line["status"], line["outcome"]) == (200, "answered")
    # The time went by before the only attempt, while others held the engine.
    [assigned] = lines_of(slow_deployment, "stream.assigned", request="late")
    assert assigned["waited_ms"] > OBJECTIVE_MS
    assert not lines_of(slow_deployment, "attempt.broken", request="late")
    head = assigned["chain"][0][0]
    begin_s = assigned["time_s"] - assigned["waited_ms"] / 1000
    assert holders(slow_deployment, head, begin_s)
    assert not holders(slow_deployment, head, assigned["time_s"])


def test_stream_that_is_late_since_it_moved(slow_deployment):
    with stream_in_progress(slow_deployment, "/draft/x", "moved") as (head, answer):
        slow_deployment.kill(head)
        assert answer.result().is_complete
    line = ended(slow_deployment, "moved")
    assert (line["status"], line["outcome"]) == (200, "answered")
    first, second = lines_of(slow_deployment, "stream.assigned", request="moved")
    [attempt] = lines_of(slow_deployment, "attempt.broken", request="moved")
    assert first["time_s"] < attempt["time_s"] <= second["time_s"]
    assert attempt["head"] == first["chain"][0][0] == head
    assert second["chain"][0][0] != head
    assert second["after"] == str(attempt["n_events"])


def test_stream_that_is_cut_although_its_engine_goes_on(slow_deployment):
    with stream_in_progress(slow_deployment, "/once/x", "cut", 40) as (head, answer):
        slow_deployment.kill(head, signal.SIGSTOP)
        remove_entry(slow_deployment, head)
        assert not answer.result().is_complete
        slow_deployment.kill(head, signal.SIGCONT)
    line = ended(slow_deployment, "cut")
    assert (line["status"], line["outcome"]) == (200, "target-failed")
    # The gateway ended it itself: its engine was silent, and it could not move.
    silent = lines_of(slow_deployment, "stream.silent", request="cut")[-1]
    assert silent["target"] == head
    assert silent["decision"] not in ("moves", "waits")
    assert not silent["may_move"]
    assert silent["n_events"] == len(answer.result().event_ids)
    # The engine was gone from the list, and is back without having been restarted.
    [gone] = lines_of(slow_deployment, "engine.gone", target=head)
    seen = wait_for(
        lambda: [
            row
            for row in lines_of(slow_deployment, "engine.seen", target=head)
            if row["time_s"] > silent["time_s"]
        ]
    )
    assert gone["time_s"] < seen[0]["time_s"]
    assert not lines_of(slow_deployment, "target.lost", target=head)


def test_connection_that_is_closed_although_its_caller_keeps_it(slow_deployment):
    idle_timeout_ms = 1000
    limits = {"idle_timeout_ms": idle_timeout_ms}
    slow_deployment.publish_configuration(5, limits=limits)
    wait_for(lambda: lines_of(slow_deployment, "configuration.in_force", version=5))
    port = slow_deployment.ports[GATEWAY]
    caller = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "Attempt-Id": "kept"}
    caller.request("GET", "/stock/1", headers=headers)
    assert caller.getresponse().read()
    assert caller.sock.recv(1) == b""
    # The gateway closed it: it had been idle for the timeout in force, after one
    # request, and no part of another one had arrived.
    [closed] = wait_for(lambda: lines_of(slow_deployment, "connection.closed"))
    assert closed["reason"] == "idle"
    assert closed["idle_ms"] >= closed["limit_ms"] == idle_timeout_ms
    assert closed["n_requests"] == 1
    assert not closed["is_receiving"]
    assert not lines_of(slow_deployment, "request.dropped")
    # The timeout is that of the configuration with which the request ended.
    line = ended(slow_deployment, "kept")
    assert line["configuration"] == 5
    idle_ms = (closed["time_s"] - line["time_s"]) * 1000
    assert abs(idle_ms - closed["idle_ms"]) < OBJECTIVE_MS
