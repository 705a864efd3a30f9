"""Forwarding to services without a model: an answer is sent on once it is complete."""

import asyncio

import msgspec

from cassiaspread_core.base import Refusal, TargetId
from cassiaspread_core.quarantine import RunStart
from cassiaspread_core.targets import TargetHealth
from cassiaspread_daemon._exchange import (
    ConnectFailed,
    ConnectionSpoiled,
    Delimiter,
    ExchangeBroken,
    Response,
)
from cassiaspread_daemon.gateway._answer_filter import answer_filter
from cassiaspread_daemon.gateway._closing import Closing
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._engine_notices import EngineNotices
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

# A target in the same region accepts a connection within a few milliseconds.
CONNECT_TIMEOUT_S = 0.25
# It is unknown when a target has capacity again; this is about the duration of a short
# request.
RETRY_AFTER_S = 0.1
# Maximum number of targets tried for one request. A target that refuses a request has
# not run it, so a refusal does not count as an attempt.
MAX_TARGETS_TRIED = 3
# A repeatable request is sent to another target too when the first one is silent for
# this fraction of the remaining time, but no earlier than this many latency objectives.
ATTEMPT_TIME_RATIO = 0.35
MIN_ATTEMPT_OBJECTIVES = 2.0
# Interval between further searches for another target, in seconds.
RECHECK_S = 0.25
# An attempt ends by itself at the deadline, in seconds.
TIMEOUT_MARGIN_S = 1.0


class Answer(msgspec.Struct, frozen=True):
    """Answer of a target.

    :param response: the complete response.
    :param parameters: decoded status and headers.
    """

    response: Response
    parameters: AnswerParameters


class _Attempt(msgspec.Struct, frozen=True):
    """One request sent to a target."""

    assignment: Assignment
    run: RunStart
    begin_s: float


class _Call:
    """Progress of one request across all its attempts."""

    def __init__(self, job: Job, take_retry: TakeRetry) -> None:
        self.job = job
        self.take_retry = take_retry
        self.n_tried = 0
        # Targets that the request was sent to; those of them that are not asked again,
        # and those that are asked again only where no other one is healthy.
        self.sent_to: set[TargetId] = set()
        self.avoided: set[TargetId] = set()
        self.deferred: set[TargetId] = set()
        # Attempts that ended and may have run; those in progress may run too.
        self.n_runs = 0
        self.pending: dict[asyncio.Task[Answer], _Attempt] = {}
        # Attempts whose silence was recorded.
        self.silent: set[asyncio.Task[Answer]] = set()
        # When to ask another target, on the monotonic clock in seconds.
        self.recheck_s = 0.0
        self.failed: Answer | None = None
        self.error: ExchangeBroken | None = None

    @property
    def may_try(self) -> bool:
        """Whether the request may be sent to another target."""
        n_runs = self.n_runs + len(self.pending)
        route = self.job.route
        return (
            self.n_tried < MAX_TARGETS_TRIED
            and n_runs < route.max_attempts
            and (route.may_repeat or not n_runs)
        )


