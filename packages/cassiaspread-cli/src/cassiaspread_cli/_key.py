"""Command ``key``."""

import argparse
from urllib.parse import quote

from cassiaspread_cli._context import Context, ExitStatus
from cassiaspread_cli._daemons import query_first
from cassiaspread_cli._output import print_json, print_table, warn
from cassiaspread_core.operations import KeyReport

_STATE_DESCRIPTIONS = {
    "free": "no call with this key has been sent",
    "held": "a daemon holds the claim and may send, or has sent, the call",
    "answered": "the call ran and its answer is stored",
    "outcome-unknown": "the call was sent, but no answer was received",
}


async def show(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the state of an idempotency key.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    names = quote(arguments.organisation, safe=""), quote(arguments.key, safe="")
    path = "/operators/keys/{}/{}".format(*names)
    response = await query_first(context, path, KeyReport)
    if context.is_json:
        print_json(response)
    else:
        _print_report(response.value)
    if not (response.value.is_current and response.value.is_judged):
        warn(
            f"{response.daemon} could not read all records of the key; try again "
            "when the log is available"
        )
        return ExitStatus.UNKNOWN
    return ExitStatus.DONE


def _print_report(report: KeyReport) -> None:
    rows = [
        (
            "state",
            f"{report.state}: {_STATE_DESCRIPTIONS.get(report.state, 'unknown state')}",
        ),
        ("HTTP status of the answer", report.status or "-"),
        ("claim of the holder", report.claim or "-"),
        ("holder alive", "yes" if report.is_holder_live else "no"),
        ("void claims", report.n_void_claims),
        ("partition", report.partition),
    ]
    print_table(("key", report.key), rows)
