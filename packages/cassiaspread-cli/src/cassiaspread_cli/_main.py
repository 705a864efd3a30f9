"""Entry point of the command ``cassiaspread``."""

import argparse
import asyncio
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import msgspec

from cassiaspread_cli import (
    _apply,
    _fleet,
    _hash_token,
    _key,
    _quarantine,
    _show,
    _status,
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
  1  no daemon or log could be reached, or nothing was published
  2  invalid arguments or an invalid file
  3  a change was rejected; the message gives the reason
  4  the outcome of a change or the state of a key is not known yet
  5  partly done: some daemons did not respond or do not have the change in force yet
  6  the file differs from the configuration in force (policy diff)
"""


class ErrorReport(msgspec.Struct, frozen=True):
    """Errors of a failed command, for ``--json``.

    :param errors: one message for each error.
    :param advice: how to correct the errors.
    :param exit_status: exit status of the command.
    """

    errors: list[str]
    advice: str
    exit_status: int


def build_parser() -> argparse.ArgumentParser:
    """Return the parser for all commands."""
    parser = argparse.ArgumentParser(
        prog="cassiaspread",
        description="Manage a fleet of cassiaspread daemons.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_shared_options(parser)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_policy_commands(commands)
    _add_command(commands, "status", "show the state of the daemons", _status.status)
    _add_command(
        commands, "targets", "show the targets that the daemons report", _status.targets
    )
    _add_command(
        commands, "members", "show the membership view of each daemon", _fleet.members
    )
    drain = _add_command(
        commands, "drain", "stop sending new requests to a target", _fleet.drain
    )
    drain.add_argument(
        "target", help="target identifier of an engine, VM of a plain service"
    )
    _add_quarantine_commands(commands)
    keys = _add_command(
        commands, "key", "show the state of an idempotency key", _key.show
    )
    keys.add_argument("organisation", help="organisation that uses the key")
    keys.add_argument("key", help="the idempotency key")
    timeline = _add_command(
        commands, "timeline", "show events in causal order", _timeline.timeline
    )
    timeline.add_argument("--request", help="show only the events of this request")
    timeline.add_argument(
        "--html",
        type=Path,
        metavar="FILE",
        help="write an HTML page with one lane per process",
    )
    _add_command(
        commands,
        "hash-token",
        "read a token from standard input and print its hash",
        _hash_token.print_hash,
    )
    return parser


def _add_policy_commands(commands: argparse._SubParsersAction) -> None:
    policy = commands.add_parser("policy", help="check, publish and show configuration")
    actions = policy.add_subparsers(required=True, metavar="ACTION")
    check = _add_command(
        actions, "check", "check a file without publishing", _apply.check
    )
    diff = _add_command(actions, "diff", "show what a file would change", _apply.diff)
    apply = _add_command(
        actions, "apply", "publish the entries of a file that differ", _apply.apply
    )
    for parser in (check, diff, apply):
        parser.add_argument("file", metavar="FILE", help="configuration in TOML")
    check.add_argument(
        "--in-force",
        action="store_true",
        help="let exceptions refer to entries that are in force but not in the file",
    )
    for parser in (diff, apply):
        parser.add_argument(
            "--prune",
            action="store_true",
            help="remove entries that are not in the file",
        )
    apply.add_argument(
        "--author", help="author of the change (default: name of the current user)"
    )
    apply.add_argument(
        "--wait",
        action="store_true",
        help="wait until every reachable daemon has the change in force",
    )
    apply.add_argument(
        "--based-on",
        type=int,
        metavar="OFFSET",
        help="publish nothing if an entry to be changed was changed at or after OFFSET",
    )
    _add_command(actions, "show", "show the configuration in force", _show.show)
    history = _add_command(
        actions, "history", "show all retained records", _show.history
    )
    history.add_argument("--entry", help="show only this entry, such as 'model draft'")


def _add_quarantine_commands(commands: argparse._SubParsersAction) -> None:
    quarantine = commands.add_parser(
        "quarantine", help="show and release requests that crash their targets"
    )
    actions = quarantine.add_subparsers(required=True, metavar="ACTION")
    _add_command(
        actions, "list", "show suspected and refused requests", _quarantine.show
    )
    release = _add_command(
        actions, "release", "accept a refused request again", _quarantine.release
    )
    release.add_argument("fingerprint", help="fingerprint of the request")


def _add_command(
    commands: argparse._SubParsersAction, name: str, help_text: str, run: Command
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=help_text, description=help_text)
    add_shared_options(parser)
    parser.set_defaults(run=run)
    return parser


def main(argv: Sequence[str] | None = None) -> None:
    """Run one command and exit with its status.

    :param argv: arguments without the program name, by default ``sys.argv[1:]``.
    """
    arguments = build_parser().parse_args(argv)
    sys.exit(run(arguments))


def run(arguments: argparse.Namespace) -> ExitStatus:
    """Run one command.

    :param arguments: the parsed arguments.
    :returns: exit status of the command; errors are printed.
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
        errors = [str(finding) for finding in error.findings]
        advice = "Correct the file; nothing was published."
        return ErrorReport(errors, advice, ExitStatus.BAD_INPUT)
    advice = "Try again."
    if isinstance(error, LogUnavailable):
        advice = (
            "Nothing was published. Check --log and try again when the log is back; "
            "'policy show' and 'status' also work through --daemons."
        )
    return ErrorReport([str(error)], advice, ExitStatus.UNREACHABLE)
