"""Detection, isolated retry and quarantine of requests that crash their target."""

from cassiaspread_core.quarantine._crashing import N_ROUNDS, find_crashing
from cassiaspread_core.quarantine._judge import CrashJudge, RequestTraits, RunStart
from cassiaspread_core.quarantine._parts import (
    MIN_TRIAL_S,
    is_refused_with,
    next_trial_s,
)
from cassiaspread_core.quarantine._record import (
    MAX_LOSSES,
    MAX_UNDELIVERED_TOKENS,
    Fingerprint,
    Loss,
    SuspectKind,
    SuspectRecord,
    call_content,
    fingerprint_of,
    first_organisations,
    is_expired,
    merge_records,
    part_fingerprint,
)
from cassiaspread_core.quarantine._suspects import SuspectTable
from cassiaspread_core.quarantine._trial import TrialClaim, TrialClaims

__all__ = [
    "MAX_LOSSES",
    "MAX_UNDELIVERED_TOKENS",
    "MIN_TRIAL_S",
    "N_ROUNDS",
    "CrashJudge",
    "Fingerprint",
    "Loss",
    "RequestTraits",
    "RunStart",
    "SuspectKind",
    "SuspectRecord",
    "SuspectTable",
    "TrialClaim",
    "TrialClaims",
    "call_content",
    "find_crashing",
    "fingerprint_of",
    "first_organisations",
    "is_expired",
    "is_refused_with",
    "merge_records",
    "next_trial_s",
    "part_fingerprint",
]
