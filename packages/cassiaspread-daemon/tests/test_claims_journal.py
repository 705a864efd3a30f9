"""Group commit of claims, and appends that fail or whose answers are lost."""

import asyncio
import random

import pytest
import uuid6

from cassiaspread_core.claims import (
    AbandonRecord,
    ClaimId,
    ClaimRecord,
    ClaimVerdict,
    ScopedKey,
    encode_batch,
)
from cassiaspread_daemon.adapters import (
    AppendAmbiguous,
    AppendNotSent,
    LogPage,
    LogRecord,
)
from cassiaspread_daemon.claims import _journal
from cassiaspread_daemon.claims._journal import (
    ClaimNotAppended,
    ClaimUnconfirmed,
    PartitionJournal,
)
from cassiaspread_daemon.claims._reader import LogHealth, PartitionReader

HOLDER, OTHER = (str(uuid6.uuid7()) for _ in range(2))


class MemoryLog:
    """Log with one stream in memory.

    :param faults: errors that the next appends raise, ``None`` for none; an
        ``AppendAmbiguous`` with a message is raised after the append took effect.
    """

    def __init__(self, faults=()) -> None:
        self.values: list[bytes] = []
        self.faults = list(faults)
        self.n_appends = 0

    def is_direct(self) -> bool:
        return True

    async def append(self, batch) -> None:
        await asyncio.sleep(0.01)
        self.n_appends += 1
        fault = self.faults.pop(0) if self.faults else None
        if fault is None or (isinstance(fault, AppendAmbiguous) and str(fault)):
            self.values.append(encode_batch(batch.records))
        if fault is not None:
            raise fault

    async def read(self, stream, start, *, wait_s, timeout_s, n_records=500):
        await asyncio.sleep(0.01 + (wait_s if start >= len(self.values) else 0) / 10)
        page = enumerate(self.values[start:], start)
        records = tuple(LogRecord(offset, 0.0, value) for offset, value in page)
        return LogPage(0, len(self.values), records)


def run_with_journal(log, main):
    async def run():
        health = LogHealth()
        reader = PartitionReader(
            "claims-0", log, health, random.Random(0), lambda: 86_400.0
        )
        journal = PartitionJournal(reader, health, HOLDER, log)
        tasks = [asyncio.create_task(t) for t in (reader.run(), journal.run())]
        try:
            return await main(journal)
        finally:
            for task in tasks:
                task.cancel()

    return asyncio.run(run())


def new_claim(sequence=1, holder=HOLDER, key=None):
    key = key or ScopedKey("osorno", str(uuid6.uuid7()))
    return ClaimRecord(key, ClaimId(holder, sequence), "f")


def test_pending_claims_share_an_append():
    log = MemoryLog()

    async def main(journal):
        claims = [new_claim(n) for n in range(40)]
        return await asyncio.gather(*(journal.claim(c, 5.0) for c in claims))

    assert set(run_with_journal(log, main)) == {ClaimVerdict.WON}
    assert log.n_appends <= 2


def test_first_claim_in_the_log_wins():
    log = MemoryLog()
    rival = new_claim(holder=OTHER)
    log.values.append(encode_batch((rival,)))
    own = new_claim(key=rival.key)
    assert run_with_journal(log, lambda j: j.claim(own, 5.0)) is ClaimVerdict.VOID


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (AppendNotSent("refused"), ClaimNotAppended),
        (AppendAmbiguous(""), ClaimUnconfirmed),
        (AppendAmbiguous("took effect"), None),
    ],
)
def test_failed_append(fault, expected):
    log = MemoryLog([fault])

    def main(journal):
        return journal.claim(new_claim(), 0.5)

    if expected is None:
        assert run_with_journal(log, main) is ClaimVerdict.WON
    else:
        with pytest.raises(expected):
            run_with_journal(log, main)


@pytest.mark.parametrize("text", ["", "took effect"])
def test_settlement_is_appended_until_it_is_in_the_log(text, monkeypatch):
    monkeypatch.setattr(_journal, "RETRY_DELAY_S", 0.05)
    log = MemoryLog([AppendAmbiguous(text), AppendNotSent("refused")])
    claim = new_claim()

    async def main(journal):
        journal.settle(AbandonRecord(claim.key, claim.claim))
        while journal.n_unsettled:
            await asyncio.sleep(0.01)
        await journal.reader.catch_up(1.0)
        return journal.reader.fold.get_verdict(claim.key, claim.claim)

    assert run_with_journal(log, main) is ClaimVerdict.VOID


def test_records_of_other_daemons_are_not_appended_again():
    log = MemoryLog([AppendNotSent("refused")])

    async def main(journal):
        journal.add((new_claim(holder=OTHER),))
        await asyncio.sleep(0.8)
        return journal.n_unsettled

    assert run_with_journal(log, main) == 0
    assert log.values == []
