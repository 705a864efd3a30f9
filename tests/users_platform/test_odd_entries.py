"""Entries among those of the engines that name no engine: the others hold.

Each entry is put beside sound engines. Requests and streams must be served, a new
engine must be noticed, and nothing unexpected may be logged, while it is there.
"""

import json

import pytest

from tests.json_lines import decode_log
from tests.users_platform.deployment import (
    MODEL_SERVICE,
    N_LAYERS,
    PLAIN_SERVICE,
    wait_for,
)

GATEWAY = "gateway"
ODD = "odd"
N_REQUESTS = 8
N_STREAMS = 2
N_EVENTS = 3
# Unexpected errors that a gateway survives.
ERROR_EVENTS = ("callback.failed", "request.failed", "connection.failed")


def entry(**fields):
    sound = {
        "service": PLAIN_SERVICE,
        "address": "127.0.0.1:9",
        "zone": "celje",
        "version": 1,
        "slots": 2,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    return json.dumps(sound | fields).encode()


def with_value(name, value):
    """Return an entry with a value that json cannot write."""
    return entry(**{name: "VALUE"}).replace(b'"VALUE"', value)


def model_entry(begin, end):
    layers = {"from": begin, "to": end, "version": 1}
    return entry(service=MODEL_SERVICE, route_kind="large", layers=layers)


NESTED_OBJECTS = b'{"a":' * 50_000 + b"1" + b"}" * 50_000
NESTED_LISTS = b"[" * 100_000 + b"]" * 100_000
ODD_ENTRIES = {
    "objects in an unknown field": with_value("new", NESTED_OBJECTS),
    "lists in an unknown field": with_value("new", NESTED_LISTS),
    "objects in layers": with_value("layers", NESTED_OBJECTS),
    "lists in layers": with_value("layers", NESTED_LISTS),
    "lists alone": NESTED_LISTS,
    "lists without an end": with_value("new", b"[" * 100_000),
    "layers to 2^63": model_entry(0, 2**63),
    "layers from -2^62 to 2^62": model_entry(-(2**62), 2**62),
    "layers to 2^53": model_entry(0, 2**53),
    "layers from -1": model_entry(-1, N_LAYERS),
    "layers backwards": model_entry(N_LAYERS, 0),
    "port 99999": entry(address="127.0.0.1:99999"),
    "port -1": entry(address="127.0.0.1:-1"),
    "port 0": entry(address="127.0.0.1:0"),
    "port http": entry(address="127.0.0.1:http"),
    "port of a superscript": entry(address="127.0.0.1:²"),
    "port of 5,000 digits": entry(address="127.0.0.1:" + "1" * 5000),
    "no port": entry(address="127.0.0.1"),
    "empty port": entry(address="127.0.0.1:"),
    "no host": entry(address=":80"),
    "NUL in the host": entry(address="127.0.0.1\0:80"),
    "line end in the host": entry(address="127.0.0.1\r\n:80"),
    "name as host": entry(address="localhost:80"),
    "name of 5,000 characters": entry(address="a" * 5000 + ":80"),
    "address no text": entry(address=80),
    "slots of 400 digits": with_value("slots", b"9" * 400),
    "slots of 5,000 digits": with_value("slots", b"9" * 5000),
    "slots 1e400": with_value("slots", b"1e400"),
    "slots 2^70": entry(slots=2**70),
    "slots 2^60": entry(slots=2**60),
    "slots -5": entry(slots=-5),
    "sequence -1": entry(sequence=-1),
    "sequence 2^63": entry(sequence=2**63),
    "born -1": entry(born=-1),
    "born 2^64 - 1": entry(born=2**64 - 1),
    "born 1.5": entry(born=1.5),
    "empty service": entry(service=""),
    "empty zone": entry(zone=""),
    "zone of 100,000 characters": entry(zone="z" * 100_000),
    "unknown state": entry(state="asleep"),
    "lone surrogate": with_value("zone", b'"\\ud800"'),
    "no UTF-8": with_value("zone", b'"\xff\xfe"'),
    "no object": b"1",
    "no fields": b"{}",
    "no JSON": b"\0\xff",
    "second address unusable": entry()[:-1] + b', "address": "127.0.0.1:http"}',
}

ODD_KEYS = {
    "empty": "",
    "line end": "odd%0D%0AX-Odd:%201",
    "no latin-1": "odd%E2%82%AC",
}


@pytest.fixture(scope="module")
def served_deployment(bare_module_deployment):
    """One gateway, one engine with all layers and one plain one."""
    deployment = bare_module_deployment
    deployment.publish_configuration(3)
    deployment.add_engine("plain", PLAIN_SERVICE, "celje")
    deployment.add_engine("head", MODEL_SERVICE, "celje", "large")
    deployment.add_gateway(GATEWAY, "celje")
    wait_for(lambda: deployment.is_ready(GATEWAY))
    wait_for(lambda: deployment.request(GATEWAY, "/stock/1").status == 200)
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200)
    return deployment


