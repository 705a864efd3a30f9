"""Diagnosis of an interrupted stream."""

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
    adjust_verdict,
    diagnose_interruption,
    find_holders,
    find_lost,
    needs_confirmation,
)
from cassiaspread_daemon.adapters import EngineClient
from cassiaspread_daemon.relay._attempt import AttemptEnd, EndKind
from cassiaspread_daemon.relay._probe import probe_plan

# Longest wait for the other stages once one is lost: their states then matter only for
# the KV cache that they hold.
WAIT_AFTER_LOSS_S = 0.05

# Time before a second probe that confirms the first one.
CONFIRM_DELAY_S = 0.01
CACHE_MISSING = "kv-missing"


class Diagnosis(msgspec.Struct, frozen=True, kw_only=True):
    """Cause of an interrupted stream.

    :param end: how the attempt ended.
    :param verdict: cause, which determines the recovery.
    :param states: states reported by the stages.
    :param unanswered: stages that did not answer.
    """

    end: AttemptEnd
    verdict: Verdict
    states: States = msgspec.field(default_factory=dict)
    unanswered: tuple[TargetId, ...] = ()

    @property
    def lost(self) -> tuple[TargetId, ...]:
        """Engines that no request should use until they report again.

        Excludes a stage whose state is only late after another one was lost.
        """
        if self.end.kind is EndKind.SILENT:
            return self.unanswered
        return tuple(e for e in self.unanswered if e == self.end.engine)

    @property
    def is_cache_missing(self) -> bool:
        """Whether a stage lacked the KV cache that it was expected to hold."""
        return self.end.reason.endswith(CACHE_MISSING)

    def find_holders(self, plan: Plan, position: int) -> list[Stage]:
        """List the stages that can roll back to a position.

        :param plan: interrupted plan.
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
    """Determine the cause of an interruption by probing the stages of the plan.

    The probes use new connections.

    :param engines: client of the engines.
    :param request: identity of the request.
    :param plan: stages in order.
    :param sequence: tokens of the stream so far.
    :param end: how the attempt ended.
    :param timeout_s: longest wait in seconds for the states of the stages.
    """
    interruption = Interruption(end.kind.value)
    position = sequence.position

    async def probe() -> tuple[States, Verdict]:
        states = await probe_plan(engines, plan, request, timeout_s, WAIT_AFTER_LOSS_S)
        verdict = diagnose_interruption(plan, states, sequence.attempt, position)
        return states, verdict

    states, verdict = await probe()
    if needs_confirmation(interruption, verdict):
        await asyncio.sleep(CONFIRM_DELAY_S)
        states, verdict = await probe()
    verdict = adjust_verdict(interruption, verdict)
    if interruption is Interruption.SILENT and sequence.position != position:
        verdict = Verdict.SLOW
    unanswered = find_lost(plan, states)
    return Diagnosis(end=end, verdict=verdict, states=states, unanswered=unanswered)
