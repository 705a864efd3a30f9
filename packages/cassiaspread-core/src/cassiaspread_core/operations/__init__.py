"""Reports that daemons give to operators."""

from cassiaspread_core.operations._report import (
    DaemonReport,
    PeerReport,
    TargetReport,
)

__all__ = ["DaemonReport", "PeerReport", "TargetReport"]
