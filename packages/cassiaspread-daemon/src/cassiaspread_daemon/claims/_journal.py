"""Group commit of records to one claims partition."""

import asyncio
import time
from typing import Protocol

import msgspec

from cassiaspread_core.base import CassiaspreadError, Incarnation
from cassiaspread_core.claims import (
    AbandonRecord,
    ClaimId,
    ClaimRecord,
    ClaimVerdict,
    OutcomeRecord,
    Record,
)
from cassiaspread_daemon.adapters import AppendAmbiguous, AppendNotSent
from cassiaspread_daemon.claims._reader import LogHealth, PartitionReader

# Shortest interval between two appends of one daemon to one partition.
MIN_APPEND_INTERVAL_S = 0.025
MAX_BATCH_RECORDS = 500
RETRY_DELAY_S = 1.0

# Longest delay of abandons and outcomes, so that they can share an append with a claim.
LINGER_S = 0.2


class Batch(msgspec.Struct, frozen=True):
    """Records that are appended together.

    :param records: the records, in order.
    :param is_retry: whether some of them were not in the log after an earlier append.
    """

    records: tuple[Record, ...]
    is_retry: bool = False


class Appender(Protocol):
    """Appends batches to one partition."""

    def is_direct(self) -> bool:
        """Return whether the next batch is appended to the log by this daemon."""

    async def append(self, batch: Batch) -> None:
        """Append a batch to the partition.

        :param batch: the records.
        :raises AppendNotSent: none of the records is or will be in the log.
        :raises AppendAmbiguous: records may be in the log now or later.
        """


class ClaimNotAppended(CassiaspreadError):
    """A claim is not and will not be in the log."""


class ClaimUnconfirmed(CassiaspreadError):
    """A claim was not read back in time; it may be in the log now or later."""


class PartitionJournal:
    """Queue of records that are to be appended to one partition.

    Records that are added during an append are appended together in the next one. The
    settlements of this daemon's claims, that is abandons and outcomes, are appended
    again until they are in the log.

    :param reader: reads the partition.
    :param health: availability of the log, shared by all partitions of the daemon.
    :param incarnation: incarnation of this daemon.
    :param appender: appends batches to the partition.
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
        self._not_appended: set[ClaimId] = set()
        self._retrying: set[ClaimId] = set()
        self._n_unsettled = 0
        self._append_requested = asyncio.Event()
        self._last_append_s = float("-inf")

    @property
    def n_unsettled(self) -> int:
        """Number of abandons and outcomes not yet confirmed to be in the log."""
        return self._n_unsettled

    def add(self, records: tuple[Record, ...]) -> None:
        """Append records with the next batch.

        :param records: the records; other daemons append theirs again if this fails.
        """
        self._pending += records
        has_claim = any(isinstance(record, ClaimRecord) for record in records)
        if has_claim or not self._appender.is_direct():
            self._append_requested.set()
        else:
            asyncio.get_running_loop().call_later(LINGER_S, self._append_requested.set)

    def settle(self, record: AbandonRecord | OutcomeRecord) -> None:
        """Append a record; repeat this until it is in the log.

        :param record: abandon or outcome of one of this daemon's claims.
        """
        self._n_unsettled += 1
        self.add((record,))

    async def claim(self, record: ClaimRecord, timeout_s: float) -> ClaimVerdict:
        """Append a claim and read it back.

        :param record: the claim.
        :param timeout_s: longest wait, in seconds.
        :returns: whether it holds its key.
        :raises ClaimNotAppended: it is not and will not be in the log.
        :raises ClaimUnconfirmed: it was not read back in time.
        """
        self.add((record,))
        try:
            if not await self.reader.read_until(
                lambda: self._is_decided(record), timeout_s
            ):
                raise ClaimUnconfirmed(f"not seen in the log within {timeout_s:g} s")
            verdict = self._get_verdict(record)
            if verdict is ClaimVerdict.UNSEEN:
                raise ClaimNotAppended("the claim could not be appended to the log")
            return verdict
        finally:
            self._not_appended.discard(record.claim)
            self._pending = [r for r in self._pending if r is not record]

    async def wait_decided(self, record: ClaimRecord, timeout_s: float) -> bool:
        """Wait until an abandoned claim or the current end of the partition is read.

        :param record: the claim.
        :param timeout_s: longest wait, in seconds.
        :returns: whether one of the two was read.
        """
        requested_s = time.monotonic()
        return await self.reader.read_until(
            lambda: (
                self._is_decided(record) or self.reader.read_to_end_s >= requested_s
            ),
            timeout_s,
        )

    async def run(self) -> None:
        """Append pending records until cancelled."""
        while True:
            await self._append_requested.wait()
            if self._appender.is_direct():
                next_append_s = self._last_append_s + MIN_APPEND_INTERVAL_S
                await asyncio.sleep(max(0.0, next_append_s - time.monotonic()))
            batch = tuple(self._pending[:MAX_BATCH_RECORDS])
            del self._pending[: len(batch)]
            if not self._pending:
                self._append_requested.clear()
            if batch:
                self._last_append_s = time.monotonic()
                await self._append_batch(batch)

    async def _append_batch(self, batch: tuple[Record, ...]) -> None:
        claims = {record.claim for record in batch}
        is_retry = not self._retrying.isdisjoint(claims)
        self._retrying -= claims
        try:
            await self._appender.append(Batch(batch, is_retry))
        except AppendNotSent:
            self._health.is_unavailable = True
            self._not_appended |= {
                record.claim
                for record in self._own_records(batch)
                if isinstance(record, ClaimRecord)
            }
            await self.reader.notify()
            self._schedule_retry(batch)
        except AppendAmbiguous:
            self._schedule_retry(batch)
        else:
            self._n_unsettled -= len(self._settlements(batch))

    def _schedule_retry(self, batch: tuple[Record, ...]) -> None:
        settlements = self._settlements(batch)
        if settlements:
            loop = asyncio.get_running_loop()
            loop.call_later(RETRY_DELAY_S / 2, self.reader.request_read)
            loop.call_later(RETRY_DELAY_S, self._retry_settlements, settlements)

    def _retry_settlements(self, settlements: tuple[Record, ...]) -> None:
        missing = tuple(r for r in settlements if not self.reader.has_read(r))
        self._n_unsettled -= len(settlements) - len(missing)
        self._retrying |= {record.claim for record in missing}
        self.add(missing)

    def _own_records(self, batch: tuple[Record, ...]) -> tuple[Record, ...]:
        return tuple(r for r in batch if r.claim.holder == self._incarnation)

    def _settlements(self, batch: tuple[Record, ...]) -> tuple[Record, ...]:
        return tuple(
            r for r in self._own_records(batch) if not isinstance(r, ClaimRecord)
        )

    def _get_verdict(self, record: ClaimRecord) -> ClaimVerdict:
        return self.reader.fold.get_verdict(record.key, record.claim)

    def _is_decided(self, record: ClaimRecord) -> bool:
        return (
            record.claim in self._not_appended
            or self._get_verdict(record) is not ClaimVerdict.UNSEEN
        )
