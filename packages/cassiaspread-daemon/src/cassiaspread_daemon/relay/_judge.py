"""Finds out what interrupted a stream."""

import asyncio

import msgspec

from cassiaspread_core.base import RequestId, TargetId
from cassiaspread_core.pipeline import (
    Interruption,
    Plan,
    Stage,
    States,
    TokenSequence,
    Verdict,
    find_holders,
    find_lost,
    judge_interruption,
    needs_confirmation,
    settle_verdict,
)
from cassiaspread_daemon.adapters import EngineClient
from cassiaspread_daemon.relay._attempt import AttemptEnd, EndKind
from cassiaspread_daemon.relay._probe import probe_plan

# Once one stage is known to be lost, the others are asked only for what they hold.
ENOUGH_S = 0.05
CONFIRM_DELAY_S = 0.01
CACHE_MISSING = "kv-missing"


class Diagnosis(msgspec.Struct, frozen=True, kw_only=True):
    """What interrupted a stream.

    :param end: how the attempt ended.
    :param verdict: what is to be done about it.
    :param states: what the stages said.
    :param unanswered: stages that said nothing.
    """

    end: AttemptEnd
    verdict: Verdict
    states: States = msgspec.field(default_factory=dict)
    unanswered: tuple[TargetId, ...] = ()

    @property
    def lost(self) -> tuple[TargetId, ...]:
        """Engines that no request should use until they report again.

        A stage that is merely late with its state after another one was lost is not
        among them.
        """
        if self.end.kind is EndKind.SILENT:
            return self.unanswered
        return tuple(e for e in self.unanswered if e == self.end.engine)

    @property
    def is_cache_missing(self) -> bool:
        """Whether a stage did not hold the KV cache that it was to keep."""
        return self.end.reason.endswith(CACHE_MISSING)

    def find_holders(self, plan: Plan, position: int) -> list[Stage]:
        """List the stages that can roll back to a position.

        :param plan: the plan that was interrupted.
        :param position: position of the next token.
        """
        return find_holders(plan, self.states, position)


async def diagnose(
    engines: EngineClient,
    request: RequestId,
    plan: Plan,
    sequence: TokenSequence,
    end: AttemptEnd,
    timeout_s: float,
) -> Diagnosis:
    """Ask the stages of an interrupted stream, over new connections, and judge.

    :param engines: client of the engines.
    :param request: the request.
    :param plan: stages in order.
    :param sequence: the stream's tokens so far.
    :param end: how the attempt ended.
    :param timeout_s: longest wait in seconds for the states of the stages.
    """
    interruption = Interruption(end.kind.value)
    position = sequence.position

    async def ask() -> tuple[States, Verdict]:
        states = await probe_plan(engines, plan, request, timeout_s, ENOUGH_S)
        verdict = judge_interruption(plan, states, sequence.attempt, position)
        return states, verdict

    states, verdict = await ask()
    if needs_confirmation(interruption, verdict):
        await asyncio.sleep(CONFIRM_DELAY_S)
        states, verdict = await ask()
    verdict = settle_verdict(interruption, verdict)
    if interruption is Interruption.SILENT and sequence.position != position:
        verdict = Verdict.SLOW
    unanswered = find_lost(plan, states)
    return Diagnosis(end=end, verdict=verdict, states=states, unanswered=unanswered)
