"""What the daemon knows of targets and of the configuration in force."""

from cassiaspread_daemon.fleet._policy import PolicyFollower
from cassiaspread_daemon.fleet._targets import TargetRegistry

__all__ = ["PolicyFollower", "TargetRegistry"]
