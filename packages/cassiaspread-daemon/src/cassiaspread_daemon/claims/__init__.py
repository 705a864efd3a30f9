"""Runs non-idempotent calls at most once."""

from cassiaspread_daemon.claims._call import Call, CallAnswer
from cassiaspread_daemon.claims._sender import connect
from cassiaspread_daemon.claims._service import ClaimService, KeyReport

__all__ = ["Call", "CallAnswer", "ClaimService", "KeyReport", "connect"]
