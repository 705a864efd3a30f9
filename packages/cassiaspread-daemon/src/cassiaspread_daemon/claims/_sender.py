"""Sends the call of a held key at most once."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from cassiaspread_core.base import Outcome, Refusal, ServiceId
from cassiaspread_core.claims import CallResult, ClaimId
from cassiaspread_core.policy import Limits
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._exchange import ConnectFailed, Exchange, ExchangeBroken
from cassiaspread_daemon.claims._call import (
    Call,
    CallAnswer,
    target_lost_refusal,
    to_result,
)
from cassiaspread_daemon.fleet import TargetRegistry

MILLISECONDS_PER_SECOND = 1000
NO_TARGET_RETRY_S = 1.0
CLAIM_HEADER = "Cassiaspread-Claim"


def check_remaining_time(deadline_s: float) -> float:
    """Return the time until a deadline, in seconds.

    :param deadline_s: deadline of the call, on the monotonic clock in seconds.
    :raises Refusal: the deadline has passed; the call was not sent.
    """
    remaining_s = deadline_s - time.monotonic()
    if remaining_s <= 0:
        raise Refusal(504, "deadline", "The deadline passed before the send.")
    return remaining_s


async def connect(
    service: ServiceId,
    targets: TargetRegistry,
    random_state: random.Random,
    connect_timeout_s: float,
    deadline_s: float,
) -> Exchange:
    """Open a connection to a target of a service without sending anything.

    :param service: the service.
    :param targets: targets by service.
    :param random_state: generator for the order in which targets are tried.
    :param connect_timeout_s: connect timeout for each target, in seconds.
    :param deadline_s: deadline of the call, on the monotonic clock in seconds.
    :raises Refusal: no connection could be opened before the deadline.
    """
    candidates = targets.services(service)
    if not candidates:
        raise Refusal(
            503,
            "no-targets",
            f"No target of service {service!r} is known.",
            retry_after_s=NO_TARGET_RETRY_S,
        )
    for target in random_state.sample(candidates, len(candidates)):
        timeout_s = min(connect_timeout_s, check_remaining_time(deadline_s))
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


# Called with a call whose connection was lost and the address of its target.
ConnectionLostCallback = Callable[[Call, str], Awaitable[None]]


class CallContext(msgspec.Struct, frozen=True):
    """A call with the parameters of its execution by one daemon.

    :param call: the call.
    :param claim: claim with which this daemon may hold the key.
    :param limits: limits in force for the call.
    :param deadline_s: deadline of the call, on the monotonic clock in seconds.
    :param is_caller_waiting: called immediately before the send; returns whether the
        caller still waits.
    """

    call: Call
    claim: ClaimId
    limits: Limits
    deadline_s: float
    is_caller_waiting: Callable[[], bool]

    def check_sendable(self) -> float:
        """Return the time until the deadline, in seconds.

        :raises Refusal: the deadline has passed or the caller closed the connection;
            nothing was sent.
        """
        if not self.is_caller_waiting():
            raise Refusal(499, "caller-gone", "The caller left before the send.")
        return check_remaining_time(self.deadline_s)


class _SentCall(NamedTuple):
    """How the exchange of a call ended.

    :param result: what is recorded.
    :param lost_because: why there is no answer; empty if there is one.
    """

    result: CallResult
    lost_because: str


class CallSender:
    """Sends calls whose keys this daemon holds and waits for their results.

    A call that was sent continues after its caller has closed the connection or its
    deadline has passed, so that its outcome can be recorded.

    :param targets: targets by service.
    :param random_state: generator for the selection of targets.
    :param events: the time line.
    """

    def __init__(
        self, targets: TargetRegistry, random_state: random.Random, events: EventRing
    ) -> None:
        self._targets = targets
        self._random_state = random_state
        self._events = events
        self._in_flight: set[asyncio.Task[_SentCall]] = set()
        self.on_connection_lost: ConnectionLostCallback | None = None

    @property
    def n_in_flight(self) -> int:
        """Number of calls that were sent and have no outcome yet."""
        return len(self._in_flight)

    async def send(
        self, context: CallContext, on_result: Callable[[CallResult], None]
    ) -> CallAnswer:
        """Send a call and wait for the answer until the deadline.

        :param context: the call, whose key this daemon holds.
        :param on_result: called once with the outcome if the call was sent, even after
            the deadline.
        :raises Refusal: ``not-run`` if nothing was sent, else ``unknown``.
        """
        exchange = await connect(
            context.call.service,
            self._targets,
            self._random_state,
            context.limits.connect_timeout_ms / MILLISECONDS_PER_SECOND,
            context.deadline_s,
        )
        try:
            remaining_s = context.check_sendable()
        except Refusal:
            exchange.close()
            raise
        task = asyncio.ensure_future(self._run_exchange(exchange, context, on_result))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)
        await asyncio.wait({task}, timeout=remaining_s)
        return self._to_answer(context, task)

    def _to_answer(
        self, context: CallContext, task: asyncio.Task[_SentCall]
    ) -> CallAnswer:
        if not task.done():
            raise Refusal(
                504,
                "target-silent",
                "The call was sent and no answer came before the deadline.",
                Outcome.UNKNOWN,
            )
        result, lost_because = task.result()
        if result.status is None:
            raise target_lost_refusal(lost_because)
        return CallAnswer(result=result, claim=context.claim)

    async def _run_exchange(
        self,
        exchange: Exchange,
        context: CallContext,
        on_result: Callable[[CallResult], None],
    ) -> _SentCall:
        key, claim = context.call.key.key, str(context.claim)
        self._events.record("claims.sent", key, claim=claim)
        result, is_broken, lost_because = CallResult(None), False, ""
        try:
            result = await self._exchange(exchange, context)
        except (ExchangeBroken, TimeoutError) as error:
            is_broken = isinstance(error, ExchangeBroken)
            lost_because = str(error) or "no answer in time"
            self._events.record(
                "claims.answer_lost", key, target=exchange.address, error=lost_because
            )
        self._events.record("claims.settled", key, claim=claim, status=result.status)
        on_result(result)
        if is_broken and self.on_connection_lost is not None:
            await self.on_connection_lost(context.call, exchange.address)
        return _SentCall(result, lost_because)

    async def _exchange(self, exchange: Exchange, context: CallContext) -> CallResult:
        call = context.call
        headers = {**call.headers, CLAIM_HEADER: str(context.claim)}
        timeout_s = context.limits.max_request_timeout_ms / MILLISECONDS_PER_SECOND
        with exchange:
            async with asyncio.timeout(timeout_s):
                await exchange.send(call.method, call.path, call.body, headers)
                response = await exchange.finish()
        return to_result(call.method, response)
