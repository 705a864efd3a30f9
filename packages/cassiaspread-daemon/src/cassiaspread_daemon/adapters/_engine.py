"""Client of the engines."""

import re
from collections.abc import Callable
from contextlib import suppress
from typing import Annotated

import msgspec

from cassiaspread_core.base import (
    CassiaspreadError,
    MalformedDocument,
    ModelId,
    RequestId,
    TargetId,
    decode_json,
    decode_with,
)
from cassiaspread_core.pipeline import (
    EngineReport,
    Plan,
    Restore,
    StageState,
    TokenStep,
    check_report,
)
from cassiaspread_daemon._events import FIELD_LINE, EventBuffer
from cassiaspread_daemon._exchange import Exchange, ExchangeBroken, fetch

EVENT_PREFIX = b"data: "
EVENT_END = re.compile(rb"\n\r?\n")
CONFLICT_STATUS = 409
N_PREFIX_BYTES = len(EVENT_PREFIX)
# The attempt after the largest one still has 64 bits, which JSON libraries agree on.
MAX_NUMBER = 2**62 - 1
# Position of an event that names none: no token has it.
NO_POSITION = -1
# Bytes of a malformed event that an error shows.
MAX_SHOWN_BYTES = 100

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class GenerateOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order to the head of a plan to generate tokens.

    :param request: identity of the request.
    :param attempt: attempt number that the tokens carry.
    :param model: model to run.
    :param prompt: text of the prompt.
    :param prefix: text of the tokens already delivered.
    :param start: position of the first token to send.
    :param max_tokens: maximum number of tokens in the complete answer.
    :param priority: requests of a higher priority go first.
    :param plan: stages in order.
    :param restore: way in which each stage restores its KV cache.
    :param fingerprint: hash of the request's content.
    """

    request: RequestId
    attempt: int
    model: ModelId
    prompt: str
    prefix: tuple[str, ...]
    start: int
    max_tokens: int
    priority: int
    plan: Plan
    restore: Restore
    fingerprint: str


class ResumeOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order to the head of a running request to send its tokens from a position on.

    :param request: identity of the request.
    :param attempt: attempt number that the tokens carry from now on.
    :param start: position of the first token to send.
    """

    request: RequestId
    attempt: int
    start: int


class CancelOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order to an engine to cancel a request.

    :param request: identity of the request.
    :param attempt: highest attempt to cancel.
    """

    request: RequestId
    attempt: int


class StreamEvent(TokenStep, frozen=True, gc=False):
    """Event of an engine's token stream: a token, the end or an error.

    :param attempt: attempt that it belongs to; 0 if an error names none.
    :param position: zero-based index in the answer.
    :param error: code of the failure, if any.
    :param engine: engine at fault.
    """

    attempt: Number = 0
    position: Number = NO_POSITION
    error: str | None = None
    engine: TargetId | None = None


class _Conflict(msgspec.Struct, frozen=True):
    attempt: Number


class MalformedEvent(ExchangeBroken):
    """What an engine sends is no event of a token stream.

    :param event: its bytes.
    """

    def __init__(self, event: bytes) -> None:
        super().__init__(f"malformed event: {event[:MAX_SHOWN_BYTES]!r}")


class EngineStatusError(CassiaspreadError):
    """An engine answered an order with an error status.

    :param status: HTTP status code.
    :param body: body of the response.
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"the engine answered {status}: {body[:200]!r}")
        self.status = status
        self.body = body


class StaleAttemptError(EngineStatusError):
    """An engine has already received a higher attempt of the request.

    :param body: body of the response.
    :param highest_attempt: that attempt.
    """

    def __init__(self, body: bytes, highest_attempt: int) -> None:
        super().__init__(CONFLICT_STATUS, body)
        self.highest_attempt = highest_attempt


def refuse_order(status: int, body: bytes, attempt: int) -> EngineStatusError:
    """Return the error for an order that an engine did not accept.

    A conflict proves itself by an attempt that is not lower than that of the order.

    :param status: HTTP status code of the response.
    :param body: body of the response.
    :param attempt: attempt of the order.
    """
    if status == CONFLICT_STATUS:
        with suppress(MalformedDocument):
            highest_attempt = decode_json(body, _Conflict).attempt
            if highest_attempt >= attempt:
                return StaleAttemptError(body, highest_attempt)
    return EngineStatusError(status, body)


