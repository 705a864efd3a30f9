"""Detection, isolated retry and quarantine of requests that crash their target."""

from cassiaspread_core.quarantine._crashing import N_ROUNDS, find_crashing
from cassiaspread_core.quarantine._record import (
    MAX_UNDELIVERED_TOKENS,
    Fingerprint,
    Loss,
    SuspectRecord,
    call_content,
    fingerprint_of,
    is_expired,
    merge_records,
)
from cassiaspread_core.quarantine._suspects import SuspectTable
from cassiaspread_core.quarantine._trial import TrialClaim, TrialClaims

__all__ = [
    "MAX_UNDELIVERED_TOKENS",
    "N_ROUNDS",
    "Fingerprint",
    "Loss",
    "SuspectRecord",
    "SuspectTable",
    "TrialClaim",
    "TrialClaims",
    "call_content",
    "find_crashing",
    "fingerprint_of",
    "is_expired",
    "merge_records",
]
