"""Client of the engines."""

from collections.abc import Callable

import msgspec
from cassiaspread_core.base import CassiaspreadError, ModelId, RequestId, TargetId
from cassiaspread_core.pipeline import EngineReport, Plan, Stage, TokenStep

from cassiaspread_daemon._exchange import Exchange, fetch

EVENT_PREFIX = b"data: "
EVENT_END = b"\n\n"


class GenerateOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the head of a plan for tokens.

    :param request: identity of the request.
    :param attempt: attempt that the tokens carry.
    :param model: model to run.
    :param prompt: text of the prompt.
    :param prefix: text of the tokens already delivered.
    :param start: position of the first token wanted.
    :param max_tokens: most tokens of the whole answer.
    :param priority: higher goes first.
    :param plan: stages in order.
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


class EngineError(msgspec.Struct, frozen=True):
    """Failure that an engine reports inside a stream.

    :param error: short name of the reason.
    :param engine: the engine that is at fault.
    """

    error: str
    engine: TargetId


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of an engine's token stream: a token, the end or an error."""

    attempt: int = 0
    position: int = 0
    text: str = ""
    finish_reason: str | None = None
    error: str | None = None
    engine: TargetId | None = None


class EngineRefused(CassiaspreadError):
    """An engine answered a request for tokens with an error status.

    :param status: the status code.
    :param body: the engine's explanation.
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"the engine answered {status}: {body[:200]!r}")
        self.status = status
        self.body = body


class EngineFailed(CassiaspreadError):
    """An engine reported a failure inside a stream.

    :param engine: the engine at fault.
    """

    def __init__(self, error: str, engine: TargetId) -> None:
        super().__init__(f"{engine}: {error}")
        self.engine = engine


class EngineClient:
    """Talks to engines.

    :param connect_timeout_s: longest wait for a connection, in seconds.
    """

    def __init__(self, connect_timeout_s: float = 1.0) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._decoder = msgspec.json.Decoder(StreamEvent)

    async def report(self, address: str, timeout_s: float) -> EngineReport:
        """Ask an engine what it holds and how loaded it is.

        :param address: ``host:port`` of the engine.
        :param timeout_s: longest wait in seconds.
        :raises ConnectFailed: no connection was opened.
        :raises ExchangeBroken: no answer came.
        :raises msgspec.MsgspecError: the answer is malformed.
        """
        response = await fetch(
            address,
            "GET",
            "/engine/status",
            connect_timeout_s=self._connect_timeout_s,
            timeout_s=timeout_s,
        )
        return msgspec.json.decode(response.body, type=EngineReport)

    async def open_stream(
        self,
        head: Stage,
        order: GenerateOrder,
        on_event: Callable[[StreamEvent], None],
    ) -> Exchange:
        """Start generating; events arrive through the callback.

        :param head: first stage of the plan.
        :param order: what to generate.
        :param on_event: called with each event in the order of arrival.
        :returns: the exchange, to be finished or closed by the caller.
        :raises ConnectFailed: the engine got nothing.
        :raises ExchangeBroken: the engine may have got the order.
        :raises EngineRefused: the engine refused the order.
        """
        exchange = await Exchange.open(head.address, self._connect_timeout_s)
        try:
            status = await exchange.send(
                "POST",
                "/engine/generate",
                msgspec.json.encode(order),
                on_data=self._split_events(on_event),
            )
            if status != 200:
                response = await exchange.finish()
                raise EngineRefused(status, response.body)
        except BaseException:
            exchange.close()
            raise
        return exchange

    async def cancel(self, head: Stage, request: RequestId, attempt: int) -> None:
        """Stop generating for a request.

        :param head: first stage of its plan.
        :param request: the request.
        :param attempt: the last attempt to stop.
        :raises ConnectFailed: the engine got nothing.
        :raises ExchangeBroken: no answer came.
        """
        await fetch(
            head.address,
            "POST",
            "/engine/cancel",
            body=msgspec.json.encode({"request": request, "attempt": attempt}),
            connect_timeout_s=self._connect_timeout_s,
            timeout_s=self._connect_timeout_s,
        )

    def _split_events(
        self, on_event: Callable[[StreamEvent], None]
    ) -> Callable[[bytes], None]:
        rest = b""
        decode = self._decoder.decode

        def on_data(chunk: bytes) -> None:
            nonlocal rest
            *events, rest = (rest + chunk).split(EVENT_END)
            for event in events:
                on_event(decode(event[len(EVENT_PREFIX) :]))

        return on_data


def to_step(event: StreamEvent) -> TokenStep:
    """Return the token step that an event carries.

    :param event: an event without an error.
    """
    return TokenStep(event.attempt, event.position, event.text, event.finish_reason)
