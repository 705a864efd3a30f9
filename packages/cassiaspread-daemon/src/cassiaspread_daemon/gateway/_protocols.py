"""Protocols and messages through which the gateway uses the systems of a platform.

An adapter implements these protocols for one platform. It contains only names and
formats; all decisions are made in the gateway.
"""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import Generic, Protocol, TypeVar

import msgspec
from tornado.httputil import HTTPHeaders

from cassiaspread_core.base import (
    OrganisationId,
    PromptPartId,
    RequestId,
    TargetId,
)
from cassiaspread_core.chains import Chain
from cassiaspread_core.placement import Engine, LayerRange
from cassiaspread_core.quarantine import Fingerprint, SuspectRecord
from cassiaspread_core.routing import RouteTable

Item = TypeVar("Item", covariant=True)

# Bounds what one request may add to the records of the quarantine.
MAX_SHARED_PARTS = 32


class RequestParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a request, decoded from the caller's headers.

    :param request_id: identifies one attempt of the caller; empty if not specified.
    :param key: the caller's key, if any.
    :param timeout_s: how long the caller waits, in seconds, if specified.
    :param prompt_tokens: length of the prompt in tokens, 0 if unknown.
    :param max_answer_tokens: longest answer in tokens, 0 if unknown.
    :param answer_hint: the caller's estimate of the answer in tokens, if any.
    :param last_event_id: last event of a stream that the caller received, if any.
    :param shared_parts: parts of the prompt that other requests may have too, in the
        order of the prompt and each once; at most ``MAX_SHARED_PARTS``.
    """

    request_id: RequestId
    key: str | None = None
    timeout_s: float | None = None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    answer_hint: int | None = None
    last_event_id: str | None = None
    shared_parts: tuple[PromptPartId, ...] = ()


class ForwardParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters sent to a target with a request.

    :param timeout_s: how long the gateway waits for the answer, in seconds.
    :param target: the only target that may run the request.
    :param organisation: organisation that sent the request, if requests carry keys.
    :param priority: rank, 0 first, if any.
    :param chain: engines that the request passes through; empty for a plain service.
    :param last_event_id: event after which a stream resumes, if any.
    """

    timeout_s: float
    target: TargetId
    organisation: OrganisationId | None = None
    priority: int | None = None
    chain: Chain = ()
    last_event_id: str | None = None


