"""Judges an interrupted stream from what the engines say of the request."""

from collections.abc import Mapping
from enum import Enum
from itertools import pairwise

import msgspec

from cassiaspread_core.base import TargetId
from cassiaspread_core.pipeline._plan import Plan

NOTHING_HELD = -1


class Phase(Enum):
    """What an engine is doing for a request."""

    COMPUTING = "computing"
    # It waits for the answer of the next stage.
    WAITING = "waiting"
    # It waits for a step from the stage before.
    IDLE = "idle"
    # It does nothing more for this attempt.
    ENDED = "ended"


class StageState(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine knows of one request.

    :param attempt: highest attempt seen, 0 when the request is unknown.
    :param n_positions: answer positions in its KV cache, -1 without the prompt.
    :param phase: what it is doing.
    :param n_tokens: tokens of the answer that it keeps as head of the plan.
    :param plan: the plan whose head it is, empty when it is not one.
    :param fingerprint: hash of the request's content, empty when it is unknown.
    """

    attempt: int = 0
    n_positions: int = NOTHING_HELD
    phase: Phase = Phase.ENDED
    n_tokens: int = 0
    plan: Plan = ()
    fingerprint: str = ""


class Interruption(Enum):
    """How a stream was interrupted."""

    # Its connection could not be opened or was closed too early.
    CLOSED = "closed"
    SILENT = "silent"
    # An engine reported a failure.
    FAILED = "failed"


class Verdict(Enum):
    """What an interruption turned out to be."""

    # The engines work, and nothing has been lost.
    SLOW = "slow"
    # The head goes on, but its tokens don't arrive.
    PATH_DEAD = "path-dead"
    # All stages answer, but the chain of them is broken.
    CHAIN_BROKEN = "chain-broken"
    # At least one stage doesn't answer.
    STAGE_LOST = "stage-lost"
    # Another daemon has taken the request over.
    SUPERSEDED = "superseded"


States = Mapping[TargetId, StageState | None]


def find_lost(plan: Plan, states: States) -> tuple[TargetId, ...]:
    """List the stages that gave no answer.

    :param plan: stages in order.
    :param states: answers, ``None`` for a stage that gave none.
    """
    return tuple(s.engine for s in plan if states.get(s.engine) is None)


def judge_interruption(
    plan: Plan, states: States, attempt: int, position: int
) -> Verdict:
    """Judge a stream that has become silent or has ended too early.

    :param plan: stages in order.
    :param states: answers of the stages, ``None`` for one that gave none.
    :param attempt: attempt of the stream.
    :param position: position of the next token that the stream lacks.

    >>> from cassiaspread_core.pipeline import Stage
    >>> plan = (Stage("a", "", "", 0, 4), Stage("b", "", "", 4, 8))
    >>> working = StageState(attempt=1, n_positions=3, phase=Phase.COMPUTING)
    >>> waiting = StageState(attempt=1, n_positions=4, phase=Phase.WAITING)
    >>> judge_interruption(plan, {"a": waiting, "b": working}, 1, 3)
    <Verdict.SLOW: 'slow'>
    >>> judge_interruption(plan, {"a": waiting, "b": None}, 1, 3)
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
    """Return whether the stages have to be asked once more before a verdict counts.

    States taken at slightly different times can look like a dead path or a broken
    chain, and a path that was down for a moment looks like a lost stage. A stage that
    left a probe of a silent stream unanswered has had its time.

    :param interruption: how the stream was interrupted.
    :param verdict: the verdict on the first answers.
    """
    doubtful = {
        Interruption.SILENT: (Verdict.PATH_DEAD, Verdict.CHAIN_BROKEN),
        Interruption.CLOSED: (Verdict.STAGE_LOST, Verdict.CHAIN_BROKEN),
        Interruption.FAILED: (Verdict.STAGE_LOST,),
    }
    return verdict in doubtful[interruption]


def settle_verdict(interruption: Interruption, verdict: Verdict) -> Verdict:
    """Return what a verdict means for a stream that was interrupted in this way.

    :param interruption: how the stream was interrupted.
    :param verdict: the verdict on the stages' answers.

    >>> settle_verdict(Interruption.CLOSED, Verdict.SLOW)
    <Verdict.PATH_DEAD: 'path-dead'>
    """
    if interruption is Interruption.CLOSED and verdict is Verdict.SLOW:
        return Verdict.PATH_DEAD
    works = verdict in (Verdict.SLOW, Verdict.PATH_DEAD)
    if interruption is Interruption.FAILED and works:
        return Verdict.CHAIN_BROKEN
    return verdict


def _is_broken(before: StageState, after: StageState) -> bool:
    at_work = after.phase in (Phase.COMPUTING, Phase.WAITING)
    return before.phase is Phase.WAITING and not at_work
