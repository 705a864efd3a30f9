"""At-most-once execution of non-idempotent calls: keys, records and their fold.

Only the holder of an idempotency key may send its call to a target. The order of
the records in a partition of the log determines the holder (:class:`PartitionFold`).
For a ticket, a key that names the incarnation of a daemon, the in-memory state of
that daemon determines it (:class:`TicketTable`).
"""

from cassiaspread_core.claims._committer import choose_committer
from cassiaspread_core.claims._fold import ClaimVerdict, KeyState, PartitionFold
from cassiaspread_core.claims._key import (
    MAX_CLOCK_SKEW_S,
    N_PARTITIONS,
    InvalidKey,
    KeyAge,
    check_key,
    classify_age,
    compute_fingerprint,
    compute_partition,
    create_ticket_key,
    key_created_s,
    ticket_incarnation,
)
from cassiaspread_core.claims._record import (
    MAX_RECORDED_BODY_BYTES,
    AbandonRecord,
    CallResult,
    ClaimId,
    ClaimRecord,
    Fingerprint,
    InvalidBatch,
    OutcomeRecord,
    Record,
    ScopedKey,
    decode_batch,
    encode_batch,
)
from cassiaspread_core.claims._ticket import TicketState, TicketTable

__all__ = [
    "MAX_CLOCK_SKEW_S",
    "MAX_RECORDED_BODY_BYTES",
    "N_PARTITIONS",
    "AbandonRecord",
    "CallResult",
    "ClaimId",
    "ClaimRecord",
    "ClaimVerdict",
    "Fingerprint",
    "InvalidBatch",
    "InvalidKey",
    "KeyAge",
    "KeyState",
    "OutcomeRecord",
    "PartitionFold",
    "Record",
    "ScopedKey",
    "TicketState",
    "TicketTable",
    "check_key",
    "choose_committer",
    "classify_age",
    "compute_fingerprint",
    "compute_partition",
    "create_ticket_key",
    "decode_batch",
    "encode_batch",
    "key_created_s",
    "ticket_incarnation",
]
