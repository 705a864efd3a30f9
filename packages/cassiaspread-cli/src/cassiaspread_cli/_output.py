"""Output of results as tables or JSON."""

import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

import msgspec

COLUMN_GAP = "  "


def print_json(value: Any) -> None:
    """Print a value as one JSON document.

    :param value: any value that msgspec can encode.
    """
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table; each column is as wide as its widest cell.

    :param header: headings of the columns.
    :param rows: cells of each row.

    >>> print_table(("vm", "state"), [("d1", "ready"), ("entry-2", "leaving")])
    vm       state
    d1       ready
    entry-2  leaving
    """
    lines = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print(COLUMN_GAP.join(cells).rstrip())


def warn(text: str) -> None:
    """Print a line to standard error.

    :param text: the line.
    """
    print(text, file=sys.stderr)


def format_time(time_s: float | None) -> str:
    """Format a time in UTC.

    :param time_s: time in seconds since the epoch; ``None`` gives ``-``.

    >>> format_time(0)
    '1970-01-01T00:00:00Z'
    """
    if time_s is None:
        return "-"
    return datetime.fromtimestamp(time_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def format_value(value: dict | None) -> str:
    """Format the fields of an entry on one line.

    :param value: the fields; of token hashes, only the number is shown.

    >>> format_value({"token_sha256": ["ab"], "weight": 2.0})
    'token_sha256=(1) weight=2.0'
    """
    if value is None:
        return "-"
    return (
        " ".join(f"{name}={_format_field(name, v)}" for name, v in value.items()) or "-"
    )


def _format_field(name: str, value: object) -> str:
    if name == "token_sha256" and isinstance(value, (list, tuple)):
        return f"({len(value)})"
    if isinstance(value, dict):
        return "{" + format_value(value) + "}"
    return str(value)
