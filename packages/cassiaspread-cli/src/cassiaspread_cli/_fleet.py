"""Commands ``drain`` and ``members``."""

import argparse

import msgspec

from cassiaspread_cli._context import Context, ExitStatus
from cassiaspread_cli._daemons import (
    query_all,
    query_first,
    split_responses,
    warn_of_failures,
)
from cassiaspread_cli._output import print_json, print_table
from cassiaspread_core.operations import DrainReport, MemberReport


class DrainRequest(msgspec.Struct, frozen=True):
    """Body of an HTTP request to drain a target.

    :param target: target identifier of an engine, VM of a plain service.
    """

    target: str


async def drain(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Drain a target; the daemon that receives the request notifies the others.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    body = DrainRequest(arguments.target)
    response = await query_first(context, "/operators/drain", DrainReport, body)
    if context.is_json:
        print_json(response)
    else:
        print(
            f"{response.value.target} receives no new requests; {response.daemon} has "
            f"{response.value.n_in_flight} requests in progress at it"
        )
    return ExitStatus.DONE


async def members(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the membership view of each daemon.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    responses = await query_all(context, "/operators/members", list[MemberReport])
    reached, failed = split_responses(responses)
    if context.is_json:
        print_json(responses)
    else:
        rows = [
            (response.daemon, m.domain, m.vm, m.address, m.state.value)
            for response in reached
            for m in sorted(response.value, key=lambda m: (m.domain, m.vm))
        ]
        print_table(("reported by", "domain", "vm", "address", "state"), rows)
    return warn_of_failures(failed)
