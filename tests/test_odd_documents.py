"""Documents of others that are malformed, out of range or nested too deeply."""

import json
import time

import msgspec
import pynng
import pytest

from cassiaspread_core.policy import EntryKind, EntryRecord
from tests.fleet import Fleet, bearer, read_report, request, wait_for
from tests.policy_fleet import policy_status

CALLER = bearer("osorno-token")
OPERATOR = bearer("operator-token")
N_NESTED = 100_000
NESTED = b"[" * N_NESTED + b"]" * N_NESTED
NESTED_MSGPACK = b"\x91" * N_NESTED + b"\x90"
N_CALLS = 12
# A list or a report is read every 0.1 to 0.5 s, the gossip goes round each second.
SETTLING_S = 3.0
# A daemon whose gossip has ended is lost to the other for good.
ALIVE_BOUND_S = 10.0

ODD_ADDRESSES = [
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:http",
    "127.0.0.1:\u00b2",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1",
    "127.0.0.1\0:80",
    "no-such-name.invalid:80",
]


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.publish_base_configuration()
        yield fleet


def wait_alive(daemon):
    """Wait until the other daemon of the fleet answers, on a busy machine too."""

    def is_alive():
        members = read_report(daemon, "members")
        return [m["state"] for m in members if m["vm"] != "odd"] == ["alive"]

    wait_for(is_alive, ALIVE_BOUND_S)


def start_document(fleet, name, content):
    """Start a stand-in whose document the test replaces, and return both."""
    file = fleet.directory / f"{name}.document"
    file.write_bytes(content)
    return fleet.start_standin("document", name, file=file), file


def book(daemon):
    path = "/v1/services/booking/slots"
    return request("GET", daemon.address, path, None, CALLER)[0]


def complete(daemon, **body):
    body = {"model": "draft", "prompt": "loin", "max_tokens": 4} | body
    return request("POST", daemon.address, "/v1/completions", body, CALLER)[0]


def log_of(fleet, process):
    return (fleet.directory / f"{process.name}.log").read_text()


def make_row(vm, address, role="service", name="booking", **fields):
    row = {"vm": vm, "role": role, "name": name, "address": address}
    return row | {"domain": "cautin", "state": "live"} | fields


def join_rows(*rows):
    parts = [r if isinstance(r, bytes) else json.dumps(r).encode() for r in rows]
    return b"[" + b",".join(parts) + b"]"


def nest_in(document, field="extra"):
    """Return a document with a deeply nested value in a field that is not known."""
    return json.dumps(document).encode()[:-1] + f',"{field}":'.encode() + NESTED + b"}"


ODD_ROWS = {
    "nested": nest_in(make_row("odd", "127.0.0.1:9")),
    "no object": b"1",
    "number as address": make_row("odd", 80),
    "unknown state": make_row("odd", "127.0.0.1:9", state="odd"),
    "empty name": make_row("", "127.0.0.1:9"),
} | {f"address {i}": make_row("odd", a) for i, a in enumerate(ODD_ADDRESSES)}


@pytest.mark.parametrize("row", ODD_ROWS.values(), ids=ODD_ROWS)
def test_odd_row_of_the_vm_list_does_not_hide_the_others(fleet, row):
    first = fleet.start_standin("service", "first")
    second = fleet.start_standin("service", "second")
    rows = [make_row("first", first.address)]
    vm_list, file = start_document(fleet, "list", join_rows(*rows))
    daemon = fleet.start_daemon("d1", "cautin", vm_list=vm_list.address)
    fleet.wait_ready(daemon)
    wait_for(lambda: book(daemon) == 200)
    file.write_bytes(join_rows(row, make_row("second", second.address)))
    wait_for(lambda: "second" in {t["target"] for t in targets_of(daemon)}, 5.0)
    assert "odd" not in {t["target"] for t in targets_of(daemon)}
    assert [book(daemon) for _ in range(N_CALLS)] == [200] * N_CALLS
    assert "Traceback" not in log_of(fleet, daemon)


def targets_of(daemon):
    return read_report(daemon, "targets")


def make_report(address, **fields):
    report = {"target": "odd", "address": address, "link": address}
    report |= {"domain": "cautin", "model": "draft", "begin": 0, "end": 8}
    return report | {"incarnation": "i1"} | fields


