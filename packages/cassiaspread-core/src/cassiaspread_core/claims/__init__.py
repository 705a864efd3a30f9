"""At-most-once execution of non-idempotent calls: keys, records and their fold.

Only the holder of an idempotency key may send its call to a target. The order of
the records in a partition of the log determines the holder (:class:`PartitionFold`).
For a ticket, a key that names the incarnation of a daemon, the in-memory state of
that daemon determines it (:class:`TicketBook`).
"""

from cassiaspread_core.claims._committer import choose_committer
from cassiaspread_core.claims._fold import KeyState, PartitionFold, Verdict
from cassiaspread_core.claims._key import (
    MAX_CLOCK_SKEW_S,
    N_PARTITIONS,
    BadKey,
    KeyAge,
    check_key,
    compute_fingerprint,
    compute_partition,
    judge_age,
    key_created_s,
    mint_ticket,
    ticket_incarnation,
)
from cassiaspread_core.claims._record import (
    MAX_RECORDED_BODY_BYTES,
    AbandonRecord,
    CallResult,
    ClaimId,
    ClaimRecord,
    Fingerprint,
    OutcomeRecord,
    Record,
    ScopedKey,
    decode_batch,
    encode_batch,
)
from cassiaspread_core.claims._ticket import TicketBook, TicketState

__all__ = [
    "MAX_CLOCK_SKEW_S",
    "MAX_RECORDED_BODY_BYTES",
    "N_PARTITIONS",
    "AbandonRecord",
    "BadKey",
    "CallResult",
    "ClaimId",
    "ClaimRecord",
    "Fingerprint",
    "KeyAge",
    "KeyState",
    "OutcomeRecord",
    "PartitionFold",
    "Record",
    "ScopedKey",
    "TicketBook",
    "TicketState",
    "Verdict",
    "check_key",
    "choose_committer",
    "compute_fingerprint",
    "compute_partition",
    "decode_batch",
    "encode_batch",
    "judge_age",
    "key_created_s",
    "mint_ticket",
    "ticket_incarnation",
]
