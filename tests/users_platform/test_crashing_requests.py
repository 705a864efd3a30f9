"""Requests that crash each engine that runs them, sent again and again."""

import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from tests.users_platform.deployment import (
    DOMAINS,
    HOST,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Respawner,
    configuration,
    route,
    wait_for,
)

CRASH_TEXT = "poison"
CALL_TEXT = "call"
# Time after the third crash within which all connected daemons must have learned of
# it, and number of runs allowed after that.
LEARN_S = 3.0
N_LATE_RUNS = 3
N_CRASHES = 3
RESPAWN_S = 1.5
SEND_INTERVAL_S = 0.5
DEADLINE_MS = "1000"
GATEWAYS = tuple(f"gateway-{zone}" for zone in DOMAINS)
PLAIN_ENGINES = ("celje-plain", "velenje-plain", "velenje-plain-2")
MODEL_ENGINES = tuple(f"{z}-{kind}" for z in DOMAINS for kind in ("large", "small"))
ENGINES = PLAIN_ENGINES + MODEL_ENGINES


@pytest.fixture
def bare_fleet(bare_deployment):
    """Engines that one request crashes and that are restarted, without gateways."""
    deployment = bare_deployment
    deployment.publish_configuration(3)
    for name in PLAIN_ENGINES:
        add_engine(deployment, name, PLAIN_SERVICE)
    for name in MODEL_ENGINES:
        add_engine(deployment, name, MODEL_SERVICE, name.split("-")[1])
    with Respawner(deployment, ENGINES, RESPAWN_S):
        yield deployment


@pytest.fixture
def fleet(bare_fleet):
    """Two gateways that communicate."""
    for name in GATEWAYS:
        bare_fleet.add_gateway(name, name.split("-")[1], has_peers=True)
    for name in GATEWAYS:
        wait_served(bare_fleet, name)
    # Daemons discover each other in the second round of gossip.
    time.sleep(2.0)
    return bare_fleet


def add_engine(deployment, name, service, kind="", **options):
    zone = name.split("-")[0]
    deployment.add_engine(name, service, zone, kind, crash_on=CRASH_TEXT, **options)


def wait_served(deployment, gateway):
    wait_for(lambda: deployment.is_ready(gateway))
    wait_for(lambda: deployment.request_stream(gateway, 1).status == 200)
    wait_for(lambda: deployment.request(gateway, "/stock/1", "GET").status == 200)


def send_crashing(deployment, gateway, path="/stock/p", **headers):
    """Send the crashing request under a new identifier."""
    all_headers = {"Deadline_Ms": DEADLINE_MS, **headers}
    return deployment.request(gateway, path, "POST", CRASH_TEXT.encode(), **all_headers)


def send_crashing_stream(deployment, gateway, **headers):
    stream_headers = {"Token_Count": "100,40", "Model": "m", **headers}
    return send_crashing(deployment, gateway, "/draft/p", **stream_headers)


def send_by_turns(deployment, length_s, send=send_crashing, gateways=GATEWAYS):
    """Send a request at regular intervals, to the gateways by turns."""
    answers = []
    for turn in range(int(length_s / SEND_INTERVAL_S)):
        due_s = time.monotonic() + SEND_INTERVAL_S
        answers.append(send(deployment, gateways[turn % len(gateways)]))
        time.sleep(max(0.0, due_s - time.monotonic()))
    return answers


def crashing_runs(deployment):
    """Return the times of the runs of crashing requests, earliest first."""
    return sorted(
        row["at_s"] for row in deployment.history("run") if row["body"] == CRASH_TEXT
    )


def assert_contained(deployment):
    runs = crashing_runs(deployment)
    assert len(runs) >= N_CRASHES, f"the request crashed only {len(runs)} engines"
    late = [s for s in runs[N_CRASHES:] if s > runs[N_CRASHES - 1] + LEARN_S]
    assert len(late) <= N_LATE_RUNS, (
        f"{len(runs)} runs, {len(late)} of them more than {LEARN_S} s after the third"
    )


