"""Publishing of changes and determination of their outcomes."""

import asyncio
from collections.abc import Sequence
from enum import Enum

import msgspec

from cassiaspread_cli._context import Context
from cassiaspread_cli._daemons import DaemonResponse, query_all
from cassiaspread_cli._log import (
    AppendAmbiguous,
    AppendNotSent,
    LogUnavailable,
    PolicyLog,
)
from cassiaspread_core.base import Offset
from cassiaspread_core.operations import DaemonReport
from cassiaspread_core.policy import EntryKey, EntryRecord, FoldVerdict

RETRY_DELAY_S = 0.2
READ_WAIT_S = 0.5


class Outcome(Enum):
    """Outcome of publishing a change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"


class PublishResult(msgspec.Struct, frozen=True, kw_only=True):
    """One change and its outcome.

    :param entry: the changed entry.
    :param outcome: outcome of the change.
    :param offset: offset of the change in the stream, if it was read there.
    :param reason: why the change was not accepted.
    :param change: identifier of the change.
    """

    entry: str
    outcome: Outcome
    offset: Offset | None
    reason: str
    change: str


async def publish(
    log: PolicyLog, records: Sequence[EntryRecord], timeout_s: float
) -> list[PublishResult]:
    """Append records and read the stream until it contains each, or until a timeout.

    An append is retried only if it certainly had no effect, since two copies of one
    change could get different verdicts.

    :param log: the stream, read at least to the records that the changes replace.
    :param records: the changes.
    :param timeout_s: maximum wait, in seconds.
    :returns: the result of each change, in the same order.
    """
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    sent: set[str] = set()
    for record in records:
        if await _append(log, record, deadline_s):
            sent.add(record.change)
    await _wait_until_read(log, sent, deadline_s)
    return [_to_result(log, record, record.change in sent) for record in records]


async def wait_in_force(
    context: Context, offset: Offset
) -> tuple[list[DaemonResponse[DaemonReport]], list[DaemonResponse[DaemonReport]]]:
    """Wait until every reachable daemon has a record in force, or until a timeout.

    :param context: the shared options.
    :param offset: offset of the record.
    :returns: responses of the daemons that have the record in force, and those of
        the daemons that do not or failed to respond.
    """
    deadline_s = asyncio.get_running_loop().time() + context.timeout_s
    while True:
        responses = await query_all(context, "/operators/status", DaemonReport)
        remaining = [r for r in responses if not _has_in_force(r, offset)]
        reachable = [response for response in remaining if response.value is not None]
        if not reachable or asyncio.get_running_loop().time() >= deadline_s:
            return [r for r in responses if _has_in_force(r, offset)], remaining
        await asyncio.sleep(RETRY_DELAY_S)


def _has_in_force(response: DaemonResponse[DaemonReport], offset: Offset) -> bool:
    return response.value is not None and response.value.policy.next_offset > offset


async def _append(log: PolicyLog, record: EntryRecord, deadline_s: float) -> bool:
    while True:
        try:
            await log.append(msgspec.json.encode(record))
        except AppendNotSent:
            if asyncio.get_running_loop().time() >= deadline_s:
                return False
            await asyncio.sleep(RETRY_DELAY_S)
        except AppendAmbiguous:
            return True
        else:
            return True


async def _wait_until_read(log: PolicyLog, sent: set[str], deadline_s: float) -> None:
    while not sent <= _get_read_changes(log):
        try:
            await log.read_to_end(READ_WAIT_S)
        except LogUnavailable:
            await asyncio.sleep(RETRY_DELAY_S)
        is_over = asyncio.get_running_loop().time() >= deadline_s
        if is_over or log.state.halt_reason is not None:
            return


def _get_read_changes(log: PolicyLog) -> set[str]:
    records = (item.folded.record for item in log.history)
    return {record.change for record in records if isinstance(record, EntryRecord)}


def _to_result(log: PolicyLog, record: EntryRecord, is_sent: bool) -> PublishResult:
    entry = str(EntryKey(record.kind, record.name))
    outcome = Outcome.UNKNOWN if is_sent else Outcome.NOT_SENT
    reason = "not seen in the log yet" if is_sent else "the log took no append"
    offset = None
    for item in log.history:
        found = item.folded.record
        if isinstance(found, EntryRecord) and found.change == record.change:
            is_accepted = item.folded.verdict is FoldVerdict.ACCEPTED
            outcome = Outcome.ACCEPTED if is_accepted else Outcome.REJECTED
            offset, reason = item.folded.offset, item.folded.reason
            break
    return PublishResult(
        entry=entry,
        outcome=outcome,
        offset=offset,
        reason=reason,
        change=record.change,
    )
