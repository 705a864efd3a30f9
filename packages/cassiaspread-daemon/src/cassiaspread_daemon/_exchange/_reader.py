"""Reader of one response, which passes over those that answer other requests."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from enum import Enum

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from cassiaspread_core.admission import (
    BODILESS_STATUSES,
    AnswerMemory,
    AnswerPacer,
    AnswerStatus,
    HeldAnswer,
    classify_status,
)
from cassiaspread_daemon._exchange._errors import (
    AnswerTooLarge,
    ConnectionSpoiled,
    ExchangeBroken,
)
from cassiaspread_daemon._exchange._stream import (
    MAX_TINY_CHUNKS,
    MIN_CHUNK_BYTES,
    MIN_PAUSE_S,
    ResponseStream,
)

# Bounds on one response that is kept until it is complete, and on all responses of this
# process that are kept; within what control and streams leave of 256 MB at the target
# size.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_HELD_BYTES = 16 * 1024 * 1024
# Small pieces of a response are joined up to this size, since each has an overhead.
BLOCK_BYTES = 64 * 1024
ANSWER_MEMORY = AnswerMemory(MAX_HELD_BYTES, MAX_ANSWER_BYTES)
# Reading at this rate takes a few percent of a core. A stream of tokens stays far below
# the rate that is not limited.
BYTE_PACER = AnswerPacer(64e6, unpaced=64 * 1024, unpaced_rate=256e3)
# A stray response does not answer the request that waits on the connection. After this
# many, or after one that is not complete in this time, in seconds, the response to the
# request is not waited for any longer: a sound target sends none. On a new connection,
# the response to the request has to begin in this time too.
MAX_STRAY_RESPONSES = 3
STRAY_TIMEOUT_S = 0.25
# If the timer of a stray response is later than this, in seconds, the process was held
# up and has not read yet what arrived meanwhile: it waits once more.
MAX_TIMER_DELAY_S = 0.02

DataCallback = Callable[[bytes], Awaitable[None] | None]
# Decides from the status and headers whether a response belongs to the request.
AnswerFilter = Callable[[int, HTTPHeaders], bool]


class Delimiter(Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # The body ends with the connection, which also closes when the sender fails.
    CLOSE = "close"


class ResponseReader(HTTPMessageDelegate):
    """Reads the response to one request.

    :param stream: the connection.
    :param on_data: called with each chunk of the body of a 200 response; ``None`` to
        keep the body.
    :param is_expected: decides whether a response belongs to the request; ``None`` if
        the first one does.
    :param fail: ends the exchange with an error.
    """

    def __init__(
        self,
        stream: ResponseStream,
        on_data: DataCallback | None,
        is_expected: AnswerFilter | None,
        fail: Callable[[ExchangeBroken], None],
    ) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.started = asyncio.get_running_loop().create_future()
        self.finished = asyncio.get_running_loop().create_future()
        self.n_strays = 0
        self.is_stray = False
        self.is_ended = False
        self._stream = stream
        self._on_data = on_data
        self._is_expected = is_expected
        self._fail = fail
        self._held = ANSWER_MEMORY.hold(self.drop)
        self._blocks: list[bytearray] = []
        self._n_bytes = 0
        self._started_s = time.monotonic()
        self._stray_timeout: asyncio.TimerHandle | None = None

    @property
    def body(self) -> bytes:
        """The part of the body that was received and kept."""
        return b"".join(self._blocks)

    @property
    def held(self) -> HeldAnswer:
        """Accounts for the body."""
        return self._held

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        # Tornado takes any three digits.
        kind = classify_status(start_line.code)
        if kind is AnswerStatus.FOREIGN:
            self._fail(self._spoiled_error(f"response with status {start_line.code}"))
        if kind is not AnswerStatus.FINAL:
            return
        self.is_stray = self._is_expected is not None and not self._is_expected(
            start_line.code, headers
        )
        if self.is_stray:
            self._begin_stray(start_line.code, headers)
            return
        self._end_stray()
        self.status = start_line.code
        self.headers = headers
        if not self.started.done():
            self.started.set_result(None)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._n_bytes += len(chunk)
        consumed = None if self.is_stray else self._consume(chunk)
        now_s = time.monotonic()
        if self._on_data is None and self._stream.has_tiny_chunks(self._n_bytes, now_s):
            self._held.drop(
                f"more than {MAX_TINY_CHUNKS} chunks of less than {MIN_CHUNK_BYTES} "
                "bytes on average"
            )
        age_s = now_s - self._started_s
        delay_s = BYTE_PACER.delay_s(self._n_bytes, len(chunk), age_s, now_s)
        if delay_s < MIN_PAUSE_S:
            return consumed
        return _consume_and_pause(consumed, delay_s)

    def _consume(self, chunk: bytes) -> Awaitable[None] | None:
        if self._on_data is not None and self.status == 200:
            try:
                return self._on_data(chunk)
            except ExchangeBroken as error:
                self._fail(error)
                return None
        self._held.add(len(chunk))
        if not self._held.is_open:
            return None
        if self._blocks and len(self._blocks[-1]) + len(chunk) <= BLOCK_BYTES:
            self._blocks[-1] += chunk
        else:
            self._blocks.append(bytearray(chunk))
        return None

    def _begin_stray(self, status: int, headers: HTTPHeaders) -> None:
        self.n_strays += 1
        if find_delimiter(status, headers) is Delimiter.CLOSE:
            self._fail(self._strays_error())
            return
        if self._stray_timeout is None:
            self._await_stray()

    def _await_stray(self, is_repeated: bool = False) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + STRAY_TIMEOUT_S

        def check() -> None:
            if loop.time() - due_s > MAX_TIMER_DELAY_S and not is_repeated:
                self._await_stray(is_repeated=True)
            else:
                self._fail(self._strays_error())

        self._stray_timeout = loop.call_at(due_s, check)

    def _end_stray(self) -> None:
        if self._stray_timeout is not None:
            self._stray_timeout.cancel()
            self._stray_timeout = None

    def _strays_error(self) -> ExchangeBroken:
        return self._spoiled_error(
            f"{self.n_strays} responses that do not name the request"
        )

    @property
    def _is_kept(self) -> bool:
        # On a new connection, all that comes is the target's own answer.
        return self._stream.n_requests > 1

    def _spoiled_error(self, reason: str) -> ExchangeBroken:
        return ConnectionSpoiled(reason) if self._is_kept else ExchangeBroken(reason)

    def drop(self, reason: str) -> None:
        """End an answer that exceeds a bound."""
        self._blocks.clear()
        self._fail(AnswerTooLarge(reason))

    def finish(self) -> None:
        if self._is_kept:
            # The request may run for long behind the answer to an earlier one.
            self._end_stray()
        self.is_ended = True
        if self.is_framed and not self.is_stray:
            self.set_result(None)

    @property
    def is_complete(self) -> bool:
        """Whether the complete response was received."""
        # Cancelling the task that awaits the future also cancels the future.
        future = self.finished
        return future.done() and not future.cancelled() and not future.exception()

    @property
    def delimiter(self) -> Delimiter:
        """What marks the end of the body."""
        return find_delimiter(self.status, self.headers)

    @property
    def is_framed(self) -> bool:
        """Whether the headers delimit the body."""
        return self.delimiter is not Delimiter.CLOSE

    def complete_at_close(self) -> None:
        """Complete a response whose body ends with the close of the connection."""
        if self.is_ended and not self.is_stray:
            self.set_result(None)

    def on_connection_close(self) -> None:
        is_stray_last = bool(self.n_strays) and not self.started.done()
        if is_stray_last and self._stream.error is None:
            # It may have been closed because of the response that came before.
            error = self._strays_error()
        elif self._stream.is_ended_by_target or self.started.done():
            error = ExchangeBroken("connection closed before the response ended")
        else:
            error = self._spoiled_error("bytes that are no response")
        self.set_result(error)

    def set_result(self, error: ExchangeBroken | None) -> None:
        """Set the result unless there is one.

        :param error: the failure; ``None`` for a complete response.
        """
        self._end_stray()
        for future in (self.started, self.finished):
            if future.done():
                continue
            if error is None:
                future.set_result(None)
            else:
                future.set_exception(error)
                future.exception()


def find_delimiter(status: int, headers: HTTPHeaders) -> Delimiter:
    """Return what marks the end of a response's body.

    :param status: HTTP status code.
    :param headers: headers of the response.
    """
    if "Transfer-Encoding" in headers:
        return Delimiter.CHUNKS
    if "Content-Length" in headers or status in BODILESS_STATUSES:
        return Delimiter.LENGTH
    return Delimiter.CLOSE


async def _consume_and_pause(consumed: Awaitable[None] | None, pause_s: float) -> None:
    if consumed is not None:
        await consumed
    await asyncio.sleep(pause_s)
