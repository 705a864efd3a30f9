"""Headers of engines' responses."""

import pytest
from tornado.httputil import HTTPHeaders

from cassiaspread_core.base import RequestId
from cassiaspread_platform._headers import PlatformHeaderCodec

SIGNATURE = {"Response-Seal": "3e1b.07.5a2.600.0.c9f2a4d1"}


@pytest.mark.parametrize("text", ["\u00b2,4", "1e3,4", "-1,4", ",4"])
def test_token_count_that_is_no_number_is_unknown(text):
    headers = HTTPHeaders({"Token-Count": text})
    parameters = PlatformHeaderCodec().read_request(headers)
    assert (parameters.prompt_tokens, parameters.max_answer_tokens) == (0, 4)


@pytest.mark.parametrize(
    ("headers", "is_own"),
    [
        (SIGNATURE | {"Attempt-Id": "own"}, True),
        (SIGNATURE | {"Attempt-Id": "other"}, False),
        # Second response to an earlier request, on a persistent connection.
        (SIGNATURE, False),
        # Refusal by an engine that did not read the request.
        ({"Not-Executed": "1"}, True),
    ],
)
def test_signed_answers_belong_to_the_request_that_they_name(headers, is_own):
    assert (
        PlatformHeaderCodec().is_answer_to(HTTPHeaders(headers), RequestId("own"))
        is is_own
    )