class EngineNotice(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says of itself in an answer.

    :param is_leaving: whether it leaves and takes no new requests.
    :param pause_s: for how long it wants no requests from this VM, in seconds, if it
        says so.
    """

    is_leaving: bool = False
    pause_s: float | None = None


NO_NOTICE = EngineNotice()


class AnswerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of an answer, decoded from a target's status and headers.

    :param status: HTTP status code.
    :param is_not_run: whether the target guarantees that the request did not run.
    :param is_signed: whether the answer carries the target's signature.
    :param failed_address: address of the engine that caused a failure, if specified.
    :param notice: what the target says of itself.
    """

    status: int
    is_not_run: bool = False
    is_signed: bool = False
    failed_address: str | None = None
    notice: EngineNotice = NO_NOTICE


class HeaderCodec(Protocol):
    """Encodes and decodes headers of callers' requests and targets' answers."""

    def read_request(self, headers: HTTPHeaders) -> RequestParameters:
        """Decode a caller's headers.

        :param headers: the headers.
        :raises ValueError: a header is malformed.
        """

    def forward_headers(
        self, headers: HTTPHeaders, parameters: ForwardParameters
    ) -> dict[str, str]:
        """Build the headers that go to a target.

        :param headers: the caller's headers.
        :param parameters: parameters of the forwarded request.
        """

    def read_answer(self, status: int, headers: HTTPHeaders) -> AnswerParameters:
        """Decode a target's status and headers.

        :param status: HTTP status code.
        :param headers: the headers.
        """

    def answered_request(self, headers: HTTPHeaders) -> RequestId | None:
        """Return the request that a response names, if any.

        :param headers: the response's headers.
        """

    def answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Build the headers that go to the caller with a target's answer.

        :param headers: the target's headers.
        """

    def refusal_headers(self, request_id: RequestId) -> dict[str, str]:
        """Build the headers of an answer that the gateway gives itself.

        :param request_id: the request.
        """


class OrderOutcome(Enum):
    """Outcome of an order to an engine."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class Stall(msgspec.Struct, frozen=True):
    """A request that waits for an engine of its chain.

    :param request_id: the request.
    :param address: address of the engine that does not respond.
    """

    request_id: RequestId
    address: str


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """State reported by an engine.

    :param layers: layers that it holds.
    :param is_loading: whether an order is in progress.
    :param n_orders: orders accepted since its start.
    :param incarnation: identifies its process; 0 if the engine does not tell.
    :param slowness: its step time relative to what is usual for its accelerator.
    :param stalls: requests that wait for another engine.
    :param notice: what it says of itself beside its state.
    """

    layers: LayerRange
    is_loading: bool
    n_orders: int
    incarnation: int = 0
    slowness: float = 1.0
    stalls: tuple[Stall, ...] = ()
    notice: EngineNotice = NO_NOTICE


class EngineApi(Protocol):
    """Status requests and placement orders to engines.

    Callbacks receive the address of an engine and what it says of itself in an answer.
    """

    notice_callbacks: list[Callable[[str, EngineNotice], None]]

    async def report(self, address: str, timeout_s: float) -> EngineReport:
        """Request an engine's state.

        :param address: ``host:port``.
        :param timeout_s: longest wait in seconds.
        :raises ExchangeBroken: the engine gave no usable answer.
        :raises ConnectFailed: the engine could not be reached.
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
        :param fencing_token: fencing token of the duty's holder.
        :param n_orders: orders that the engine must have accepted so far.
        :param timeout_s: longest wait in seconds.
        """


class FeedPage(msgspec.Struct, Generic[Item], frozen=True):
    """Page of a feed.

    :param items: changes, oldest first.
    :param position: position of the next page.
    :param is_complete: whether a copy with these items is current at the position;
        false if a newer item could not be decoded.
    :param end_position: position of the end of the feed when the page was read. Where
        it is higher than the position of the next page, the page was cut off.
    :param latest_position: position up to which a snapshot may contain changes that
        follow its own position.
    """

    items: tuple[Item, ...]
    position: int
    is_complete: bool = True
    end_position: int = 0
    latest_position: int = 0


class Feed(Protocol[Item]):
    """Shared state in the platform's store, read as a snapshot and later changes."""

    async def snapshot(self) -> FeedPage[Item]:
        """Read the complete state.

        :raises LogUnavailable: the store returned none.
        """

    async def changes(self, position: int, wait_s: float) -> FeedPage[Item]:
        """Read the changes after a position.

        :param position: end of the previous page.
        :param wait_s: how long the store waits for a change before it returns an empty
            page, in seconds.
        :raises LogUnavailable: the store returned no page.
        :raises Truncated: changes after the position are no longer retained.
        """


class ConfigurationFeed(Feed[RouteTable], Protocol):
    """Configurations that the operator publishes."""

    def decode(self, document: bytes) -> RouteTable:
        """Decode the document of a configuration.

        :param document: the document, as kept by its table.
        :raises ValueError: it is malformed.
        """


class EngineChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """Change of a target's entry.

    :param target: identifier of the target.
    :param engine: the entry; ``None`` if it was removed or is unreadable.
    :param has_varied: whether the page also contained a different entry, before this
        one.
    """

    target: TargetId
    engine: Engine | None
    has_varied: bool = False


class SuspectChange(msgspec.Struct, frozen=True):
    """Change of the record of one fingerprint.

    :param fingerprint: the fingerprint.
    :param record: the record; ``None`` if it was removed.
    """

    fingerprint: Fingerprint
    record: SuspectRecord | None


class SuspectTopic(Feed[SuspectChange], Protocol):
    """Suspect records in the platform's store."""

    async def write(self, changes: Iterable[SuspectChange]) -> None:
        """Write records, or remove those without content.

        :param changes: the records.
        :raises LogUnavailable: the store did not confirm the write, which may take
            effect all the same.
        """


class DutyState(msgspec.Struct, frozen=True):
    """State of the placement duty.

    :param fencing_token: fencing token; increases whenever the holder may have changed.
    :param is_holder: whether this daemon holds it.
    """

    fencing_token: int
    is_holder: bool


class Duty(Protocol):
    """Leader election for the placement duty.

    The duty is leadership of placement: only the daemon that holds it may send
    placement orders to engines, with its fencing token.
    """

    async def renew(self, fencing_token: int) -> DutyState:
        """Acquire the duty or renew it.

        :param fencing_token: fencing token received last, 0 at first.
        :raises LogUnavailable: the store did not answer.
        """

    async def leave(self) -> None:
        """Release the duty.

        :raises LogUnavailable: the store did not answer.
        """


class Platform(Protocol):
    """Interfaces of one platform that the gateway uses."""

    header_codec: HeaderCodec
    engine_api: EngineApi
    configuration: ConfigurationFeed
    engines: Feed[EngineChange]
    suspects: SuspectTopic
    duty: Duty

    def store_calls(self) -> Mapping[str, int]:
        """Return the number of calls to the store since the start, by kind."""
