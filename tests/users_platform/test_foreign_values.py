"""Decoders of what others wrote give checked values or their documented error.

The examples are derived from a fixed seed, so that every run plays the same ones. A
larger number is played by hand: ``FOREIGN_VALUE_EXAMPLES=20000 pytest ...``.
"""

import asyncio
import json
import math
import os
import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from cassiaspread_core.base import (
    FindingsError,
    LogUnavailable,
    MalformedDocument,
    TargetId,
    Truncated,
    parse_address,
)
from cassiaspread_core.placement import MAX_LAYERS, MAX_SLOTS
from cassiaspread_core.quarantine import Fingerprint
from cassiaspread_daemon.exchange import Response
from cassiaspread_daemon.gateway import DecisionLog
from cassiaspread_daemon.gateway._routing_state import FeedFollower, RoutingState
from cassiaspread_platform._configuration import ConfigurationFeed, decode_configuration
from cassiaspread_platform._duty import GroupDuty
from cassiaspread_platform._engines import decode_entry, decode_report, read_notice
from cassiaspread_platform._headers import MAX_TOKENS, PlatformHeaderCodec
from cassiaspread_platform._settings import read_settings
from cassiaspread_platform._store import KeyedRecord, Store
from cassiaspread_platform._suspects import decode_record
from tests.users_platform.deployment import KEY, configuration

N_EXAMPLES = int(os.environ.get("FOREIGN_VALUE_EXAMPLES", "150"))
MAX_INTEGER = 2**63 - 1

plays = settings(max_examples=N_EXAMPLES, derandomize=True, deadline=None)

# Numbers as texts, since json writes no NaN that others accept and no 1e400.
NUMBERS = st.one_of(
    st.integers().map(str),
    st.integers(-(2**70), 2**70).map(str),
    st.floats().map(repr),
    st.sampled_from(["-0", "0.0", "1e400", "-1e400", "5e-324", "9" * 400, "9" * 5000]),
)
TEXTS = st.one_of(
    st.text(st.characters(), max_size=20).map(json.dumps),
    st.sampled_from(
        ['"\\ud800"', '"\\u0000"', '"a\\r\\nb"', '""', '"²"', '"localhost:1"']
    ),
    st.sampled_from(["127.0.0.1:99999", "127.0.0.1:²", ":80", "[::1]:1"]).map(
        json.dumps
    ),
)
NESTED = st.sampled_from([b"[", b'{"a":']).map(lambda begin: (begin * 50_000).decode())
SCALARS = st.one_of(
    NUMBERS, TEXTS, st.sampled_from(["null", "true", "false", "{}", "[]"])
)
VALUES = st.one_of(
    st.recursive(
        SCALARS,
        lambda children: st.one_of(
            st.lists(children, max_size=3).map(lambda v: f"[{','.join(v)}]"),
            st.dictionaries(TEXTS, children, max_size=3).map(
                lambda d: "{" + ",".join(f"{k}:{v}" for k, v in d.items()) + "}"
            ),
        ),
        max_leaves=8,
    ),
    NESTED,
)


def paths_of(document, path=()):
    """List the paths of all values in a document."""
    yield path
    items = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    for key, value in items:
        yield from paths_of(value, (*path, key))


def replaced(document, path, value):
    """Return a document as JSON with the value at a path replaced by a text."""
    if not path:
        return value
    if isinstance(document, dict):
        parts = (
            json.dumps(k)
            + ":"
            + (replaced(v, path[1:], value) if k == path[0] else json.dumps(v))
            for k, v in document.items()
        )
        return "{" + ",".join(parts) + "}"
    parts = (
        replaced(v, path[1:], value) if n == path[0] else json.dumps(v)
        for n, v in enumerate(document)
    )
    return "[" + ",".join(parts) + "]"


