"""Relay of one attempt's events from its chain to the caller."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from cassiaspread_core.base import TargetId
from cassiaspread_core.targets import EventIntervals
from cassiaspread_daemon._events import EventBuffer, MisplacedEvents
from cassiaspread_daemon._exchange import (
    Delimiter,
    Exchange,
    ExchangeBroken,
)
from cassiaspread_daemon.gateway._answer_filter import answer_filter
from cassiaspread_daemon.gateway._capacity_queue import CapacityQueue
from cassiaspread_daemon.gateway._chain_search import ChainSearch
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import Job, TakeRetry, now
from cassiaspread_daemon.gateway._protocols import AnswerParameters, HeaderCodec
from cassiaspread_daemon.gateway._receive_buffer import ReceiveBuffer
from cassiaspread_daemon.gateway._second_start import (
    AttemptResult,
    SecondStart,
    Turn,
)
from cassiaspread_daemon.gateway._stalls import (
    SilentEngine,
    StallDetector,
    StreamStalled,
)

# Time without events after which the head of a chain is polled for the stalled engine,
# as a multiple of the longest pause within the objective.
STALL_PAUSE_RATIO = 1.2
# The same for the first event, as a fraction of its objective.
STALL_OBJECTIVE_RATIO = 0.8
# A stream without events, whose engines responded to this number of checks in a row and
# for this long, in seconds, may start on a second chain. Under load, a sound engine may
# pause for almost as long.
N_CHECKS_WITHOUT_EVENTS = 2
MIN_TIME_WITHOUT_EVENTS_S = 1.0
# A search that finds room at once takes no longer than this, in seconds.
SEARCH_AT_ONCE_S = 0.01
# An engine that crashes as it begins to answer may send the first event.
MIN_EVENTS_IN_PROGRESS = 2
# A stream has one event for one or more tokens, and a few that hold none.
MAX_EVENTS_WITHOUT_TOKENS = 16


class StreamState:
    """Progress of one stream across all its attempts.

    :param job: the request.
    :param take_retry: takes one retry from the budget of the service.
    """

    def __init__(self, job: Job, take_retry: TakeRetry) -> None:
        self.job = job
        self.take_retry = take_retry
        n_tokens = job.parameters.max_answer_tokens
        self.events = EventBuffer(
            job.parameters.last_event_id,
            # A route that is not resumable need not take the caller's last event.
            is_continuation=job.route.is_resumable,
            max_events=n_tokens + MAX_EVENTS_WITHOUT_TOKENS if n_tokens else None,
        )
        self.is_started = False
        self.n_tried = 0
        self.n_runs = 0
        # Heads that the stream was sent to.
        self.sent_to: set[TargetId] = set()
        # Targets that are not asked again; and those that are asked again only where no
        # other one is healthy.
        self.avoided: set[TargetId] = set()
        self.deferred: set[TargetId] = set()
        self.failure_reason = ""
        # Attempt on another chain, beside one whose engine is silent.
        self.second: SecondStart | None = None

    def record_result(self, result: AttemptResult) -> None:
        """Count an attempt that ended.

        :param result: its result.
        """
        if result is not AttemptResult.NOT_RUN:
            self.n_runs += 1

    def remaining_s(self, now_s: float) -> float:
        """Return the time left in seconds; it is longer for an answer that has begun.

        :param now_s: current time, in seconds.
        """
        if self.is_started:
            return self.job.answer_end_s - now_s
        return self.job.remaining_s(now_s)

    def take_second(self) -> SecondStart | None:
        """Return the second start, if any, to go on with it."""
        second, self.second = self.second, None
        return second

    async def stop_second(self) -> AttemptResult | None:
        """End the second start and count it.

        :returns: its result, if there was one.
        """
        second = self.take_second()
        if second is None:
            return None
        result = await second.stop()
        self.record_result(result)
        return result


class RelayTools(msgspec.Struct, frozen=True):
    """What the relays of all streams share.

    :param codec: encodes and decodes headers of requests and answers.
    :param capacity_queue: selects other chains for streams that are silent.
    :param dispatcher: releases chains that are not used.
    :param stalls: detects the engine that a silent stream waits for.
    :param log: receives a line for each decision.
    :param metrics: records times.
    :param moves_early: whether a stream that pauses for longer than is usual for it
        begins on a second chain.
    """

    codec: HeaderCodec
    capacity_queue: CapacityQueue
    dispatcher: Dispatcher
    stalls: StallDetector
    log: DecisionLog
    metrics: GatewayMetrics
    moves_early: bool = False


class Relay:
    """Sends one attempt and relays its events.

    While the engine is silent, the stream may start on a second chain beside it. The
    first of both that has an event goes on.

    :param tools: shared by all relays.
    :param stream: the stream.
    :param assignment: its chain.
    :param exchange: connection to the head of the chain.
    :param buffer: bytes received on it.
    :param turn: permission to write to the caller.
    :param timeout: ends the attempt; it is extended once the answer has begun.
    :param may_move: returns whether the stream may be sent to another chain.
    :param begin_second: sends the stream to a second chain, because of an engine.
    :param record_progress: called once the answer has gone on after its beginning, or
        has ended.
    :param record_first_event: called once the attempt has its first event.
    """

    def __init__(
        self,
        tools: RelayTools,
        stream: StreamState,
        assignment: Assignment,
        exchange: Exchange,
        buffer: ReceiveBuffer,
        turn: Turn,
        timeout: asyncio.Timeout,
        may_move: Callable[[], bool],
        begin_second: Callable[[Assignment, SilentEngine], None],
        record_progress: Callable[[], None],
        record_first_event: Callable[[], None] = lambda: None,
    ) -> None:
        self._tools = tools
        self._stream = stream
        self._assignment = assignment
        self._exchange = exchange
        self._buffer = buffer
        self._turn = turn
        self._timeout = timeout
        self._may_move = may_move
        self._begin_second = begin_second
        self._report_progress = record_progress
        self._has_progressed = False
        self._report_first_event = record_first_event
        self._has_first_event = False
        self._events = stream.events.fork()
        self._n_events_before = self._events.n_events
        self._is_resumed = self._events.has_begun
        self._next_id_before = self._events.next_id
        # When the wait for the engine began, and when the second start did.
        self._waiting_since_s = self._second_begin_s = now()
        self._is_failure_recorded = False
        # Engines of other chains that were found to be silent.
        self._silent_targets: set[TargetId] = set()
        self._intervals = EventIntervals(stream.job.route.max_event_gap_s)

    async def send(self, headers: Mapping[str, str]) -> AnswerParameters:
        """Send the request and wait for the headers of the answer.

        :param headers: headers of the request.
        :raises ExchangeBroken: the attempt ended before.
        """
        job, codec = self._stream.job, self._tools.codec
        sending = asyncio.ensure_future(
            self._exchange.send(
                job.inbound.method,
                job.inbound.target,
                job.inbound.body,
                headers,
                on_data=self._buffer.put,
                is_expected=answer_filter(
                    codec,
                    self._tools.log,
                    job.parameters.request_id,
                    self._assignment.head.target,
                    self._exchange,
                ),
            )
        )
        stall_s = job.route.objective_s * STALL_OBJECTIVE_RATIO
        try:
            await asyncio.wait([sending], timeout=stall_s)
            if not sending.done():
                await self._outlast_silence(
                    sending, lambda: self._exchange.is_answered, stall_s
                )
            return codec.read_answer(await sending, self._exchange.headers)
        finally:
            sending.cancel()

    async def relay_events(self) -> None:
        """Relay the events of a successful answer until its end.

        :raises MisplacedEvents: the answer does not go on where the stream stopped.
        :raises ExchangeBroken: the attempt ended before the stream did.
        """
        stream, buffer = self._stream, self._buffer
        job, inbound = stream.job, stream.job.inbound
        finishing = asyncio.ensure_future(self._exchange.finish())
        finishing.add_done_callback(lambda _: buffer.wake())
        stall_s = job.route.max_event_gap_s * STALL_PAUSE_RATIO
        if not self._events.n_events:
            stall_s = job.route.objective_s * STALL_OBJECTIVE_RATIO
        try:
            while True:
                is_ended = finishing.done()
                received = buffer.take()
                n_done = self._events.n_open_bytes + len(received)
                n_events_before = self._events.n_events
                complete = self._events.feed(received)
                n_done -= self._events.n_open_bytes
                if self._n_events >= MIN_EVENTS_IN_PROGRESS:
                    self._record_progress()
                if self._events.n_events > n_events_before:
                    self._intervals.record(now())
                    self._record_first_event()
                    await self._take_turn()
                    self._start_answer()
                    stall_s = job.route.max_event_gap_s * STALL_PAUSE_RATIO
                if complete:
                    await inbound.write(complete)
                buffer.release(n_done)
                if is_ended:
                    finishing.result()
                    await self._finish()
                    return
                # A caller that reads slowly is no silence of the engine.
                self._waiting_since_s = now()
                await self._start_early(stall_s)
                rest_s = max(0.0, self._waiting_since_s + stall_s - now())
                if stream.second is not None or not await buffer.wait(rest_s):
                    arriving = asyncio.ensure_future(buffer.arrival())
                    try:
                        await self._outlast_silence(
                            arriving, lambda: buffer.has_arrived, stall_s
                        )
                    finally:
                        arriving.cancel()
        finally:
            finishing.cancel()

    async def _start_early(self, stall_s: float) -> None:
        """Begin on a second chain after a pause that is unusual for the stream.

        A chain that does not run it is followed by another one.

        :param stall_s: pause after which the engines are asked, in seconds.
        """
        tools, stream, buffer = self._tools, self._stream, self._buffer
        pause_s = self._intervals.unusual_pause_s() if tools.moves_early else None
        if pause_s is None or stream.second is not None or not self._may_move():
            return
        if await buffer.wait(pause_s):
            return
        silence = _Silence(
            tools.stalls.describe_pause(
                self._assignment, pause_s, self._intervals.longest_s
            ),
            self._waiting_since_s,
            lambda: buffer.has_arrived,
        )
        arriving = asyncio.ensure_future(buffer.arrival())
        try:
            while stream.second is None and self._may_move():
                await self._try_early(silence, arriving)
                if stream.second is None:
                    return
                rest_s = max(0.0, self._waiting_since_s + stall_s - now())
                await _wait_first({arriving, *self._second_futures}, rest_s)
                await self._check_second(silence.has_ended, silence.since_s)
        finally:
            arriving.cancel()

    async def _try_early(
        self, silence: "_Silence", arriving: asyncio.Future[Any]
    ) -> None:
        """Begin on a second chain if one has room at once."""
        tools, stream = self._tools, self._stream
        # Any engine of the chain may be the silent one.
        avoid = {*stream.avoided, *self._silent_targets, *self._assignment.targets}
        with ChainSearch(tools.capacity_queue, tools.dispatcher) as search:
            search.start(stream.job, avoid, stream.deferred)
            await _wait_first({arriving, *search.tasks}, SEARCH_AT_ONCE_S)
            await self._start_second(search, silence, arriving)

    def _record_progress(self) -> None:
        if not self._has_progressed:
            self._has_progressed = True
            self._report_progress()

    def _record_first_event(self) -> None:
        if not self._has_first_event:
            self._has_first_event = True
            self._report_first_event()

    async def _take_turn(self) -> None:
        """Wait for the permission to write, and end a second start."""
        await self._turn.take()
        self._stream.events = self._events
        second = self._stream.second
        if second is not None:
            result = await self._stream.stop_second()
            self._record_second_ended(second, result, "the first one went on")

    async def _outlast_silence(
        self,
        arriving: asyncio.Future[Any],
        has_arrived: Callable[[], bool],
        interval_s: float,
    ) -> None:
        """Wait for a silent engine, or leave it.

        Engines that respond, but send no events, count as silent after a while.

        :param arriving: done soon after something has arrived.
        :param has_arrived: returns at once whether something has.
        :param interval_s: time between two checks, in seconds.
        :raises StreamStalled: the engine is gone, or the second start has an event.
        """
        tools, stream = self._tools, self._stream

        def has_ended() -> bool:
            return arriving.done() or has_arrived()

        is_recorded = False
        watch = _Watch(self._waiting_since_s)
        with ChainSearch(tools.capacity_queue, tools.dispatcher) as search:
            while not has_ended():
                silence = await self._find_silence(arriving, has_ended, watch)
                await self._check_second(has_ended, watch.responded_s)
                if silence is None:
                    search.stop()
                    await _wait_first({arriving, *self._second_futures}, interval_s)
                    continue
                if self._may_start_second():
                    avoid = {*stream.avoided, *self._silent_targets}
                    avoid |= {self._assignment.head.target, silence.of.engine.target}
                    search.start(stream.job, avoid, stream.deferred)
                    await _wait_first({arriving, *search.tasks}, SEARCH_AT_ONCE_S)
                    await self._start_second(search, silence, arriving)
                if not is_recorded:
                    is_recorded = True
                    self._record_silence(silence, "waits")
                if not silence.of.is_responding:
                    await self._check_gone(silence)
                await _wait_first(
                    {arriving, *search.tasks, *self._second_futures}, interval_s
                )
                await self._start_second(search, silence, arriving)
                await self._check_second(has_ended, watch.responded_s)

    @property
    def _n_events(self) -> int:
        """Events of this attempt."""
        return self._events.n_events - self._n_events_before

    @property
    def _has_second_event(self) -> bool:
        second = self._stream.second
        return second is not None and second.has_event

    @property
    def _second_futures(self) -> set[asyncio.Future[Any]]:
        second = self._stream.second
        return set() if second is None else second.futures

    async def _find_silence(
        self,
        arriving: asyncio.Future[Any],
        has_ended: Callable[[], bool],
        watch: "_Watch",
    ) -> "_Silence | None":
        """Check the engines, and return the silence that the stream may leave."""
        silent = await self._find_silent(arriving, self._assignment)
        if silent is not None:
            watch.n_responses = 0
            return _Silence(silent, watch.responded_s, has_ended)
        # A head that was not asked may be well.
        watch.responded_s = now()
        if has_ended() or any(future.done() for future in self._second_futures):
            return None
        if not self._tools.stalls.may_ask(self._assignment, now()):
            return None
        watch.n_responses += 1
        duration_s = watch.responded_s - watch.begin_s
        if (
            watch.n_responses < N_CHECKS_WITHOUT_EVENTS
            or duration_s < MIN_TIME_WITHOUT_EVENTS_S
        ):
            return None
        if watch.without_events is None:
            watch.without_events = self._tools.stalls.record_no_events(
                self._stream.job.parameters.request_id,
                self._assignment,
                duration_s,
                self._n_events,
                is_failure=not (self._n_events or self._is_failure_recorded),
            )
            self._is_failure_recorded = True
        return _Silence(watch.without_events, watch.begin_s, has_ended)

    async def _find_silent(
        self, arriving: asyncio.Future[Any], assignment: Assignment
    ) -> SilentEngine | None:
        finding = asyncio.ensure_future(
            self._tools.stalls.find(self._stream.job.parameters.request_id, assignment)
        )
        try:
            await _wait_first({arriving, finding, *self._second_futures})
            return finding.result() if finding.done() else None
        finally:
            finding.cancel()

    async def _start_second(
        self, search: ChainSearch, silence: "_Silence", arriving: asyncio.Future[Any]
    ) -> None:
        found = None if silence.has_ended() else search.take()
        if found is None:
            return
        is_taken = False
        try:
            # A stream that waits for one silent engine does not start on another.
            silent = await self._find_silent(arriving, found)
            if silent is not None:
                self._silent_targets.add(silent.engine.target)
            elif not silence.has_ended() and not self._has_second_event:
                may_start = await self._stream.take_retry()
                if may_start:
                    await self._stop_overdue_second()
                is_taken = may_start
        finally:
            if not is_taken:
                self._tools.dispatcher.release(found, is_end=False)
        if is_taken:
            self._record_silence(silence, "begins")
            self._begin_second(found, silence.of)
            self._second_begin_s = now()
            self._silent_targets.add(found.head.target)

    async def _stop_overdue_second(self) -> None:
        second = self._stream.second
        if second is not None:
            result = await self._stream.stop_second()
            self._record_second_ended(second, result, "it had no event in time")

    def _may_start_second(self) -> bool:
        """Return whether to look for another chain: again, if the second is silent."""
        is_overdue = now() - self._second_begin_s >= MIN_TIME_WITHOUT_EVENTS_S
        return (self._stream.second is None or is_overdue) and self._may_move()

    async def _check_second(
        self, has_ended: Callable[[], bool], since_s: float
    ) -> None:
        """Leave the silent engine if the second start has an event."""
        second = self._stream.second
        if second is None:
            return
        if second.has_ended:
            result = await self._stream.stop_second()
            self._record_second_ended(second, result, "it ended before its first event")
        elif second.has_event and not has_ended():
            if second.silent.is_responding and self._n_events:
                self._tools.stalls.record_overtaken(second.silent.engine)
            self._record_silence(_Silence(second.silent, since_s, has_ended), "moves")
            if second.silent.chain:
                request_id = self._stream.job.parameters.request_id
                self._tools.stalls.check_left(request_id, second.silent.chain)
            raise StreamStalled(second.silent.engines, second.silent.reason)

    async def _check_gone(self, silence: "_Silence") -> None:
        duration_s = now() - silence.since_s
        is_gone = await self._tools.stalls.is_gone(silence.of, duration_s)
        if is_gone and not silence.has_ended():
            self._record_silence(silence, "gone")
            raise StreamStalled(silence.of.engines, f"{silence.of.reason}; it is gone")

    def _record_silence(self, silence: "_Silence", decision: str) -> None:
        stream = self._stream
        self._tools.metrics.record_silence(decision)
        self._tools.log.record(
            "stream.silent",
            request=stream.job.parameters.request_id,
            head=self._assignment.head.target,
            target=silence.of.engine.target,
            reason=silence.of.reason,
            silent_ms=round((now() - silence.since_s) * 1000),
            decision=decision,
            may_move=self._may_move(),
            n_runs=stream.n_runs,
            n_events=stream.events.n_events,
        )

    def _record_second_ended(
        self, second: SecondStart, result: AttemptResult | None, reason: str
    ) -> None:
        self._tools.log.record(
            "second.ended",
            request=self._stream.job.parameters.request_id,
            silent=second.silent.engine.target,
            result=None if result is None else result.value,
            reason=reason,
        )

    def _start_answer(self) -> None:
        stream, tools = self._stream, self._tools
        if stream.is_started:
            return
        stream.is_started = True
        headers = tools.codec.answer_headers(self._exchange.headers)
        stream.job.inbound.start(200, headers)
        remaining_s = stream.remaining_s(now())
        self._timeout.reschedule(asyncio.get_running_loop().time() + remaining_s)
        tools.metrics.record_first_event(now() - stream.job.inbound.arrived_s)

    async def _finish(self) -> None:
        inbound, events = self._stream.job.inbound, self._events
        delimiter = self._exchange.delimiter
        self._tools.log.record(
            "attempt.ended",
            request=self._stream.job.parameters.request_id,
            head=self._assignment.head.target,
            delimiter=delimiter.value,
            is_kept=self._exchange.n_requests > 1,
            n_events=self._n_events,
            n_open_bytes=events.n_open_bytes,
        )
        if events.is_inside_event:
            raise ExchangeBroken(
                f"the stream ended inside an event, after {events.n_open_bytes} bytes"
            )
        if not self._n_events and delimiter is Delimiter.CLOSE:
            raise ExchangeBroken("the stream ended before its first event")
        next_id = self._next_id_before
        if self._is_resumed and next_id is not None and next_id == events.next_id:
            # The engine before did not end the stream, so it was probably not over.
            raise MisplacedEvents(next_id, None)
        if delimiter is not Delimiter.CLOSE:
            # Without a delimiter the engine may also have ended.
            self._record_progress()
        await self._take_turn()
        self._start_answer()
        if events.remainder:
            await inbound.write(events.remainder)
        inbound.end()


class _Watch:
    """Checks of the engines of a stream that waits for an event.

    :param begin_s: when the wait began, on the monotonic clock in seconds.
    """

    def __init__(self, begin_s: float) -> None:
        self.begin_s = begin_s
        # When all engines last responded.
        self.responded_s = begin_s
        # Checks in a row in which they did.
        self.n_responses = 0
        self.without_events: SilentEngine | None = None


class _Silence(NamedTuple):
    """A silence of an engine under a stream.

    :param of: the engine.
    :param since_s: when it last responded, on the monotonic clock in seconds.
    :param has_ended: returns whether something has arrived since.
    """

    of: SilentEngine
    since_s: float
    has_ended: Callable[[], bool]


async def _wait_first(
    futures: set[asyncio.Future[Any]], timeout_s: float | None = None
) -> None:
    await asyncio.wait(futures, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
