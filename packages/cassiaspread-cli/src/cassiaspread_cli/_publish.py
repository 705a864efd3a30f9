"""Publishes changes and finds out what became of each."""

import asyncio
from collections.abc import Sequence
from enum import Enum

import msgspec

from cassiaspread_cli._context import Context
from cassiaspread_cli._daemons import Answer, ask_all
from cassiaspread_cli._log import (
    AppendAmbiguous,
    AppendNotSent,
    LogUnavailable,
    PolicyLog,
)
from cassiaspread_core.base import Offset
from cassiaspread_core.operations import DaemonReport
from cassiaspread_core.policy import EntryKey, EntryRecord, Verdict

RETRY_DELAY_S = 0.2
READ_WAIT_S = 0.5


class Outcome(Enum):
    """What became of a published change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"


class Published(msgspec.Struct, frozen=True, kw_only=True):
    """One change and what became of it.

    :param entry: the entry.
    :param outcome: what became of it.
    :param offset: its position in the stream, if seen.
    :param reason: why it was not accepted.
    :param change: identifier of the change.
    """

    entry: str
    outcome: Outcome
    offset: Offset | None
    reason: str
    change: str


async def publish(
    log: PolicyLog, records: Sequence[EntryRecord], timeout_s: float
) -> list[Published]:
    """Append records and read the stream until each is seen or the time is over.

    A record is appended again only when the log said that it did not take it: two
    copies of one change could be judged differently.

    :param log: the stream, read up to what the records replace.
    :param records: the changes.
    :param timeout_s: longest wait in seconds.
    :returns: the outcome of each, in the same order.
    """
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    sent: set[str] = set()
    for record in records:
        if await _append(log, record, deadline_s):
            sent.add(record.change)
    await _read_back(log, sent, deadline_s)
    return [_to_published(log, record, record.change in sent) for record in records]


async def wait_in_force(
    context: Context, offset: Offset
) -> tuple[list[Answer[DaemonReport]], list[Answer[DaemonReport]]]:
    """Wait until every daemon that can be reached has a record in force.

    :param context: the shared options.
    :param offset: offset of the record.
    :returns: the daemons that have it, and those that don't or gave no answer.
    """
    deadline_s = asyncio.get_running_loop().time() + context.timeout_s
    while True:
        answers = await ask_all(context, "/operators/status", DaemonReport)
        late = [a for a in answers if not _has_in_force(a, offset)]
        waiting = [answer for answer in late if answer.value is not None]
        if not waiting or asyncio.get_running_loop().time() >= deadline_s:
            return [a for a in answers if _has_in_force(a, offset)], late
        await asyncio.sleep(RETRY_DELAY_S)


def _has_in_force(answer: Answer[DaemonReport], offset: Offset) -> bool:
    return answer.value is not None and answer.value.policy.next_offset > offset


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


async def _read_back(log: PolicyLog, sent: set[str], deadline_s: float) -> None:
    while not sent <= _seen(log):
        try:
            await log.read_to_end(READ_WAIT_S)
        except LogUnavailable:
            await asyncio.sleep(RETRY_DELAY_S)
        is_over = asyncio.get_running_loop().time() >= deadline_s
        if is_over or log.state.halt is not None:
            return


def _seen(log: PolicyLog) -> set[str]:
    records = (past.folded.record for past in log.past)
    return {record.change for record in records if isinstance(record, EntryRecord)}


def _to_published(log: PolicyLog, record: EntryRecord, is_sent: bool) -> Published:
    entry = str(EntryKey(record.kind, record.name))
    outcome = Outcome.UNKNOWN if is_sent else Outcome.NOT_SENT
    reason = "not seen in the log yet" if is_sent else "the log took no append"
    offset = None
    for past in log.past:
        found = past.folded.record
        if isinstance(found, EntryRecord) and found.change == record.change:
            is_accepted = past.folded.verdict is Verdict.ACCEPTED
            outcome = Outcome.ACCEPTED if is_accepted else Outcome.REJECTED
            offset, reason = past.folded.offset, past.folded.reason
            break
    return Published(
        entry=entry,
        outcome=outcome,
        offset=offset,
        reason=reason,
        change=record.change,
    )
