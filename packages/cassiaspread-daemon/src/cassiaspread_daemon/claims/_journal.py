"""Appends to one claims partition."""

import asyncio
import time
from typing import Protocol

import msgspec

from cassiaspread_core.base import CassiaspreadError, Incarnation
from cassiaspread_core.claims import (
    AbandonRecord,
    ClaimId,
    ClaimRecord,
    OutcomeRecord,
    Record,
    Verdict,
)
from cassiaspread_daemon.adapters import AppendAmbiguous, AppendNotSent
from cassiaspread_daemon.claims._reader import LogHealth, PartitionReader

# Shortest time between two appends of one daemon to one partition.
MIN_APPEND_INTERVAL_S = 0.025
MAX_BATCH_RECORDS = 500
RETRY_DELAY_S = 1.0

# Longest wait of abandons and outcomes for a claim to be appended with.
LINGER_S = 0.2


class Batch(msgspec.Struct, frozen=True):
    """Records that are brought into the log together.

    :param records: the records, in order.
    :param is_retry: whether some of them were lost before.
    """

    records: tuple[Record, ...]
    is_retry: bool = False


class Appender(Protocol):
    """Brings batches into one partition."""

    def is_direct(self) -> bool:
        """Tell whether the next batch goes to the log, not to another daemon."""

    async def append(self, batch: Batch) -> None:
        """Bring a batch into the partition.

        :param batch: the records.
        :raises AppendNotSent: no record of it is in the log or ever will be.
        :raises AppendAmbiguous: records may be in the log, now or later.
        """


class ClaimNotAppended(CassiaspreadError):
    """A claim is not in the log and never will be."""


class ClaimUnseen(CassiaspreadError):
    """A claim was not seen in time; it may be in the log, now or later."""


class PartitionJournal:
    """Pending records of one partition.

    All records that come while an append is under way go into the next one. Abandons
    and outcomes of this daemon are appended again until they are in the log.

    :param reader: follows the partition.
    :param health: shared by all partitions of the daemon.
    :param incarnation: this daemon's.
    :param appender: brings batches into the partition.
    """

    def __init__(
        self,
        reader: PartitionReader,
        health: LogHealth,
        incarnation: Incarnation,
        appender: Appender,
    ) -> None:
        self.reader = reader
        self._health = health
        self._incarnation = incarnation
        self._appender = appender
        self._pending: list[Record] = []
        self._refused: set[ClaimId] = set()
        self._retried: set[ClaimId] = set()
        self._n_unsettled = 0
        self._wanted = asyncio.Event()
        self._last_append_s = float("-inf")

    @property
    def n_unsettled(self) -> int:
        """How many abandons and outcomes are not known to be in the log."""
        return self._n_unsettled

    def add(self, records: tuple[Record, ...]) -> None:
        """Append another daemon's records with the next batch.

        :param records: the records; that daemon cares for them when this fails.
        """
        self._pending += records
        has_claim = any(isinstance(record, ClaimRecord) for record in records)
        if has_claim or not self._appender.is_direct():
            self._wanted.set()
        else:
            asyncio.get_running_loop().call_later(LINGER_S, self._wanted.set)

    def settle(self, record: AbandonRecord | OutcomeRecord) -> None:
        """Append a record, again and again until it is in the log.

        :param record: what became of one of this daemon's claims.
        """
        self._n_unsettled += 1
        self.add((record,))

    async def claim(self, record: ClaimRecord, timeout_s: float) -> Verdict:
        """Append a claim and read it back.

        :param record: the claim.
        :param timeout_s: longest wait in seconds.
        :returns: whether it holds its key.
        :raises ClaimNotAppended: the log did not take it.
        :raises ClaimUnseen: it was not seen in time.
        """
        self.add((record,))
        try:
            if not await self.reader.wait(lambda: self._is_decided(record), timeout_s):
                raise ClaimUnseen(f"not seen in the log within {timeout_s:g} s")
            verdict = self._judge(record)
            if verdict is Verdict.UNSEEN:
                raise ClaimNotAppended("the log does not take appends")
            return verdict
        finally:
            self._refused.discard(record.claim)
            self._pending = [r for r in self._pending if r is not record]

    async def claim_seen(self, record: ClaimRecord, timeout_s: float) -> bool:
        """Wait for a claim that was given up, or for the end of the partition.

        :param record: the claim.
        :param timeout_s: longest wait in seconds.
        :returns: whether the partition was read up to one of both.
        """
        asked_s = time.monotonic()
        return await self.reader.wait(
            lambda: self._is_decided(record) or self.reader.read_to_end_s >= asked_s,
            timeout_s,
        )

    async def run(self) -> None:
        """Append what is pending until cancelled."""
        while True:
            await self._wanted.wait()
            if self._appender.is_direct():
                next_append_s = self._last_append_s + MIN_APPEND_INTERVAL_S
                await asyncio.sleep(max(0.0, next_append_s - time.monotonic()))
            batch = tuple(self._pending[:MAX_BATCH_RECORDS])
            del self._pending[: len(batch)]
            if not self._pending:
                self._wanted.clear()
            if batch:
                self._last_append_s = time.monotonic()
                await self._append_batch(batch)

    async def _append_batch(self, batch: tuple[Record, ...]) -> None:
        claims = {record.claim for record in batch}
        is_retry = not self._retried.isdisjoint(claims)
        self._retried -= claims
        try:
            await self._appender.append(Batch(batch, is_retry))
        except AppendNotSent:
            self._health.is_away = True
            self._refused |= {
                record.claim
                for record in self._own(batch)
                if isinstance(record, ClaimRecord)
            }
            await self.reader.notify()
            self._settle_later(batch)
        except AppendAmbiguous:
            self._settle_later(batch)
        else:
            self._n_unsettled -= len(self._settlements(batch))

    def _settle_later(self, batch: tuple[Record, ...]) -> None:
        settlements = self._settlements(batch)
        if settlements:
            loop = asyncio.get_running_loop()
            loop.call_later(RETRY_DELAY_S / 2, self.reader.request_read)
            loop.call_later(RETRY_DELAY_S, self._settle_again, settlements)

    def _settle_again(self, settlements: tuple[Record, ...]) -> None:
        unseen = tuple(r for r in settlements if not self.reader.has_seen(r))
        self._n_unsettled -= len(settlements) - len(unseen)
        self._retried |= {record.claim for record in unseen}
        self.add(unseen)

    def _own(self, batch: tuple[Record, ...]) -> tuple[Record, ...]:
        return tuple(r for r in batch if r.claim.holder == self._incarnation)

    def _settlements(self, batch: tuple[Record, ...]) -> tuple[Record, ...]:
        return tuple(r for r in self._own(batch) if not isinstance(r, ClaimRecord))

    def _judge(self, record: ClaimRecord) -> Verdict:
        return self.reader.fold.judge_claim(record.key, record.claim)

    def _is_decided(self, record: ClaimRecord) -> bool:
        return (
            record.claim in self._refused or self._judge(record) is not Verdict.UNSEEN
        )
