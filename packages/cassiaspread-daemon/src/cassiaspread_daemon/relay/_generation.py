"""One request's tokens, over as many attempts as it takes."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
from cassiaspread_core.base import (
    DomainId,
    ModelId,
    OrganisationId,
    Outcome,
    Refusal,
    RequestId,
    TargetId,
)
from cassiaspread_core.pipeline import (
    EngineReport,
    Plan,
    TokenSequence,
    TokenStep,
    check_plan,
    choose_plan,
)
from cassiaspread_core.policy import Limits
from cassiaspread_core.timeline import EventRing

from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon.adapters import EngineClient, EngineRefused
from cassiaspread_daemon.adapters._engine import (
    EngineFailed,
    GenerateOrder,
    StreamEvent,
    to_step,
)
from cassiaspread_daemon.fleet import TargetRegistry
from cassiaspread_daemon.load import Watch

LOCAL_LINK_COST_MS = 0.1
REMOTE_LINK_COST_MS = 1.0
NO_ENGINE_RETRY_S = 1.0


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller asked for, checked.

    :param request: identity of the request.
    :param organisation: who asks.
    :param model: model to run.
    :param n_layers: layers of the model.
    :param prompt: text of the prompt.
    :param max_tokens: most tokens of the answer.
    :param start: position of the first token that the caller still lacks.
    :param deadline_s: end of its time, on the loop's clock.
    """

    request: RequestId
    organisation: OrganisationId
    model: ModelId
    n_layers: int
    prompt: str
    max_tokens: int
    start: int
    deadline_s: float


class Generation:
    """Runs one request.

    :param request: what to run.
    :param limits: limits in force for it.
    :param engines: client of the engines.
    :param targets: known targets.
    :param domain: failure domain of this daemon.
    :param events: the time line.
    :param watch: keeps the request off targets if it crashes them.
    """

    def __init__(
        self,
        request: GenerationRequest,
        limits: Limits,
        engines: EngineClient,
        targets: TargetRegistry,
        domain: DomainId,
        events: EventRing,
        watch: Watch,
    ) -> None:
        self._watch = watch
        self._request = request
        self._limits = limits
        self._engines = engines
        self._targets = targets
        self._domain = domain
        self._events = events
        self._sequence = TokenSequence(attempt=0, position=request.start)
        self._delivered: list[str] = []

    async def steps(self) -> AsyncIterator[TokenStep]:
        """Yield the caller's tokens in order, each once, and last the end.

        :raises Refusal: the answer can't be completed.
        """
        with self._watch:
            async for step in self._run_attempts():
                yield step

    async def _run_attempts(self) -> AsyncIterator[TokenStep]:
        failure = ""
        for attempt in range(1, self._limits.n_attempts + 1):
            plan = await self._watch.choose(self._choose_plan, self._request.deadline_s)
            if plan is None:
                raise self._refuse_without_plan()
            self._sequence.start_attempt(attempt)
            self._events.record(
                "stream.planned",
                self._request.request,
                attempt=attempt,
                engines=",".join(stage.engine for stage in plan),
            )
            try:
                with self._targets.in_flight([stage.engine for stage in plan]):
                    async for step in self._run_attempt(plan, attempt):
                        self._watch.progress(step.position)
                        yield step
                self._watch.complete()
                return
            except (ConnectFailed, EngineRefused) as error:
                failure = str(error)
                self._targets.forget(plan[0].engine)
            except ExchangeBroken as error:
                failure = str(error)
                await self._judge(plan, plan[0].engine)
            except EngineFailed as error:
                failure = str(error)
                await self._judge(plan, error.engine)
            self._events.record(
                "stream.failed", self._request.request, attempt=attempt, error=failure
            )
        raise Refusal(
            502,
            "engines-failed",
            f"{self._limits.n_attempts} attempts failed, the last with: {failure}",
            Outcome.UNKNOWN,
        )

    async def _judge(self, plan: Plan, engine: TargetId) -> None:
        self._targets.forget(engine)
        for stage in plan:
            if stage.engine == engine:
                await self._watch.judge(
                    engine,
                    stage.address,
                    self._incarnations.get(engine, ""),
                    self._sequence.position,
                )

    async def _run_attempt(self, plan: Plan, attempt: int) -> AsyncIterator[TokenStep]:
        queue: asyncio.Queue[StreamEvent | None] = asyncio.Queue()
        order = GenerateOrder(
            request=self._request.request,
            attempt=attempt,
            model=self._request.model,
            prompt=self._request.prompt,
            prefix=tuple(self._delivered),
            start=self._sequence.position,
            max_tokens=self._request.max_tokens,
            priority=self._limits.priority,
            plan=plan,
        )
        with await self._engines.open_stream(
            plan[0], order, queue.put_nowait
        ) as stream:
            finishing = asyncio.ensure_future(stream.finish())
            finishing.add_done_callback(lambda _: queue.put_nowait(None))
            while self._sequence.finish_reason is None:
                event = await self._next_event(queue)
                if event is None:
                    raise ExchangeBroken("the stream ended before its last token")
                if event.error is not None:
                    raise EngineFailed(event.error, event.engine or plan[0].engine)
                step = to_step(event)
                if self._sequence.accept(step):
                    self._delivered.append(step.text)
                    yield step

    async def _next_event(
        self, queue: "asyncio.Queue[StreamEvent | None]"
    ) -> StreamEvent | None:
        try:
            async with asyncio.timeout_at(self._request.deadline_s):
                return await queue.get()
        except TimeoutError:
            raise Refusal(
                504, "deadline", "The deadline passed.", Outcome.UNKNOWN
            ) from None

    def _choose_plan(self, avoid: frozenset[TargetId]) -> Plan | None:
        engines = self._targets.engines(self._request.model)
        self._incarnations = {e.target: e.incarnation for e in engines}
        plan = choose_plan(
            [engine for engine in engines if engine.target not in avoid],
            self._request.n_layers,
            self._stage_cost,
            self._link_cost,
        )
        if plan is not None:
            check_plan(plan, self._request.n_layers)
        return plan

    def _stage_cost(self, engine: EngineReport) -> float:
        n_ahead = self._targets.n_in_flight(TargetId(engine.target))
        return engine.step_ms * (1 + n_ahead / engine.n_slots)

    def _link_cost(self, before: EngineReport, after: EngineReport) -> float:
        if before.domain == after.domain:
            return LOCAL_LINK_COST_MS
        return REMOTE_LINK_COST_MS

    def _refuse_without_plan(self) -> Refusal:
        outcome = Outcome.UNKNOWN if self._sequence.attempt else Outcome.NOT_RUN
        return Refusal(
            503,
            "no-engines",
            f"No engines cover all layers of model {self._request.model!r}.",
            outcome,
            retry_after_s=NO_ENGINE_RETRY_S,
        )