@pytest.fixture
def odd_entry(served_deployment):
    """Puts an odd entry, and removes it after the test."""
    deployment = served_deployment
    log_path = deployment.folder / f"{GATEWAY}.log"

    def put(value):
        n_bytes = log_path.stat().st_size
        deployment.put_record("keyed.servers", ODD, value)
        return deployment, lambda: log_path.read_bytes()[n_bytes:]

    yield put
    deployment.put_record("keyed.servers", ODD, b"")


@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_an_odd_entry_harms_no_request_and_hides_no_engine(odd_entry, kind):
    deployment, read_log = odd_entry(ODD_ENTRIES[kind])
    check_served(deployment, read_log, f"new-{list(ODD_ENTRIES).index(kind)}")
    log = read_log()
    assert any_line(log, "engine.unreadable", ODD)
    assert not any_line(log, "engine.seen", ODD)


def test_an_entry_with_more_layers_than_the_model_harms_no_request(odd_entry):
    deployment, read_log = odd_entry(model_entry(0, 500 * N_LAYERS))
    wait_for(lambda: any_line(read_log(), "engine.unfit", ODD))
    check_served(deployment, read_log, "new-layers")


@pytest.mark.parametrize("kind", ODD_KEYS)
def test_an_odd_key_of_an_entry_harms_no_request(odd_entry, kind):
    deployment, read_log = odd_entry(b"")
    deployment.put_record("keyed.servers", ODD_KEYS[kind], entry())
    check_served(deployment, read_log, f"new-key-{list(ODD_KEYS).index(kind)}")
    deployment.put_record("keyed.servers", ODD_KEYS[kind], b"")
    assert any_line(read_log(), "engine.unreadable")


def check_served(deployment, read_log, new):
    """Check that a new engine is noticed and that all requests are served."""
    deployment.put_record("keyed.servers", new, entry(state="draining"))
    wait_for(lambda: any_line(read_log(), "engine.seen", new), 3.0)
    deployment.put_record("keyed.servers", new, b"")
    for n in range(N_REQUESTS):
        answer = deployment.request(GATEWAY, f"/stock/{n}", "GET")
        assert answer.status == 200, (n, answer.body)
    for n in range(N_STREAMS):
        answer = deployment.request_stream(GATEWAY, N_EVENTS)
        assert answer.status == 200, (n, answer.body)
        assert answer.event_ids == list(range(1, N_EVENTS + 1))
    log = read_log()
    assert b"Traceback" not in log
    assert not any(any_line(log, event) for event in ERROR_EVENTS)
    assert deployment.processes[GATEWAY].poll() is None


@pytest.mark.parametrize("value", [NESTED_LISTS, b"{}", b"\xff", NESTED_OBJECTS])
def test_an_odd_suspect_record_stops_no_reader(odd_entry, value):
    deployment, read_log = odd_entry(b"")
    deployment.put_record("keyed.suspects", ODD, value)
    wait_for(lambda: any_line(read_log(), "suspect.unreadable"), 3.0)
    assert b"Traceback" not in read_log()


def test_entries_are_read_anew_beside_an_odd_one(served_deployment):
    """A gateway that starts while the entry is there reads it with all others."""
    deployment = served_deployment
    deployment.put_record(
        "keyed.servers", ODD, ODD_ENTRIES["lists in an unknown field"]
    )
    deployment.add_gateway("late", "celje")
    wait_for(lambda: deployment.is_ready("late"))
    wait_for(lambda: deployment.request("late", "/stock/1").status == 200)
    deployment.put_record("keyed.servers", ODD, b"")
    assert b"Traceback" not in (deployment.folder / "late.log").read_bytes()


def any_line(log, event, target=None):
    """Return whether a log has a line on an event, and on a target."""
    return any(
        row["event"] == event and target in (None, row.get("target"))
        for row in decode_log(log)
    )
