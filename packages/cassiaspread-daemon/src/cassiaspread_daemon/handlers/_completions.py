"""Completions in the form that OpenAI's interface has made usual."""

import time
from typing import Annotated, Any

import msgspec
import uuid6
import xxhash
from cassiaspread_core.base import ModelId, Refusal, RequestId
from cassiaspread_core.pipeline import TokenStep
from cassiaspread_core.quarantine import fingerprint_of

from cassiaspread_daemon.handlers._base import CallerHandler, to_problem
from cassiaspread_daemon.load import Watch
from cassiaspread_daemon.relay import Generation, GenerationRequest

DEFAULT_MAX_TOKENS = 16
STREAM_END = b"data: [DONE]\n\n"


class CompletionBody(msgspec.Struct):
    """Body of a completion request; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """Body of a chat completion request; unknown fields are ignored."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False


class GenerationHandler(CallerHandler):
    """Base of both kinds of completion."""

    kind = "completion"
    object_name = ""
    body_type: type[CompletionBody] | type[ChatBody]

    async def post(self) -> None:
        """Answer whole or as a stream of events."""
        await self.handle()

    async def answer(self) -> None:
        """Answer whole or as a stream of events."""
        body = self._check_body()
        request = self._check_request(body)
        watch = self._watch(request)
        watch.check()
        generation = Generation(
            request,
            self.limits,
            self.node.engines,
            self.node.targets,
            self.node.settings.domain,
            self.node.events,
            watch,
        )
        self.model = body.model
        if body.stream:
            await self._answer_stream(generation)
        else:
            await self._answer_whole(generation)

    def prompt_of(self, body: Any) -> str:
        """Return the text that the engines get.

        :param body: the checked body.
        """
        raise NotImplementedError

    def whole_choice(self, text: str, finish_reason: str) -> dict:
        """Return the choice of a whole answer.

        :param text: the answer's text.
        :param finish_reason: why it ended.
        """
        raise NotImplementedError

    def stream_choice(self, step: TokenStep) -> dict:
        """Return the choice of one event.

        :param step: the token or the end.
        """
        raise NotImplementedError

    def _check_body(self) -> Any:
        try:
            return msgspec.json.decode(bytes(self.body), type=self.body_type)
        except msgspec.ValidationError as error:
            raise Refusal(400, "bad-body", f"{error}.") from None
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise Refusal(400, "bad-json", f"The body is no JSON: {error}.") from None

    def _check_request(self, body: Any) -> GenerationRequest:
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
            request=self._request_id(),
            organisation=self.organisation,
            model=ModelId(body.model),
            n_layers=model.n_layers,
            prompt=self.prompt_of(body),
            max_tokens=body.max_tokens,
            start=self._check_start(),
            deadline_s=self.deadline_s,
        )

    def _watch(self, request: GenerationRequest) -> Watch:
        fingerprint = fingerprint_of(
            request.organisation, request.model, request.prompt.encode()
        )
        return self.node.quarantine.watch(
            fingerprint, request.organisation, request.model, request.request
        )

    def _request_id(self) -> RequestId:
        key = self.idempotency_key()
        if key is None:
            return RequestId(str(uuid6.uuid7()))
        return RequestId(
            xxhash.xxh3_128_hexdigest(f"{self.organisation}\n{key}".encode())
        )

    def _check_start(self) -> int:
        text = self.request.headers.get("Last-Event-ID")
        if text is None:
            return 0
        if not text.isdigit():
            raise Refusal(400, "bad-event-id", "Last-Event-ID takes a position.")
        return int(text) + 1

    async def _answer_whole(self, generation: Generation) -> None:
        texts: list[str] = []
        finish_reason = ""
        async for step in generation.steps():
            self._note_step(step)
            texts.append(step.text)
            finish_reason = step.finish_reason or ""
        choice = self.whole_choice("".join(texts), finish_reason)
        n_tokens = len(texts) - 1
        self.set_header("Content-Type", "application/json")
        answer = {
            **self._envelope(choice),
            "usage": {"completion_tokens": n_tokens},
        }
        self.finish(msgspec.json.encode(answer))

    async def _answer_stream(self, generation: Generation) -> None:
        try:
            async for step in generation.steps():
                self._note_step(step)
                self._write_step(step)
        except Refusal as refusal:
            if not self._headers_written:
                raise
            self.write(
                b"event: error\ndata: "
                + msgspec.json.encode(to_problem(refusal))
                + b"\n\n"
            )
        else:
            self.write(STREAM_END)
        await self.finish()

    def _write_step(self, step: TokenStep) -> None:
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
        payload = msgspec.json.encode(self._envelope(self.stream_choice(step)))
        self.write(b"id: %d\ndata: %b\n\n" % (step.position, payload))
        self.flush()

    def _note_step(self, step: TokenStep) -> None:
        if step.finish_reason is None:
            self.node.metrics.count_tokens(1)
        if not hasattr(self, "first_step_s"):
            self.first_step_s = time.monotonic()
            self.node.metrics.record_first_token(self.first_step_s - self.received_s)

    def _envelope(self, choice: dict) -> dict:
        return {
            "object": self.object_name,
            "model": self.model,
            "choices": [{"index": 0, **choice}],
        }


class CompletionsHandler(GenerationHandler):
    """``POST /v1/completions``."""

    object_name = "text_completion"
    body_type = CompletionBody

    def prompt_of(self, body: CompletionBody) -> str:
        """Return the prompt as it came."""
        return body.prompt

    def whole_choice(self, text: str, finish_reason: str) -> dict:
        """Return the text."""
        return {"text": text, "finish_reason": finish_reason}

    def stream_choice(self, step: TokenStep) -> dict:
        """Return the token's text."""
        return {"text": step.text, "finish_reason": step.finish_reason}


class ChatCompletionsHandler(GenerationHandler):
    """``POST /v1/chat/completions``."""

    object_name = "chat.completion"
    body_type = ChatBody

    def prompt_of(self, body: ChatBody) -> str:
        """Join the messages, each behind its role."""
        return "\n".join(f"{m.role}: {m.content}" for m in body.messages)

    def whole_choice(self, text: str, finish_reason: str) -> dict:
        """Return the text as the assistant's message."""
        return {
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish_reason,
        }

    def stream_choice(self, step: TokenStep) -> dict:
        """Return the token's text as a difference."""
        return {"delta": {"content": step.text}, "finish_reason": step.finish_reason}
