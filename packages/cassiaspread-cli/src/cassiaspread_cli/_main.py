"""Entry point of ``cassiaspread``."""

import argparse
import sys
from collections.abc import Sequence

import msgspec

from cassiaspread_cli._fleet import FleetUnreachable, read_events


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="cassiaspread", description="Operates a fleet of cassiaspread daemons."
    )
    parser.add_argument("--daemons", required=True, help="HOST:PORT,… of daemons")
    parser.add_argument("--token", required=True, help="operator's bearer token")
    commands = parser.add_subparsers(dest="command", required=True)
    timeline = commands.add_parser("timeline", help="show events in causal order")
    timeline.add_argument("--request", help="only the events of this request")
    return parser


def main(argv: Sequence[str] | None = None) -> None:
    """Run one command.

    :param argv: arguments without the program's name; those of the process if none.
    """
    arguments = build_parser().parse_args(argv)
    try:
        events = read_events(
            arguments.daemons.split(","), arguments.token, arguments.request
        )
    except FleetUnreachable as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    for event in events:
        fields = msgspec.json.encode(event.fields).decode()
        print(
            f"{event.timestamp} {event.process} {event.kind} {event.request} {fields}"
        )
