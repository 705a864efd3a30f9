"""Attempt of a request: one token stream from the head of a plan."""

import asyncio
import time
from collections.abc import Callable
from enum import Enum

import msgspec

from cassiaspread_core.base import TargetId
from cassiaspread_core.pipeline import SilenceMonitor, TokenSequence, TokenStep
from cassiaspread_core.policy import Limits
from cassiaspread_daemon._exchange import ConnectFailed, Exchange, ExchangeBroken
from cassiaspread_daemon.adapters import (
    EngineClient,
    EngineStatusError,
    GenerateOrder,
    MalformedEvent,
    ResumeOrder,
    StaleAttemptError,
    StreamEvent,
)
from cassiaspread_daemon.relay._planner import PlannedChain

MILLISECONDS_PER_SECOND = 1000
STALE_ATTEMPT = "stale-attempt"
SUPERSEDED = "superseded"
# Attempt of an error that names none.
NO_ATTEMPT = 0

# Error sent by a stage that could not connect to the next one.
UNREACHABLE = "unreachable"

Deliver = Callable[[list[TokenStep]], None]


class EndKind(Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    # The connection could not be opened or was closed too early.
    CLOSED = "closed"
    SILENT = "silent"
    # An engine reported a failure, its own or that of another engine.
    FAILED = "failed"
    # An engine has already received a higher attempt.
    STALE = "stale"
    # The head serves the stream to another daemon.
    SUPERSEDED = "superseded"


class AttemptEnd(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended and why.

    :param kind: kind of end.
    :param reason: short explanation.
    :param engine: engine reported as at fault, if any.
    :param highest_attempt: highest attempt reported by an engine.
    :param was_reached: whether ``engine`` may have received the request.
    """

    kind: EndKind
    reason: str = ""
    engine: TargetId | None = None
    highest_attempt: int = 0
    was_reached: bool = True


class Attempt:
    """Runs one token stream; a context manager that closes its connection.

    :param engines: client of the engines.
    :param chain: plan and data of its engines.
    :param sequence: decides which tokens are accepted.
    :param limits: limits in force for the request.
    :param deliver: called with each batch of accepted tokens.
    """

    def __init__(
        self,
        engines: EngineClient,
        chain: PlannedChain,
        sequence: TokenSequence,
        limits: Limits,
        deliver: Deliver,
    ) -> None:
        self._engines = engines
        self._chain = chain
        self._sequence = sequence
        self._deliver = deliver
        self._exchange: Exchange | None = None
        self._end: asyncio.Future[AttemptEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self._monitor = SilenceMonitor(
            chain.step_s,
            limits.min_engine_silence_ms / MILLISECONDS_PER_SECOND,
            limits.engine_silence_ms / MILLISECONDS_PER_SECOND,
            time.monotonic(),
        )
        self._may_have_run = False
        self._tasks: list[asyncio.Task[None]] = []

    def __enter__(self) -> "Attempt":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        if self._exchange is not None:
            self._exchange.close()

    @property
    def chain(self) -> PlannedChain:
        """Plan and data of its engines."""
        return self._chain

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have started to process the order."""
        return self._may_have_run

    def start(self, order: GenerateOrder | ResumeOrder) -> None:
        """Send the order; :meth:`wait` returns the result.

        :param order: order to generate or to resume.
        """
        self._tasks.append(asyncio.create_task(self._run(order)))

    async def wait(self) -> AttemptEnd:
        """Wait until the stream ends or is silent for too long."""
        while not self._end.done():
            now_s = time.monotonic()
            if self._monitor.is_silent(now_s):
                return AttemptEnd(kind=EndKind.SILENT, reason="silent")
            timeout_s = self._monitor.next_check_s(now_s)
            await asyncio.wait((self._end,), timeout=timeout_s)
        return self._end.result()

    def record_slow(self) -> None:
        """Extend the silence limit after a probe has shown that the engines work."""
        self._monitor.back_off(time.monotonic())

    async def _run(self, order: GenerateOrder | ResumeOrder) -> None:
        address = self._chain.plan[0].address
        self._may_have_run = True
        try:
            self._exchange = await self._engines.open_stream(
                address, order, self._handle_events
            )
            await self._exchange.finish()
            self._set_closed("the stream ended before its last token")
        except ConnectFailed as error:
            self._may_have_run = False
            self._set_closed(str(error), was_reached=False)
        except MalformedEvent as error:
            self._set_misplaced(str(error))
        except ExchangeBroken as error:
            self._set_closed(str(error))
        except StaleAttemptError as error:
            self._may_have_run = False
            self._set_end(
                EndKind.STALE, str(error), highest_attempt=error.highest_attempt
            )
        except EngineStatusError as error:
            self._may_have_run = False
            head = self._chain.plan[0].engine
            self._set_end(EndKind.FAILED, str(error), engine=head)

    def _handle_events(self, events: list[StreamEvent]) -> None:
        if self._end.done():
            return
        accept = self._sequence.accept
        steps: list[TokenStep] = []
        refused: StreamEvent | None = None
        for event in events:
            if event.error is not None or not accept(event):
                refused = event
                break
            steps.append(event)
        if steps:
            self._monitor.record_tokens(len(steps), time.monotonic())
            self._deliver(steps)
        if self._sequence.finish_reason is not None:
            self._set_end(EndKind.FINISHED)
        elif refused is not None and not self._is_own_error(refused):
            self._set_misplaced(_describe(refused))
        elif refused is not None:
            self._handle_error(refused)

    def _is_own_error(self, event: StreamEvent) -> bool:
        """Return whether an event is an error of this attempt."""
        if event.error is None:
            return False
        attempt = self._sequence.attempt
        if event.error == SUPERSEDED:
            return event.attempt > attempt
        if event.error == STALE_ATTEMPT:
            return event.attempt >= attempt
        return event.attempt in (attempt, NO_ATTEMPT)

    def _handle_error(self, event: StreamEvent) -> None:
        kinds = {STALE_ATTEMPT: EndKind.STALE, SUPERSEDED: EndKind.SUPERSEDED}
        kind = kinds.get(event.error or "", EndKind.FAILED)
        reason = f"{event.engine or self._chain.plan[0].engine}: {event.error}"
        was_reached = event.error != UNREACHABLE
        self._set_end(kind, reason, event.engine, event.attempt, was_reached)

    def _set_misplaced(self, what: str) -> None:
        """End the attempt because of what its head sent at its next position."""
        head = self._chain.plan[0].engine
        expected = f"position {self._sequence.position} of {self._sequence.attempt}"
        reason = f"{head}: {what}, where {expected} follows"
        self._set_end(EndKind.FAILED, reason, head)

    def _set_closed(self, reason: str, *, was_reached: bool = True) -> None:
        head = self._chain.plan[0].engine
        self._set_end(EndKind.CLOSED, reason, head, was_reached=was_reached)

    def _set_end(
        self,
        kind: EndKind,
        reason: str = "",
        engine: TargetId | None = None,
        highest_attempt: int = 0,
        was_reached: bool = True,
    ) -> None:
        if not self._end.done():
            end = AttemptEnd(
                kind=kind,
                reason=reason,
                engine=engine,
                highest_attempt=highest_attempt,
                was_reached=was_reached,
            )
            self._end.set_result(end)


def _describe(event: StreamEvent) -> str:
    what = f"position {event.position}" if event.error is None else event.error
    return f"{what} of {event.attempt}"