def is_quarantined(answer):
    return answer.status == 503 and json.loads(answer.body)["type"].endswith(
        ":quarantined"
    )


def assert_refused_at_once(answer):
    assert is_quarantined(answer)
    assert json.loads(answer.body)["outcome"] == "not-run"
    assert float(answer.headers["Retry-After"]) > 0


def run_innocents(deployment, is_over, answers, number, gateways):
    turn = 0
    while not is_over.wait(0.05):
        gateway = gateways[turn % len(gateways)]
        # Half of the requests are identical to each other.
        path = f"/stock/{f'{number}-{turn}' if turn % 2 else 'same'}"
        begin_s = time.time()
        if number:
            answer = deployment.request_stream(gateway, 20)
            path = "/draft"
        else:
            answer = deployment.request(
                gateway, path, "GET", b"", Deadline_Ms=DEADLINE_MS
            )
        answers.append((begin_s, path, answer))
        turn += 1


@contextmanager
def innocent_load(deployment, gateways=GATEWAYS):
    """Send lookups and streams to all gateways until the context ends."""
    is_over, answers = threading.Event(), []
    threads = [
        threading.Thread(
            target=run_innocents, args=(deployment, is_over, answers, n, gateways)
        )
        for n in range(3)
    ]
    for thread in threads:
        thread.start()
    try:
        yield answers
    finally:
        is_over.set()
        for thread in threads:
            thread.join()


def assert_innocents_served(answers, begin_s):
    """Check that none was taken for the crashing request, and all are served again."""
    assert [path for _, path, a in answers if is_quarantined(a)] == []
    later = [(path, a.status) for at_s, path, a in answers if at_s > begin_s]
    assert later
    assert [row for row in later if row[1] != 200] == []


def test_crashing_request_by_turns_is_not_run_again(fleet):
    # Guards against daemons that run a crashing request again whenever it arrives.
    with innocent_load(fleet) as innocents:
        answers = send_by_turns(fleet, 25.0)
    assert_contained(fleet)
    # The engines are back by then.
    settled_s = crashing_runs(fleet)[N_CRASHES - 1] + LEARN_S
    assert_innocents_served(innocents, settled_s)
    assert_refused_at_once(answers[-1])


def send_booking(deployment, gateway):
    return send_crashing(deployment, gateway, "/book/p")


@pytest.mark.parametrize("send", [send_booking, send_crashing_stream])
def test_crashing_booking_and_stream_are_not_run_again(fleet, send):
    with innocent_load(fleet) as innocents:
        answers = send_by_turns(fleet, 16.0, send)
    assert_contained(fleet)
    settled_s = crashing_runs(fleet)[N_CRASHES - 1] + LEARN_S + RESPAWN_S
    assert_innocents_served(innocents, settled_s)
    assert_refused_at_once(answers[-1])


def test_resumed_crashing_stream_is_not_run_again(fleet):
    # The caller continues after the last event that it has, under another identifier.
    send_by_turns(fleet, 3.0, send_crashing_stream)

    def resume(deployment, gateway):
        return send_crashing_stream(deployment, gateway, Last_Event_Id="3")

    answers = send_by_turns(fleet, 8.0, resume)
    assert_contained(fleet)
    assert_refused_at_once(answers[-1])


WHOLE_SERVICE = "whole-pool"
WHOLE_ENGINES = tuple(f"{zone}-whole-{n}" for zone in DOMAINS for n in range(2))
WHOLE_ROUTES = {
    "resumable-stream": {"kind": "streaming", "resumable": True},
    "stream": {"kind": "streaming"},
    "lookup": {"kind": "idempotent"},
    "booking": {"kind": "non_idempotent"},
}
STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\n\r\n"
)
OTHER_ANSWER = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n"
# What an engine sends before it ends.
LAST_BYTES = {
    "no answer": "no answer\r\n\r\n",
    "answer to another": OTHER_ANSWER,
    "head": STREAM_HEAD,
    "event out of place": STREAM_HEAD + "id: 1\ndata: x\n\n",
}