def documents(sound):
    """Return documents that differ from a sound one in up to two values, or bytes."""
    paths = list(paths_of(sound))
    one = st.tuples(st.sampled_from(paths), VALUES).map(lambda c: replaced(sound, *c))
    extra = VALUES.map(lambda v: json.dumps(sound)[:-1] + f',"new":{v}}}')
    texts = st.one_of(one, one, one, extra).map(
        lambda text: text.encode("utf-8", "surrogatepass")
    )
    return st.one_of(texts, texts, texts, st.binary(max_size=40))


ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
    "born": 1_700_000_000_000,
    "layers": {"from": 0, "to": 8, "version": 1},
    "route_kind": "large",
    "busy": False,
}
REPORT = {
    "sequence": 1,
    "born": 1,
    "busy": False,
    "pace": 1.5,
    "layers": {"from": 0, "to": 8},
    "stalled": [{"id": "r", "address": "10.0.0.1:80"}],
}
RECORD = {
    "fingerprint": "f",
    "organisation": "o",
    "subject": "s",
    "losses": [{"target": "t", "incarnation": "1", "position": 3, "at_s": 1.5}],
    "cleared_s": 1.0,
}
SETTINGS = {
    "node_name": "n",
    "ip": "10.0.0.1",
    "zone": "z",
    "listen": {"frontend": "10.0.0.1:80", "readiness": "10.0.0.1:81"},
    "internal_ports": [90, 91],
    "seeds": ["10.0.0.2:90"],
    "bounds": {"revoke_ms": 5000, "grace_s": 8, "retry_window_s": 10},
    "platform": {"address": "10.0.0.9:80", "ttl_min_ms": 500},
}
NEWEST = {
    "items": [{"key": "k", "value": "e30=", "offset": 1}],
    "has_more": False,
    "end_offset": 2,
}
JOINED = {"generation": 3, "parts": [["placement", 0, -1]]}


def check_layers(layers):
    assert 0 <= layers.begin <= layers.end <= MAX_LAYERS


def check_message(error):
    assert len(str(error)) < 300
    assert str(error).isascii()


def check_numbers(value):
    """Check that every number within decoded values is finite and at most 63 bits."""
    if isinstance(value, msgspec.Struct):
        value = [getattr(value, name) for name in value.__struct_fields__]
    if isinstance(value, dict):
        value = [*value, *value.values()]
    if isinstance(value, float):
        assert math.isfinite(value)
    elif isinstance(value, int):
        assert abs(value) <= MAX_INTEGER
    elif isinstance(value, (list, tuple)):
        for item in value:
            check_numbers(item)


@plays
@given(documents(ENTRY), st.one_of(st.just("i-1"), st.text(max_size=10)))
def test_entry_of_an_engine_is_checked_whole(data, key):
    try:
        engine = decode_entry(TargetId(key), data)
    except MalformedDocument as error:
        check_message(error)
        return
    assert str(parse_address(engine.address)) == engine.address
    assert engine.service
    assert engine.domain
    assert 1 <= engine.n_slots <= MAX_SLOTS
    check_layers(engine.layers)
    check_numbers(engine)
    # Other daemons get it as msgpack.
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(engine), type=type(engine))


@plays
@given(documents(REPORT))
def test_report_of_an_engine_is_checked_whole(data):
    try:
        report = decode_report(data)
    except MalformedDocument:
        return
    assert report.slowness > 0
    check_layers(report.layers)
    check_numbers(report)
    for stall in report.stalls:
        assert str(parse_address(stall.address)) == stall.address


@plays
@given(documents(configuration(3)))
def test_configuration_is_checked_whole(data):
    try:
        table = decode_configuration(data)
    except MalformedDocument:
        return
    check_numbers([table.version, table.limits, *table.services.values()])
    check_numbers(list(table._routes))
    for route in table._routes:
        assert route.max_attempts >= 1
        assert route.backends or not route.is_usable
        assert all(backend.weight >= 0 for backend in route.backends)
    for service in table.services.values():
        if service.model is not None:
            assert service.model.cache_mb_per_token_layer > 0
            assert service.model.prefill_tokens_per_ms > 0


@plays
@given(documents(configuration(4, tenants=[{"name": "n", "api_keys": ["new"]}])))
def test_key_ends_behind_any_version_that_takes_it_away(data):
    # Either the version is in force, as far as it can be used, or the copy gets older.
    with open(os.devnull, "wb") as output:
        log = DecisionLog("p", output.fileno())
        feed = ConfigurationFeed(answering_store(200, b"", None), log)
        state = RoutingState(log, 5.0, 5.0)
        follower = FeedFollower(
            "configuration",
            None,
            state.apply_table,
            lambda tables: [state.apply_table(table) for table in tables],
            state.configuration_age,
            log,
            0.0,
            0.0,
            random.Random(1),
        )
        for start, version in (
            (None, json.dumps(configuration(3)).encode()),
            (1, data),
        ):
            page = feed._decode_page([KeyedRecord("config", version)], 1, 1)
            follower._apply_page(start, page)
        log.flush()
    assert state.table is not None
    if state.table.version > 3:
        assert state.table.find_organisation(KEY) is None
    else:
        # Versions increase, so that a lower number is none of the operator's.
        is_lower = page.items and page.items[0].version <= 3
        assert is_lower or not follower._has_newest


@plays
@given(documents(RECORD))
def test_suspect_record_is_checked_whole(data):
    try:
        record = decode_record(Fingerprint("f"), data)
    except MalformedDocument:
        return
    check_numbers(record)
    check_numbers([record.last_s, record.n_rounds, record.is_quarantined])


