"""Completions in the form that OpenAI's interface has made usual."""

import asyncio
import time
from collections.abc import Callable

from cassiaspread_core.base import ModelId, Outcome, Refusal
from cassiaspread_core.pipeline import TokenStep
from cassiaspread_core.quarantine import fingerprint_of
from cassiaspread_daemon.handlers._base import CallerHandler
from cassiaspread_daemon.handlers._completion_body import (
    AnyBody,
    ChatBody,
    CompletionBody,
    check_body,
    check_event_id,
)
from cassiaspread_daemon.handlers._completion_format import (
    STREAM_END,
    ToChoice,
    build_event_formatter,
    format_answer,
    format_error,
    to_delta_choice,
    to_message_choice,
    to_text_choice,
)
from cassiaspread_daemon.load import Watch
from cassiaspread_daemon.relay import Generation, GenerationRequest

Deliver = Callable[[list[TokenStep]], None]


class GenerationHandler(CallerHandler):
    """Base of both kinds of completion."""

    kind = "completion"
    body_type: type[AnyBody]
    answer_name: str
    event_name: str
    to_answer_choice: ToChoice
    to_event_choice: ToChoice

    _running: asyncio.Future[None] | None = None
    _has_first_step = False

    async def post(self) -> None:
        """Answer whole or as a stream of events."""
        await self.handle()

    async def answer(self) -> None:
        """Answer whole or as a stream of events."""
        body = check_body(bytes(self.body), self.body_type)
        request = self._check_request(body)
        self.watch = self._watch(request)
        self.watch.check()
        self.node.events.record(
            "answer.began", request.request, model=body.model, start=request.start
        )
        outcome = "failed"
        try:
            if body.stream:
                await self._answer_stream(request)
            else:
                await self._answer_whole(request)
            outcome = "ended"
        finally:
            self.node.events.record("answer.ended", request.request, outcome=outcome)

    def on_connection_close(self) -> None:
        """Stop generating for a caller who is gone."""
        super().on_connection_close()
        if self._running is not None:
            self._running.cancel()

    def _check_request(self, body: AnyBody) -> GenerationRequest:
        model = self.node.policy.models.get(ModelId(body.model))
        if model is None:
            raise Refusal(
                404, "unknown-model", f"No model {body.model!r} is configured."
            )
        self.limits = self.find_limits(model=ModelId(body.model))
        if body.max_tokens > self.limits.max_tokens:
            raise Refusal(
                400, "too-many-tokens", f"At most {self.limits.max_tokens} tokens."
            )
        return GenerationRequest(
            request=self.request_id,
            organisation=self.organisation,
            model=ModelId(body.model),
            n_layers=model.n_layers,
            prompt=body.to_prompt(),
            max_tokens=body.max_tokens,
            start=self._check_start(body),
            deadline_s=self.deadline_s,
        )

    def _watch(self, request: GenerationRequest) -> Watch:
        fingerprint = fingerprint_of(
            request.organisation, request.model, request.prompt.encode()
        )
        return self.node.quarantine.watch(
            fingerprint, request.organisation, request.model, request.request
        )

    def _check_start(self, body: AnyBody) -> int:
        key = self.idempotency_key()
        start = check_event_id(self.request.headers.get("Last-Event-ID"))
        if start and (not body.stream or key is None):
            raise Refusal(
                400,
                "bad-event-id",
                "Last-Event-ID needs a stream and the request's Idempotency-Key.",
            )
        return start

    async def _answer_whole(self, request: GenerationRequest) -> None:
        steps: list[TokenStep] = []
        await self._generate(request, steps.extend)
        self.set_header("Content-Type", "application/json")
        answer = format_answer(
            self.answer_name, request.model, self.to_answer_choice, steps
        )
        self.finish(answer)

    async def _answer_stream(self, request: GenerationRequest) -> None:
        format_event = build_event_formatter(
            self.event_name, request.model, self.to_event_choice
        )
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")

        def write_steps(steps: list[TokenStep]) -> None:
            self.write(b"".join([format_event(step) for step in steps]))
            self.flush()

        try:
            await self._generate(request, write_steps)
            end = STREAM_END
        except Refusal as refusal:
            if not self._headers_written:
                self.clear()
                raise
            end = format_error(refusal)
        await self.finish(end)

    async def _generate(self, request: GenerationRequest, deliver: Deliver) -> None:
        self._running = asyncio.ensure_future(self._run_admitted(request, deliver))
        try:
            await self._running
        except asyncio.CancelledError:
            raise Refusal(
                499, "caller-gone", "The caller left.", Outcome.UNKNOWN
            ) from None

    async def _run_admitted(self, request: GenerationRequest, deliver: Deliver) -> None:
        async with self.node.admission.enter(
            request.model,
            request.organisation,
            request.request,
            request.max_tokens,
            request.deadline_s,
            is_resumed=request.start > 0,
        ) as slot:

            def take(steps: list[TokenStep]) -> None:
                is_whole = self._note_steps(steps)
                slot.note(len(steps) - is_whole, is_whole)
                deliver(steps)

            limits = slot.set_priority(self.limits)
            generation = Generation(request, limits, self.node.relay, self.watch, take)
            await generation.run()

    def _note_steps(self, steps: list[TokenStep]) -> bool:
        """Count tokens; return whether they end the answer."""
        is_whole = steps[-1].finish_reason is not None
        self.node.metrics.count_tokens(len(steps) - is_whole)
        if not self._has_first_step:
            self._has_first_step = True
            waited_s = time.monotonic() - self.received_s
            self.node.metrics.record_first_token(waited_s)
        return is_whole


class CompletionsHandler(GenerationHandler):
    """``POST /v1/completions``."""

    body_type = CompletionBody
    answer_name = event_name = "text_completion"
    to_answer_choice = staticmethod(to_text_choice)
    to_event_choice = staticmethod(to_text_choice)


class ChatCompletionsHandler(GenerationHandler):
    """``POST /v1/chat/completions``."""

    body_type = ChatBody
    answer_name = "chat.completion"
    event_name = "chat.completion.chunk"
    to_answer_choice = staticmethod(to_message_choice)
    to_event_choice = staticmethod(to_delta_choice)