ODD_REPORTS = {
    "nested": lambda a: nest_in(make_report(a)),
    "begin 2^70": lambda a: json.dumps(make_report(a, begin=2**70)).encode(),
    "end 10^4000": lambda a: (
        json.dumps(make_report(a)).encode()[:-1] + b',"n_queued":1' + b"0" * 4000 + b"}"
    ),
    "negative queue": lambda a: json.dumps(make_report(a, n_queued=-9)).encode(),
    "negative step": lambda a: json.dumps(make_report(a, step_ms=-1.0)).encode(),
    "no slots": lambda a: json.dumps(make_report(a, n_slots=0)).encode(),
    "layers reversed": lambda a: json.dumps(make_report(a, begin=9)).encode(),
    "port": lambda a: json.dumps(make_report("127.0.0.1:99999")).encode(),
    "link": lambda a: json.dumps(make_report(a, link="x")).encode(),
}


@pytest.mark.parametrize("build", ODD_REPORTS.values(), ids=ODD_REPORTS)
def test_odd_report_of_an_engine_makes_no_engine_usable(fleet, build):
    fleet.start_engine("sound", "cautin", 0, 8)
    odd, file = start_document(fleet, "odd", b"{}")
    file.write_bytes(build(odd.address))
    fleet.list_vm("odd", "engine", "odd", odd.address, "cautin")
    daemons = [fleet.start_daemon(f"d{i}", "cautin") for i in range(2)]
    for daemon in daemons:
        fleet.wait_ready(daemon)
        wait_for(lambda d=daemon: complete(d) == 200)
    time.sleep(SETTLING_S)
    for daemon in daemons:
        usable = {t["target"] for t in targets_of(daemon) if t["is_usable"]}
        assert usable == {"sound"}
        assert [complete(daemon) for _ in range(4)] == [200] * 4
        wait_alive(daemon)
        assert "Traceback" not in log_of(fleet, daemon)


def make_suspect(name, **fields):
    loss = {"target": "e1", "incarnation": "i", "position": 1, "at_s": time.time()}
    record = {"fingerprint": name, "organisation": "osorno", "subject": "draft"}
    return record | {"losses": [loss | fields, loss | {"incarnation": "j"}]}


ODD_SUSPECTS = {
    "nested": nest_in(make_suspect("odd")),
    "position 2^70": json.dumps(make_suspect("odd", position=2**70)).encode(),
    "round 2^64": json.dumps(make_suspect("odd", round=2**64)).encode(),
    "position -2^70": json.dumps(make_suspect("odd", position=-(2**70))).encode(),
}


@pytest.mark.parametrize("record", ODD_SUSPECTS.values(), ids=ODD_SUSPECTS)
def test_odd_record_of_the_quarantine_stream_stops_no_reader(fleet, record):
    daemons = [fleet.start_daemon(f"d{i}", "cautin") for i in range(2)]
    for daemon in daemons:
        fleet.wait_ready(daemon)
    append(fleet, "quarantine", record)
    append(fleet, "quarantine", json.dumps(make_suspect("sound")).encode())
    for daemon in daemons:
        wait_for(lambda d=daemon: quarantined(d) == ["sound"], 5.0)
    time.sleep(SETTLING_S)
    for daemon in daemons:
        wait_alive(daemon)
        assert "Traceback" not in log_of(fleet, daemon)


def append(fleet, stream, record):
    path = f"/streams/{stream}"
    assert request("POST", fleet.log.address, path, record)[0] == 200


def quarantined(daemon):
    report = read_report(daemon, "quarantine")
    return [record["fingerprint"] for record in report["quarantined"]]


ODD_ENTRIES = {
    "layers": ("model", "odd", '{"n_layers": 1180591620717411303424}'),
    "layers of 32 bits": ("model", "odd", '{"n_layers": 4294967296}'),
    "timeout": ("limits", "", '{"request_timeout_ms": 1%s}' % ("0" * 40)),
    "timeout of 64 bits": (
        "limits",
        "",
        '{"request_timeout_ms": 18446744073709551615}',
    ),
    "priority": ("limits", "", '{"priority": -1%s}' % ("0" * 30)),
    "ratio": ("limits", "", '{"slot_ratio": 1e308}'),
    "weight": ("organisation", "osorno", '{"token_sha256": [], "weight": 1e308}'),
    "end": (
        "exception",
        "odd",
        '{"reason": "r", "author": "a", "limits": {"max_tokens": 1}, '
        '"expires_s": 1e308}',
    ),
}


