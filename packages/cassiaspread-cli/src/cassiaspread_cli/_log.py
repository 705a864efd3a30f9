"""Reads and appends the policy stream of the platform's log."""

import asyncio

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse

from cassiaspread_cli._context import Context
from cassiaspread_cli._daemons import ask_all
from cassiaspread_core.base import (
    AppendAmbiguous,
    AppendNotSent,
    LogPage,
    LogUnavailable,
    Offset,
    Truncated,
)
from cassiaspread_core.policy import (
    CheckpointAssembler,
    Folded,
    PolicyState,
    Snapshot,
)

STREAM_PATH = "/streams/policy"
CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
N_RECORDS = 500


class PastRecord(msgspec.Struct, frozen=True):
    """A record of the stream and what the fold made of it.

    :param time_s: when it was appended, in seconds since the epoch.
    :param folded: the record and its verdict.
    """

    time_s: float
    folded: Folded


class PolicyLog:
    """The policy stream, folded as far as it was read; a context manager.

    :param context: the shared options, with the log's address.
    """

    def __init__(self, context: Context) -> None:
        context.check_log()
        self._context = context
        self._client = AsyncHTTPClient(force_instance=True)
        self._state = PolicyState()
        self._past: list[PastRecord] = []

    def __enter__(self) -> "PolicyLog":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._client.close()

    @property
    def state(self) -> PolicyState:
        """The state that the records read so far give."""
        return self._state

    @property
    def past(self) -> list[PastRecord]:
        """The records read so far that the state was folded from."""
        return self._past

    async def append(self, value: bytes) -> None:
        """Append one record.

        :param value: the record's bytes.
        :raises AppendNotSent: it is not in the stream.
        :raises AppendAmbiguous: it may be in the stream.
        """
        try:
            response = await self._fetch("POST", STREAM_PATH, value)
        except ConnectionRefusedError as error:
            raise AppendNotSent(str(error)) from None
        except (HTTPError, OSError) as error:
            raise AppendAmbiguous(str(error)) from None
        if response.code == 503:
            raise AppendNotSent("the log refuses appends now")
        if response.code != 200:
            raise AppendAmbiguous(f"the log answered {response.code}")

    async def read_to_end(self, wait_s: float = 0.0) -> None:
        """Fold the records from where the last call ended to the stream's end.

        :param wait_s: how long the log may wait for a first record, in seconds.
        :raises LogUnavailable: the log could not be read, or has lost records that
            neither a checkpoint nor a daemon makes up for.
        """
        while self._state.halt is None:
            start = self._state.next_offset
            try:
                page = await self._read(start, wait_s)
            except Truncated as error:
                await self._recover(error.earliest)
                continue
            times = {record.offset: record.time_s for record in page.records}
            pairs = [(record.offset, record.value) for record in page.records]
            for folded in self._state.fold(start, pairs):
                self._past.append(PastRecord(times[folded.offset], folded))
            if self._state.next_offset >= page.end:
                return
            wait_s = 0.0

    async def _recover(self, earliest: Offset) -> None:
        snapshot = await self._find_checkpoint(earliest)
        if snapshot is None:
            snapshot = await self._ask_daemons()
        if snapshot is None or snapshot.covered < earliest:
            raise LogUnavailable(
                f"the log starts at offset {earliest}, without a checkpoint, and no "
                "daemon that was asked has the state up to there"
            )
        self._past.clear()
        if not self._state.take_over(snapshot) and self._state.halt is None:
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

    async def _ask_daemons(self) -> Snapshot | None:
        if not self._context.daemons or not self._context.token:
            return None
        answers = await ask_all(self._context, "/operators/policy", Snapshot)
        snapshots = [answer.value for answer in answers if answer.value is not None]
        return max(snapshots, key=lambda s: s.covered, default=None)

    async def _read(self, start: Offset, wait_s: float) -> LogPage:
        path = (
            f"{STREAM_PATH}?start={start}&n_records={N_RECORDS}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        try:
            response = await self._fetch("GET", path, None, wait_s)
            if response.code not in (200, 410):
                raise LogUnavailable(f"the log answered {response.code}")
            page = msgspec.json.decode(response.body, type=LogPage)
        except (HTTPError, OSError, msgspec.MsgspecError) as error:
            raise LogUnavailable(f"{self._context.log}: {error}") from None
        if response.code == 410:
            raise Truncated(page.earliest)
        return page

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


async def read_patiently(log: PolicyLog, timeout_s: float) -> None:
    """Read the stream to its end, trying again through an outage.

    :param log: the stream.
    :param timeout_s: longest wait in seconds.
    :raises LogUnavailable: the log could not be read in that time.
    """
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    while True:
        try:
            return await log.read_to_end()
        except LogUnavailable:
            if asyncio.get_running_loop().time() >= deadline_s:
                raise
        await asyncio.sleep(0.2)
