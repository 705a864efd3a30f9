"""Generation of the tokens of one request, over several attempts if necessary."""

import asyncio

import msgspec

from cassiaspread_core.base import Outcome, Refusal
from cassiaspread_core.load import InterTokenMeter
from cassiaspread_core.pipeline import (
    AttemptBudget,
    Stage,
    TokenSequence,
    TokenStep,
    Verdict,
    choose_restore,
    next_attempt,
)
from cassiaspread_core.policy import Limits
from cassiaspread_daemon.adapters import GenerateOrder, ResumeOrder
from cassiaspread_daemon.load import RequestWatch
from cassiaspread_daemon.relay._attempt import (
    Attempt,
    AttemptEnd,
    Deliver,
    EndKind,
)
from cassiaspread_daemon.relay._diagnosis import Diagnosis, diagnose
from cassiaspread_daemon.relay._planner import PlannedChain
from cassiaspread_daemon.relay._replanner import Replanner
from cassiaspread_daemon.relay._request import GenerationRequest
from cassiaspread_daemon.relay._services import RelayServices

NO_ENGINE_RETRY_S = 1.0
MILLISECONDS_PER_SECOND = 1000


class AttemptSpec(msgspec.Struct, frozen=True):
    """Chain and order of an attempt.

    :param chain: plan and data of its engines.
    :param order: order sent to the head of the plan.
    """

    chain: PlannedChain
    order: GenerateOrder | ResumeOrder


