"""Detection, isolated retry and quarantine of requests that crash their target."""

from cassiaspread_core.quarantine._record import (
    MAX_UNSEEN_TOKENS,
    Fingerprint,
    Loss,
    SuspectRecord,
    fingerprint_of,
    merge_records,
)
from cassiaspread_core.quarantine._suspects import SuspectBook
from cassiaspread_core.quarantine._trial import TrialBook, TrialClaim

__all__ = [
    "MAX_UNSEEN_TOKENS",
    "Fingerprint",
    "Loss",
    "SuspectBook",
    "SuspectRecord",
    "TrialBook",
    "TrialClaim",
    "fingerprint_of",
    "merge_records",
]