def whole_service(has_engine_section):
    """Return a service whose engines run all layers alone."""
    service = dict(configuration(0)["services"][0], name=WHOLE_SERVICE)
    engine = dict(service.pop("engine"))
    del engine["layers"], engine["layer_mb"]
    return service | ({"engine": engine} if has_engine_section else {})


def start_whole_pool(deployment, has_engine_section=True, last_bytes=""):
    routes = [
        route(name, f"/{name}/", service=WHOLE_SERVICE, **fields)
        for name, fields in WHOLE_ROUTES.items()
    ]
    service = whole_service(has_engine_section)
    deployment.publish_configuration(3, routes=routes, services=[service])
    for name in WHOLE_ENGINES:
        add_engine(deployment, name, WHOLE_SERVICE, crash_bytes=last_bytes)
    for name in GATEWAYS:
        deployment.add_gateway(name, name.split("-")[1], has_peers=True)
    for name in GATEWAYS:
        wait_for(lambda name=name: deployment.is_ready(name))
        wait_for(lambda name=name: send_sound(deployment, name).status == 200)
    # Daemons discover each other in the second round of gossip.
    time.sleep(2.0)


def send_sound(deployment, gateway, path="/resumable-stream/1"):
    return deployment.request(gateway, path, Token_Count="100,8", Model="m")


def check_crashing_request_is_refused(deployment, path, **headers):
    def send(deployment, gateway):
        stream_headers = {"Token_Count": "100,40", "Model": "m", **headers}
        return send_crashing(deployment, gateway, path, **stream_headers)

    with Respawner(deployment, WHOLE_ENGINES, RESPAWN_S):
        answers = send_by_turns(deployment, 10.0, send)
        assert_contained(deployment)
        assert_refused_at_once(answers[-1])
        for name in GATEWAYS:
            wait_for(lambda name=name: send_sound(deployment, name).status == 200)


@pytest.mark.parametrize("name", WHOLE_ROUTES)
def test_request_that_crashes_engines_without_layers_is_not_run_again(
    bare_deployment, name
):
    # Guards against losses that are recorded for chains of engines alone.
    start_whole_pool(bare_deployment)
    check_crashing_request_is_refused(bare_deployment, f"/{name}/p")


def test_stream_that_crashes_plain_targets_is_not_run_again(bare_deployment):
    # Guards against losses that are recorded for services with a model alone.
    start_whole_pool(bare_deployment, has_engine_section=False)
    check_crashing_request_is_refused(bare_deployment, "/resumable-stream/p")


@pytest.mark.parametrize("last", LAST_BYTES)
def test_engines_that_send_something_before_they_end_are_recorded(
    bare_deployment, last
):
    # Guards against losses that are not recorded for some ends of an attempt.
    start_whole_pool(bare_deployment, last_bytes=LAST_BYTES[last])
    check_crashing_request_is_refused(
        bare_deployment, "/resumable-stream/p", Last_Event_Id="3"
    )


def test_copies_sent_at_the_same_moment_are_not_run_again(fleet):
    with ThreadPoolExecutor(len(GATEWAYS) * 2) as pool:
        for _ in range(16):
            copies = [
                pool.submit(send_crashing, fleet, gateway) for gateway in GATEWAYS * 2
            ]
            answers = [copy.result() for copy in copies]
            time.sleep(SEND_INTERVAL_S)
    assert_contained(fleet)
    for answer in answers:
        assert_refused_at_once(answer)


