"""Documents and texts of others either fit their types or raise one error."""

import msgspec
import pytest

from cassiaspread_core.base import (
    MAX_EXACT_INTEGER,
    Count,
    MalformedDocument,
    decode_json,
    decode_with,
    parse_address,
    parse_count,
    shorten,
)


class Document(msgspec.Struct):
    n_slots: Count = 0
    name: str = ""


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"\xff",
        b'{"name": "\xff"}',
        b'{"name": "\\ud800"}',
        b'{"n_slots": -1}',
        b'{"n_slots": 9007199254740992}',
        b'{"n_slots": 1e400}',
        b'{"n_slots": %s}' % (b"9" * 5000),
        b'{"other": %s%s}' % (b"[" * 100_000, b"]" * 100_000),
        b'{"name": %s1%s}' % (b'{"a":' * 50_000, b"}" * 50_000),
    ],
    ids=range(11),
)
def test_malformed_json_raises_one_error_with_a_short_message(data: bytes):
    with pytest.raises(MalformedDocument) as raised:
        decode_json(data, Document)
    assert len(str(raised.value)) < 250
    assert str(raised.value).isascii()


def test_deeply_nested_msgpack_raises_the_same_error():
    data = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"
    with pytest.raises(MalformedDocument):
        decode_with(msgspec.msgpack.Decoder(Document), data)


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "10.0.0.1:99999",
        "10.0.0.1:http",
        "10.0.0.1:²",
        "10.0.0.1:٣",
        "10.0.0.1: 80",
        "10.0.0.1:" + "8" * 5000,
        "10.0.0.1\0:80",
        "10.0.0.1\n:80",
        "010.0.0.1:80",
        "localhost:80",
        "[10.0.0.1]:80",
        "::1:80",
        "[fe80::1%eth0]:80",
        "\ud800:80",
    ],
)
def test_a_text_that_is_no_ip_address_and_port_is_not_accepted(text: str):
    with pytest.raises(MalformedDocument):
        parse_address(text)


def test_numbers_beyond_the_maximum_are_not_converted():
    assert parse_count("9" * 10_000_000) is None
    assert parse_count(str(MAX_EXACT_INTEGER)) == MAX_EXACT_INTEGER
    assert parse_count(str(MAX_EXACT_INTEGER + 1)) is None
    assert parse_count("²") is None


def test_a_shortened_text_is_printable_ascii():
    text = shorten("\ud800\n\0é" * 1000)
    assert text.isascii()
    assert text.isprintable()
    assert len(text) <= 203
