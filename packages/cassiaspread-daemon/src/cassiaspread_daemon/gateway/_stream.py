"""Relay of event streams from chains of engines to callers.

When its chain fails, a stream resumes on another one, within the same response and
after the last event that was sent.
"""

import asyncio
from collections.abc import Awaitable
from enum import Enum

from cassiaspread_core.admission import HeldAnswer
from cassiaspread_core.base import Refusal, TargetId
from cassiaspread_core.placement import Engine
from cassiaspread_core.targets import TargetHealth
from cassiaspread_daemon._events import EventBuffer
from cassiaspread_daemon._exchange import (
    ANSWER_MEMORY,
    AnswerTooLarge,
    ConnectFailed,
    Delimiter,
    Exchange,
    ExchangeBroken,
)
from cassiaspread_daemon.gateway._capacity_queue import CapacityQueue
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import (
    Job,
    TakeRetry,
    now,
    target_failed_refusal,
    timeout_refusal,
    unix_time_s,
)
from cassiaspread_daemon.gateway._pool import ConnectionPool
from cassiaspread_daemon.gateway._protocols import (
    AnswerParameters,
    ForwardParameters,
    HeaderCodec,
)
from cassiaspread_daemon.gateway._quarantine import Quarantine
from cassiaspread_daemon.gateway._stalls import StallDetector, StreamStalled

CONNECT_TIMEOUT_S = 0.25
# Maximum number of chains tried for one request; a chain that refuses has not run it.
MAX_CHAINS_TRIED = 4
# Time without events after which the head of a chain is polled for the stalled engine,
# as a multiple of the longest pause within the objective.
STALL_PAUSE_RATIO = 1.2
# The same for the first event, as a fraction of its objective.
STALL_OBJECTIVE_RATIO = 0.8
# Longest wait for capacity on a chain, as a multiple of the objective.
MAX_WAIT_OBJECTIVES = 2.0
RETRY_AFTER_S = 0.3
# Received bytes that wait to be relayed; beyond them no more are read.
MAX_RECEIVED_BYTES = 64 * 1024
# A stream has one event for one or more tokens, and a few that hold none.
MAX_EVENTS_WITHOUT_TOKENS = 16


class _AttemptResult(Enum):
    COMPLETE = "whole"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    FAILED = "failed"