class PlainForwarder:
    """Sends requests to plain services.

    :param codec: encodes and decodes headers of requests and answers.
    :param pool: connections to targets.
    :param dispatcher: selects targets.
    :param health: health of the targets.
    :param quarantine: refuses requests that crash their targets.
    :param notices: receives what targets say of themselves.
    :param closing: decides what is passed on once the daemon leaves.
    :param log: receives a line for each decision.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        pool: ConnectionPool,
        dispatcher: Dispatcher,
        health: TargetHealth,
        quarantine: Quarantine,
        notices: EngineNotices,
        closing: Closing,
        log: DecisionLog,
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._dispatcher = dispatcher
        self._health = health
        self._quarantine = quarantine
        self._notices = notices
        self._closing = closing
        self._log = log

    async def forward(self, job: Job, take_retry: TakeRetry) -> None:
        """Send a request and answer its caller.

        :param job: the request.
        :param take_retry: takes one retry from the budget of the service.
        :raises Refusal: no target answered the request.
        """
        call = _Call(job, take_retry)
        try:
            answer = await self._run(call)
        finally:
            for task in call.pending:
                task.cancel()
        headers = self._codec.answer_headers(answer.response.headers)
        job.inbound.answer(answer.response.status, headers, answer.response.body)

    async def _run(self, call: _Call) -> Answer:
        while call.pending or await self._start(call):
            done, _ = await asyncio.wait(
                call.pending,
                timeout=max(0.0, call.recheck_s - now()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                answer = await self._end(call, task)
                if answer is not None:
                    return answer
                call.recheck_s = now()
            if not done:
                await self._try_elsewhere(call)
        if call.failed is not None and call.failed.parameters.is_signed:
            return call.failed
        raise self._refusal(call)

    async def _start(self, call: _Call) -> bool:
        """Send the request to another target; return whether one may have it."""
        job = call.job
        if not call.may_try or job.remaining_s(now()) <= 0:
            return False
        if not job.inbound.is_passed_on:
            self._closing.check(job, now())
        elif not self._closing.may_end(job, now()):
            return False
        if not call.pending:
            self._quarantine.check(job, call.n_runs > 0, unix_time_s())
        elif self._quarantine.is_refused(job):
            return False
        assignment = self._dispatcher.assign(
            job.service, job.demand, now(), call.avoided, call.deferred
        )
        if assignment is None:
            return False
        is_allowed = not call.n_tried
        try:
            is_allowed = is_allowed or await call.take_retry()
        finally:
            if not is_allowed:
                self._dispatcher.release(assignment, is_end=False)
        if not is_allowed:
            return False
        head = assignment.head.target
        # The others that are kept may be spoiled too.
        is_repeated = head in call.sent_to
        call.n_tried += 1
        call.sent_to.add(head)
        call.avoided.add(head)
        run = self._quarantine.begin_run(job)
        task = asyncio.create_task(self._send(job, assignment, is_repeated))
        task.add_done_callback(lambda _: self._dispatcher.release(assignment))
        # The result of an attempt that is no longer waited for is of no use.
        task.add_done_callback(lambda t: t.cancelled() or t.exception())
        call.pending[task] = _Attempt(assignment, run, now())
        call.recheck_s = now() + self._patience_s(call)
        return True

    async def _end(self, call: _Call, task: asyncio.Task[Answer]) -> Answer | None:
        """Evaluate an attempt that ended; return the answer for the caller, if any."""
        job, attempt = call.job, call.pending.pop(task)
        assignment = attempt.assignment
        try:
            answer = task.result()
        except ConnectFailed as failure:
            self._record_unreachable(job, assignment, str(failure), is_sent=False)
            return None
        except ConnectionSpoiled as failure:
            self._health.record_failure(assignment.head.target, now())
            self._record_broken(job, assignment, str(failure), is_sent=True)
            call.error = failure
            call.n_runs += 1
            await self._record_interruption(job, attempt)
            # The bytes may also be the target's own answer to this request.
            call.deferred.add(assignment.head.target)
            call.avoided.discard(assignment.head.target)
            return None
        except ExchangeBroken as failure:
            self._record_unreachable(job, assignment, str(failure), is_sent=True)
            call.error = failure
            call.n_runs += 1
            await self._record_interruption(job, attempt)
            return None
        if is_request_refused(job, answer.parameters):
            return answer
        if answer.parameters.is_not_run:
            self._record_failure(job, assignment, answer)
            return None
        call.n_runs += 1
        self._quarantine.record_answer(job, unix_time_s())
        self._closing.record_run(job.route, now() - attempt.begin_s)
        if answer.parameters.status < 500:
            self._dispatcher.record_success(assignment, now())
            return answer
        self._record_failure(job, assignment, answer)
        call.failed = answer
        is_final = answer.parameters.is_signed and not call.may_try
        return answer if is_final else None

    async def _record_interruption(self, job: Job, attempt: _Attempt) -> None:
        engines = attempt.assignment.engines
        await self._quarantine.record_interruption(job, engines, attempt.run)

    async def _try_elsewhere(self, call: _Call) -> None:
        """Ask another target beside those that are silent, which may still answer."""
        silent = [task for task in call.pending if task not in call.silent]
        call.recheck_s = now() + RECHECK_S
        is_started = await self._start(call)
        for task in silent:
            call.silent.add(task)
            assignment = call.pending[task].assignment
            self._record_silence(call.job, assignment, is_started)

    def _refusal(self, call: _Call) -> Refusal:
        if call.job.remaining_s(now()) <= 0:
            return timeout_refusal(is_sent=call.n_runs > 0)
        if call.n_runs:
            return target_failed_refusal(str(call.error or "the target failed"))
        opens_in_s = self._dispatcher.opens_in_s(call.job.service, now())
        return Refusal(
            503,
            "no-capacity",
            "No target took it.",
            retry_after_s=max(RETRY_AFTER_S, opens_in_s),
        )

    def _patience_s(self, call: _Call) -> float:
        """Return how long a target may be silent before another one is asked."""
        remaining_s = call.job.remaining_s(now())
        if not call.may_try:
            return remaining_s + TIMEOUT_MARGIN_S
        shortest_s = call.job.route.objective_s * MIN_ATTEMPT_OBJECTIVES
        return min(remaining_s, max(shortest_s, remaining_s * ATTEMPT_TIME_RATIO))

    async def _send(
        self, job: Job, assignment: Assignment, is_repeated: bool
    ) -> Answer:
        head = assignment.head
        parameters = ForwardParameters(
            timeout_s=job.remaining_s(now()),
            target=head.target,
            organisation=job.organisation,
            priority=job.priority,
            chain=assignment.chain,
        )
        headers = self._codec.forward_headers(job.inbound.headers, parameters)
        connect_timeout_s = min(CONNECT_TIMEOUT_S, parameters.timeout_s)
        # A target may close a pooled connection just as the request is sent, which is
        # indistinguishable from a request that ran.
        is_new = (
            is_repeated or not job.route.may_repeat or not job.parameters.request_id
        )
        try:
            async with (
                self._pool.exchange(
                    head.address,
                    connect_timeout_s,
                    job.parameters.request_id,
                    is_new,
                ) as exchange,
                asyncio.timeout(job.remaining_s(now())),
            ):
                job.inbound.is_passed_on = True
                status = await exchange.send(
                    job.inbound.method,
                    job.inbound.target,
                    job.inbound.body,
                    headers,
                    is_expected=answer_filter(
                        self._codec,
                        self._log,
                        job.parameters.request_id,
                        head.target,
                        exchange,
                    ),
                )
                response = await exchange.finish()
        except TimeoutError:
            raise ExchangeBroken("no answer in time") from None
        self._log.record(
            "attempt.ended",
            request=job.parameters.request_id,
            target=head.target,
            status=status,
            delimiter=exchange.delimiter.value,
            is_kept=exchange.n_requests > 1,
            n_bytes=len(response.body),
        )
        answer = self._codec.read_answer(status, response.headers)
        self._notices.record(head, answer.notice, now())
        if not answer.is_signed and not answer.is_not_run and status < 400:
            raise ExchangeBroken(f"answer {status} without a signature")
        if status < 500:
            objective_s = job.route.objective_s
            self._dispatcher.record_first_answer(assignment, objective_s, now())
        if status < 400 and exchange.delimiter is not Delimiter.CLOSE:
            self._quarantine.record_progress(job, unix_time_s())
        return Answer(response, answer)

    def _record_silence(
        self, job: Job, assignment: Assignment, is_elsewhere: bool
    ) -> None:
        self._dispatcher.record_unreachable(assignment.head, now())
        self._log.record(
            "attempt.silent",
            request=job.parameters.request_id,
            fingerprint=job.fingerprint,
            target=assignment.head.target,
            is_elsewhere=is_elsewhere,
            remaining_ms=round(job.remaining_s(now()) * 1000),
        )

    def _record_unreachable(
        self, job: Job, assignment: Assignment, reason: str, is_sent: bool
    ) -> None:
        self._dispatcher.record_unreachable(assignment.head, now())
        self._record_broken(job, assignment, reason, is_sent)

    def _record_broken(
        self, job: Job, assignment: Assignment, reason: str, is_sent: bool
    ) -> None:
        self._log.record(
            "attempt.broken",
            request=job.parameters.request_id,
            fingerprint=job.fingerprint,
            target=assignment.head.target,
            reason=reason,
            is_sent=is_sent,
        )

    def _record_failure(self, job: Job, assignment: Assignment, answer: Answer) -> None:
        is_suspect = self._health.record_failure(assignment.head.target, now())
        self._log.record(
            "attempt.failed",
            request=job.parameters.request_id,
            fingerprint=job.fingerprint,
            target=assignment.head.target,
            status=answer.parameters.status,
            is_not_run=answer.parameters.is_not_run,
            is_suspect=is_suspect,
        )
