"""``drain`` and ``members``."""

import argparse

import msgspec

from cassiaspread_cli._context import Context, ExitStatus
from cassiaspread_cli._daemons import (
    ask_all,
    ask_first,
    split_answers,
    warn_of_failures,
)
from cassiaspread_cli._output import print_json, print_table
from cassiaspread_core.operations import DrainReport, MemberReport


class DrainOrder(msgspec.Struct, frozen=True):
    """Asks that a target get no new work.

    :param target: target identifier of an engine, VM of a plain service.
    """

    target: str


async def drain(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Give a target no new work; one daemon tells the others.

    :param context: the shared options.
    :param arguments: the command's arguments.
    """
    order = DrainOrder(arguments.target)
    answer = await ask_first(context, "/operators/drain", DrainReport, order)
    if context.is_json:
        print_json(answer)
    else:
        print(
            f"{answer.value.target} gets no new work; {answer.daemon} has "
            f"{answer.value.n_in_flight} requests on it"
        )
    return ExitStatus.DONE


async def members(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the daemons as each daemon sees them.

    :param context: the shared options.
    :param arguments: the command's arguments.
    """
    answers = await ask_all(context, "/operators/members", list[MemberReport])
    reached, failed = split_answers(answers)
    if context.is_json:
        print_json(answers)
    else:
        rows = [
            (answer.daemon, m.domain, m.vm, m.address, m.state.value)
            for answer in reached
            for m in sorted(answer.value, key=lambda m: (m.domain, m.vm))
        ]
        print_table(("seen by", "domain", "vm", "address", "state"), rows)
    return warn_of_failures(failed)
