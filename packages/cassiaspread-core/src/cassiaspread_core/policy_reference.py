"""Renders the reference of all configuration entries: ``make docs``."""

import re
from typing import Any, get_args, get_origin

import msgspec

from cassiaspread_core.policy import (
    Limits,
    LimitsException,
    Model,
    Operator,
    Organisation,
    Service,
    TargetPolicy,
)

HEADER = """\
# Entries of the configuration

Made by `make docs` from the entries' own types; CI checks that it is current. How
files are written, checked and published stands in [configuration.md](configuration.md).
"""
SECTIONS: dict[str, type] = {
    "[limits]": Limits,
    "[organisations.NAME]": Organisation,
    "[operators.NAME]": Operator,
    "[models.NAME]": Model,
    "[services.NAME]": Service,
    "[targets.NAME]": TargetPolicy,
    "[exceptions.NAME]": LimitsException,
}
# A file names the end of an exception by a date and time.
FILE_FIELDS = {"expires_s": ("expires", "date and time with offset")}
TYPE_NAMES = {int: "whole number", float: "number", str: "text", bool: "true or false"}

_PARAMETER = re.compile(r":param (\w+): (.*?)(?=\n *:param|\n *$|\Z)", re.DOTALL)


def render_reference() -> str:
    """Return the page in Markdown."""
    return HEADER + "".join(_render(name, entry) for name, entry in SECTIONS.items())


def _render(name: str, entry: type) -> str:
    doc = entry.__doc__ or ""
    meanings = {
        field: " ".join(text.split()) for field, text in _PARAMETER.findall(doc)
    }
    rows = [
        _render_row(field, meanings.get(field.name, ""))
        for field in msgspec.structs.fields(entry)
    ]
    title = doc.split("\n")[0].rstrip(".")
    return (
        f"\n## `{name}`\n\n{title}.\n\n"
        "| field | type | default | meaning |\n|---|---|---|---|\n" + "".join(rows)
    )


def _render_row(field: msgspec.structs.FieldInfo, meaning: str) -> str:
    name, type_name = FILE_FIELDS.get(field.name, (field.name, _describe(field.type)))
    default = (
        "required"
        if field.required
        else f"`{msgspec.json.encode(field.default).decode()}`"
    )
    if not field.required and field.default is None:
        default = "none"
    meaning = re.sub(r":class:`(\w+)`", r"`[\1]`", meaning).replace(
        "`[Limits]`", "`[limits]`"
    )
    return f"| `{name}` | {type_name} | {default} | {meaning} |\n"


def _describe(field_type: Any) -> str:
    arguments = get_args(field_type)
    if hasattr(field_type, "__metadata__"):
        return _describe(arguments[0]) + _describe_range(field_type.__metadata__[0])
    if hasattr(field_type, "__supertype__"):
        return _describe(field_type.__supertype__)
    if get_origin(field_type) is tuple:
        return f"list of {_describe(arguments[0])}"
    if get_origin(field_type) is dict:
        return "table"
    if arguments:
        return _describe(arguments[0])
    return TYPE_NAMES[field_type]


def _describe_range(meta: msgspec.Meta) -> str:
    bounds = [
        f"{sign} {bound:g}"
        for sign, bound in (("≥", meta.ge), (">", meta.gt), ("≤", meta.le))
        if bound is not None
    ]
    return " " + ", ".join(bounds) if bounds else ""


if __name__ == "__main__":
    print(render_reference(), end="")