def test_crashing_call_of_a_run_is_not_run_again(fleet):
    # An innocent request, whose run calls the service through a gateway: the call is
    # what crashes engines.
    fleet.publish_configuration(
        4,
        routes=[
            route("caller", "/caller/", "idempotent", "calling-pool"),
            *configuration(0)["routes"],
        ],
        services=[*configuration(0)["services"], {"name": "calling-pool"}],
    )
    fleet.add_engine(
        "celje-caller",
        "calling-pool",
        "celje",
        crash_on=CRASH_TEXT,
        call_on=CALL_TEXT,
        call_host=HOST,
        call_url=f"http://127.0.0.1:{fleet.ports[GATEWAYS[1]]}/open/p",
    )

    def send(deployment, gateway, text=CALL_TEXT):
        return deployment.request(gateway, "/caller/1", body=text.encode())

    for gateway in GATEWAYS:
        wait_for(lambda name=gateway: send(fleet, name, "innocent").status == 200)
    answers = send_by_turns(fleet, 10.0, send)
    assert_contained(fleet)
    assert [a.status for a in answers] == [200] * len(answers)


def test_restarted_gateways_remember_a_crashing_request(fleet):
    send_by_turns(fleet, 3.0)
    for name in GATEWAYS:
        fleet.kill(name)
        fleet.processes[name].wait()
    for name in GATEWAYS:
        fleet.restart(name)
    for name in GATEWAYS:
        fleet.wait_listening(name)
        wait_for(lambda name=name: fleet.is_ready(name))
    time.sleep(LEARN_S)
    answers = send_by_turns(fleet, 6.0)
    assert_contained(fleet)
    assert_refused_at_once(answers[-1])


def test_paused_gateway_learns_of_a_crashing_request(fleet):
    paused, running = GATEWAYS
    fleet.kill(paused, signal.SIGSTOP)
    send_by_turns(fleet, 3.0, gateways=[running])
    fleet.kill(paused, signal.SIGCONT)
    time.sleep(LEARN_S)
    answers = send_by_turns(fleet, 6.0, gateways=[paused])
    assert_contained(fleet)
    assert_refused_at_once(answers[-1])


def test_gateways_that_reach_only_the_store_share_crashing_requests(bare_fleet):
    for name in GATEWAYS:
        bare_fleet.add_gateway(name, name.split("-")[1])
    for name in GATEWAYS:
        wait_served(bare_fleet, name)
    answers = send_by_turns(bare_fleet, 12.0)
    assert_contained(bare_fleet)
    assert_refused_at_once(answers[-1])


def test_gateways_without_the_store_share_crashing_requests(fleet):
    fleet.control("store", refuse=True)

    # Keys are refused while the configuration may be outdated.
    def send(deployment, gateway):
        return send_crashing(deployment, gateway, "/open/p")

    answers = send_by_turns(fleet, 12.0, send)
    assert_contained(fleet)
    assert_refused_at_once(answers[-1])


def test_store_restored_from_an_older_copy_keeps_crashing_requests(fleet):
    send_by_turns(fleet, 3.0)
    wait_for(lambda: fleet.decisions(GATEWAYS[0], "suspects.written"))
    fleet.control("store", restore=4.0)
    # What the restored store lacks is written again, so that daemons that start later
    # and reach no other daemon know of the request.
    time.sleep(LEARN_S)
    for name in GATEWAYS:
        fleet.kill(name)
        fleet.processes[name].wait()
    fleet.add_gateway("gateway-late", "celje")
    wait_served(fleet, "gateway-late")
    answers = send_by_turns(fleet, 4.0, gateways=["gateway-late"])
    assert_contained(fleet)
    assert_refused_at_once(answers[-1])


def test_coincident_crashes_quarantine_no_request(fleet):
    # All engines end at once under copies of one innocent request.
    with innocent_load(fleet) as innocents:
        time.sleep(1.0)
        for _ in range(2):
            for name in PLAIN_ENGINES:
                fleet.kill(name)
            time.sleep(RESPAWN_S + 1.5)
        settled_s = time.time()
        time.sleep(1.0)
    assert_innocents_served(innocents, settled_s)
