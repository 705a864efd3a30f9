"""Clients of external systems, one module for each."""

from cassiaspread_core.base import LogPage, LogRecord
from cassiaspread_daemon.adapters._engine import (
    AttemptRefused,
    CancelOrder,
    EngineClient,
    EngineRefused,
    GenerateOrder,
    ResumeOrder,
    StreamEvent,
)
from cassiaspread_daemon.adapters._log import (
    AppendAmbiguous,
    AppendNotSent,
    LogClient,
    LogUnavailable,
    Truncated,
)
from cassiaspread_daemon.adapters._vm_list import ListedVm, VmListClient

__all__ = [
    "AppendAmbiguous",
    "AppendNotSent",
    "AttemptRefused",
    "CancelOrder",
    "EngineClient",
    "EngineRefused",
    "GenerateOrder",
    "ListedVm",
    "LogClient",
    "LogPage",
    "LogRecord",
    "LogUnavailable",
    "ResumeOrder",
    "StreamEvent",
    "Truncated",
    "VmListClient",
]
