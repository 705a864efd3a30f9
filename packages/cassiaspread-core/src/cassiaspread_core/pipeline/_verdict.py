"""Diagnoses an interrupted stream from the states that its engines report."""

from collections.abc import Mapping
from enum import Enum
from itertools import pairwise
from typing import Annotated

import msgspec

from cassiaspread_core.base import MAX_EXACT_INTEGER, Count, TargetId
from cassiaspread_core.pipeline._plan import Plan

NO_POSITIONS = -1


class Phase(Enum):
    """Phase of a request on an engine."""

    COMPUTING = "computing"
    # Waiting for the answer of the next stage.
    WAITING = "waiting"
    # Waiting for a step from the previous stage.
    IDLE = "idle"
    # No more work is done for this attempt.
    ENDED = "ended"


class StageState(msgspec.Struct, frozen=True, kw_only=True):
    """State of one request on an engine.

    :param attempt: highest attempt seen, 0 if the request is unknown.
    :param n_positions: answer positions in its KV cache, -1 if the prompt is missing.
    :param phase: phase of the request.
    :param n_tokens: answer tokens that it stores as head of the plan.
    :param plan: the plan of which it is the head, empty if it is not a head.
    :param fingerprint: hash of the content of the request, empty if unknown.
    """

    attempt: Count = 0
    n_positions: Annotated[int, msgspec.Meta(ge=NO_POSITIONS, le=MAX_EXACT_INTEGER)] = (
        NO_POSITIONS
    )
    phase: Phase = Phase.ENDED
    n_tokens: Count = 0
    plan: Plan = ()
    fingerprint: str = ""


class Interruption(Enum):
    """How a stream was interrupted."""

    # The connection could not be opened or was closed too early.
    CLOSED = "closed"
    SILENT = "silent"
    # An engine reported a failure.
    FAILED = "failed"


class Verdict(Enum):
    """Diagnosis of an interruption."""

    # The engines are working, and nothing has been lost.
    SLOW = "slow"
    # The head is working, but its tokens don't arrive.
    PATH_DEAD = "path-dead"
    # All stages answer, but the chain between them is broken.
    CHAIN_BROKEN = "chain-broken"
    # At least one stage doesn't answer.
    STAGE_LOST = "stage-lost"
    # Another daemon has taken the request over.
    SUPERSEDED = "superseded"


States = Mapping[TargetId, StageState | None]


def find_lost(plan: Plan, states: States) -> tuple[TargetId, ...]:
    """List the stages that did not answer.

    :param plan: stages in order.
    :param states: states of the stages, ``None`` for one that did not answer.
    """
    return tuple(s.engine for s in plan if states.get(s.engine) is None)


def diagnose_interruption(
    plan: Plan, states: States, attempt: int, position: int
) -> Verdict:
    """Diagnose a stream that became silent or ended too early.

    :param plan: stages in order.
    :param states: states of the stages, ``None`` for one that did not answer.
    :param attempt: attempt of the stream.
    :param position: position of the next token to be delivered.

    >>> from cassiaspread_core.pipeline import Stage
    >>> plan = (Stage("a", "", "", 0, 4), Stage("b", "", "", 4, 8))
    >>> working = StageState(attempt=1, n_positions=3, phase=Phase.COMPUTING)
    >>> waiting = StageState(attempt=1, n_positions=4, phase=Phase.WAITING)
    >>> diagnose_interruption(plan, {"a": waiting, "b": working}, 1, 3)
    <Verdict.SLOW: 'slow'>
    >>> diagnose_interruption(plan, {"a": waiting, "b": None}, 1, 3)
    <Verdict.STAGE_LOST: 'stage-lost'>
    """
    answered = [state for state in states.values() if state is not None]
    if any(state.attempt > attempt for state in answered):
        return Verdict.SUPERSEDED
    if find_lost(plan, states):
        return Verdict.STAGE_LOST
    chain = [states[stage.engine] for stage in plan]
    head = chain[0]
    if head.attempt == attempt and head.n_tokens > position:
        return Verdict.PATH_DEAD
    if head.attempt < attempt or head.phase is Phase.ENDED:
        return Verdict.CHAIN_BROKEN
    if any(_is_broken(before, after) for before, after in pairwise(chain)):
        return Verdict.CHAIN_BROKEN
    return Verdict.SLOW


def needs_confirmation(interruption: Interruption, verdict: Verdict) -> bool:
    """Return whether a verdict has to be confirmed by querying the stages again.

    States read at slightly different times can look like a dead path or a broken
    chain, and a brief network outage looks like a lost stage. A stage that did not
    answer the probe of a silent stream is not queried again: it has had enough time.

    :param interruption: how the stream was interrupted.
    :param verdict: verdict from the first answers.
    """
    unconfirmed = {
        Interruption.SILENT: (Verdict.PATH_DEAD, Verdict.CHAIN_BROKEN),
        Interruption.CLOSED: (Verdict.STAGE_LOST, Verdict.CHAIN_BROKEN),
        Interruption.FAILED: (Verdict.STAGE_LOST,),
    }
    return verdict in unconfirmed[interruption]


def adjust_verdict(interruption: Interruption, verdict: Verdict) -> Verdict:
    """Adjust a verdict to the way in which the stream was interrupted.

    Only a silent stream can be slow: one that was closed or failed has ended.

    :param interruption: how the stream was interrupted.
    :param verdict: verdict from the states of the stages.

    >>> adjust_verdict(Interruption.CLOSED, Verdict.SLOW)
    <Verdict.PATH_DEAD: 'path-dead'>
    """
    if interruption is Interruption.CLOSED and verdict is Verdict.SLOW:
        return Verdict.PATH_DEAD
    is_working = verdict in (Verdict.SLOW, Verdict.PATH_DEAD)
    if interruption is Interruption.FAILED and is_working:
        return Verdict.CHAIN_BROKEN
    return verdict


def _is_broken(before: StageState, after: StageState) -> bool:
    is_active = after.phase in (Phase.COMPUTING, Phase.WAITING)
    return before.phase is Phase.WAITING and not is_active
