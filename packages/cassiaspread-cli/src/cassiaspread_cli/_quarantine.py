"""``quarantine list`` and ``quarantine release``."""

import argparse

import msgspec

from cassiaspread_cli._context import Context, ExitStatus
from cassiaspread_cli._daemons import (
    ask_all,
    ask_first,
    split_answers,
    warn_of_failures,
)
from cassiaspread_cli._output import format_time, print_json, print_table
from cassiaspread_core.operations import QuarantineReport
from cassiaspread_core.quarantine import SuspectRecord


class ReleaseOrder(msgspec.Struct, frozen=True):
    """Asks that requests with a fingerprint run again.

    :param fingerprint: the fingerprint.
    """

    fingerprint: str


async def show(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the requests that crashed their targets.

    :param context: the shared options.
    :param arguments: the command's arguments.
    """
    answers = await ask_all(context, "/operators/quarantine", QuarantineReport)
    reached, failed = split_answers(answers)
    if context.is_json:
        print_json(answers)
    else:
        _print_records(answer.value for answer in reached)
    return warn_of_failures(failed)


async def release(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Let requests with a fingerprint run again; one daemon tells the others.

    :param context: the shared options.
    :param arguments: the command's arguments.
    """
    order = ReleaseOrder(arguments.fingerprint)
    path = "/operators/quarantine/release"
    answer = await ask_first(context, path, SuspectRecord, order)
    if context.is_json:
        print_json(answer)
    else:
        print(f"{arguments.fingerprint} may run again")
    return ExitStatus.DONE


def _print_records(reports: "list[QuarantineReport]") -> None:
    latest: dict[str, SuspectRecord] = {}
    for report in reports:
        for record in (*report.quarantined, *report.suspects):
            known = latest.get(record.fingerprint)
            if known is None or record.last_s > known.last_s:
                latest[record.fingerprint] = record
    rows = [
        (
            record.fingerprint,
            "refused" if record.is_quarantined else "retried alone",
            record.organisation,
            record.subject,
            ", ".join(loss.target for loss in record.counted),
            format_time(record.last_s),
        )
        for record in latest.values()
    ]
    header = ("fingerprint", "state", "organisation", "asked for", "targets lost")
    print_table((*header, "latest"), rows)
