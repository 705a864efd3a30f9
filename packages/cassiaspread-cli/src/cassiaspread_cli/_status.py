"""Commands ``status`` and ``targets``."""

import argparse

import msgspec

from cassiaspread_cli._context import Context, ExitStatus
from cassiaspread_cli._daemons import (
    DaemonResponse,
    query_all,
    split_responses,
    warn_of_failures,
)
from cassiaspread_cli._output import print_json, print_table, warn
from cassiaspread_core.operations import DaemonReport, TargetReport


class FleetReport(msgspec.Struct, frozen=True):
    """State of the queried daemons.

    :param daemons: responses of all daemons.
    :param unasked: VMs of peers of a daemon that were not queried or did not respond.
    :param problems: conditions that need the attention of an operator.
    """

    daemons: list[DaemonResponse[DaemonReport]]
    unasked: list[str]
    problems: list[str]


async def status(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the state of the daemons by failure domain.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    responses = await query_all(context, "/operators/status", DaemonReport)
    reached, failed = split_responses(responses)
    reports = [response.value for response in reached]
    report = FleetReport(
        responses, _find_unreported_vms(reports), _find_problems(reports)
    )
    if context.is_json:
        print_json(report)
    else:
        _print_status(report, reached)
    return warn_of_failures(failed)


async def targets(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the targets that the daemons report.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    responses = await query_all(context, "/operators/targets", list[TargetReport])
    reached, failed = split_responses(responses)
    if context.is_json:
        print_json(responses)
    else:
        _print_targets(reached)
    return warn_of_failures(failed)


def _find_unreported_vms(reports: list[DaemonReport]) -> list[str]:
    reporting = {report.vm for report in reports}
    unreported = {
        f"{p.vm} ({p.domain})"
        for r in reports
        for p in r.peers
        if p.vm not in reporting
    }
    return sorted(unreported)


def _find_problems(reports: list[DaemonReport]) -> list[str]:
    problems = []
    newest = max(report.policy.known_offset for report in reports)
    digests: dict[int, dict[str, str]] = {}
    for report in reports:
        policy = report.policy
        digests.setdefault(policy.next_offset, {})[policy.digest] = report.vm
        if policy.next_offset < newest:
            problems.append(
                f"{report.vm} has the configuration up to offset "
                f"{policy.next_offset}, others up to {newest}"
            )
        if policy.log_error:
            problems.append(f"{report.vm} can't read the log: {policy.log_error}")
    n_skipped = max(report.policy.n_skipped for report in reports)
    if n_skipped:
        problems.append(
            f"{n_skipped} records of the stream are no configuration; "
            "'policy history' shows where"
        )
    for offset, vm_by_digest in digests.items():
        if len(vm_by_digest) > 1:
            vms = " and ".join(sorted(vm_by_digest.values()))
            problems.append(f"{vms} disagree about offset {offset}; report this fault")
    return problems


def _print_status(
    report: FleetReport, reached: list[DaemonResponse[DaemonReport]]
) -> None:
    by_domain = sorted(reached, key=lambda r: (r.value.domain, r.value.vm))
    rows = [
        (
            response.value.domain,
            response.value.vm,
            response.daemon,
            response.value.state,
            response.value.policy.next_offset,
            response.value.policy.source or "-",
            response.value.n_targets,
            response.value.n_requests,
            "; ".join(response.value.reasons) or "-",
        )
        for response in by_domain
    ]
    header = ("domain", "vm", "address", "state", "offset", "source")
    print_table((*header, "targets", "requests", "not ready because"), rows)
    if report.unasked:
        print(f"\npeers without a report: {', '.join(report.unasked)}")
    for problem in report.problems:
        warn(problem)


def _print_targets(reached: list[DaemonResponse[list[TargetReport]]]) -> None:
    merged: dict[str, tuple[TargetReport, list[str]]] = {}
    for response in reached:
        for target in response.value or []:
            best, users = merged.get(target.target, (target, []))
            users += [response.daemon] if target.is_usable else []
            merged[target.target] = (target if target.is_usable else best, users)
    rows = [
        (
            target.domain,
            target.target,
            target.kind.value,
            target.name or "-",
            "-" if target.begin is None else f"[{target.begin}, {target.end})",
            target.state.value,
            "yes" if target.checks_fencing else "no",
            f"{len(users)} of {len(reached)}",
        )
        for target, users in merged.values()
    ]
    header = ("domain", "target", "kind", "name", "layers", "state", "checks fencing")
    print_table((*header, "used by"), sorted(rows))