class EngineClient:
    """Client of all engines.

    :param connect_timeout_s: longest wait for a connection, in seconds.
    """

    def __init__(self, connect_timeout_s: float = 1.0) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._decoder = msgspec.json.Decoder(StreamEvent)

    async def report(self, address: str, timeout_s: float) -> EngineReport:
        """Read the layers and load of an engine.

        :param address: ``host:port`` of the engine.
        :param timeout_s: longest wait in seconds.
        :raises ConnectFailed: no connection was opened.
        :raises ExchangeBroken: no complete response was received.
        :raises MalformedDocument: the response is no usable report.
        """
        response = await fetch(
            address,
            "GET",
            "/engine/status",
            connect_timeout_s=self._connect_timeout_s,
            timeout_s=timeout_s,
        )
        return check_report(decode_json(response.body, EngineReport))

    async def request_state(
        self, address: str, request: RequestId, timeout_s: float
    ) -> StageState:
        """Read the state of a request at an engine, over a new connection.

        :param address: ``host:port`` of the engine.
        :param request: identity of the request.
        :param timeout_s: longest wait in seconds.
        :raises ConnectFailed: no connection was opened.
        :raises ExchangeBroken: no complete response was received.
        :raises MalformedDocument: the response is malformed.
        """
        response = await fetch(
            address,
            "GET",
            f"/engine/requests/{request}",
            connect_timeout_s=timeout_s,
            timeout_s=timeout_s,
        )
        return decode_json(response.body, StageState)

    async def open_stream(
        self,
        address: str,
        order: GenerateOrder | ResumeOrder,
        on_events: Callable[[list[StreamEvent]], None],
    ) -> Exchange:
        """Start or resume a generation; its events are passed to a callback.

        :param address: ``host:port`` of the head of the plan.
        :param order: order to generate or to resume.
        :param on_events: called with the events that arrived together, in order.
        :returns: the exchange, which the caller finishes or closes.
        :raises ConnectFailed: nothing was sent.
        :raises ExchangeBroken: the engine may have received the order.
        :raises StaleAttemptError: the engine has received a higher attempt.
        :raises EngineStatusError: the engine refused the order.
        """
        is_resume = isinstance(order, ResumeOrder)
        exchange = await Exchange.open(address, self._connect_timeout_s)
        try:
            status = await exchange.send(
                "POST",
                "/engine/resume" if is_resume else "/engine/generate",
                msgspec.json.encode(order),
                on_data=self._split_events(on_events),
            )
            if status != 200:
                response = await exchange.finish()
                raise refuse_order(status, response.body, order.attempt)
        except BaseException:
            exchange.close()
            raise
        return exchange

    async def cancel(self, address: str, order: CancelOrder) -> None:
        """Cancel the generation of a request.

        :param address: ``host:port`` of the head of its plan.
        :param order: request and attempt to cancel.
        :raises ConnectFailed: nothing was sent.
        :raises ExchangeBroken: no complete response was received.
        """
        await fetch(
            address,
            "POST",
            "/engine/cancel",
            body=msgspec.json.encode(order),
            connect_timeout_s=self._connect_timeout_s,
            timeout_s=self._connect_timeout_s,
        )

    def _split_events(
        self, on_events: Callable[[list[StreamEvent]], None]
    ) -> Callable[[bytes], None]:
        buffer = EventBuffer()
        decoder = self._decoder

        def on_data(chunk: bytes) -> None:
            events: list[StreamEvent] = []
            try:
                for event in EVENT_END.split(buffer.feed(chunk)):
                    if event.startswith(EVENT_PREFIX):
                        events.append(decode_with(decoder, event[N_PREFIX_BYTES:]))
                    elif FIELD_LINE.search(event):
                        raise MalformedEvent(event)
            except MalformedDocument:
                raise MalformedEvent(event) from None
            finally:
                on_events(events)

        return on_data
