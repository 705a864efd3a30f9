"""States shared by several decisions."""

from enum import Enum


class Outcome(Enum):
    """What is known about a request that was not answered in full."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class VmState(Enum):
    """State of a VM or of the target on it."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetKind(Enum):
    """What a target is."""

    ENGINE = "engine"
    SERVICE = "service"
