"""``key``."""

import argparse
from urllib.parse import quote

from cassiaspread_cli._context import Context, ExitStatus
from cassiaspread_cli._daemons import ask_first
from cassiaspread_cli._output import print_json, print_table, warn
from cassiaspread_core.operations import KeyReport

_MEANINGS = {
    "free": "no call with this key was sent",
    "held": "a daemon may send, or has sent, the call",
    "answered": "the call ran and its answer is kept",
    "outcome-unknown": "the call was sent; no answer came",
}


async def show(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show what became of an idempotency key.

    :param context: the shared options.
    :param arguments: the command's arguments.
    """
    names = quote(arguments.organisation, safe=""), quote(arguments.key, safe="")
    path = "/operators/keys/{}/{}".format(*names)
    answer = await ask_first(context, path, KeyReport)
    if context.is_json:
        print_json(answer)
    else:
        _print_report(answer.value)
    if not (answer.value.is_current and answer.value.is_judged):
        warn(
            f"{answer.daemon} could not read all records of the key; ask again when "
            "the log is back"
        )
        return ExitStatus.UNKNOWN
    return ExitStatus.DONE


def _print_report(report: KeyReport) -> None:
    rows = [
        ("state", f"{report.state}: {_MEANINGS.get(report.state, 'not known here')}"),
        ("answer's status", report.status or "-"),
        ("held by", report.claim or "-"),
        ("holder alive", "yes" if report.is_holder_live else "no"),
        ("void claims", report.n_void_claims),
        ("partition", report.partition),
    ]
    print_table(("key", report.key), rows)
