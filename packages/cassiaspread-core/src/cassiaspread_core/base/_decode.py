"""Checked decoding of documents and texts that others wrote."""

import ipaddress
import math
import re
from typing import Annotated, NamedTuple, TypeVar

import msgspec

from cassiaspread_core.base._errors import CassiaspreadError

MAX_PORT = 65_535
# Largest integer that all JSON implementations represent exactly (RFC 8259).
MAX_EXACT_INTEGER = 2**53 - 1
# Enough for a path within a document and a value; a line of the log stays readable.
MAX_REASON_CHARACTERS = 200
# An IPv6 address in brackets and a port have at most 47 characters.
MAX_ADDRESS_CHARACTERS = 60
# Names are kept and logged for each target; the platforms' have some ten characters.
MAX_NAME_CHARACTERS = 1024
NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")

# More than 30,000 years.
MAX_SECONDS = 1e12

T = TypeVar("T")
DocumentDecoder = msgspec.json.Decoder[T] | msgspec.msgpack.Decoder[T]

# Positions and fencing tokens, which other processes decode as signed 64-bit integers.
SequenceNumber = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# A time or a difference of two, in seconds; excludes NaN and infinity.
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INTEGER)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_EXACT_INTEGER)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]


class MalformedDocument(CassiaspreadError, ValueError):
    """A document, or a part of one, that cannot be used.

    The message is printable ASCII of limited length, whatever the document holds.

    :param reason: description of the error.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(shorten(reason))


class Address(NamedTuple):
    """A TCP address.

    :param host: IP address.
    :param port: TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def shorten(text: str, n_characters: int = MAX_REASON_CHARACTERS) -> str:
    r"""Return a text that a log line can hold, whatever another process wrote.

    :param text: the text.
    :param n_characters: length after which the text is cut off.

    >>> shorten("a\n" + "b" * 1000, 5)
    'a\\nbb...'
    """
    # A character becomes at most ten, so that the cut-off rest is not converted.
    printable = "".join(
        c if " " <= c <= "~" else ascii(c)[1:-1] for c in text[: n_characters + 1]
    )
    if len(text) <= n_characters and len(printable) <= n_characters:
        return printable
    return printable[:n_characters] + "..."


def decode_json(data: bytes, type_: type[T]) -> T:
    """Decode a JSON document into a type.

    :param data: the document.
    :param type_: the type, with the bounds of its numbers.
    :raises MalformedDocument: the document does not have this type, or is nested too
        deeply.

    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    """
    return decode_with(msgspec.json.Decoder(type_), data)


def decode_with(decoder: DocumentDecoder[T], data: bytes) -> T:
    """Decode a document with a decoder of JSON or msgpack.

    :param decoder: the decoder of a type.
    :param data: the document.
    :raises MalformedDocument: the document does not have this type, or is nested too
        deeply.
    """
    try:
        return decoder.decode(data)
    except RecursionError:
        raise MalformedDocument(
            f"nested too deeply, in a document of {len(data)} bytes"
        ) from None
    except (ValueError, OverflowError, TypeError) as error:
        raise MalformedDocument(str(error)) from None


def parse_address(text: str, min_port: int = 1) -> Address:
    """Parse ``IP:PORT``; names are not accepted, so that none is ever resolved.

    :param text: the text; an IPv6 address is in brackets.
    :param min_port: smallest port; 0 lets a listener choose one.
    :raises MalformedDocument: the text is no such address.

    >>> parse_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    >>> parse_address("[::1]:80")
    Address(host='[::1]', port=80)
    """
    host, _, port = text.rpartition(":")
    number = parse_count(port, MAX_PORT)
    if number is None or number < min_port or not _is_ip_address(host):
        raise MalformedDocument(
            f"expected IP:PORT with a port from {min_port} to {MAX_PORT}, "
            f'got "{shorten(text, MAX_ADDRESS_CHARACTERS)}"'
        )
    return Address(host, number)


def parse_count(text: str, maximum: int = MAX_EXACT_INTEGER) -> int | None:
    """Parse decimal digits.

    :param text: the text; digits of other scripts are no number.
    :param maximum: largest number that is accepted.
    :returns: the number, or ``None`` if the text holds none up to the maximum.

    >>> parse_count("007"), parse_count("-1"), parse_count("70000", 65535)
    (7, None, None)
    """
    # A number of unlimited length takes long to convert, or fails.
    if not text.isascii() or not text.isdigit() or len(text) > len(str(maximum)):
        return None
    number = int(text)
    return number if number <= maximum else None


def parse_number(text: str) -> float | None:
    """Parse a decimal number that is not negative.

    :param text: the text; what else ``float`` accepts is no number.
    :returns: the number, or ``None`` if the text holds no finite one.

    >>> parse_number(" 1.5 "), parse_number("1_0"), parse_number("1e400")
    (1.5, None, None)
    """
    if not NUMBER.fullmatch(text.strip()):
        return None
    number = float(text)
    return number if math.isfinite(number) else None


def is_header_value(text: str) -> bool:
    r"""Return whether a text can be sent as the value of a header and arrives as it is.

    :param text: the text.

    >>> is_header_value("celje shops"), is_header_value("a\r\nb"), is_header_value(" a")
    (True, False, False)
    """
    is_sent = all(" " <= c <= "~" or "\xa0" <= c <= "\xff" for c in text)
    return bool(text) and is_sent and text == text.strip()


def encode_header_text(text: str) -> str:
    r"""Return a text as a header holds it: its UTF-8 bytes, one character each.

    :param text: the text.
    :raises MalformedDocument: a header cannot hold it, or not without changing it.

    >>> encode_header_text("Žalec")
    'Å½alec'
    """
    try:
        encoded = text.encode().decode("latin-1")
    except UnicodeEncodeError:
        encoded = ""
    if not 0 < len(encoded) <= MAX_NAME_CHARACTERS or text != text.strip():
        raise MalformedDocument(
            f'"{shorten(text)}" of {len(text)} characters is no value of a header'
        )
    if any(c < " " or "\x7f" <= c <= "\x9f" for c in text):
        raise MalformedDocument(f'"{shorten(text)}" holds control characters')
    return encoded


def _is_ip_address(host: str) -> bool:
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        if is_bracketed:
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return "%" not in host
