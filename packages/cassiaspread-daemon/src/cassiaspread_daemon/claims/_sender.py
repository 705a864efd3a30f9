"""Sends the call of a held key, once."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import msgspec

from cassiaspread_core.base import Outcome, Refusal, ServiceId
from cassiaspread_core.claims import CallResult, ClaimId
from cassiaspread_core.policy import Limits
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._exchange import ConnectFailed, Exchange, ExchangeBroken
from cassiaspread_daemon.claims._call import Call, CallAnswer
from cassiaspread_daemon.fleet import TargetRegistry

MILLISECONDS_PER_SECOND = 1000
NO_TARGET_RETRY_S = 1.0
CLAIM_HEADER = "Cassiaspread-Claim"


def check_time_left(deadline_s: float) -> float:
    """Return how many seconds are left of a call's time.

    :param deadline_s: end of the call's time, on the monotonic clock.
    :raises Refusal: none is left; the call was not sent.
    """
    left_s = deadline_s - time.monotonic()
    if left_s <= 0:
        raise Refusal(504, "deadline", "The deadline passed before the send.")
    return left_s


async def connect(
    service: ServiceId,
    targets: TargetRegistry,
    random_state: random.Random,
    connect_timeout_s: float,
    deadline_s: float,
) -> Exchange:
    """Open a connection to one of a service's targets; nothing is sent yet.

    :param service: the service.
    :param targets: known targets.
    :param random_state: chooses the order in which targets are tried.
    :param connect_timeout_s: longest wait for one target, in seconds.
    :param deadline_s: end of the call's time, on the monotonic clock.
    :raises Refusal: no target could be reached in time.
    """
    known = targets.services(service)
    if not known:
        raise Refusal(
            503,
            "no-targets",
            f"No target of service {service!r} is known.",
            retry_after_s=NO_TARGET_RETRY_S,
        )
    for target in random_state.sample(known, len(known)):
        timeout_s = min(connect_timeout_s, check_time_left(deadline_s))
        try:
            return await Exchange.open(target.address, timeout_s)
        except ConnectFailed:
            continue
    raise Refusal(
        502,
        "targets-unreachable",
        f"No target of service {service!r} could be reached.",
        retry_after_s=NO_TARGET_RETRY_S,
    )


# Told of a call whose connection was lost, and where to it was.
OnLost = Callable[[Call, str], Awaitable[None]]


class SendOrder(msgspec.Struct, frozen=True):
    """A call on its way through one daemon.

    :param call: the call.
    :param claim: claim under which this daemon may come to hold the key.
    :param limits: limits in force for the call.
    :param deadline_s: end of the call's time, on the monotonic clock.
    :param is_wanted: asked right before the send: whether the caller waits.
    """

    call: Call
    claim: ClaimId
    limits: Limits
    deadline_s: float
    is_wanted: Callable[[], bool]

    def check_wanted(self) -> float:
        """Return how many seconds are left of the call's time.

        :raises Refusal: none is left or the caller is gone; nothing was sent.
        """
        if not self.is_wanted():
            raise Refusal(499, "caller-gone", "The caller left before the send.")
        return check_time_left(self.deadline_s)


class HeldSender:
    """Sends calls whose key this daemon holds and follows them to their end.

    A call that was sent goes on when its caller leaves or its deadline passes, so
    that its outcome can be recorded.

    :param targets: known targets.
    :param random_state: generator for the choice of targets.
    :param events: the time line.
    """

    def __init__(
        self, targets: TargetRegistry, random_state: random.Random, events: EventRing
    ) -> None:
        self._targets = targets
        self._random_state = random_state
        self._events = events
        self._sent: set[asyncio.Task[CallResult]] = set()
        self.on_lost: OnLost | None = None

    @property
    def n_sent(self) -> int:
        """How many calls were sent and have no outcome yet."""
        return len(self._sent)

    async def send(
        self, order: SendOrder, on_result: Callable[[CallResult], None]
    ) -> CallAnswer:
        """Send a call and wait for the answer until the deadline.

        :param order: the call, whose key this daemon holds.
        :param on_result: called once with the outcome if the call was sent, also
            when that is after the deadline.
        :raises Refusal: ``not-run`` if nothing was sent, else ``unknown``.
        """
        exchange = await connect(
            order.call.service,
            self._targets,
            self._random_state,
            order.limits.connect_timeout_ms / MILLISECONDS_PER_SECOND,
            order.deadline_s,
        )
        try:
            left_s = order.check_wanted()
        except Refusal:
            exchange.close()
            raise
        sent = asyncio.ensure_future(self._follow(exchange, order, on_result))
        self._sent.add(sent)
        sent.add_done_callback(self._sent.discard)
        await asyncio.wait({sent}, timeout=left_s)
        return self._answer(order, sent)

    def _answer(self, order: SendOrder, sent: asyncio.Task[CallResult]) -> CallAnswer:
        if not sent.done():
            raise Refusal(
                504,
                "target-silent",
                "The call was sent and no answer came before the deadline.",
                Outcome.UNKNOWN,
            )
        if sent.result().status is None:
            raise Refusal(
                502,
                "target-lost",
                "The call was sent and the connection was lost before the answer.",
                Outcome.UNKNOWN,
            )
        return CallAnswer(result=sent.result(), claim=order.claim)

    async def _follow(
        self,
        exchange: Exchange,
        order: SendOrder,
        on_result: Callable[[CallResult], None],
    ) -> CallResult:
        key, claim = order.call.key.key, str(order.claim)
        self._events.record("claims.sent", key, claim=claim)
        result, is_broken = CallResult(None), False
        try:
            result = await self._exchange(exchange, order)
        except (ExchangeBroken, TimeoutError) as error:
            is_broken = isinstance(error, ExchangeBroken)
            self._events.record("claims.answer_lost", key, error=str(error))
        self._events.record("claims.settled", key, claim=claim, status=result.status)
        on_result(result)
        if is_broken and self.on_lost is not None:
            await self.on_lost(order.call, exchange.address)
        return result

    async def _exchange(self, exchange: Exchange, order: SendOrder) -> CallResult:
        call = order.call
        headers = {**call.headers, CLAIM_HEADER: str(order.claim)}
        timeout_s = order.limits.max_request_timeout_ms / MILLISECONDS_PER_SECOND
        with exchange:
            async with asyncio.timeout(timeout_s):
                await exchange.send(call.method, call.path, call.body, headers)
                response = await exchange.finish()
        content_type = response.headers.get("Content-Type", "")
        return CallResult(response.status, content_type, response.body)
