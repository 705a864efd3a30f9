"""Commands ``policy check``, ``policy diff`` and ``policy apply``."""

import argparse
import getpass
from pathlib import Path

import msgspec
import uuid6

from cassiaspread_cli._context import CommandError, Context, ExitStatus
from cassiaspread_cli._log import PolicyLog, read_with_retries
from cassiaspread_cli._output import format_value, print_json, print_table, warn
from cassiaspread_cli._publish import Outcome, PublishResult, publish, wait_in_force
from cassiaspread_core.base import Offset
from cassiaspread_core.policy import (
    Change,
    EntryKey,
    EntryValue,
    PolicyState,
    build_record,
    plan_changes,
    read_policy_file,
)


class WaitReport(msgspec.Struct, frozen=True):
    """Daemons that have the published changes in force, and those that do not.

    :param offset: offset of the last accepted record.
    :param in_force: daemons that have this record in force.
    :param missing: the other daemons, each with its error or its current offset.
    """

    offset: Offset
    in_force: tuple[str, ...]
    missing: dict[str, str]


class ApplyReport(msgspec.Struct, frozen=True):
    """Result of publishing the changes of a file.

    :param changes: a result for each entry that differed.
    :param wait: result of waiting for the daemons, only with ``--wait``.
    """

    changes: tuple[PublishResult, ...]
    wait: WaitReport | None = None


class CheckReport(msgspec.Struct, frozen=True):
    """Result of checking a valid file.

    :param file: path of the file.
    :param n_entries: number of entries in the file.
    """

    file: str
    n_entries: int


async def check(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Check a configuration file.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    state = PolicyState()
    if arguments.in_force:
        with PolicyLog(context) as log:
            await read_with_retries(log, context.timeout_s)
            state = log.state
    entries = _read_file(arguments.file, state)
    if context.is_json:
        print_json(CheckReport(arguments.file, len(entries)))
    else:
        print(f"{arguments.file}: {len(entries)} entries, no errors")
    return ExitStatus.DONE


async def diff(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show how a file differs from the configuration in force.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    with PolicyLog(context) as log:
        await read_with_retries(log, context.timeout_s)
        desired = _read_file(arguments.file, log.state)
        changes = plan_changes(log.state, desired, prune=arguments.prune)
    if context.is_json:
        print_json(changes)
    elif changes:
        _print_changes(changes)
    else:
        print("no differences")
    return ExitStatus.DIFFERS if changes else ExitStatus.DONE


async def apply(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Publish the entries of a file that differ from the configuration in force.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    if arguments.wait:
        context.check_daemons()
    author = arguments.author or getpass.getuser()
    with PolicyLog(context) as log:
        await read_with_retries(log, context.timeout_s)
        _check_halt(log.state)
        desired = _read_file(arguments.file, log.state)
        changes = plan_changes(log.state, desired, prune=arguments.prune)
        _check_based_on(log.state, changes, arguments.based_on)
        records = [build_record(c, author, lambda: str(uuid6.uuid7())) for c in changes]
        results = await publish(log, records, context.timeout_s)
        last = log.state.last_accepted
    wait = None
    if arguments.wait and last is not None:
        wait = await _wait(context, last)
    report = ApplyReport(tuple(results), wait)
    if context.is_json:
        print_json(report)
    else:
        _print_report(report)
    return _to_status(report)


def _read_file(file: str, state: PolicyState) -> dict[EntryKey, EntryValue]:
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(
            ExitStatus.BAD_INPUT,
            f"{file} can't be read: {error}",
            "Give the path of a TOML file.",
        ) from None
    in_force = (key for key, e in state.entries.items() if not e.is_removed)
    return read_policy_file(text, file, in_force)


def _check_halt(state: PolicyState) -> None:
    if state.halt_reason is not None:
        raise CommandError(
            ExitStatus.BAD_INPUT,
            state.halt_reason,
            "Use a newer release of cassiaspread.",
        )


def _check_based_on(
    state: PolicyState, changes: list[Change], based_on: Offset | None
) -> None:
    if based_on is None:
        return
    newer = [
        f"  {change.key} at offset {change.replaces} "
        f"by {state.entries[change.key].author}"
        for change in changes
        if change.replaces is not None and change.replaces >= based_on
    ]
    if newer:
        raise CommandError(
            ExitStatus.REJECTED,
            f"changed since offset {based_on}:\n" + "\n".join(newer),
            "Nothing was published. Take these changes into the file, then apply it "
            f"with --based-on {state.next_offset}.",
        )


async def _wait(context: Context, offset: Offset) -> WaitReport:
    up_to_date, remaining = await wait_in_force(context, offset)
    missing = {
        response.daemon: response.error
        or f"at offset {response.value.policy.next_offset if response.value else 0}"
        for response in remaining
    }
    return WaitReport(
        offset, tuple(response.daemon for response in up_to_date), missing
    )


def _print_changes(changes: list[Change]) -> None:
    rows = []
    for change in changes:
        before = {k: v for k, v in (change.before or {}).items() if k in change.fields}
        after = {k: v for k, v in (change.after or {}).items() if k in change.fields}
        action = "change" if change.before is not None else "add"
        action = "remove" if change.after is None else action
        rows.append((action, change.key, format_value(before), format_value(after)))
    print_table(("change", "entry", "in force", "file"), rows)


def _print_report(report: ApplyReport) -> None:
    if not report.changes:
        print("nothing to publish: no entry differs")
    else:
        rows = [
            (p.entry, p.outcome.value, "-" if p.offset is None else p.offset, p.reason)
            for p in report.changes
        ]
        print_table(("entry", "outcome", "offset", "reason"), rows)
    outcomes = {result.outcome for result in report.changes}
    if Outcome.REJECTED in outcomes:
        warn("Check 'policy diff' and, if the file still differs, apply it again.")
    if outcomes & {Outcome.UNKNOWN, Outcome.NOT_SENT}:
        warn(
            "Apply the file again: only entries that still differ are published, and "
            "of two copies of a change at most one is accepted."
        )
    if report.wait is not None:
        _print_wait(report.wait)


def _print_wait(wait: WaitReport) -> None:
    n_daemons = len(wait.in_force) + len(wait.missing)
    print(f"offset {wait.offset} in force on {len(wait.in_force)} of {n_daemons}")
    for daemon, problem in wait.missing.items():
        warn(f"not in force on {daemon}: {problem}")


def _to_status(report: ApplyReport) -> ExitStatus:
    outcomes = {result.outcome for result in report.changes}
    if Outcome.UNKNOWN in outcomes:
        return ExitStatus.UNKNOWN
    if Outcome.REJECTED in outcomes:
        return ExitStatus.REJECTED
    if Outcome.NOT_SENT in outcomes:
        return ExitStatus.UNREACHABLE
    if report.wait is not None and report.wait.missing:
        return ExitStatus.PARTIAL
    return ExitStatus.DONE
