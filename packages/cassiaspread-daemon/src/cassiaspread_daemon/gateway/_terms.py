"""What the gateway asks of the outside systems, in its own words.

An adapter implements these protocols for one platform. It holds names and formats;
whatever decides stays on this side.
"""

from enum import Enum
from typing import Generic, Protocol, TypeVar

import msgspec
from tornado.httputil import HTTPHeaders

from cassiaspread_core.base import OrganisationId, RequestId, TargetId
from cassiaspread_core.chains import Chain
from cassiaspread_core.placement import Engine, LayerRange
from cassiaspread_core.routing import RouteTable

Item = TypeVar("Item", covariant=True)


class RequestTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller's headers say about its request.

    :param request_id: identifies one attempt of the caller, empty if it gave none.
    :param key: the caller's key, if any.
    :param timeout_s: how long the caller waits, in seconds, if it says so.
    :param prompt_tokens: length of the prompt in tokens, 0 if unknown.
    :param max_answer_tokens: longest answer in tokens, 0 if unknown.
    :param answer_hint: the caller's estimate of the answer in tokens, if any.
    :param last_event_id: last event of a stream that the caller has, if any.
    """

    request_id: RequestId
    key: str | None = None
    timeout_s: float | None = None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    answer_hint: int | None = None
    last_event_id: str | None = None


class ForwardTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What goes to a target with a request.

    :param timeout_s: how long the answer is waited for, in seconds.
    :param target: the only target that may run it.
    :param organisation: whose request it is, if requests carry keys.
    :param priority: rank, 0 first, if any.
    :param chain: engines that it passes through; empty for a plain service.
    :param last_event_id: event after which a stream goes on, if any.
    """

    timeout_s: float
    target: TargetId
    organisation: OrganisationId | None = None
    priority: int | None = None
    chain: Chain = ()
    last_event_id: str | None = None


class AnswerTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What a target's status and headers say.

    :param status: HTTP status code.
    :param is_not_run: whether the target promises that the request did not run.
    :param is_sealed: whether the answer carries the target's signature.
    :param fault_address: address of the engine at fault, if it names one.
    """

    status: int
    is_not_run: bool = False
    is_sealed: bool = False
    fault_address: str | None = None


class Wire(Protocol):
    """Headers of callers' requests and targets' answers."""

    def read_request(self, headers: HTTPHeaders) -> RequestTerms:
        """Decode a caller's headers.

        :param headers: the headers.
        :raises ValueError: a header cannot be read.
        """

    def forward_headers(
        self, headers: HTTPHeaders, terms: ForwardTerms
    ) -> dict[str, str]:
        """Build the headers that go to a target.

        :param headers: the caller's headers.
        :param terms: what goes with the request.
        """

    def read_answer(self, status: int, headers: HTTPHeaders) -> AnswerTerms:
        """Decode a target's status and headers.

        :param status: HTTP status code.
        :param headers: the headers.
        """

    def answers(self, headers: HTTPHeaders, request_id: RequestId) -> bool:
        """Return whether a response belongs to a request.

        :param headers: the response's headers.
        :param request_id: the request.
        """

    def answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Build the headers that go to the caller with a target's answer.

        :param headers: the target's headers.
        """

    def refusal_headers(self, request_id: RequestId) -> dict[str, str]:
        """Build the headers of an answer that no target gave.

        :param request_id: the request.
        """


class OrderOutcome(Enum):
    """What became of an order to an engine."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class Stall(msgspec.Struct, frozen=True):
    """A request that waits for an engine of its chain.

    :param request_id: the request.
    :param address: the engine that does not answer.
    """

    request_id: RequestId
    address: str


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says when asked.

    :param layers: layers that it holds.
    :param is_loading: whether an order is in progress.
    :param n_orders: orders accepted since its start.
    :param slowness: its time relative to its kind's.
    :param stalls: requests that wait for another engine.
    """

    layers: LayerRange
    is_loading: bool
    n_orders: int
    slowness: float = 1.0
    stalls: tuple[Stall, ...] = ()


class EngineCalls(Protocol):
    """Questions and orders to engines."""

    async def report(self, address: str, timeout_s: float) -> EngineReport:
        """Ask an engine about itself.

        :param address: ``host:port``.
        :param timeout_s: longest wait in seconds.
        :raises ExchangeBroken: it gave no usable answer.
        :raises ConnectFailed: it could not be reached.
        """

    async def place(
        self,
        engine: Engine,
        layers: LayerRange,
        fencing_token: int,
        n_orders: int,
        timeout_s: float,
    ) -> OrderOutcome:
        """Order an engine to hold layers.

        :param engine: the engine.
        :param layers: the layers.
        :param fencing_token: number of the duty's holder.
        :param n_orders: orders that it must have accepted so far.
        :param timeout_s: longest wait in seconds.
        """


class FeedPage(msgspec.Struct, Generic[Item], frozen=True):
    """Part of a feed.

    :param items: what changed, oldest first.
    :param position: where the next page begins.
    """

    items: tuple[Item, ...]
    position: int


class Feed(Protocol[Item]):
    """Shared state of the platform's store, as a snapshot and the changes after it."""

    async def snapshot(self) -> FeedPage[Item]:
        """Read the whole state.

        :raises LogUnavailable: the store gave none.
        """

    async def changes(self, position: int, wait_s: float) -> FeedPage[Item]:
        """Read what changed.

        :param position: end of the page before.
        :param wait_s: how long the store waits for a change before it returns none.
        :raises LogUnavailable: the store gave no page.
        :raises Truncated: changes after the position are no longer kept.
        """


class EngineChange(msgspec.Struct, frozen=True):
    """A target that described itself or is gone.

    :param target: its identifier.
    :param engine: what it says; ``None`` when it is gone or can't be read.
    """

    target: TargetId
    engine: Engine | None


class DutyState(msgspec.Struct, frozen=True):
    """Whether this daemon holds the placement duty.

    :param number: grows whenever the duty may have changed hands.
    :param is_holder: whether this daemon holds it.
    """

    number: int
    is_holder: bool


class Duty(Protocol):
    """Gives the placement duty to one daemon at a time."""

    async def renew(self, number: int) -> DutyState:
        """Ask for the duty or keep it.

        :param number: the last number received, 0 at first.
        :raises LogUnavailable: the store did not answer.
        """

    async def leave(self) -> None:
        """Give the duty up.

        :raises LogUnavailable: the store did not answer.
        """


class Platform(Protocol):
    """Everything that the gateway needs of one platform."""

    wire: Wire
    engine_calls: EngineCalls
    configuration: Feed[RouteTable]
    engines: Feed[EngineChange]
    duty: Duty
