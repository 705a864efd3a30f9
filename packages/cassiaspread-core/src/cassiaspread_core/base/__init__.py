"""Identifiers, log records, states and errors shared by all modules."""

from cassiaspread_core.base._errors import (
    CassiaspreadError,
    Finding,
    FindingsError,
    Refusal,
)
from cassiaspread_core.base._ids import (
    DomainId,
    IdempotencyKey,
    Incarnation,
    ModelId,
    Offset,
    OrganisationId,
    RequestId,
    ServiceId,
    TargetId,
    VmId,
)
from cassiaspread_core.base._log import (
    AppendAmbiguous,
    AppendNotSent,
    LogPage,
    LogRecord,
    LogUnavailable,
    Restored,
    Truncated,
)
from cassiaspread_core.base._rate import EventRate
from cassiaspread_core.base._states import Outcome, TargetKind, VmState

__all__ = [
    "AppendAmbiguous",
    "AppendNotSent",
    "CassiaspreadError",
    "DomainId",
    "EventRate",
    "Finding",
    "FindingsError",
    "IdempotencyKey",
    "Incarnation",
    "LogPage",
    "LogRecord",
    "LogUnavailable",
    "ModelId",
    "Offset",
    "OrganisationId",
    "Outcome",
    "Refusal",
    "RequestId",
    "Restored",
    "ServiceId",
    "TargetId",
    "TargetKind",
    "Truncated",
    "VmId",
    "VmState",
]
