"""Commands ``quarantine list`` and ``quarantine release``."""

import argparse

import msgspec

from cassiaspread_cli._context import Context, ExitStatus
from cassiaspread_cli._daemons import (
    query_all,
    query_first,
    split_responses,
    warn_of_failures,
)
from cassiaspread_cli._output import format_time, print_json, print_table
from cassiaspread_core.operations import QuarantineReport
from cassiaspread_core.quarantine import SuspectRecord


class ReleaseRequest(msgspec.Struct, frozen=True):
    """Body of an HTTP request to accept requests with a fingerprint again.

    :param fingerprint: the fingerprint.
    """

    fingerprint: str


async def show(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the requests that are quarantined or suspected of crashing targets.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    responses = await query_all(context, "/operators/quarantine", QuarantineReport)
    reached, failed = split_responses(responses)
    if context.is_json:
        print_json(responses)
    else:
        _print_records(response.value for response in reached)
    return warn_of_failures(failed)


async def release(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Release a fingerprint; the daemon that receives the request notifies the others.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    body = ReleaseRequest(arguments.fingerprint)
    path = "/operators/quarantine/release"
    response = await query_first(context, path, SuspectRecord, body)
    if context.is_json:
        print_json(response)
    else:
        print(f"{arguments.fingerprint} is released, its requests are accepted again")
    return ExitStatus.DONE


def _print_records(reports: "list[QuarantineReport]") -> None:
    latest: dict[str, SuspectRecord] = {}
    for report in reports:
        for record in (*report.quarantined, *report.suspects):
            previous = latest.get(record.fingerprint)
            if previous is None or record.last_s > previous.last_s:
                latest[record.fingerprint] = record
    rows = [
        (
            record.fingerprint,
            "refused" if record.is_quarantined else "retried in isolation",
            record.organisation,
            record.subject,
            ", ".join(loss.target for loss in record.counted),
            format_time(record.last_s),
        )
        for record in latest.values()
    ]
    header = (
        "fingerprint",
        "state",
        "organisation",
        "model or service",
        "targets lost",
    )
    print_table((*header, "latest"), rows)