@pytest.mark.parametrize("entry", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_number_of_a_policy_record_is_not_in_force(fleet, entry):
    fleet.start_service("booking-1", "cautin")
    daemons = [fleet.start_daemon(f"d{n}", "cautin") for n in range(2)]
    for daemon in daemons:
        fleet.wait_ready(daemon)
        wait_for(lambda d=daemon: book(d) == 200)
    kind, name, value = entry
    record = EntryRecord(
        kind=EntryKind(kind), name=name, replaces=None, value={"x": 0}, author="odd"
    )
    body = msgspec.json.encode(record).replace(b'{"x":0}', value.encode())
    append(fleet, "policy", body)
    fleet.publish(EntryKind.MODEL, "later", {"n_layers": 3})
    for daemon in daemons:
        wait_for(lambda d=daemon: policy_status(d)["n_rejected"] == 1, ALIVE_BOUND_S)
        assert [book(daemon) for _ in range(N_CALLS)] == [200] * N_CALLS
        assert "Traceback" not in log_of(fleet, daemon)
        wait_alive(daemon)


def test_nested_batch_of_claims_stops_no_reader(fleet):
    fleet.start_service("booking-1", "cautin")
    daemon = fleet.start_daemon("d1", "cautin")
    fleet.wait_ready(daemon)
    for partition in range(8):
        append(fleet, f"claims-{partition}", NESTED_MSGPACK)
        append(fleet, f"claims-{partition}", b"\x91" + NESTED_MSGPACK)
    ticket = json.loads(request("POST", daemon.address, "/v1/tickets", b"", CALLER)[2])
    headers = CALLER | {"Idempotency-Key": ticket["key"]}
    path = "/v1/services/booking/slots"
    wait_for(lambda: request("POST", daemon.address, path, b"{}", headers)[0] == 200)
    time.sleep(SETTLING_S)
    assert "Traceback" not in log_of(fleet, daemon)


SENDER = ("odd", "cautin", "odd-1", "127.0.0.1:9", False)
EMPTY_GOSSIP = ((0, 0, 0, {}, {}), {})


def pack(sender=SENDER, stamp="1.0", kind="gossip", body=EMPTY_GOSSIP):
    raw = body if isinstance(body, bytes) else msgspec.msgpack.encode(body)
    return msgspec.msgpack.encode((sender, stamp, kind, msgspec.Raw(raw)))


def nest_entry(topic):
    entries = {topic: [msgspec.Raw(NESTED_MSGPACK)]}
    return msgspec.msgpack.encode(((0, 0, 1, entries, {}), {}))


REFUSED_MESSAGES = {
    "nested": NESTED_MSGPACK,
    "nested after the envelope": b"\x97" + pack()[1:] + b"\x00\xc0" + NESTED_MSGPACK,
    "nested body": pack(body=NESTED_MSGPACK),
    "nested entry": pack(body=nest_entry("targets")),
    "nested entry of an unknown topic": pack(body=nest_entry("odd")),
    "negative age": pack(body=((0, 0, 0, {}, {}), {"cautin": -(2**40)})),
    "negative position": pack(body=((-1, 0, 0, {}, {}), {})),
    "partition": pack(kind="claims.commit", body={"partition": 99, "batch": b"\x90"}),
    "negative partition": pack(
        kind="claims.commit", body={"partition": -1, "batch": b"\x90"}
    ),
    "address": pack(sender=("odd", "cautin", "odd-1", "127.0.0.1\0:99999", False)),
    "name as address": pack(sender=("odd", "cautin", "odd-1", "odd.invalid:9", False)),
}


def tell(daemon, message):
    """Send a message to a daemon as a peer would, and return the error of its reply."""
    peer_address = next(
        flag.partition("=")[2]
        for flag in daemon.argv
        if flag.startswith("--peer-listen=")
    )
    with pynng.Req0(dial=f"tcp://{peer_address}", recv_timeout=5000) as requester:
        requester.send(message)
        return msgspec.msgpack.decode(requester.recv())[5] or ""


def start_two_daemons(fleet):
    daemons = [fleet.start_daemon(f"d{i}", "cautin") for i in range(2)]
    for daemon in daemons:
        fleet.wait_ready(daemon)
        wait_alive(daemon)
    return daemons


@pytest.mark.parametrize("message", REFUSED_MESSAGES.values(), ids=REFUSED_MESSAGES)
def test_odd_message_is_refused_and_stops_no_gossip(fleet, message):
    daemons = start_two_daemons(fleet)
    assert "bad message" in tell(daemons[0], message)
    time.sleep(SETTLING_S)
    for daemon in daemons:
        wait_alive(daemon)
        assert len(read_report(daemon, "members")) == 1
        assert "Traceback" not in log_of(fleet, daemon)


def test_nested_batch_for_a_committer_is_refused(fleet):
    daemons = start_two_daemons(fleet)
    body = {"partition": 0, "batch": NESTED_MSGPACK}
    message = pack(kind="claims.commit", body=body)
    assert "bad message" in tell(daemons[0], message)
    for daemon in daemons:
        wait_alive(daemon)
        assert "Traceback" not in log_of(fleet, daemon)


@pytest.mark.parametrize(
    "stamp",
    ["9" * 4000 + ".0", f"1.{2**70}", "1.-5", "\u0661.\u0660", "1_0.0", " 1.0 "],
)
def test_odd_stamp_of_a_message_leaves_the_clocks_alone(fleet, stamp):
    daemons = start_two_daemons(fleet)
    before = max(read_stamps(daemons[0]))
    tell(daemons[0], pack(stamp=stamp))
    time.sleep(SETTLING_S)
    for daemon in daemons:
        wait_alive(daemon)
        assert all(0 <= n < 2**53 for stamp in read_stamps(daemon) for n in stamp)
        assert max(read_stamps(daemon))[0] < before[0] + 60_000
        assert "Traceback" not in log_of(fleet, daemon)


ODD_ENTRIES = {
    "target of another type": ("targets", b"\x01"),
    "topic of another type": ("whole", b"\x01"),
    "address of a member": (
        "members",
        msgspec.msgpack.encode(
            (("odd-2", "odd", "cautin", "127.0.0.1\0:9"), False, False, 1)
        ),
    ),
    "stamp of a target": (
        "targets",
        msgspec.msgpack.encode(("e1", "odd", (2**64 - 1, 0), "i", None, 1)),
    ),
    "report of a target": (
        "targets",
        msgspec.msgpack.encode(
            ("e1", "odd", (1, 0), "i", make_report("127.0.0.1\0:9", begin=9), 1)
        ),
    ),
}


@pytest.mark.parametrize(("topic", "entry"), ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_of_a_message_does_not_hide_the_others(fleet, topic, entry):
    daemons = start_two_daemons(fleet)
    mark = msgspec.msgpack.encode(("e1", "i1", None, "target"))
    entries = {topic: [msgspec.Raw(entry)], "leaving": [msgspec.Raw(mark)]}
    body = msgspec.msgpack.encode(((0, 0, 2, entries, {}), {}))
    assert tell(daemons[0], pack(body=body)) == ""
    for daemon in daemons:
        wait_for(lambda d=daemon: "target.leaving" in kinds_of(d), 5.0)
    time.sleep(SETTLING_S)
    for daemon in daemons:
        wait_alive(daemon)
        assert "Traceback" not in log_of(fleet, daemon)


def read_events(daemon):
    path = "/operators/events"
    return json.loads(request("GET", daemon.address, path, headers=OPERATOR)[2])


def kinds_of(daemon):
    return {event["kind"] for event in read_events(daemon)}


def read_stamps(daemon):
    return [event["timestamp"] for event in read_events(daemon)]


ODD_BODIES = {
    "nested": nest_in({"model": "draft", "prompt": "x"}),
    "tokens": b'{"model":"draft","prompt":"x","max_tokens":1' + b"0" * 5000 + b"}",
    "no utf-8": b'{"model":"draft","prompt":"\xff"}',
    "surrogate": b'{"model":"draft","prompt":"\\ud800"}',
}


@pytest.fixture(scope="module")
def daemon(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.publish_base_configuration()
        daemon = fleet.start_daemon("d1", "cautin")
        fleet.wait_ready(daemon)
        yield daemon


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/v1/completions", CALLER),
        ("/v1/chat/completions", CALLER),
        ("/operators/drain", OPERATOR),
        ("/operators/quarantine/release", OPERATOR),
    ],
)
def test_odd_body_is_refused_as_not_run(daemon, path, headers, body):
    status, _, answer = request("POST", daemon.address, path, body, headers)
    assert status == 400
    assert json.loads(answer)["outcome"] == "not-run"


@pytest.mark.parametrize("position", ["9" * 5000, "9" * 400, "-1", "1_0"])
def test_odd_event_id_is_refused(daemon, position):
    body = {"model": "draft", "prompt": "x", "stream": True}
    headers = CALLER | {"Last-Event-ID": position}
    status, _, answer = request(
        "POST", daemon.address, "/v1/completions", body, headers
    )
    assert status == 400
    assert json.loads(answer)["type"].endswith("bad-event-id")
