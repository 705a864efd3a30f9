"""Calls under keys that callers made: the log decides who sends."""

import time
from collections.abc import Callable

from cassiaspread_core.base import Incarnation, Outcome, Refusal
from cassiaspread_core.claims import (
    AbandonRecord,
    CallResult,
    ClaimRecord,
    KeyState,
    OutcomeRecord,
    Verdict,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.claims._call import (
    IN_PROGRESS_RETRY_S,
    UNKNOWN_RETRY_S,
    Call,
    CallAnswer,
    check_fingerprint,
    refuse_unjudged,
    refuse_unknown,
    replay,
)
from cassiaspread_daemon.claims._journal import (
    ClaimNotAppended,
    ClaimUnseen,
    PartitionJournal,
)
from cassiaspread_daemon.claims._reader import LogHealth
from cassiaspread_daemon.claims._sender import (
    MILLISECONDS_PER_SECOND,
    HeldSender,
    SendOrder,
    check_time_left,
)

LOG_AWAY_RETRY_S = 5.0
CATCH_UP_TIMEOUT_S = 1.0

# Longest wait to learn of earlier calls, after the right to send was given up.
JUDGE_TIMEOUT_S = 0.5
LOG_AWAY_DETAIL = (
    "The log that decides on keys can't be reached. An urgent call can run now "
    "under a key from POST /v1/tickets."
)


class ClaimedCalls:
    """Runs calls for which this daemon wins the claim.

    :param sender: sends calls of held keys.
    :param health: whether the log is there.
    :param events: the time line.
    :param is_live: tells whether an incarnation was heard of lately.
    """

    def __init__(
        self,
        sender: HeldSender,
        health: LogHealth,
        events: EventRing,
        is_live: Callable[[Incarnation], bool],
    ) -> None:
        self._sender = sender
        self._health = health
        self._events = events
        self._is_live = is_live

    async def run(self, order: SendOrder, journal: PartitionJournal) -> CallAnswer:
        """Answer a call, running it if no other call holds its key.

        :param order: the call.
        :param journal: the partition of its key.
        :raises Refusal: the call is not answered in full.
        """
        state = await self._find_held(order, journal)
        if state is not None:
            return self._answer_held(order.call, state)
        if self._health.is_away:
            raise _refuse_log_away(order.call)
        if not journal.reader.fold.can_judge(order.call.key):
            raise _refuse_unjudgeable(order.call)
        if await self._claim(order, journal) is Verdict.VOID:
            self._record("claims.lost", order)
            return self._answer_lost(order.call, journal)
        return await self._run_held(order, journal)

    def _answer_held(self, call: Call, state: KeyState) -> CallAnswer:
        check_fingerprint(call, state.fingerprint)
        if state.result is not None:
            return replay(state.result, state.holder)
        assert state.holder is not None
        if self._is_live(state.holder.holder):
            raise refuse_unknown(
                "in-progress",
                "Another call with this key is in progress.",
                IN_PROGRESS_RETRY_S,
            )
        raise refuse_unknown(
            "outcome-unknown",
            "The daemon that took this key can't be reached; the call may have run.",
            UNKNOWN_RETRY_S,
        )

    async def _find_held(
        self, order: SendOrder, journal: PartitionJournal
    ) -> KeyState | None:
        state = _held(journal, order.call)
        if state is None or state.result is not None or self._health.is_away:
            return state
        timeout_s = min(CATCH_UP_TIMEOUT_S, check_time_left(order.deadline_s))
        await journal.reader.catch_up(timeout_s)
        return _held(journal, order.call)

    async def _claim(self, order: SendOrder, journal: PartitionJournal) -> Verdict:
        call, asked_s = order.call, time.monotonic()
        claim_timeout_s = order.limits.claim_timeout_ms / MILLISECONDS_PER_SECOND
        timeout_s = max(0.0, min(claim_timeout_s, order.deadline_s - asked_s))
        record = ClaimRecord(call.key, order.claim, call.fingerprint)
        try:
            return await journal.claim(record, timeout_s)
        except ClaimNotAppended:
            raise _refuse_log_away(call) from None
        except ClaimUnseen as error:
            self._abandon(order, journal, "claim-unseen")
            await journal.claim_seen(record, JUDGE_TIMEOUT_S)
            raise _refuse_unseen(order, journal, asked_s, str(error)) from None

    async def _run_held(
        self, order: SendOrder, journal: PartitionJournal
    ) -> CallAnswer:
        call, claim = order.call, order.claim
        if not journal.reader.fold.can_judge(call.key):
            self._abandon(order, journal, "key-not-judged")
            raise _refuse_unjudgeable(call)

        def settle(result: CallResult) -> None:
            journal.settle(
                OutcomeRecord(call.key, claim, call.fingerprint, result.trim())
            )

        self._record("claims.won", order)
        try:
            return await self._sender.send(order, settle)
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._abandon(order, journal, refusal.code)
            raise

    def _answer_lost(self, call: Call, journal: PartitionJournal) -> CallAnswer:
        state = _held(journal, call)
        if state is not None:
            return self._answer_held(call, state)
        code, detail = "key-contended", "Another call with this key was given up."
        if not journal.reader.fold.can_judge(call.key):
            raise refuse_unjudged(call, 503, code, detail, IN_PROGRESS_RETRY_S)
        raise Refusal(409, code, detail, retry_after_s=IN_PROGRESS_RETRY_S)

    def _abandon(
        self, order: SendOrder, journal: PartitionJournal, reason: str
    ) -> None:
        self._record("claims.abandoned", order, reason=reason)
        journal.settle(AbandonRecord(order.call.key, order.claim))

    def _record(self, kind: str, order: SendOrder, **fields: str) -> None:
        self._events.record(kind, order.call.key.key, claim=str(order.claim), **fields)


def _held(journal: PartitionJournal, call: Call) -> KeyState | None:
    state = journal.reader.fold.find(call.key)
    return state if state is not None and state.holder is not None else None


def _refuse_unseen(
    order: SendOrder, journal: PartitionJournal, asked_s: float, reason: str
) -> Refusal:
    status, code = 503, "claim-unseen"
    detail = f"The right to send was given up: {reason}."
    fold = journal.reader.fold
    state = _held(journal, order.call)
    is_free = state is None and journal.reader.read_to_end_s >= asked_s
    is_own = state is not None and state.holder == order.claim
    if fold.can_judge(order.call.key) and (is_free or is_own):
        return Refusal(status, code, detail, retry_after_s=LOG_AWAY_RETRY_S)
    return refuse_unjudged(order.call, status, code, detail, LOG_AWAY_RETRY_S)


def _refuse_log_away(call: Call) -> Refusal:
    return refuse_unjudged(call, 503, "log-away", LOG_AWAY_DETAIL, LOG_AWAY_RETRY_S)


def _refuse_unjudgeable(call: Call) -> Refusal:
    return refuse_unjudged(
        call,
        503,
        "key-not-judged",
        "The log no longer keeps all records that this key may have.",
        None,
    )
