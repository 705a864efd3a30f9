"""Calls whose keys were made by callers: the log determines the daemon that sends."""

import time
from collections.abc import Callable

from cassiaspread_core.base import Incarnation, Outcome, Refusal
from cassiaspread_core.claims import (
    AbandonRecord,
    CallResult,
    ClaimRecord,
    ClaimVerdict,
    KeyState,
    OutcomeRecord,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.claims._call import (
    IN_PROGRESS_RETRY_S,
    UNKNOWN_RETRY_S,
    Call,
    CallAnswer,
    check_fingerprint,
    replay,
    unknown_history_refusal,
    unknown_outcome_refusal,
)
from cassiaspread_daemon.claims._journal import (
    ClaimNotAppended,
    ClaimUnconfirmed,
    PartitionJournal,
)
from cassiaspread_daemon.claims._reader import LogHealth
from cassiaspread_daemon.claims._sender import (
    MILLISECONDS_PER_SECOND,
    CallContext,
    CallSender,
    check_remaining_time,
)

LOG_UNAVAILABLE_RETRY_S = 5.0
CATCH_UP_TIMEOUT_S = 1.0

# Longest wait for records of earlier calls, after the claim was abandoned.
EARLIER_CALLS_TIMEOUT_S = 0.5
LOG_UNAVAILABLE_DETAIL = (
    "The log that decides on keys can't be reached. An urgent call can run now "
    "under a key from POST /v1/tickets."
)


class ClaimRunner:
    """Runs the calls whose keys this daemon claims successfully.

    :param sender: sends calls whose keys this daemon holds.
    :param health: availability of the log.
    :param events: the time line.
    :param is_live: returns whether a daemon incarnation is a live peer.
    """

    def __init__(
        self,
        sender: CallSender,
        health: LogHealth,
        events: EventRing,
        is_live: Callable[[Incarnation], bool],
    ) -> None:
        self._sender = sender
        self._health = health
        self._events = events
        self._is_live = is_live

    async def run(self, context: CallContext, journal: PartitionJournal) -> CallAnswer:
        """Answer a call; run it if no other call holds its key.

        :param context: the call and its limits.
        :param journal: journal of the partition of its key.
        :raises Refusal: there is no complete answer.
        """
        state = await self._find_held_key(context, journal)
        if state is not None:
            return self._answer_held_key(context.call, state)
        if self._health.is_unavailable:
            raise _log_unavailable_refusal(context.call)
        if not journal.reader.fold.has_complete_history(context.call.key):
            raise _incomplete_history_refusal(context.call)
        if await self._claim(context, journal) is ClaimVerdict.VOID:
            self._record("claims.lost", context)
            return self._answer_void_claim(context.call, journal)
        return await self._run_as_holder(context, journal)

    def _answer_held_key(self, call: Call, state: KeyState) -> CallAnswer:
        check_fingerprint(call, state.fingerprint)
        if state.result is not None:
            return replay(state.result, state.holder)
        assert state.holder is not None
        if self._is_live(state.holder.holder):
            raise unknown_outcome_refusal(
                "in-progress",
                "Another call with this key is in progress.",
                IN_PROGRESS_RETRY_S,
            )
        raise unknown_outcome_refusal(
            "outcome-unknown",
            "The daemon that took this key can't be reached; the call may have run.",
            UNKNOWN_RETRY_S,
        )

    async def _find_held_key(
        self, context: CallContext, journal: PartitionJournal
    ) -> KeyState | None:
        state = _held_key_state(journal, context.call)
        if state is None or state.result is not None or self._health.is_unavailable:
            return state
        timeout_s = min(CATCH_UP_TIMEOUT_S, check_remaining_time(context.deadline_s))
        await journal.reader.catch_up(timeout_s)
        return _held_key_state(journal, context.call)

    async def _claim(
        self, context: CallContext, journal: PartitionJournal
    ) -> ClaimVerdict:
        call, requested_s = context.call, time.monotonic()
        claim_timeout_s = context.limits.claim_timeout_ms / MILLISECONDS_PER_SECOND
        timeout_s = max(0.0, min(claim_timeout_s, context.deadline_s - requested_s))
        record = ClaimRecord(call.key, context.claim, call.fingerprint)
        try:
            return await journal.claim(record, timeout_s)
        except ClaimNotAppended:
            raise _log_unavailable_refusal(call) from None
        except ClaimUnconfirmed as error:
            self._abandon(context, journal, "claim-unseen")
            await journal.wait_decided(record, EARLIER_CALLS_TIMEOUT_S)
            raise _unconfirmed_claim_refusal(
                context, journal, requested_s, str(error)
            ) from None

    async def _run_as_holder(
        self, context: CallContext, journal: PartitionJournal
    ) -> CallAnswer:
        call, claim = context.call, context.claim
        if not journal.reader.fold.has_complete_history(call.key):
            self._abandon(context, journal, "key-not-judged")
            raise _incomplete_history_refusal(call)

        def settle(result: CallResult) -> None:
            journal.settle(
                OutcomeRecord(
                    call.key, claim, call.fingerprint, result.without_large_body()
                )
            )

        self._record("claims.won", context)
        try:
            return await self._sender.send(context, settle)
        except Refusal as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._abandon(context, journal, refusal.code)
            raise

    def _answer_void_claim(self, call: Call, journal: PartitionJournal) -> CallAnswer:
        state = _held_key_state(journal, call)
        if state is not None:
            return self._answer_held_key(call, state)
        code, detail = "key-contended", "Another call with this key was given up."
        if not journal.reader.fold.has_complete_history(call.key):
            raise unknown_history_refusal(call, 503, code, detail, IN_PROGRESS_RETRY_S)
        raise Refusal(409, code, detail, retry_after_s=IN_PROGRESS_RETRY_S)

    def _abandon(
        self, context: CallContext, journal: PartitionJournal, reason: str
    ) -> None:
        self._record("claims.abandoned", context, reason=reason)
        journal.settle(AbandonRecord(context.call.key, context.claim))

    def _record(self, kind: str, context: CallContext, **fields: str) -> None:
        self._events.record(
            kind, context.call.key.key, claim=str(context.claim), **fields
        )


def _held_key_state(journal: PartitionJournal, call: Call) -> KeyState | None:
    state = journal.reader.fold.find(call.key)
    return state if state is not None and state.holder is not None else None


def _unconfirmed_claim_refusal(
    context: CallContext, journal: PartitionJournal, requested_s: float, reason: str
) -> Refusal:
    status, code = 503, "claim-unseen"
    detail = f"The right to send was given up: {reason}."
    fold = journal.reader.fold
    state = _held_key_state(journal, context.call)
    is_free = state is None and journal.reader.read_to_end_s >= requested_s
    is_own = state is not None and state.holder == context.claim
    if fold.has_complete_history(context.call.key) and (is_free or is_own):
        return Refusal(status, code, detail, retry_after_s=LOG_UNAVAILABLE_RETRY_S)
    return unknown_history_refusal(
        context.call, status, code, detail, LOG_UNAVAILABLE_RETRY_S
    )


def _log_unavailable_refusal(call: Call) -> Refusal:
    return unknown_history_refusal(
        call, 503, "log-away", LOG_UNAVAILABLE_DETAIL, LOG_UNAVAILABLE_RETRY_S
    )


def _incomplete_history_refusal(call: Call) -> Refusal:
    return unknown_history_refusal(
        call,
        503,
        "key-not-judged",
        "The log no longer keeps all records that this key may have.",
        None,
    )