class _StreamState:
    """Progress of one stream across all its attempts."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.events = EventBuffer(job.parameters.last_event_id)
        self.is_started = False
        self.n_runs = 0
        self.avoided: set[TargetId] = set()
        self.failure_reason = ""


class StreamForwarder:
    """Sends streaming requests to chains of engines and relays the events.

    :param codec: encodes and decodes headers of requests and answers.
    :param pool: connections to targets.
    :param dispatcher: tracks the load in progress.
    :param capacity_queue: selects chains and queues requests while none has capacity.
    :param health: health of the targets.
    :param quarantine: refuses requests that crash their targets.
    :param stalls: detects the engine that a silent stream waits for.
    :param log: receives a line for each decision.
    :param metrics: counts attempts and records times.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        pool: ConnectionPool,
        dispatcher: Dispatcher,
        capacity_queue: CapacityQueue,
        health: TargetHealth,
        quarantine: Quarantine,
        stalls: StallDetector,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._dispatcher = dispatcher
        self._capacity_queue = capacity_queue
        self._health = health
        self._quarantine = quarantine
        self._stalls = stalls
        self._log = log
        self._metrics = metrics

    async def forward(self, job: Job, take_retry: TakeRetry) -> None:
        """Send a request and relay its stream.

        :param job: the request.
        :param take_retry: takes one retry from the budget of this daemon.
        :raises Refusal: the stream could not be completed.
        """
        stream = _StreamState(job)
        for n_tried in range(MAX_CHAINS_TRIED):
            if n_tried and not take_retry():
                break
            self._check_quarantine(stream)
            assignment = await self._assign(stream)
            try:
                self._check_quarantine(stream)
            except Refusal:
                self._dispatcher.release(assignment)
                raise
            result = await self._attempt(stream, assignment)
            self._metrics.record_attempt(result.value)
            if result is _AttemptResult.COMPLETE:
                return
            if result is not _AttemptResult.NOT_RUN:
                stream.n_runs += 1
                if not self._may_resume(stream):
                    break
        raise self._refusal(stream)

    def _check_quarantine(self, stream: _StreamState) -> None:
        has_run = stream.n_runs > 0
        self._quarantine.check(stream.job, has_run, unix_time_s())

    def _may_resume(self, stream: _StreamState) -> bool:
        route = stream.job.route
        return route.is_resumable and stream.n_runs < route.max_attempts

    def _refusal(self, stream: _StreamState) -> Refusal:
        if stream.job.remaining_s(now()) <= 0:
            return timeout_refusal(is_sent=stream.n_runs > 0)
        if stream.n_runs:
            return target_failed_refusal(
                stream.failure_reason or "the stream broke off"
            )
        return Refusal(
            503, "no-capacity", "No chain took it.", retry_after_s=RETRY_AFTER_S
        )

    async def _assign(self, stream: _StreamState) -> Assignment:
        job = stream.job
        started_s = now()
        max_wait_s = job.route.objective_s * MAX_WAIT_OBJECTIVES
        if stream.is_started:
            # A caller that finds the pause too long disconnects; until then the stream
            # may resume.
            max_wait_s = job.remaining_s(now())
        try:
            assignment = await self._capacity_queue.assign(
                job, stream.avoided, max_wait_s
            )
        except Refusal as refusal:
            raise (refusal if not stream.n_runs else self._refusal(stream)) from None
        self._metrics.record_wait(now() - started_s)
        self._log.record(
            "stream.assigned",
            request=job.parameters.request_id,
            chain=[
                [s.engine.target, s.layers.begin, s.layers.end]
                for s in assignment.chain
            ],
            waited_ms=round((now() - started_s) * 1000, 1),
            after=stream.events.last_id,
        )
        return assignment

    async def _attempt(
        self, stream: _StreamState, assignment: Assignment
    ) -> _AttemptResult:
        run = self._quarantine.begin_run(stream.job)
        try:
            return await self._relay(stream, assignment)
        except ConnectFailed as error:
            self._dispatcher.record_unreachable(assignment.head, now())
            self._record_broken(stream, assignment, str(error), is_sent=False)
            return _AttemptResult.NOT_RUN
        except ExchangeBroken as error:
            self._record_head_failure(assignment, error)
            if isinstance(error, StreamStalled):
                self._record_silence(stream, assignment, error)
            self._record_broken(stream, assignment, str(error), is_sent=True)
            await self._quarantine.record_interruption(
                stream.job,
                _possibly_lost(assignment, error),
                run,
                stream.events.n_events,
            )
            return _AttemptResult.BROKEN
        except TimeoutError:
            self._record_broken(stream, assignment, "deadline", is_sent=True)
            raise timeout_refusal(is_sent=True) from None
        finally:
            stream.events.drop_remainder()
            stream.avoided.add(assignment.head.target)
            self._dispatcher.release(assignment)

    def _record_silence(
        self, stream: _StreamState, assignment: Assignment, error: StreamStalled
    ) -> None:
        route = stream.job.route
        self._log.record(
            "stream.silent",
            request=stream.job.parameters.request_id,
            head=assignment.head.target,
            target=error.target,
            reason=str(error),
            decision="breaks",
            may_move=route.is_resumable and stream.n_runs + 1 < route.max_attempts,
            n_runs=stream.n_runs,
            n_events=stream.events.n_events,
        )

    def _record_head_failure(
        self, assignment: Assignment, error: ExchangeBroken
    ) -> None:
        head = assignment.head.target
        if isinstance(error, AnswerTooLarge):
            self._health.record_unreachable(head, now())
        elif not isinstance(error, StreamStalled):
            self._health.record_failure(head, now())

    async def _relay(
        self, stream: _StreamState, assignment: Assignment
    ) -> _AttemptResult:
        job, head = stream.job, assignment.head
        parameters = ForwardParameters(
            timeout_s=job.remaining_s(now()),
            target=head.target,
            organisation=job.organisation,
            priority=job.priority,
            chain=assignment.chain,
            last_event_id=stream.events.last_id,
        )
        headers = self._codec.forward_headers(job.inbound.headers, parameters)
        connect_timeout_s = min(CONNECT_TIMEOUT_S, max(0.0, parameters.timeout_s))
        # A target may close a pooled connection just as the request is sent, which is
        # indistinguishable from a request that ran.
        is_new = not job.route.may_repeat
        async with (
            self._pool.exchange(head.address, connect_timeout_s, is_new) as exchange,
            asyncio.timeout(job.remaining_s(now())),
        ):
            with ANSWER_MEMORY.hold(
                lambda reason: exchange.fail(AnswerTooLarge(reason))
            ) as held:
                return await self._send_and_relay(
                    stream, assignment, exchange, headers, _ReceiveBuffer(held)
                )

    async def _send_and_relay(
        self,
        stream: _StreamState,
        assignment: Assignment,
        exchange: Exchange,
        headers: dict[str, str],
        buffer: "_ReceiveBuffer",
    ) -> _AttemptResult:
        job = stream.job
        sending = asyncio.ensure_future(
            exchange.send(
                job.inbound.method,
                job.inbound.target,
                job.inbound.body,
                headers,
                on_data=buffer.put,
                is_expected=lambda h: self._codec.is_answer_to(
                    h, job.parameters.request_id
                ),
            )
        )
        try:
            await self._wait_headers(stream, assignment, sending)
            answer = self._codec.read_answer(sending.result(), exchange.headers)
            if answer.status != 200 or not answer.is_signed:
                return await self._handle_failed_answer(
                    stream, assignment, exchange, answer
                )
            return await self._relay_events(stream, assignment, exchange, buffer)
        finally:
            sending.cancel()

    async def _wait_headers(
        self, stream: _StreamState, assignment: Assignment, sending: asyncio.Future[int]
    ) -> None:
        stall_s = stream.job.route.objective_s * STALL_OBJECTIVE_RATIO
        while not sending.done():
            await asyncio.wait([sending], timeout=stall_s)
            if not sending.done():
                await self._stalls.check(stream.job.parameters.request_id, assignment)
        if sending.exception() is not None:
            raise sending.exception()

    async def _relay_events(
        self,
        stream: _StreamState,
        assignment: Assignment,
        exchange: Exchange,
        buffer: "_ReceiveBuffer",
    ) -> _AttemptResult:
        job, inbound = stream.job, stream.job.inbound
        n_events_before = stream.events.n_events
        finishing = asyncio.ensure_future(exchange.finish())
        finishing.add_done_callback(lambda _: buffer.wake())
        stall_s = job.route.max_event_gap_s * STALL_PAUSE_RATIO
        if not stream.events.n_events:
            stall_s = job.route.objective_s * STALL_OBJECTIVE_RATIO
        try:
            while True:
                is_ended = finishing.done()
                complete = stream.events.feed(buffer.take())
                self._check_event_count(stream)
                if complete:
                    if not stream.is_started:
                        self._start(stream, exchange)
                    await inbound.write(complete)
                    buffer.release(len(complete))
                    stall_s = job.route.max_event_gap_s * STALL_PAUSE_RATIO
                if is_ended:
                    finishing.result()
                    n_events = stream.events.n_events - n_events_before
                    return await self._finish(stream, assignment, exchange, n_events)
                if not await buffer.wait(stall_s):
                    await self._stalls.check(job.parameters.request_id, assignment)
        finally:
            finishing.cancel()

    def _check_event_count(self, stream: _StreamState) -> None:
        n_tokens = stream.job.parameters.max_answer_tokens
        max_events = n_tokens + MAX_EVENTS_WITHOUT_TOKENS
        if n_tokens and stream.events.n_events > max_events:
            raise AnswerTooLarge(
                f"more than {max_events} events for at most {n_tokens} tokens"
            )

    def _start(self, stream: _StreamState, exchange: Exchange) -> None:
        stream.is_started = True
        headers = self._codec.answer_headers(exchange.headers)
        stream.job.inbound.start(200, headers)
        self._metrics.record_first_event(now() - stream.job.inbound.arrived_s)

    async def _finish(
        self,
        stream: _StreamState,
        assignment: Assignment,
        exchange: Exchange,
        n_events: int,
    ) -> _AttemptResult:
        inbound, events = stream.job.inbound, stream.events
        self._log.record(
            "attempt.ended",
            request=stream.job.parameters.request_id,
            head=assignment.head.target,
            delimiter=exchange.delimiter.value,
            n_events=n_events,
            n_open_bytes=events.n_open_bytes,
        )
        if events.is_inside_event:
            raise ExchangeBroken(
                f"the stream ended inside an event, after {events.n_open_bytes} bytes"
            )
        if not n_events and exchange.delimiter is Delimiter.CLOSE:
            raise ExchangeBroken("the stream ended before its first event")
        if not stream.is_started:
            self._start(stream, exchange)
        if events.remainder:
            await inbound.write(events.remainder)
        inbound.end()
        self._dispatcher.record_success(assignment, now())
        self._quarantine.record_answer(stream.job, unix_time_s())
        return _AttemptResult.COMPLETE

    async def _handle_failed_answer(
        self,
        stream: _StreamState,
        assignment: Assignment,
        exchange: Exchange,
        answer: AnswerParameters,
    ) -> _AttemptResult:
        job = stream.job
        # The events of an answer without a signature are of no use.
        response = None if answer.status == 200 else await exchange.finish()
        stream.failure_reason = f"the head answered {answer.status}"
        at_fault = self._find_at_fault(assignment, answer)
        self._health.record_unreachable(at_fault, now())
        stream.avoided.add(at_fault)
        self._log.record(
            "attempt.failed",
            request=job.parameters.request_id,
            fingerprint=job.fingerprint,
            head=assignment.head.target,
            status=answer.status,
            is_not_run=answer.is_not_run,
            at_fault=at_fault,
        )
        if answer.is_not_run:
            return _AttemptResult.NOT_RUN
        if answer.is_signed:
            self._quarantine.record_answer(job, unix_time_s())
        if not answer.is_signed or response is None or self._is_repeatable(stream):
            return _AttemptResult.FAILED
        if not stream.is_started:
            headers = self._codec.answer_headers(response.headers)
            job.inbound.answer(answer.status, headers, response.body)
            return _AttemptResult.COMPLETE
        return _AttemptResult.FAILED

    def _is_repeatable(self, stream: _StreamState) -> bool:
        return stream.n_runs + 1 < stream.job.route.max_attempts and (
            stream.job.route.is_resumable
        )

    def _find_at_fault(
        self, assignment: Assignment, answer: AnswerParameters
    ) -> TargetId:
        for stage in assignment.chain:
            if stage.engine.address == answer.failed_address:
                return stage.engine.target
        return assignment.head.target

    def _record_broken(
        self,
        stream: _StreamState,
        assignment: Assignment,
        reason: str,
        is_sent: bool,
    ) -> None:
        stream.failure_reason = reason
        self._log.record(
            "attempt.broken",
            request=stream.job.parameters.request_id,
            fingerprint=stream.job.fingerprint,
            head=assignment.head.target,
            reason=reason,
            is_sent=is_sent,
            n_events=stream.events.n_events,
        )


