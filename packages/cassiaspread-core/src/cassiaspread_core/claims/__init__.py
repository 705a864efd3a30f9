"""At most one run of each non-idempotent call: keys, records and their fold.

A call may be sent to a target only by the holder of its key. Who holds a key is
decided by the order of records in a partition of the log
(:class:`PartitionFold`), or, for a key that names a daemon's incarnation, by the
memory of that one daemon (:class:`TicketBook`).
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
    key_time_s,
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
    "key_time_s",
    "mint_ticket",
    "ticket_incarnation",
]
