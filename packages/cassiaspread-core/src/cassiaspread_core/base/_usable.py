"""Decoding of what can be used of a document that does not fit its type as a whole."""

import json
import types
from typing import Any, TypeVar, get_args, get_origin

import msgspec

from cassiaspread_core.base._decode import MAX_EXACT_INTEGER, MalformedDocument
from cassiaspread_core.base._errors import Finding

T = TypeVar("T")


def load_json(data: bytes) -> Any:
    """Load a JSON document; integers may be written as ``2.0``.

    Bytes that are no UTF-8 and lone surrogates are kept as surrogates, so that they
    concern only the text that holds them.

    :param data: the document.
    :raises MalformedDocument: it is no JSON, or is nested too deeply.

    >>> load_json(b'{"n": 2.0, "x": 0.5}')
    {'n': 2, 'x': 0.5}
    """
    try:
        text = data.decode("utf-8", "surrogateescape")
        return json.loads(text, parse_float=_parse_float)
    except RecursionError:
        raise MalformedDocument(
            f"nested too deeply, in a document of {len(data)} bytes"
        ) from None
    except ValueError as error:
        raise MalformedDocument(str(error)) from None


def convert_usable(
    value: object, type_: type[T], place: str, findings: list[Finding]
) -> T:
    """Convert a loaded JSON value into a struct, as far as it fits.

    Optional fields and items of lists that do not fit are left out. A type names
    optional fields whose default is no substitute in its ``ESSENTIAL``.

    :param value: the value.
    :param type_: the struct type.
    :param place: location of the value within its document.
    :param findings: receives what was left out.
    :raises MalformedDocument: a required or essential field is missing or does not fit.

    >>> class Key(msgspec.Struct):
    ...     name: str
    ...     ranks: list[int] = []
    >>> findings = []
    >>> convert_usable({"name": "a", "ranks": [1, "x"]}, Key, "key", findings)
    Key(name='a', ranks=[1])
    >>> print(findings[0])
    key.ranks[1]: Expected `int`, got `str`
    """
    if not isinstance(value, dict):
        raise MalformedDocument(f"expected an object, got {type(value).__name__}")
    essential = getattr(type_, "ESSENTIAL", ())
    fields: dict[str, Any] = {}
    for field in msgspec.structs.fields(type_):
        name = field.encode_name
        if name not in value:
            if field.required:
                raise MalformedDocument(f'field "{name}" is missing')
            continue
        field_place = f"{place}.{name}"
        try:
            fields[field.name] = _convert(
                value[name], field.type, field_place, findings
            )
        except MalformedDocument as error:
            if field.required or name in essential:
                raise MalformedDocument(f'field "{name}": {error}') from None
            findings.append(Finding(field_place, str(error)))
    return type_(**fields)


def _convert(value: object, type_: Any, place: str, findings: list[Finding]) -> Any:
    if get_origin(type_) is types.UnionType and type(None) in get_args(type_):
        if value is None:
            return None
        (type_,) = (t for t in get_args(type_) if t is not type(None))
    if get_origin(type_) is list:
        return _convert_items(value, get_args(type_)[0], place, findings)
    if isinstance(type_, type) and issubclass(type_, msgspec.Struct):
        return convert_usable(value, type_, place, findings)
    try:
        return msgspec.convert(value, type_)
    except (ValueError, OverflowError, TypeError) as error:
        raise MalformedDocument(str(error)) from None


def _convert_items(
    value: object, type_: Any, place: str, findings: list[Finding]
) -> list[Any]:
    if not isinstance(value, list):
        raise MalformedDocument(f"expected a list, got {type(value).__name__}")
    items = []
    for n, item in enumerate(value):
        try:
            items.append(_convert(item, type_, f"{place}[{n}]", findings))
        except MalformedDocument as error:
            findings.append(Finding(f"{place}[{n}]", str(error)))
    return items


def _parse_float(text: str) -> float | int:
    number = float(text)
    is_integer = number.is_integer() and abs(number) <= MAX_EXACT_INTEGER
    return int(number) if is_integer else number
