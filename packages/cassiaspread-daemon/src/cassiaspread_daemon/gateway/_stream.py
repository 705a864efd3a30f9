"""Forwarding of streams to chains of engines.

When its chain fails, a stream resumes on another one, within the same response and
after the last event that was sent.
"""

import asyncio
from collections.abc import Sequence

from cassiaspread_core.base import Refusal, TargetId
from cassiaspread_core.placement import Engine
from cassiaspread_core.quarantine import RunStart
from cassiaspread_core.targets import TargetHealth
from cassiaspread_daemon._events import MisplacedEvents
from cassiaspread_daemon._exchange import (
    ANSWER_MEMORY,
    AnswerTooLarge,
    ConnectFailed,
    ConnectionSpoiled,
    Exchange,
    ExchangeBroken,
    Response,
)
from cassiaspread_daemon.gateway._capacity_queue import CapacityQueue
from cassiaspread_daemon.gateway._closing import Closing
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._engine_notices import EngineNotices
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import (
    Job,
    TakeRetry,
    is_request_refused,
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
from cassiaspread_daemon.gateway._receive_buffer import ReceiveBuffer
from cassiaspread_daemon.gateway._relay import Relay, RelayTools, StreamState
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

CONNECT_TIMEOUT_S = 0.25
# Maximum number of chains tried for one request; a chain that refuses has not run it.
MAX_CHAINS_TRIED = 4
# Longest wait for capacity on a chain, as a multiple of the objective.
MAX_WAIT_OBJECTIVES = 2.0
RETRY_AFTER_S = 0.3
# Longest time for the rest of an answer that the caller does not get, in seconds.
MAX_FAILED_ANSWER_S = 0.25


class _Run:
    """One attempt, as far as it is recorded for later requests.

    :param start: what was known as it began.
    :param begin_s: when it began, on the monotonic clock in seconds.
    """

    def __init__(self, start: RunStart, begin_s: float) -> None:
        self.start = start
        self.begin_s = begin_s
        # Whether its answer has gone on after its beginning.
        self.has_gone_on = False


class StreamForwarder:
    """Sends streaming requests to chains of engines and relays the events.

    :param codec: encodes and decodes headers of requests and answers.
    :param pool: connections to targets.
    :param dispatcher: tracks the load in progress.
    :param capacity_queue: selects chains and queues requests while none has capacity.
    :param health: health of the targets.
    :param quarantine: refuses requests that crash their targets.
    :param stalls: detects the engine that a silent stream waits for.
    :param notices: receives what engines say of themselves.
    :param closing: decides what is passed on once the daemon leaves.
    :param log: receives a line for each decision.
    :param metrics: counts attempts and records times.
    :param moves_early: whether a stream that pauses for longer than is usual for it
        begins on a second chain.
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
        notices: EngineNotices,
        closing: Closing,
        log: DecisionLog,
        metrics: GatewayMetrics,
        moves_early: bool = False,
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._dispatcher = dispatcher
        self._capacity_queue = capacity_queue
        self._health = health
        self._quarantine = quarantine
        self._notices = notices
        self._closing = closing
        self._log = log
        self._metrics = metrics
        self._tools = RelayTools(
            codec, capacity_queue, dispatcher, stalls, log, metrics, moves_early
        )

    async def forward(self, job: Job, take_retry: TakeRetry) -> None:
        """Send a request and relay its stream.

        :param job: the request.
        :param take_retry: takes one retry from the budget of the service.
        :raises Refusal: the stream could not be completed.
        """
        stream = StreamState(job, take_retry)
        try:
            await self._try_chains(stream)
        finally:
            await stream.stop_second()

    async def _try_chains(self, stream: StreamState) -> None:
        while stream.second is not None or await self._may_try(stream):
            second = stream.take_second()
            if second is not None:
                result = await second.proceed()
            else:
                result = await self._try_chain(stream)
            self._metrics.record_attempt(result.value)
            if result is AttemptResult.COMPLETE:
                return
            stream.record_result(result)
            if result is AttemptResult.NOT_RUN or stream.second is not None:
                continue
            if not self._may_resume(stream):
                break
        raise self._refusal(stream)

    async def _try_chain(self, stream: StreamState) -> AttemptResult:
        self._check_quarantine(stream)
        assignment = await self._assign(stream)
        stream.n_tried += 1
        try:
            if stream.remaining_s(now()) <= 0:
                raise self._refusal(stream)
            if not stream.n_runs:
                self._closing.check(stream.job, now())
            self._check_quarantine(stream)
        except Refusal:
            self._dispatcher.release(assignment)
            raise
        return await self._attempt(stream, assignment, Turn(is_granted=True))

    def _begin_second(
        self, stream: StreamState, assignment: Assignment, silent: SilentEngine
    ) -> None:
        """Send a stream to a second chain; its retry is taken already."""
        stream.n_tried += 1
        self._record_assigned(stream, assignment, 0.0)
        stream.second = SecondStart(
            silent, lambda turn: self._attempt(stream, assignment, turn)
        )

    async def _may_try(self, stream: StreamState) -> bool:
        if not stream.n_tried:
            return True
        return stream.n_tried < MAX_CHAINS_TRIED and await stream.take_retry()

    def _check_quarantine(self, stream: StreamState) -> None:
        has_run = stream.n_runs > 0
        self._quarantine.check(stream.job, has_run, unix_time_s())

    def _may_resume(self, stream: StreamState) -> bool:
        route = stream.job.route
        return (
            route.may_repeat
            and stream.events.may_resume
            and stream.n_runs < route.max_attempts
        )

    def _may_move(self, stream: StreamState) -> bool:
        """Return whether another attempt may follow those in progress."""
        route = stream.job.route
        n_running = 1 if stream.second is None else 2
        return (
            route.may_repeat
            and stream.events.may_resume
            and stream.n_runs + n_running < route.max_attempts
            and stream.n_tried < MAX_CHAINS_TRIED
            and not self._quarantine.is_refused(stream.job)
        )

    def _refusal(self, stream: StreamState) -> Refusal:
        if stream.remaining_s(now()) <= 0:
            return timeout_refusal(is_sent=stream.n_runs > 0)
        if stream.n_runs:
            return target_failed_refusal(
                stream.failure_reason or "the stream broke off"
            )
        opens_in_s = self._dispatcher.opens_in_s(stream.job.service, now())
        return Refusal(
            503,
            "no-capacity",
            "No chain took it.",
            retry_after_s=max(RETRY_AFTER_S, opens_in_s),
        )

    async def _assign(self, stream: StreamState) -> Assignment:
        job = stream.job
        started_s = now()
        max_wait_s = job.route.objective_s * MAX_WAIT_OBJECTIVES
        if stream.is_started:
            # A caller that finds the pause too long disconnects; until then the stream
            # may resume.
            max_wait_s = stream.remaining_s(now())
        try:
            assignment = await self._capacity_queue.assign(
                job, stream.avoided, max_wait_s, stream.deferred
            )
        except Refusal as refusal:
            raise (refusal if not stream.n_runs else self._refusal(stream)) from None
        self._metrics.record_wait(now() - started_s)
        self._record_assigned(stream, assignment, now() - started_s)
        return assignment

    def _record_assigned(
        self, stream: StreamState, assignment: Assignment, waited_s: float
    ) -> None:
        self._log.record(
            "stream.assigned",
            request=stream.job.parameters.request_id,
            chain=[
                [s.engine.target, s.layers.begin, s.layers.end]
                for s in assignment.chain
            ],
            waited_ms=round(waited_s * 1000, 1),
            after=stream.events.last_id,
        )

    async def _attempt(
        self, stream: StreamState, assignment: Assignment, turn: Turn
    ) -> AttemptResult:
        run = _Run(self._quarantine.begin_run(stream.job), now())
        stream.avoided.add(assignment.head.target)
        try:
            return await self._relay(stream, assignment, turn, run)
        except ConnectFailed as error:
            self._dispatcher.record_unreachable(assignment.head, now())
            self._dispatcher.record_rejection(assignment.head.target, now())
            self._record_broken(stream, assignment, str(error), is_sent=False)
            return AttemptResult.NOT_RUN
        except ConnectionSpoiled as error:
            self._record_head_failure(assignment, error)
            self._record_broken(stream, assignment, str(error), is_sent=True)
            await self._record_interruption(stream, assignment.engines, run)
            # The bytes may also be the head's own answer to this request.
            stream.deferred.add(assignment.head.target)
            stream.avoided.discard(assignment.head.target)
            return AttemptResult.BROKEN
        except MisplacedEvents as error:
            self._record_misplaced(stream, assignment, error)
            await self._record_interruption(stream, assignment.engines, run)
            return AttemptResult.FAILED
        except ExchangeBroken as error:
            self._record_head_failure(assignment, error)
            self._record_broken(stream, assignment, str(error), is_sent=True)
            engines = assignment.engines
            if isinstance(error, StreamStalled):
                engines = error.engines
            await self._record_interruption(stream, engines, run)
            return AttemptResult.BROKEN
        except TimeoutError:
            self._record_broken(stream, assignment, "deadline", is_sent=True)
            await self._record_interruption(stream, assignment.engines, run)
            raise timeout_refusal(is_sent=True) from None
        finally:
            self._dispatcher.release(assignment)

    async def _record_interruption(
        self, stream: StreamState, engines: Sequence[Engine], run: "_Run"
    ) -> None:
        """Record the engines that ended under an attempt that was sent."""
        await self._quarantine.record_interruption(
            stream.job, engines, run.start, stream.events.n_events, run.has_gone_on
        )

    def _record_progress(self, stream: StreamState, run: "_Run") -> None:
        run.has_gone_on = True
        self._quarantine.record_progress(stream.job, unix_time_s())

    def _record_misplaced(
        self, stream: StreamState, assignment: Assignment, error: MisplacedEvents
    ) -> None:
        head = assignment.head.target
        if error.found is not None:
            self._health.record_failure(head, now())
        stream.failure_reason = str(error)
        self._log.record(
            "attempt.misplaced",
            request=stream.job.parameters.request_id,
            fingerprint=stream.job.fingerprint,
            head=head,
            expected=error.expected,
            found=error.found,
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
        self, stream: StreamState, assignment: Assignment, turn: Turn, run: "_Run"
    ) -> AttemptResult:
        job, head = stream.job, assignment.head
        parameters = ForwardParameters(
            timeout_s=stream.remaining_s(now()),
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
        # After an attempt on one of them, the others that are kept may be spoiled too.
        is_new = (
            head.target in stream.sent_to
            or not job.route.may_repeat
            or not job.parameters.request_id
        )
        stream.sent_to.add(head.target)
        async with (
            self._pool.exchange(
                head.address, connect_timeout_s, job.parameters.request_id, is_new
            ) as exchange,
            asyncio.timeout(stream.remaining_s(now())) as timeout,
        ):
            with ANSWER_MEMORY.hold(
                lambda reason: exchange.fail(AnswerTooLarge(reason))
            ) as held:
                relay = Relay(
                    self._tools,
                    stream,
                    assignment,
                    exchange,
                    ReceiveBuffer(held),
                    turn,
                    timeout,
                    # A second start waits for its engine as long as the first does.
                    lambda: turn.is_granted and self._may_move(stream),
                    lambda found, silent: self._begin_second(stream, found, silent),
                    lambda: self._record_progress(stream, run),
                    lambda: self._dispatcher.record_first_answer(
                        assignment, job.route.objective_s, now()
                    ),
                )
                job.inbound.is_passed_on = True
                self._dispatcher.record_sent(assignment, now())
                answer = await relay.send(headers)
                self._notices.record(head, answer.notice, now())
                if answer.status != 200 or not answer.is_signed:
                    return await self._handle_failed_answer(
                        stream, assignment, exchange, answer, turn
                    )
                await relay.relay_events()
        self._dispatcher.record_success(assignment, now())
        self._quarantine.record_answer(stream.job, unix_time_s())
        if not stream.n_runs:
            self._closing.record_run(job.route, now() - run.begin_s)
        return AttemptResult.COMPLETE

    async def _handle_failed_answer(
        self,
        stream: StreamState,
        assignment: Assignment,
        exchange: Exchange,
        answer: AnswerParameters,
        turn: Turn,
    ) -> AttemptResult:
        job = stream.job
        response = await self._read_failed_answer(stream, exchange, answer)
        is_only = turn.is_granted and stream.second is None and not stream.is_started
        if is_request_refused(job, answer) and response is not None and is_only:
            self._pass_on(job, response)
            return AttemptResult.COMPLETE
        stream.failure_reason = f"the head answered {answer.status}"
        at_fault = self._find_at_fault(assignment, answer)
        if answer.is_not_run:
            self._dispatcher.record_rejection(at_fault, now())
        else:
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
            return AttemptResult.NOT_RUN
        if answer.is_signed:
            self._quarantine.record_answer(job, unix_time_s())
        if not answer.is_signed or response is None or self._is_repeatable(stream):
            return AttemptResult.FAILED
        if is_only:
            self._pass_on(job, response)
            return AttemptResult.COMPLETE
        return AttemptResult.FAILED

    def _pass_on(self, job: Job, response: Response) -> None:
        headers = self._codec.answer_headers(response.headers)
        job.inbound.answer(response.status, headers, response.body)

    async def _read_failed_answer(
        self, stream: StreamState, exchange: Exchange, answer: AnswerParameters
    ) -> Response | None:
        """Read what may be the caller's answer, and otherwise no longer than a moment.

        The connection of an answer that was read can be used again.
        """
        if answer.status == 200:
            # The events of an answer without a signature are of no use.
            return None
        is_for_caller = answer.is_signed and not answer.is_not_run
        if is_for_caller and not self._is_repeatable(stream):
            return await exchange.finish()
        try:
            async with asyncio.timeout(MAX_FAILED_ANSWER_S):
                return await exchange.finish()
        except (TimeoutError, ExchangeBroken) as error:
            self._log.record(
                "attempt.not_read",
                request=stream.job.parameters.request_id,
                status=answer.status,
                is_not_run=answer.is_not_run,
                reason=str(error) or "no end in time",
            )
            return None

    def _is_repeatable(self, stream: StreamState) -> bool:
        route = stream.job.route
        return route.may_repeat and stream.n_runs + 1 < route.max_attempts

    def _find_at_fault(
        self, assignment: Assignment, answer: AnswerParameters
    ) -> TargetId:
        for stage in assignment.chain:
            if stage.engine.address == answer.failed_address:
                return stage.engine.target
        return assignment.head.target

    def _record_broken(
        self,
        stream: StreamState,
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
            shared_parts=stream.job.parameters.shared_parts,
        )
