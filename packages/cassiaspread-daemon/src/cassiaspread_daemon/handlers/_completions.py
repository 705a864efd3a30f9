"""Completions in the format of the OpenAI API."""

import asyncio
import sys
import time
from collections.abc import Callable

from cassiaspread_core.base import ModelId, Outcome, Refusal
from cassiaspread_core.pipeline import TokenStep
from cassiaspread_core.quarantine import fingerprint_of
from cassiaspread_daemon._body_reader import COPIES
from cassiaspread_daemon.handlers._base import CallerHandler
from cassiaspread_daemon.handlers._completion_body import (
    AnyBody,
    ChatBody,
    CompletionBody,
    decode_body,
    parse_event_id,
)
from cassiaspread_daemon.handlers._completion_format import (
    STREAM_END,
    ChoiceBuilder,
    build_delta_choice,
    build_event_formatter,
    build_message_choice,
    build_text_choice,
    format_answer,
    format_error,
)
from cassiaspread_daemon.load import RequestWatch
from cassiaspread_daemon.relay import Generation, GenerationRequest

Deliver = Callable[[list[TokenStep]], None]


class GenerationHandler(CallerHandler):
    """Base of the handlers of text and chat completions."""

    kind = "completion"
    body_type: type[AnyBody]
    answer_name: str
    event_name: str
    build_answer_choice: ChoiceBuilder
    build_event_choice: ChoiceBuilder

    _running: asyncio.Future[None] | None = None
    _has_first_step = False
    _is_stream = False

    async def post(self) -> None:
        """Answer with one JSON object or a stream of events."""
        await self.handle()

    async def answer(self) -> None:
        """Answer with one JSON object or a stream of events."""
        body = decode_body(self.body, self.body_type)
        self.body = b""
        self._is_stream = body.stream
        self._check_end(time.monotonic())
        request = self._build_request(body)
        # Characters of a prompt may take more bytes than in the body.
        await self.hold(COPIES * sys.getsizeof(request.prompt))
        self.watch = self._create_watch(request)
        self.watch.check_not_quarantined()
        self.node.events.record(
            "answer.began", request.request, model=body.model, start=request.start
        )
        outcome = "failed"
        try:
            if body.stream:
                await self._answer_stream(request)
            else:
                await self._answer_complete(request)
            outcome = "ended"
        finally:
            self.node.events.record("answer.ended", request.request, outcome=outcome)

    def on_connection_close(self) -> None:
        """Cancel the generation when the caller closes the connection."""
        super().on_connection_close()
        if self._running is not None:
            self._running.cancel()

    def _build_request(self, body: AnyBody) -> GenerationRequest:
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
            start=self._parse_start(body),
            deadline_s=self.deadline_s,
        )

    def _create_watch(self, request: GenerationRequest) -> RequestWatch:
        fingerprint = fingerprint_of(
            request.organisation, request.model, request.prompt.encode()
        )
        return self.node.quarantine.watch(
            fingerprint, request.organisation, request.model, request.request
        )

    def _parse_start(self, body: AnyBody) -> int:
        key = self.idempotency_key()
        start = parse_event_id(self.request.headers.get("Last-Event-ID"))
        if start and (not body.stream or key is None):
            raise Refusal(
                400,
                "bad-event-id",
                "Last-Event-ID needs a stream and the request's Idempotency-Key.",
            )
        return start

    async def _answer_complete(self, request: GenerationRequest) -> None:
        steps: list[TokenStep] = []
        await self._generate(request, steps.extend)
        self.set_header("Content-Type", "application/json")
        answer = format_answer(
            self.answer_name, request.model, self.build_answer_choice, steps
        )
        self.finish(answer)

    def _check_end(self, now_s: float) -> None:
        if self._is_stream:
            self.node.check_stream_end(self.run_kind, self.deadline_s, now_s)
        else:
            self.node.check_end(self.run_kind, now_s)

    async def _answer_stream(self, request: GenerationRequest) -> None:
        format_event = build_event_formatter(
            self.event_name, request.model, self.build_event_choice
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
        async with self.node.admission.acquire_slot(
            request.model,
            request.organisation,
            request.request,
            request.max_tokens,
            request.deadline_s,
            is_resumed=request.start > 0,
            check=self._check_end,
        ) as slot:

            def accept_steps(steps: list[TokenStep]) -> None:
                is_complete = self._record_steps(steps)
                slot.record_tokens(len(steps) - is_complete, is_complete)
                deliver(steps)

            limits = slot.with_engine_priority(self.limits)
            generation = Generation(
                request, limits, self.node.relay, self.watch, accept_steps
            )
            await generation.run()

    def _record_steps(self, steps: list[TokenStep]) -> bool:
        """Count tokens and return whether the answer is complete."""
        is_complete = steps[-1].finish_reason is not None
        self.node.metrics.count_tokens(len(steps) - is_complete)
        if not self._has_first_step:
            self._has_first_step = True
            waited_s = time.monotonic() - self.received_s
            self.node.metrics.record_first_token(waited_s)
        return is_complete


class CompletionsHandler(GenerationHandler):
    """``POST /v1/completions``."""

    body_type = CompletionBody
    answer_name = event_name = "text_completion"
    build_answer_choice = staticmethod(build_text_choice)
    build_event_choice = staticmethod(build_text_choice)


class ChatCompletionsHandler(GenerationHandler):
    """``POST /v1/chat/completions``."""

    body_type = ChatBody
    answer_name = "chat.completion"
    event_name = "chat.completion.chunk"
    build_answer_choice = staticmethod(build_message_choice)
    build_event_choice = staticmethod(build_delta_choice)
