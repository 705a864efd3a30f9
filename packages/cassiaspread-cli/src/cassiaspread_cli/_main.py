"""Entry point of ``cassiaspread``."""

import argparse
import asyncio
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import msgspec

from cassiaspread_cli import (
    _apply,
    _hash_token,
    _key,
    _quarantine,
    _show,
    _status,
    _targets,
    _timeline,
)
from cassiaspread_cli._context import (
    CommandError,
    Context,
    ExitStatus,
    add_shared_options,
    read_context,
)
from cassiaspread_cli._log import LogUnavailable
from cassiaspread_cli._output import print_json, warn
from cassiaspread_core.base import CassiaspreadError, FindingsError

Command = Callable[[Context, argparse.Namespace], Awaitable[ExitStatus]]

EPILOG = """\
exit status:
  0  done
  1  nothing could be reached, or nothing was published
  2  bad arguments or a faulty file
  3  a change was rejected; the message says what won
  4  the outcome of a change is not known yet
  5  done in part: some daemons did not answer or do not have it in force yet
  6  the file differs from what is in force (policy diff)
"""


class ErrorReport(msgspec.Struct, frozen=True):
    """Why a command failed, for ``--json``.

    :param errors: what is wrong, one for each fault.
    :param advice: what to do next.
    :param exit_status: exit status of the command.
    """

    errors: list[str]
    advice: str
    exit_status: int


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="cassiaspread",
        description="Operates a fleet of cassiaspread daemons.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_shared_options(parser)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_policy(commands)
    _add(commands, "status", "show the state of the daemons", _status.status)
    _add(commands, "targets", "show the targets that daemons know", _status.targets)
    _add(commands, "members", "show the daemons as each sees them", _targets.members)
    drain = _add(commands, "drain", "give a target no new work", _targets.drain)
    drain.add_argument(
        "target", help="target identifier of an engine, VM of a plain service"
    )
    _add_quarantine(commands)
    keys = _add(commands, "key", "show what became of a key", _key.show)
    keys.add_argument("organisation", help="whose key it is")
    keys.add_argument("key", help="the idempotency key")
    timeline = _add(
        commands, "timeline", "show events in causal order", _timeline.timeline
    )
    timeline.add_argument("--request", help="only the events of this request")
    timeline.add_argument(
        "--html", type=Path, metavar="FILE", help="write a page with a lane a process"
    )
    _add(
        commands,
        "hash-token",
        "read a token from standard input and print its hash",
        _hash_token.print_hash,
    )
    return parser


def _add_policy(commands: argparse._SubParsersAction) -> None:
    policy = commands.add_parser("policy", help="check, publish and show configuration")
    actions = policy.add_subparsers(required=True, metavar="ACTION")
    check = _add(actions, "check", "check a file without publishing", _apply.check)
    diff = _add(actions, "diff", "show what a file would change", _apply.diff)
    apply = _add(actions, "apply", "publish what differs in a file", _apply.apply)
    for parser in (check, diff, apply):
        parser.add_argument("file", metavar="FILE", help="configuration in TOML")
    check.add_argument(
        "--in-force",
        action="store_true",
        help="exceptions may also name entries that are in force",
    )
    for parser in (diff, apply):
        parser.add_argument(
            "--prune", action="store_true", help="remove entries that the file lacks"
        )
    apply.add_argument("--author", help="who publishes (default: the user's name)")
    apply.add_argument(
        "--wait",
        action="store_true",
        help="wait until every daemon that can be reached has it in force",
    )
    apply.add_argument(
        "--based-on",
        type=int,
        metavar="OFFSET",
        help="publish nothing if an entry to be changed was changed at or after OFFSET",
    )
    _add(actions, "show", "show the configuration in force", _show.show)
    history = _add(actions, "history", "show all records kept", _show.history)
    history.add_argument("--entry", help="only this one, such as 'model draft'")


def _add_quarantine(commands: argparse._SubParsersAction) -> None:
    quarantine = commands.add_parser(
        "quarantine", help="requests that crash their targets"
    )
    actions = quarantine.add_subparsers(required=True, metavar="ACTION")
    _add(actions, "list", "show suspected and refused requests", _quarantine.show)
    release = _add(
        actions, "release", "let a refused request run again", _quarantine.release
    )
    release.add_argument("fingerprint", help="fingerprint of the request")


def _add(
    commands: argparse._SubParsersAction, name: str, help_text: str, run: Command
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=help_text, description=help_text)
    add_shared_options(parser)
    parser.set_defaults(run=run)
    return parser


def main(argv: Sequence[str] | None = None) -> None:
    """Run one command and exit with its status.

    :param argv: arguments without the program's name; those of the process if none.
    """
    arguments = build_parser().parse_args(argv)
    sys.exit(run(arguments))


def run(arguments: argparse.Namespace) -> ExitStatus:
    """Run one command.

    :param arguments: the parsed arguments.
    :returns: its exit status; errors are printed.
    """
    context = read_context(arguments, os.environ)
    try:
        return asyncio.run(arguments.run(context, arguments))
    except CassiaspreadError as error:
        report = _to_report(error)
    if context.is_json:
        print_json(report)
    else:
        for line in (*report.errors, report.advice):
            warn(line)
    return ExitStatus(report.exit_status)


def _to_report(error: CassiaspreadError) -> ErrorReport:
    if isinstance(error, CommandError):
        return ErrorReport([error.problem], error.advice, error.status)
    if isinstance(error, FindingsError):
        faults = [str(finding) for finding in error.findings]
        advice = "Correct the file; nothing was published."
        return ErrorReport(faults, advice, ExitStatus.BAD_INPUT)
    advice = "Try again."
    if isinstance(error, LogUnavailable):
        advice = (
            "Nothing was published. Check --log and try again when the log is back; "
            "'policy show' and 'status' also work through --daemons."
        )
    return ErrorReport([str(error)], advice, ExitStatus.UNREACHABLE)
