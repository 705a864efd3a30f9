"""States and kinds shared by several modules."""

from enum import Enum


class Outcome(Enum):
    """Whether a request that was not answered completely may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class VmState(Enum):
    """State of a VM or of the target on it."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetKind(Enum):
    """Kind of a target."""

    ENGINE = "engine"
    SERVICE = "service"