class Generation:
    """Runs one request.

    :param request: request to run.
    :param limits: limits in force for it.
    :param services: components shared by all requests of the daemon.
    :param watch: restricts the targets of the request if it crashes them.
    :param deliver: called with each batch of the caller's tokens, in order and each
        token once; the last step carries the finish reason.
    """

    def __init__(
        self,
        request: GenerationRequest,
        limits: Limits,
        services: RelayServices,
        watch: RequestWatch,
        deliver: Deliver,
    ) -> None:
        self._watch = watch
        self._request = request
        self._limits = limits
        self._services = services
        self._deliver = deliver
        self._sequence = TokenSequence(attempt=0, max_tokens=request.max_tokens)
        self._budget = AttemptBudget(limits.n_attempts)
        self._texts: list[str] = []
        self._highest_attempt = 0
        self._may_have_run = request.start > 0
        self._replanner = Replanner(
            request, limits, services.planner, services.targets, watch
        )
        self._attempt: Attempt | None = None
        self._token_meter = InterTokenMeter()

    async def run(self) -> None:
        """Deliver the complete answer.

        If it ends early for any reason, the engines are sent a cancel order.

        :raises Refusal: the answer can't be completed.
        """
        try:
            async with asyncio.timeout_at(self._request.deadline_s):
                with self._watch:
                    await self._run_attempts()
        except TimeoutError:
            raise self._refusal(504, "deadline", "The deadline passed.") from None
        finally:
            if self._sequence.finish_reason is None:
                self._cancel()

    async def _run_attempts(self) -> None:
        spec = await self._first_attempt()
        while True:
            attempt = Attempt(
                self._services.engines,
                spec.chain,
                self._sequence,
                self._limits,
                self._accept_steps,
            )
            self._attempt = attempt
            self._token_meter = InterTokenMeter()
            engines = [stage.engine for stage in spec.chain.plan]
            with (
                attempt,
                self._services.targets.in_flight(engines),
                self._services.costs.count_sequence(engines),
            ):
                diagnosis = await self._run_attempt(attempt, spec.order)
            self._services.costs.update_link_costs(engines, self._token_meter.min_ms)
            if diagnosis is None:
                self._watch.clear()
                return
            spec = await self._recover(attempt.chain, diagnosis)

    async def _run_attempt(
        self, attempt: Attempt, order: GenerateOrder | ResumeOrder
    ) -> Diagnosis | None:
        self._sequence.start_attempt(order.attempt)
        self._services.locator.record_head(
            self._request.request, attempt.chain.plan[0].address
        )
        self._record(
            "stream.started",
            way="resume" if isinstance(order, ResumeOrder) else "generate",
            engines=",".join(stage.engine for stage in attempt.chain.plan),
        )
        attempt.start(order)
        try:
            return await self._wait(attempt)
        finally:
            self._may_have_run |= attempt.may_have_run

    async def _wait(self, attempt: Attempt) -> Diagnosis | None:
        while True:
            end = await attempt.wait()
            if end.kind is EndKind.FINISHED:
                return None
            if end.kind in (EndKind.STALE, EndKind.SUPERSEDED):
                return Diagnosis(end=end, verdict=Verdict.SUPERSEDED)
            diagnosis = await diagnose(
                self._services.engines,
                self._request.request,
                attempt.chain.plan,
                self._sequence,
                end,
                self._limits.probe_timeout_ms / MILLISECONDS_PER_SECOND,
            )
            self._record_end(diagnosis)
            if diagnosis.verdict is not Verdict.SLOW:
                return diagnosis
            attempt.record_slow()

    async def _first_attempt(self) -> AttemptSpec:
        if self._request.start:
            return await self._take_over()
        chain = await self._replanner.choose([])
        if chain is None:
            raise self._no_engines_refusal()
        return self._generate(chain, [])

    async def _take_over(self) -> AttemptSpec:
        located = await self._services.locator.find(self._request)
        if located is None:
            raise self._stream_lost_refusal()
        if located.state.fingerprint != self._request.fingerprint():
            raise Refusal(
                422,
                "key-reused",
                "The idempotency key was used for another request.",
                Outcome.UNKNOWN,
            )
        self._highest_attempt = located.state.attempt
        plan = located.state.plan
        return self._resume(self._services.planner.describe(self._request, plan))

    async def _recover(self, chain: PlannedChain, diagnosis: Diagnosis) -> AttemptSpec:
        if diagnosis.verdict is Verdict.SUPERSEDED:
            self._check_not_superseded(diagnosis.end)
        await self._record_failure(chain, diagnosis)
        if diagnosis.verdict is Verdict.PATH_DEAD:
            return self._resume(chain)
        if self._sequence.position < self._request.start:
            raise self._stream_lost_refusal()
        self._check_retry_budget()
        holders = diagnosis.find_holders(chain.plan, self._sequence.position)
        if diagnosis.is_cache_missing:
            holders = []
        replanned = await self._replanner.replace(holders)
        if replanned is None:
            raise self._no_engines_refusal()
        if replanned.plan[0] != chain.plan[0]:
            self._cancel_at(chain)
        return self._generate(replanned, holders)

    async def _record_failure(self, chain: PlannedChain, diagnosis: Diagnosis) -> None:
        position = self._sequence.position
        is_repeated = self._budget.has_failed_since_token(position)
        await self._replanner.record_failure(
            chain, diagnosis, position, is_repeated=is_repeated
        )
        if not self._budget.fail(position):
            raise self._refusal(
                502,
                "engines-failed",
                f"{self._limits.n_attempts} attempts brought nothing, the last "
                f"failed with: {diagnosis.end.reason}.",
            )

    def _generate(self, chain: PlannedChain, holders: list[Stage]) -> AttemptSpec:
        restore = choose_restore(chain.plan, holders)
        self._record(
            "stream.planned",
            engines=",".join(stage.engine for stage in chain.plan),
            restore=",".join(stage.mode.value for stage in restore),
        )
        order = GenerateOrder(
            request=self._request.request,
            attempt=self._next_attempt(),
            model=self._request.model,
            prompt=self._request.prompt,
            prefix=tuple(self._texts),
            start=self._sequence.position,
            max_tokens=self._request.max_tokens,
            priority=self._limits.priority,
            plan=chain.plan,
            restore=restore,
            fingerprint=self._request.fingerprint(),
        )
        return AttemptSpec(chain, order)

    def _resume(self, chain: PlannedChain) -> AttemptSpec:
        order = ResumeOrder(
            request=self._request.request,
            attempt=self._next_attempt(),
            start=self._sequence.position,
        )
        return AttemptSpec(chain, order)

    def _next_attempt(self) -> int:
        highest = max(self._highest_attempt, self._sequence.attempt)
        return next_attempt(highest, self._services.owner)

    def _accept_steps(self, steps: list[TokenStep]) -> None:
        self._watch.record_position(self._sequence.position)
        loop = asyncio.get_running_loop()
        self._token_meter.record(self._sequence.position, loop.time())
        for step in steps:
            if step.finish_reason is None:
                self._texts.append(step.text)
        start = self._request.start
        if start and steps[0].position < start:
            steps = [
                step for step in steps if step.position >= start or step.finish_reason
            ]
        if steps:
            self._deliver(steps)

    def _check_not_superseded(self, end: AttemptEnd) -> None:
        """Refuse the request if another daemon has taken it over.

        A higher attempt reported before the first token is exceeded by the next
        attempt instead.
        """
        if end.kind is EndKind.STALE and not self._sequence.position:
            self._highest_attempt = max(self._highest_attempt, end.highest_attempt)
            return
        raise self._refusal(
            409, "superseded", "The request was repeated at another daemon."
        )

    def _check_retry_budget(self) -> None:
        if not self._services.admission.take_retry(self._request.model):
            raise self._refusal(
                503,
                "retries-exhausted",
                "Too many requests are being retried.",
                retry_after_s=NO_ENGINE_RETRY_S,
            )

    def _cancel(self) -> None:
        if self._attempt is None or not self._may_have_run:
            return
        self._record("stream.cancelled")
        self._cancel_at(self._attempt.chain)

    def _cancel_at(self, chain: PlannedChain) -> None:
        self._services.canceller.cancel(
            chain.plan[0].address,
            self._request.request,
            self._sequence.attempt,
        )

    def _record(self, kind: str, **fields: str | int) -> None:
        self._services.events.record(
            kind,
            self._request.request,
            attempt=self._sequence.attempt,
            position=self._sequence.position,
            **fields,
        )

    def _record_end(self, diagnosis: Diagnosis) -> None:
        self._record(
            "stream.interrupted",
            end=diagnosis.end.kind.value,
            reason=diagnosis.end.reason,
            verdict=diagnosis.verdict.value,
            unanswered=",".join(diagnosis.unanswered),
        )

    def _refusal(
        self,
        status: int,
        code: str,
        detail: str,
        retry_after_s: float | None = None,
    ) -> Refusal:
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return Refusal(status, code, detail, outcome, retry_after_s)

    def _no_engines_refusal(self) -> Refusal:
        return self._refusal(
            503,
            "no-engines",
            f"No engines cover all layers of model {self._request.model!r}.",
            retry_after_s=NO_ENGINE_RETRY_S,
        )

    def _stream_lost_refusal(self) -> Refusal:
        return self._refusal(
            409,
            "stream-lost",
            "The stream can't be continued: no engine keeps its former tokens.",
        )
