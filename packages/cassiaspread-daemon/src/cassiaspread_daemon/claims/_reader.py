"""Reader of one claims partition."""

import asyncio
import random
import time
from collections.abc import Callable

from absl import logging

from cassiaspread_core.base import Offset
from cassiaspread_core.claims import (
    AbandonRecord,
    OutcomeRecord,
    PartitionFold,
    Record,
)
from cassiaspread_daemon.adapters import LogClient, LogPage, LogUnavailable, Truncated

RETRY_DELAY_S = 0.2
LONG_POLL_S = 0.2
READ_TIMEOUT_S = 1.0
REFRESH_INTERVAL_S = 10.0
EXPIRY_INTERVAL_S = 60.0


class LogHealth:
    """Availability of the log as of the last request to it."""

    def __init__(self) -> None:
        self.is_unavailable = False


class PartitionReader:
    """Reads a partition: continuously while a task waits, else at long intervals.

    :param stream: name of the partition's stream.
    :param log: client of the log.
    :param health: availability of the log, shared by all partitions of the daemon.
    :param random_state: generator for the intervals between reads.
    :param dedupe_window_s: returns the age up to which keys are accepted, in seconds.
    """

    def __init__(
        self,
        stream: str,
        log: LogClient,
        health: LogHealth,
        random_state: random.Random,
        dedupe_window_s: Callable[[], float],
    ) -> None:
        self.fold = PartitionFold()
        self._stream = stream
        self._log = log
        self._health = health
        self._random_state = random_state
        self._dedupe_window_s = dedupe_window_s
        self._read_requested = asyncio.Event()
        self._changed = asyncio.Condition()
        self._n_waiting = 0
        self._n_catching_up = 0
        self._is_at_end = False
        self._read_to_end_s = float("-inf")
        self._last_expiry_s = time.monotonic()

    @property
    def read_to_end_s(self) -> float:
        """Start of the last read that reached the end of the partition.

        On the monotonic clock, in seconds.
        """
        return self._read_to_end_s

    async def read_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Read until a condition holds.

        :param condition: checked after each page.
        :param timeout_s: longest wait, in seconds.
        :returns: whether the condition holds.
        """
        self._n_waiting += 1
        self._read_requested.set()
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(condition)
                return True
        except TimeoutError:
            return condition()
        finally:
            self._n_waiting -= 1

    async def catch_up(self, timeout_s: float) -> bool:
        """Read up to the current end of the partition.

        :param timeout_s: longest wait, in seconds.
        :returns: whether the end was reached.
        """
        requested_s = time.monotonic()
        self._n_catching_up += 1
        try:
            return await self.read_until(
                lambda: self._read_to_end_s >= requested_s, timeout_s
            )
        finally:
            self._n_catching_up -= 1

    def request_read(self) -> None:
        """Request a read without waiting for it."""
        self._read_requested.set()

    async def notify(self) -> None:
        """Check the conditions of waiting tasks again."""
        async with self._changed:
            self._changed.notify_all()

    def has_read(self, record: Record) -> bool:
        """Return whether a record, or one that voids it, was read.

        :param record: the record.
        """
        state = self.fold.find(record.key)
        if state is None:
            return False
        if isinstance(record, OutcomeRecord):
            return state.result is not None
        is_void = record.claim in state.void
        if isinstance(record, AbandonRecord):
            return is_void
        return is_void or state.holder == record.claim

    async def run(self) -> None:
        """Read the partition until cancelled."""
        while True:
            try:
                await self._read_page()
                self._health.is_unavailable = False
            except LogUnavailable as error:
                self._health.is_unavailable = True
                logging.log_every_n_seconds(
                    logging.WARNING, "%s: log unavailable: %s", 10, self._stream, error
                )
                await asyncio.sleep(RETRY_DELAY_S)
            if not self._n_waiting and (self._is_at_end or self._health.is_unavailable):
                await self._pause()

    async def _pause(self) -> None:
        self._read_requested.clear()
        self._remove_expired()
        interval_s = REFRESH_INTERVAL_S * self._random_state.uniform(0.5, 1.5)
        try:
            async with asyncio.timeout(interval_s):
                await self._read_requested.wait()
        except TimeoutError:
            return

    async def _read_page(self) -> None:
        started_s = time.monotonic()
        is_long_poll = self._n_waiting > self._n_catching_up == 0 and self._is_at_end
        self._is_at_end = False
        try:
            page = await self._log.read(
                self._stream,
                self.fold.next_offset,
                wait_s=LONG_POLL_S if is_long_poll else 0.0,
                timeout_s=READ_TIMEOUT_S,
            )
        except Truncated as error:
            page = await self._skip_truncated(error.earliest)
        for record in page.records:
            self.fold.apply(record.offset, record.value)
        if self.fold.next_offset >= page.end:
            self._read_to_end_s = started_s
            self._is_at_end = True
        await self.notify()

    async def _skip_truncated(self, earliest: Offset) -> LogPage:
        try:
            page = await self._log.read(
                self._stream, earliest, timeout_s=READ_TIMEOUT_S
            )
        except Truncated as error:
            raise LogUnavailable(str(error)) from None
        earliest_record_s = page.records[0].time_s if page.records else time.time()
        self.fold.skip_to(earliest, earliest_record_s)
        return page

    def _remove_expired(self) -> None:
        if time.monotonic() - self._last_expiry_s > EXPIRY_INTERVAL_S:
            self._last_expiry_s = time.monotonic()
            self.fold.remove_expired(time.time(), self._dedupe_window_s())
