"""Clients of external systems, one module for each."""

from cassiaspread_core.base import (
    AppendAmbiguous,
    AppendNotSent,
    LogPage,
    LogRecord,
    LogUnavailable,
    Truncated,
)
from cassiaspread_daemon.adapters._engine import (
    CancelOrder,
    EngineClient,
    EngineStatusError,
    GenerateOrder,
    MalformedEvent,
    ResumeOrder,
    StaleAttemptError,
    StreamEvent,
)
from cassiaspread_daemon.adapters._log import LogClient
from cassiaspread_daemon.adapters._vm_list import ListedVm, VmListClient

__all__ = [
    "AppendAmbiguous",
    "AppendNotSent",
    "CancelOrder",
    "EngineClient",
    "EngineStatusError",
    "GenerateOrder",
    "ListedVm",
    "LogClient",
    "LogPage",
    "LogRecord",
    "LogUnavailable",
    "MalformedEvent",
    "ResumeOrder",
    "StaleAttemptError",
    "StreamEvent",
    "Truncated",
    "VmListClient",
]