@plays
@given(data=documents(SETTINGS))
def test_settings_file_is_checked_whole(data, tmp_path_factory):
    path = tmp_path_factory.getbasetemp() / "settings.json"
    path.write_bytes(data)
    try:
        found = read_settings({"CASSIASPREAD_BOOT": str(path)}, 100)
    except FindingsError:
        return
    check_numbers(found)
    for seed in found.gateway_settings.seeds:
        parse_address(str(seed))


class OneAnswer:
    """Pool whose connections give one answer to every call."""

    def __init__(self, response):
        self.response = response

    def single_exchange(self, address, connect_timeout_s):
        return self

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        return None

    async def send(self, method, target, data, headers):
        return self.response.status

    async def finish(self):
        return self.response


HEADER_VALUES = st.one_of(
    NUMBERS,
    st.sampled_from(["1e308", "1e300", "1_0", "²", "nan", "inf", "", "1,", "-1"]),
    st.text(st.characters(max_codepoint=255, exclude_categories=["Cc"]), max_size=12),
)
ERAS = st.one_of(st.none(), st.just("2"), HEADER_VALUES)


def answering_store(status, body, era):
    headers = HTTPHeaders() if era is None else HTTPHeaders({"Store-Era": era})
    return Store("10.0.0.9:80", OneAnswer(Response(status, headers, body)))


@plays
@given(documents(NEWEST), ERAS)
def test_newest_records_of_the_store_are_checked_whole(body, era):
    store = answering_store(200, body, era)
    try:
        newest = asyncio.run(store.read_newest("keyed.op"))
    except LogUnavailable:
        return
    check_numbers(newest.position)
    check_numbers(newest.latest_position)
    assert all(isinstance(record.value, bytes) for record in newest.records)


@plays
@given(
    st.sampled_from([200, 410]),
    st.one_of(st.binary(), documents({"first_offset": 1})),
    ERAS,
)
def test_pages_of_the_store_are_checked_whole(status, body, era):
    store = answering_store(status, body, era)
    try:
        page = asyncio.run(store.read_keyed("keyed.op", 5, 0.0))
    except (LogUnavailable, Truncated):
        return
    check_numbers(page.position)
    check_numbers(page.end_position)


@plays
@given(documents(JOINED), ERAS)
def test_assignment_of_the_duty_is_checked_whole(body, era):
    duty = GroupDuty(answering_store(200, body, era), "member", 500)
    try:
        state = asyncio.run(duty.renew(0))
    except LogUnavailable:
        return
    check_numbers(state)
    assert state.fencing_token >= 0


@plays
@given(HEADER_VALUES, HEADER_VALUES, HEADER_VALUES, HEADER_VALUES)
def test_headers_of_a_request_are_checked_whole(deadline, count, hint, event):
    headers = HTTPHeaders(
        {
            "Deadline-Ms": deadline,
            "Token-Count": f"{count},{count}",
            "Length-Hint": hint,
            "Last-Event-Id": event,
        }
    )
    try:
        parameters = PlatformHeaderCodec().read_request(headers)
    except ValueError as error:
        check_message(error)
        return
    assert 0 <= parameters.prompt_tokens <= MAX_TOKENS
    assert 0 <= parameters.max_answer_tokens <= MAX_TOKENS
    assert 0 <= (parameters.answer_hint or 0) <= MAX_TOKENS
    check_numbers(parameters)


@plays
@given(st.sampled_from([200, 421, 503]), HEADER_VALUES, HEADER_VALUES)
def test_headers_of_an_answer_are_checked_whole(status, pause, server):
    headers = HTTPHeaders()
    headers["Retry-After"] = pause
    headers["At-Server"] = server
    notice = read_notice(status, headers)
    assert notice.pause_s is None or 0 <= notice.pause_s <= 1e9
    answer = PlatformHeaderCodec().read_answer(status, headers)
    check_numbers(answer)


def test_the_newest_readable_configuration_of_a_page_holds(tmp_path):
    # It does not make a copy current at the end of the page.
    with (tmp_path / "log").open("wb") as output:
        log = DecisionLog("p", output.fileno())
        feed = ConfigurationFeed(answering_store(200, b"", None), log)
        sound = json.dumps(configuration(3)).encode()
        odd = replaced(configuration(4), ("routes", 0, "timeout_ms"), "[" * 50_000)
        page = feed._decode_page(
            [KeyedRecord("config", sound), KeyedRecord("config", odd.encode())], 2, 2
        )
        log.flush()
    assert [table.version for table in page.items] == [3]
    assert not page.is_complete
    assert b"configuration.unreadable" in (tmp_path / "log").read_bytes()
