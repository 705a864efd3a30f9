"""Headers of engines' responses."""

from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from cassiaspread_core.base import RequestId, TargetId
from cassiaspread_daemon.gateway import MAX_SHARED_PARTS
from cassiaspread_daemon.gateway._answer_filter import answer_filter
from cassiaspread_platform._headers import PlatformHeaderCodec

SIGNATURE = {"Response-Seal": "3e1b.07.5a2.600.0.c9f2a4d1"}


@pytest.mark.parametrize("text", ["\u00b2,4", "1e3,4", "-1,4", ",4"])
def test_token_count_that_is_no_number_is_unknown(text):
    headers = HTTPHeaders({"Token-Count": text})
    parameters = PlatformHeaderCodec().read_request(headers)
    assert (parameters.prompt_tokens, parameters.max_answer_tokens) == (0, 4)


@pytest.mark.parametrize(
    ("headers", "request_id", "is_own"),
    [
        (SIGNATURE | {"Attempt-Id": "own"}, "own", True),
        ({"Attempt-Id": "own"}, "own", True),
        (SIGNATURE | {"Attempt-Id": "other"}, "own", False),
        ({"Not-Executed": "1", "Attempt-Id": "other"}, "own", False),
        # Second response to an earlier request, on a persistent connection.
        (SIGNATURE, "own", False),
        ({}, "own", False),
        ({"Not-Executed": "1"}, "own", False),
        ({"Attempt-Id": ""}, "own", False),
        ({"Attempt-Id": "own, own"}, "own", False),
        # The caller gave none, so that there is none to return.
        ({"Not-Executed": "1"}, "", True),
        ({"Attempt-Id": ""}, "", True),
        ({"Attempt-Id": "other"}, "", False),
    ],
)
def test_answers_belong_to_the_request_that_they_name(headers, request_id, is_own):
    log = SimpleNamespace(record=lambda *_, **__: None)
    exchange = SimpleNamespace(n_requests=2)
    is_expected = answer_filter(
        PlatformHeaderCodec(), log, RequestId(request_id), TargetId("t"), exchange
    )
    assert is_expected(503, HTTPHeaders(headers)) is is_own


@pytest.mark.parametrize(
    ("status", "text", "pause_s"),
    [
        (503, "2", 2.0),
        (503, "0.25", 0.25),
        (503, "0", 0.0),
        (503, "1e9", 1e9),
        (503, "-1", None),
        (503, "inf", None),
        (503, "nan", None),
        (503, "soon", None),
        (503, "", None),
        (503, "Fri, 04 Dec 2026 14:00:00 GMT", None),
        (500, "2", None),
        (200, "2", None),
    ],
)
def test_pause_is_a_number_of_seconds_beside_503(status, text, pause_s):
    headers = HTTPHeaders({"Retry-After": text})
    answer = PlatformHeaderCodec().read_answer(status, headers)
    assert answer.notice.pause_s == pause_s


@pytest.mark.parametrize(
    ("text", "is_leaving"), [("1", True), ("0", False), ("", False), ("yes", False)]
)
def test_engine_leaves_if_it_says_so(text, is_leaving):
    headers = HTTPHeaders({"Server-Leaving": text})
    answer = PlatformHeaderCodec().read_answer(200, headers)
    assert answer.notice.is_leaving is is_leaving
    assert not PlatformHeaderCodec().read_answer(200, HTTPHeaders()).notice.is_leaving


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        (None, ()),
        ("", ()),
        # The last part belongs to the request alone.
        ("5c1e:250", ()),
        ("5C1E:800, 91bd:410,e440:250", ("5c1e", "91bd")),
        ("5c1e:800,5c1e:800,e440:250", ("5c1e",)),
        ("5c1e,:4,91bd:x,,é:4,a b:1," + "f" * 65 + ":1,e440:250", ("5c1e", "91bd")),
    ],
)
def test_shared_parts_are_all_but_the_last(text, parts):
    headers = HTTPHeaders() if text is None else HTTPHeaders({"Prompt-Prefix": text})
    assert PlatformHeaderCodec().read_request(headers).shared_parts == parts


def test_number_of_shared_parts_is_bounded():
    text = ",".join(f"{n:x}:10" for n in range(2000))
    headers = HTTPHeaders({"Prompt-Prefix": text})
    parts = PlatformHeaderCodec().read_request(headers).shared_parts
    assert len(parts) == MAX_SHARED_PARTS
