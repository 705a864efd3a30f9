"""``status`` and ``targets``."""

import argparse

import msgspec

from cassiaspread_cli._context import Context, ExitStatus
from cassiaspread_cli._daemons import Answer, ask_all, split_answers, warn_of_failures
from cassiaspread_cli._output import print_json, print_table, warn
from cassiaspread_core.operations import DaemonReport, TargetReport


class FleetReport(msgspec.Struct, frozen=True):
    """State of the daemons that were asked.

    :param daemons: answers of all daemons.
    :param unasked: VMs that a daemon hears and that were not asked or reached.
    :param problems: what an operator should look at.
    """

    daemons: list[Answer[DaemonReport]]
    unasked: list[str]
    problems: list[str]


async def status(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the state of the daemons by failure domain.

    :param context: the shared options.
    :param arguments: the command's arguments.
    """
    answers = await ask_all(context, "/operators/status", DaemonReport)
    reached, failed = split_answers(answers)
    reports = [answer.value for answer in reached]
    report = FleetReport(answers, _find_unasked(reports), _find_problems(reports))
    if context.is_json:
        print_json(report)
    else:
        _print_status(report, reached)
    return warn_of_failures(failed)


async def targets(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the targets that daemons know.

    :param context: the shared options.
    :param arguments: the command's arguments.
    """
    answers = await ask_all(context, "/operators/targets", list[TargetReport])
    reached, failed = split_answers(answers)
    if context.is_json:
        print_json(answers)
    else:
        _print_targets(reached)
    return warn_of_failures(failed)


def _find_unasked(reports: list[DaemonReport]) -> list[str]:
    asked = {report.vm for report in reports}
    heard = {
        f"{p.vm} ({p.domain})" for r in reports for p in r.peers if p.vm not in asked
    }
    return sorted(heard)


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
    for offset, owners in digests.items():
        if len(owners) > 1:
            vms = " and ".join(sorted(owners.values()))
            problems.append(f"{vms} disagree about offset {offset}; report this fault")
    return problems


def _print_status(report: FleetReport, reached: list[Answer[DaemonReport]]) -> None:
    by_domain = sorted(reached, key=lambda a: (a.value.domain, a.value.vm))
    rows = [
        (
            answer.value.domain,
            answer.value.vm,
            answer.daemon,
            answer.value.state,
            answer.value.policy.next_offset,
            answer.value.policy.source or "-",
            answer.value.n_targets,
            answer.value.n_requests,
            "; ".join(answer.value.reasons) or "-",
        )
        for answer in by_domain
    ]
    header = ("domain", "vm", "address", "state", "offset", "source")
    print_table((*header, "targets", "requests", "not ready because"), rows)
    if report.unasked:
        print(f"\nheard of, not asked: {', '.join(report.unasked)}")
    for problem in report.problems:
        warn(problem)


def _print_targets(reached: list[Answer[list[TargetReport]]]) -> None:
    known: dict[str, tuple[TargetReport, list[str]]] = {}
    for answer in reached:
        for target in answer.value or []:
            best, users = known.get(target.target, (target, []))
            users += [answer.daemon] if target.is_usable else []
            known[target.target] = (target if target.is_usable else best, users)
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
        for target, users in known.values()
    ]
    header = ("domain", "target", "kind", "name", "layers", "state", "checks fencing")
    print_table((*header, "used by"), sorted(rows))
