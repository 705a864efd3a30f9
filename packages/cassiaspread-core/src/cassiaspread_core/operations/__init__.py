"""Reports of the operator API."""

from cassiaspread_core.operations._fleet import (
    DrainReport,
    MemberReport,
    ObservationReport,
    QuarantineReport,
)
from cassiaspread_core.operations._key import KeyReport
from cassiaspread_core.operations._report import (
    DaemonReport,
    PeerReport,
    TargetReport,
)

__all__ = [
    "DaemonReport",
    "DrainReport",
    "KeyReport",
    "MemberReport",
    "ObservationReport",
    "PeerReport",
    "QuarantineReport",
    "TargetReport",
]
