"""Commands ``policy show`` and ``policy history``."""

import argparse
import time

import msgspec

from cassiaspread_cli._context import Context, ExitStatus
from cassiaspread_cli._daemons import query_all, split_responses, warn_of_failures
from cassiaspread_cli._log import HistoryRecord, LogUnavailable, PolicyLog
from cassiaspread_cli._output import (
    format_time,
    format_value,
    print_json,
    print_table,
    warn,
)
from cassiaspread_core.base import Offset
from cassiaspread_core.policy import (
    Entry,
    EntryKey,
    EntryKind,
    EntryRecord,
    FoldVerdict,
    PolicyState,
    RulesRecord,
    Snapshot,
)


class HistoryLine(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the policy stream.

    :param offset: offset of the record.
    :param time_s: time of the append in seconds since the epoch, ``None`` if retention
        has removed the record.
    :param verdict: result of folding the record.
    :param entry: the entry that the record changes.
    :param author: author of the record.
    :param value: new value of the entry, ``None`` if the record removes the entry.
    :param reason: why the record was not accepted, or the last value of a removed
        entry.
    """

    offset: Offset
    time_s: float | None
    verdict: FoldVerdict
    entry: str
    author: str
    value: dict | None
    reason: str = ""


async def show(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the configuration in force.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    snapshot, source = await _read_snapshot(context)
    if context.is_json:
        print_json(snapshot)
        return ExitStatus.DONE
    print(f"configuration up to offset {snapshot.covered}, from {source}\n")
    for kind in EntryKind:
        entries = [entry for entry in snapshot.entries if entry.kind is kind]
        entries = [
            e for e in entries if kind is EntryKind.EXCEPTION or not e.is_removed
        ]
        if not entries:
            continue
        if kind is EntryKind.EXCEPTION:
            _print_exceptions(entries)
        else:
            _print_entries(kind, entries)
        print()
    return ExitStatus.DONE


async def history(context: Context, arguments: argparse.Namespace) -> ExitStatus:
    """Show the records of the policy stream, oldest first.

    :param context: the shared options.
    :param arguments: the parsed arguments.
    """
    with PolicyLog(context) as log:
        await log.read_to_end()
        lines = _to_lines(log.state, log.history)
    if arguments.entry is not None:
        lines = [line for line in lines if line.entry == arguments.entry]
    if context.is_json:
        print_json(lines)
        return ExitStatus.DONE
    rows = [
        (
            line.offset,
            format_time(line.time_s),
            line.verdict.value,
            line.author,
            line.entry,
            line.reason
            or ("removed" if line.value is None else "")
            or format_value(line.value),
        )
        for line in lines
    ]
    print_table(("offset", "time", "verdict", "author", "entry", "value"), rows)
    return ExitStatus.DONE


async def _read_snapshot(context: Context) -> tuple[Snapshot, str]:
    if context.log:
        try:
            with PolicyLog(context) as log:
                await log.read_to_end()
                return log.state.snapshot(), "the log"
        except LogUnavailable as error:
            if not context.daemons:
                raise
            warn(f"the log can't be read, asking daemons: {error}")
    responses = await query_all(context, "/operators/policy", Snapshot)
    reached, failed = split_responses(responses)
    warn_of_failures(failed)
    best = max(reached, key=lambda response: response.value.covered)
    return best.value, f"daemon {best.daemon}"


def _print_entries(kind: EntryKind, entries: list[Entry]) -> None:
    rows = [
        (
            entry.name or "(default)",
            entry.offset,
            entry.author,
            format_value(entry.value),
        )
        for entry in sorted(entries, key=lambda entry: entry.name)
    ]
    print_table((kind.value, "offset", "author", "value"), rows)


def _print_exceptions(entries: list[Entry]) -> None:
    rows = []
    for entry in sorted(entries, key=lambda entry: entry.name):
        value = entry.value
        selectors = ("organisation", "model", "service")
        selected = {s: value[s] for s in selectors if value.get(s) is not None}
        rows.append(
            (
                entry.name,
                _get_exception_state(entry),
                format_value(selected),
                format_value(value["limits"]),
                value["author"],
                format_time(value.get("expires_s")),
                value["reason"],
            )
        )
    header = ("exception", "state", "selects", "limits", "author", "expires", "reason")
    print_table(header, rows)


def _get_exception_state(entry: Entry) -> str:
    if entry.is_removed:
        return f"removed by {entry.author}"
    expires_s = entry.value.get("expires_s")
    return (
        "expired" if expires_s is not None and expires_s <= time.time() else "in force"
    )


def _to_lines(state: PolicyState, records: list[HistoryRecord]) -> list[HistoryLine]:
    retained = {record.folded.offset for record in records}
    older = [_from_entry(e) for e in state.entries.values() if e.offset not in retained]
    newer = [_from_history_record(record) for record in records]
    lines = [line for line in (*older, *newer) if line is not None]
    return sorted(lines, key=lambda line: line.offset)


def _from_entry(entry: Entry) -> HistoryLine:
    return HistoryLine(
        offset=entry.offset,
        time_s=None,
        verdict=FoldVerdict.ACCEPTED,
        entry=str(EntryKey(entry.kind, entry.name)),
        author=entry.author,
        value=entry.value,
        reason="removed; the value was " + format_value(entry.value)
        if entry.is_removed
        else "",
    )


def _from_history_record(item: HistoryRecord) -> HistoryLine | None:
    folded = item.folded
    entry, author, value = "", "", None
    if isinstance(folded.record, EntryRecord):
        entry = str(EntryKey(folded.record.kind, folded.record.name))
        author, value = folded.record.author, folded.record.value
    elif isinstance(folded.record, RulesRecord):
        entry, author = f"rules {folded.record.version}", folded.record.author
    elif folded.record is not None:
        return None
    return HistoryLine(
        offset=folded.offset,
        time_s=item.time_s,
        verdict=folded.verdict,
        entry=entry,
        author=author,
        value=value,
        reason=folded.reason,
    )