def _possibly_lost(assignment: Assignment, error: ExchangeBroken) -> list[Engine]:
    """Return the engines that may have ended when a stream was interrupted."""
    engines = [stage.engine for stage in assignment.chain]
    if isinstance(error, StreamStalled):
        return [engine for engine in engines if engine.target == error.target]
    return engines


class _ReceiveBuffer:
    """Received bytes that have not been processed yet.

    :param held: accounts for them, and for those that are being relayed.
    """

    def __init__(self, held: HeldAnswer) -> None:
        self._held = held
        self._data: list[bytes] = []
        self._n_bytes = 0
        self._event = asyncio.Event()
        self._has_room = asyncio.Event()

    def put(self, data: bytes) -> Awaitable[object] | None:
        """Add bytes; return what to wait for before more are read, if anything."""
        self._held.add(len(data))
        if not self._held.is_open:
            return None
        self._data.append(data)
        self._n_bytes += len(data)
        self._event.set()
        if self._n_bytes <= MAX_RECEIVED_BYTES:
            return None
        self._has_room.clear()
        return self._has_room.wait()

    def wake(self) -> None:
        self._event.set()

    def take(self) -> bytes:
        self._event.clear()
        data = b"".join(self._data)
        self._data.clear()
        self._n_bytes = 0
        self._has_room.set()
        return data

    def release(self, n_bytes: int) -> None:
        """Stop accounting for bytes that were relayed."""
        self._held.add(-n_bytes)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for bytes or the end of the stream; return ``False`` on timeout."""
        if self._event.is_set():
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            return False
        return True
