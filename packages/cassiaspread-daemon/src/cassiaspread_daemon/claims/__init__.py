"""At-most-once execution of non-idempotent calls."""

from cassiaspread_daemon.claims._call import (
    UNKNOWN_HISTORY_DETAIL,
    Call,
    CallAnswer,
    target_lost_refusal,
    to_result,
)
from cassiaspread_daemon.claims._sender import connect
from cassiaspread_daemon.claims._service import ClaimService

__all__ = [
    "UNKNOWN_HISTORY_DETAIL",
    "Call",
    "CallAnswer",
    "ClaimService",
    "connect",
    "target_lost_refusal",
    "to_result",
]
