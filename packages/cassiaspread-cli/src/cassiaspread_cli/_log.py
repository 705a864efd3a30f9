"""Client of the policy stream in the platform's log."""

import asyncio

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse

from cassiaspread_cli._context import Context
from cassiaspread_cli._daemons import query_all
from cassiaspread_core.base import (
    AppendAmbiguous,
    AppendNotSent,
    LogPage,
    LogUnavailable,
    Offset,
    Truncated,
    decode_read,
)
from cassiaspread_core.policy import (
    CheckpointAssembler,
    FoldedRecord,
    PolicyState,
    Snapshot,
)

STREAM_PATH = "/streams/policy"
CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
MAX_RECORDS_PER_PAGE = 500


class HistoryRecord(msgspec.Struct, frozen=True):
    """A record of the stream with the result of folding it.

    :param time_s: time of the append, in seconds since the epoch.
    :param folded: the record and its verdict.
    """

    time_s: float
    folded: FoldedRecord


class PolicyLog:
    """The policy stream, folded up to the last record read; a context manager.

    :param context: the shared options, with the address of the log.
    """

    def __init__(self, context: Context) -> None:
        context.check_log()
        self._context = context
        self._client = AsyncHTTPClient(force_instance=True)
        self._state = PolicyState()
        self._history: list[HistoryRecord] = []

    def __enter__(self) -> "PolicyLog":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._client.close()

    @property
    def state(self) -> PolicyState:
        """The state folded from the records read so far."""
        return self._state

    @property
    def history(self) -> list[HistoryRecord]:
        """The folded records, without those that a snapshot replaced."""
        return self._history

    async def append(self, value: bytes) -> None:
        """Append one record.

        :param value: the encoded record.
        :raises AppendNotSent: the record is not in the stream.
        :raises AppendAmbiguous: the record may be in the stream.
        """
        try:
            response = await self._fetch("POST", STREAM_PATH, value)
        except ConnectionRefusedError as error:
            raise AppendNotSent(str(error)) from None
        except (HTTPError, OSError) as error:
            raise AppendAmbiguous(str(error)) from None
        if response.code == 503:
            raise AppendNotSent("the log does not accept appends at present")
        if response.code != 200:
            raise AppendAmbiguous(f"the log returned HTTP status {response.code}")

    async def read_to_end(self, wait_s: float = 0.0) -> None:
        """Fold the records from the end of the last call to the end of the stream.

        :param wait_s: how long the log may wait for a first record, in seconds.
        :raises LogUnavailable: the log could not be read, or has removed records that
            no checkpoint in the stream and no snapshot of a daemon covers.
        """
        while self._state.halt_reason is None:
            start = self._state.next_offset
            try:
                page = await self._read(start, wait_s)
            except Truncated as error:
                await self._recover(error.earliest)
                continue
            times_s = {record.offset: record.time_s for record in page.records}
            pairs = [(record.offset, record.value) for record in page.records]
            for folded in self._state.fold(start, pairs):
                self._history.append(HistoryRecord(times_s[folded.offset], folded))
            if self._state.next_offset >= page.end:
                return
            wait_s = 0.0

    async def _recover(self, earliest: Offset) -> None:
        snapshot = await self._find_checkpoint(earliest)
        if snapshot is None:
            snapshot = await self._fetch_daemon_snapshot()
        if snapshot is None or snapshot.covered < earliest:
            raise LogUnavailable(
                f"the log starts at offset {earliest}, without a checkpoint, and no "
                "daemon that was asked has the state up to there"
            )
        self._history.clear()
        if not self._state.replace_by(snapshot) and self._state.halt_reason is None:
            raise LogUnavailable("the checkpoint found is older than what was read")

    async def _find_checkpoint(self, earliest: Offset) -> Snapshot | None:
        assembler = CheckpointAssembler()
        offset = earliest
        while True:
            try:
                page = await self._read(offset, 0.0)
            except Truncated as error:
                offset = error.earliest
                continue
            for record in page.records:
                snapshot = assembler.add_record(record.offset, record.value)
                if snapshot is not None and snapshot.covered >= page.earliest:
                    return snapshot
            if not page.records:
                return None
            offset = Offset(page.records[-1].offset + 1)

    async def _fetch_daemon_snapshot(self) -> Snapshot | None:
        if not self._context.daemons or not self._context.token:
            return None
        responses = await query_all(self._context, "/operators/policy", Snapshot)
        snapshots = [
            response.value for response in responses if response.value is not None
        ]
        return max(snapshots, key=lambda s: s.covered, default=None)

    async def _read(self, start: Offset, wait_s: float) -> LogPage:
        path = (
            f"{STREAM_PATH}?start={start}&n_records={MAX_RECORDS_PER_PAGE}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        try:
            response = await self._fetch("GET", path, None, wait_s)
            return decode_read(response.code, response.body, start)
        except (HTTPError, LogUnavailable, OSError, ValueError) as error:
            # ValueError: the page is malformed, or the address is no part of a URL.
            raise LogUnavailable(f"{self._context.log}: {error}") from None

    async def _fetch(
        self, method: str, path: str, body: bytes | None, wait_s: float = 0.0
    ) -> HTTPResponse:
        return await self._client.fetch(
            f"http://{self._context.log}{path}",
            method=method,
            body=body,
            raise_error=False,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=min(REQUEST_TIMEOUT_S, self._context.timeout_s) + wait_s,
        )


async def read_with_retries(log: PolicyLog, timeout_s: float) -> None:
    """Read the stream to its end, with retries while the log is unavailable.

    :param log: the stream.
    :param timeout_s: maximum wait, in seconds.
    :raises LogUnavailable: the log could not be read within that time.
    """
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    while True:
        try:
            return await log.read_to_end()
        except LogUnavailable:
            if asyncio.get_running_loop().time() >= deadline_s:
                raise
        await asyncio.sleep(0.2)
