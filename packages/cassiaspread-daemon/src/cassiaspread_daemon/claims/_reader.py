"""Follows one claims partition."""

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
FORGET_INTERVAL_S = 60.0


class LogHealth:
    """Whether the log answered when it was last asked."""

    def __init__(self) -> None:
        self.is_away = False


class PartitionReader:
    """Reads a partition: at once while somebody waits, else now and then.

    :param stream: name of the partition's stream.
    :param log: client of the log.
    :param health: shared by all partitions of the daemon.
    :param random_state: spreads the reads that nobody waits for.
    :param dedupe_window_s: returns the age up to which keys are accepted.
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
        self._wanted = asyncio.Event()
        self._changed = asyncio.Condition()
        self._n_waiting = 0
        self._n_catching_up = 0
        self._is_at_end = False
        self._read_to_end_s = float("-inf")
        self._forgot_s = time.monotonic()

    @property
    def read_to_end_s(self) -> float:
        """When the last read that met the end of the partition began.

        On the monotonic clock, in seconds.
        """
        return self._read_to_end_s

    async def wait(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Read on until a condition holds.

        :param condition: checked after each page.
        :param timeout_s: longest wait in seconds.
        :returns: whether the condition holds.
        """
        self._n_waiting += 1
        self._wanted.set()
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(condition)
                return True
        except TimeoutError:
            return condition()
        finally:
            self._n_waiting -= 1

    async def catch_up(self, timeout_s: float) -> bool:
        """Read to the present end of the partition.

        :param timeout_s: longest wait in seconds.
        :returns: whether the end was met.
        """
        asked_s = time.monotonic()
        self._n_catching_up += 1
        try:
            return await self.wait(lambda: self._read_to_end_s >= asked_s, timeout_s)
        finally:
            self._n_catching_up -= 1

    def request_read(self) -> None:
        """Read soon, without waiting for it."""
        self._wanted.set()

    async def notify(self) -> None:
        """Have the conditions checked that others wait for."""
        async with self._changed:
            self._changed.notify_all()

    def has_seen(self, record: Record) -> bool:
        """Tell whether a record, or one that makes it void, was read.

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
        """Follow the partition until cancelled."""
        while True:
            try:
                await self._read_page()
                self._health.is_away = False
            except LogUnavailable as error:
                self._health.is_away = True
                logging.log_every_n_seconds(
                    logging.WARNING, "%s: %s", 10, self._stream, error
                )
                await asyncio.sleep(RETRY_DELAY_S)
            if not self._n_waiting and (self._is_at_end or self._health.is_away):
                await self._pause()

    async def _pause(self) -> None:
        self._wanted.clear()
        self._forget_expired()
        interval_s = REFRESH_INTERVAL_S * self._random_state.uniform(0.5, 1.5)
        try:
            async with asyncio.timeout(interval_s):
                await self._wanted.wait()
        except TimeoutError:
            return

    async def _read_page(self) -> None:
        began_s = time.monotonic()
        is_long = self._n_waiting > self._n_catching_up == 0 and self._is_at_end
        self._is_at_end = False
        try:
            page = await self._log.read(
                self._stream,
                self.fold.next_offset,
                wait_s=LONG_POLL_S if is_long else 0.0,
                timeout_s=READ_TIMEOUT_S,
            )
        except Truncated as error:
            page = await self._skip(error.earliest)
        for record in page.records:
            self.fold.apply(record.offset, record.value)
        if self.fold.next_offset >= page.end:
            self._read_to_end_s = began_s
            self._is_at_end = True
        await self.notify()

    async def _skip(self, earliest: Offset) -> LogPage:
        try:
            page = await self._log.read(
                self._stream, earliest, timeout_s=READ_TIMEOUT_S
            )
        except Truncated as error:
            raise LogUnavailable(str(error)) from None
        kept_since_s = page.records[0].time_s if page.records else time.time()
        self.fold.skip_to(earliest, kept_since_s)
        return page

    def _forget_expired(self) -> None:
        if time.monotonic() - self._forgot_s > FORGET_INTERVAL_S:
            self._forgot_s = time.monotonic()
            self.fold.forget_expired(time.time(), self._dedupe_window_s())
