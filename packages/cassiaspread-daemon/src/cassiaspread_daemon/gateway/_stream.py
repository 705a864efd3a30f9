"""Streams: events relayed as they arrive, over one chain of engines or several.

A stream whose chain fails goes on over another one, within the same answer and from
the event after the last one that was sent.
"""

import asyncio
from enum import Enum

from cassiaspread_core.base import Refusal, TargetId
from cassiaspread_core.targets import TargetHealth
from cassiaspread_daemon._exchange import ConnectFailed, Exchange, ExchangeBroken
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._events import EventBuffer
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import Job, TakeRetry, broken_off, now, timed_out
from cassiaspread_daemon.gateway._pool import ConnectionPool
from cassiaspread_daemon.gateway._stalls import StallWatch
from cassiaspread_daemon.gateway._terms import AnswerTerms, ForwardTerms, Wire
from cassiaspread_daemon.gateway._waiting import WaitingRoom

CONNECT_TIMEOUT_S = 0.25
# Chains that one request is offered to at most; a chain that refuses has not run it.
MAX_OFFERS = 4
# Pause after which the head of a chain is asked what it waits for, as a part of the
# longest pause within the objective.
STALL_SHARE_OF_PAUSE = 1.2
# The same for the first event, as a part of its objective.
STALL_SHARE_OF_OBJECTIVE = 0.8
# Longest wait for room on a chain, as a multiple of the objective.
MAX_WAIT_OBJECTIVES = 2.0
RETRY_AFTER_S = 0.3


class _End(Enum):
    WHOLE = "whole"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    FAILED = "failed"


