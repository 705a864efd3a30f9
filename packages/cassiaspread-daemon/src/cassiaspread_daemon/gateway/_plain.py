"""Forwarding to services without a model: an answer is sent on once it is complete."""

import asyncio

import msgspec

from cassiaspread_core.base import Refusal, TargetId
from cassiaspread_core.targets import TargetHealth
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken, Response
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
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

# A target in the same region accepts a connection within a few milliseconds.
CONNECT_TIMEOUT_S = 0.25
# It is unknown when a target has capacity again; this is about the duration of a short
# request.
RETRY_AFTER_S = 0.1
# Maximum number of targets tried for one request. A target that refuses a request has
# not run it, so a refusal does not count as an attempt.
MAX_TARGETS_TRIED = 3
# An attempt of a repeatable request times out after this fraction of the remaining
# time, but no earlier than this many latency objectives; the next attempt goes to
# another target.
ATTEMPT_TIME_RATIO = 0.35
MIN_ATTEMPT_OBJECTIVES = 2.0


class Answer(msgspec.Struct, frozen=True):
    """Answer of a target.

    :param response: the complete response.
    :param parameters: decoded status and headers.
    """

    response: Response
    parameters: AnswerParameters


class PlainForwarder:
    """Sends requests to plain services.

    :param codec: encodes and decodes headers of requests and answers.
    :param pool: connections to targets.
    :param dispatcher: selects targets.
    :param health: health of the targets.
    :param quarantine: refuses requests that crash their targets.
    :param log: receives a line for each decision.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        pool: ConnectionPool,
        dispatcher: Dispatcher,
        health: TargetHealth,
        quarantine: Quarantine,
        log: DecisionLog,
    ) -> None:
        self._codec = codec
        self._pool = pool
        self._dispatcher = dispatcher
        self._health = health
        self._quarantine = quarantine
        self._log = log

    async def forward(self, job: Job, take_retry: TakeRetry) -> None:
        """Send a request and answer its caller.

        :param job: the request.
        :param take_retry: takes one retry from the budget of this daemon.
        :raises Refusal: no target answered the request.
        """
        answer = await self._run(job, take_retry)
        headers = self._codec.answer_headers(answer.response.headers)
        job.inbound.answer(answer.response.status, headers, answer.response.body)

    async def _run(self, job: Job, take_retry: TakeRetry) -> Answer:
        tried: list[TargetId] = []
        n_runs = 0
        failed: Answer | None = None
        error: ExchangeBroken | None = None
        while len(tried) < MAX_TARGETS_TRIED and n_runs < job.route.max_attempts:
            if job.remaining_s(now()) <= 0:
                break
            if tried and not take_retry():
                break
            self._quarantine.check(job, n_runs > 0, unix_time_s())
            run = self._quarantine.begin_run(job)
            assignment = self._dispatcher.assign(
                job.service, job.demand, now(), avoid=tried
            )
            if assignment is None:
                break
            tried.append(assignment.head.target)
            try:
                is_last = n_runs + 1 >= job.route.max_attempts
                answer = await self._send(job, assignment, is_last)
            except ConnectFailed as failure:
                self._record_unreachable(job, assignment, str(failure), is_sent=False)
                continue
            except ExchangeBroken as failure:
                self._record_unreachable(job, assignment, str(failure), is_sent=True)
                error = failure
                n_runs += 1
                await self._quarantine.record_interruption(job, (assignment.head,), run)
                if not job.route.may_repeat:
                    break
                continue
            if answer.parameters.is_not_run:
                self._record_failure(job, assignment, answer)
                continue
            n_runs += 1
            self._quarantine.record_answer(job, unix_time_s())
            if answer.parameters.status < 500:
                self._dispatcher.record_success(assignment, now())
                return answer
            self._record_failure(job, assignment, answer)
            failed = answer
            if not job.route.may_repeat:
                break
        if failed is not None and failed.parameters.is_signed:
            return failed
        raise self._refusal(job, error, n_runs)

    def _refusal(self, job: Job, error: ExchangeBroken | None, n_runs: int) -> Refusal:
        if job.remaining_s(now()) <= 0:
            return timeout_refusal(is_sent=n_runs > 0)
        if n_runs:
            return target_failed_refusal(str(error or "the target failed"))
        return Refusal(
            503, "no-capacity", "No target took it.", retry_after_s=RETRY_AFTER_S
        )

    def _attempt_timeout_s(self, job: Job, is_last: bool) -> float:
        remaining_s = job.remaining_s(now())
        if is_last or not job.route.may_repeat:
            return remaining_s
        shortest_s = job.route.objective_s * MIN_ATTEMPT_OBJECTIVES
        return min(remaining_s, max(shortest_s, remaining_s * ATTEMPT_TIME_RATIO))

    async def _send(self, job: Job, assignment: Assignment, is_last: bool) -> Answer:
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
        is_new = not job.route.may_repeat
        try:
            async with (
                self._pool.exchange(
                    head.address, connect_timeout_s, is_new
                ) as exchange,
                asyncio.timeout(self._attempt_timeout_s(job, is_last)),
            ):
                status = await exchange.send(
                    job.inbound.method,
                    job.inbound.target,
                    job.inbound.body,
                    headers,
                    is_expected=lambda h: self._codec.is_answer_to(
                        h, job.parameters.request_id
                    ),
                )
                response = await exchange.finish()
        except TimeoutError:
            raise ExchangeBroken("no answer in time") from None
        finally:
            self._dispatcher.release(assignment)
        self._log.record(
            "attempt.ended",
            request=job.parameters.request_id,
            target=head.target,
            status=status,
            delimiter=exchange.delimiter.value,
            n_bytes=len(response.body),
        )
        answer = self._codec.read_answer(status, response.headers)
        if not answer.is_signed and not answer.is_not_run and status < 400:
            raise ExchangeBroken(f"answer {status} without a signature")
        return Answer(response, answer)

    def _record_unreachable(
        self, job: Job, assignment: Assignment, reason: str, is_sent: bool
    ) -> None:
        self._dispatcher.record_unreachable(assignment.head, now())
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
