"""Renders the reference of all settings: ``make docs``."""

from cassiaspread_daemon._settings import OPTIONS, Option

HEADER = """\
# Settings of `cassiaspreadd`

Made by `make docs` from the program's own parser; CI checks that it is current.

Each setting is a flag or an environment variable; the flag goes first. All bad
settings of a start are reported together, one a line, and the exit status is 2.

| flag | variable | default | meaning and unit |
|---|---|---|---|
"""


def render_reference() -> str:
    """Return the page in Markdown."""
    return HEADER + "".join(_render_row(option) for option in OPTIONS)


def _render_row(option: Option) -> str:
    if option.default is None:
        default = "required"
    else:
        default = f"`{option.default}`" if option.default else "empty"
    return f"| `{option.flag}` | `{option.variable}` | {default} | {option.help} |\n"


if __name__ == "__main__":
    print(render_reference(), end="")