class _Stream:
    """Progress of one stream over all its attempts."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.events = EventBuffer(job.terms.last_event_id)
        self.is_started = False
        self.n_runs = 0
        self.avoid: set[TargetId] = set()
        self.failure = ""


class StreamForwarder:
    """Sends streaming requests to chains of engines and relays the events.

    :param wire: headers of requests and answers.
    :param pool: connections to targets.
    :param dispatcher: counts the work in progress.
    :param waiting: chooses chains, in turn when there is no room.
    :param health: verdicts on targets.
    :param stalls: finds out which engine a silent stream waits for.
    :param log: gets a line for each decision.
    :param metrics: counts attempts, records times.
    """

    def __init__(
        self,
        wire: Wire,
        pool: ConnectionPool,
        dispatcher: Dispatcher,
        waiting: WaitingRoom,
        health: TargetHealth,
        stalls: StallWatch,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._wire = wire
        self._pool = pool
        self._dispatcher = dispatcher
        self._waiting = waiting
        self._health = health
        self._stalls = stalls
        self._log = log
        self._metrics = metrics

    async def forward(self, job: Job, take_retry: TakeRetry) -> None:
        """Send a request and relay its stream.

        :param job: the request.
        :param take_retry: uses up one of the retries that this daemon may make.
        :raises Refusal: the stream is not whole.
        """
        stream = _Stream(job)
        for n_offer in range(MAX_OFFERS):
            if n_offer and not take_retry():
                self._log.record("retry.denied", request=job.terms.request_id)
                break
            assignment = await self._assign(stream)
            end = await self._attempt(stream, assignment)
            self._metrics.note_attempt(end.value)
            if end is _End.WHOLE:
                return
            if end is not _End.NOT_RUN:
                stream.n_runs += 1
                if not self._may_go_on(stream):
                    break
        raise self._refusal(stream)

    def _may_go_on(self, stream: _Stream) -> bool:
        route = stream.job.route
        return route.is_resumable and stream.n_runs < route.max_attempts

    def _refusal(self, stream: _Stream) -> Refusal:
        if stream.job.remaining_s(now()) <= 0:
            return timed_out(is_sent=stream.n_runs > 0)
        if stream.n_runs:
            return broken_off(stream.failure or "the stream broke off")
        return Refusal(
            503, "no-capacity", "No chain took it.", retry_after_s=RETRY_AFTER_S
        )

    async def _assign(self, stream: _Stream) -> Assignment:
        job = stream.job
        started_s = now()
        longest_s = job.route.objective_s * MAX_WAIT_OBJECTIVES
        if stream.is_started:
            # Its caller leaves when the pause grows too long; until then it may go on.
            longest_s = job.remaining_s(now())
        try:
            assignment = await self._waiting.assign(job, stream.avoid, longest_s)
        except Refusal as refusal:
            raise (refusal if not stream.n_runs else self._refusal(stream)) from None
        self._metrics.note_wait(now() - started_s)
        self._log.record(
            "stream.assigned",
            request=job.terms.request_id,
            chain=[
                [s.engine.target, s.layers.begin, s.layers.end]
                for s in assignment.chain
            ],
            waited_ms=round((now() - started_s) * 1000, 1),
            after=stream.events.last_id,
        )
        return assignment

    async def _attempt(self, stream: _Stream, assignment: Assignment) -> _End:
        try:
            return await self._relay(stream, assignment)
        except ConnectFailed as error:
            self._dispatcher.note_unreachable(assignment.head, now())
            self._note_broken(stream, assignment, str(error))
            return _End.NOT_RUN
        except ExchangeBroken as error:
            self._note_broken(stream, assignment, str(error))
            return _End.BROKEN
        except TimeoutError:
            self._note_broken(stream, assignment, "deadline")
            raise timed_out(is_sent=True) from None
        finally:
            stream.events.drop_rest()
            stream.avoid.add(assignment.head.target)
            self._dispatcher.release(assignment)

    async def _relay(self, stream: _Stream, assignment: Assignment) -> _End:
        job, head = stream.job, assignment.head
        terms = ForwardTerms(
            timeout_s=job.remaining_s(now()),
            target=head.target,
            organisation=job.organisation,
            priority=job.priority,
            chain=assignment.chain,
            last_event_id=stream.events.last_id,
        )
        headers = self._wire.forward_headers(job.ingress.headers, terms)
        connect_s = min(CONNECT_TIMEOUT_S, max(0.0, terms.timeout_s))
        # A kept connection may be closed by the target just as the request leaves,
        # which can't be told from a request that ran.
        is_new = not job.route.may_repeat
        async with (
            self._pool.exchange(head.address, connect_s, is_new) as exchange,
            asyncio.timeout(job.remaining_s(now())),
        ):
            inbox = _Inbox()
            sending = asyncio.ensure_future(
                exchange.send(
                    job.ingress.method,
                    job.ingress.target,
                    job.ingress.body,
                    headers,
                    on_data=inbox.put,
                    is_expected=lambda h: self._wire.answers(h, job.terms.request_id),
                )
            )
            try:
                await self._wait_headers(stream, assignment, sending)
                answer = self._wire.read_answer(sending.result(), exchange.headers)
                if answer.status != 200 or not answer.is_sealed:
                    return await self._take_failure(
                        stream, assignment, exchange, answer
                    )
                return await self._relay_events(stream, assignment, exchange, inbox)
            finally:
                sending.cancel()

    async def _wait_headers(
        self, stream: _Stream, assignment: Assignment, sending: asyncio.Future[int]
    ) -> None:
        stall_s = stream.job.route.objective_s * STALL_SHARE_OF_OBJECTIVE
        while not sending.done():
            await asyncio.wait([sending], timeout=stall_s)
            if not sending.done():
                await self._stalls.check(stream.job.terms.request_id, assignment)
        if sending.exception() is not None:
            raise sending.exception()

    async def _relay_events(
        self,
        stream: _Stream,
        assignment: Assignment,
        exchange: Exchange,
        inbox: "_Inbox",
    ) -> _End:
        job, ingress = stream.job, stream.job.ingress
        finishing = asyncio.ensure_future(exchange.finish())
        finishing.add_done_callback(lambda _: inbox.wake())
        stall_s = job.route.pause_s * STALL_SHARE_OF_PAUSE
        if not stream.events.n_events:
            stall_s = job.route.objective_s * STALL_SHARE_OF_OBJECTIVE
        try:
            while True:
                is_ended = finishing.done()
                whole = stream.events.feed(inbox.take())
                if whole:
                    if not stream.is_started:
                        self._start(stream, exchange)
                    await ingress.write(whole)
                    stall_s = job.route.pause_s * STALL_SHARE_OF_PAUSE
                if is_ended:
                    finishing.result()
                    return await self._finish(stream, assignment, exchange)
                if not await inbox.wait(stall_s):
                    await self._stalls.check(job.terms.request_id, assignment)
        finally:
            finishing.cancel()

    def _start(self, stream: _Stream, exchange: Exchange) -> None:
        stream.is_started = True
        headers = self._wire.answer_headers(exchange.headers)
        stream.job.ingress.start(200, headers)
        self._metrics.note_first_event(now() - stream.job.ingress.arrived_s)

    async def _finish(
        self, stream: _Stream, assignment: Assignment, exchange: Exchange
    ) -> _End:
        ingress = stream.job.ingress
        if not stream.is_started:
            self._start(stream, exchange)
        if stream.events.rest:
            await ingress.write(stream.events.rest)
        ingress.end()
        self._dispatcher.note_success(assignment, now())
        return _End.WHOLE

    async def _take_failure(
        self,
        stream: _Stream,
        assignment: Assignment,
        exchange: Exchange,
        answer: AnswerTerms,
    ) -> _End:
        job = stream.job
        response = await exchange.finish()
        stream.failure = f"the head answered {answer.status}"
        at_fault = self._find_at_fault(assignment, answer)
        self._health.note_unreachable(at_fault, now())
        stream.avoid.add(at_fault)
        self._log.record(
            "attempt.failed",
            request=job.terms.request_id,
            head=assignment.head.target,
            status=answer.status,
            is_not_run=answer.is_not_run,
            at_fault=at_fault,
        )
        if answer.is_not_run:
            return _End.NOT_RUN
        if not answer.is_sealed or answer.status == 200 or self._is_repeatable(stream):
            return _End.FAILED
        if not stream.is_started:
            headers = self._wire.answer_headers(response.headers)
            job.ingress.answer(answer.status, headers, response.body)
            return _End.WHOLE
        return _End.FAILED

    def _is_repeatable(self, stream: _Stream) -> bool:
        return stream.n_runs + 1 < stream.job.route.max_attempts and (
            stream.job.route.is_resumable
        )

    def _find_at_fault(self, assignment: Assignment, answer: AnswerTerms) -> TargetId:
        for stage in assignment.chain:
            if stage.engine.address == answer.fault_address:
                return stage.engine.target
        return assignment.head.target

    def _note_broken(
        self, stream: _Stream, assignment: Assignment, reason: str
    ) -> None:
        stream.failure = reason
        self._log.record(
            "attempt.broken",
            request=stream.job.terms.request_id,
            head=assignment.head.target,
            reason=reason,
            n_events=stream.events.n_events,
        )


class _Inbox:
    """Bytes that arrived and were not looked at yet."""

    def __init__(self) -> None:
        self._data: list[bytes] = []
        self._event = asyncio.Event()

    def put(self, data: bytes) -> None:
        self._data.append(data)
        self._event.set()

    def wake(self) -> None:
        self._event.set()

    def take(self) -> bytes:
        self._event.clear()
        data = b"".join(self._data)
        self._data.clear()
        return data

    async def wait(self, timeout_s: float) -> bool:
        """Wait for bytes or the end; return whether there was any."""
        if self._event.is_set():
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            return False
        return True
