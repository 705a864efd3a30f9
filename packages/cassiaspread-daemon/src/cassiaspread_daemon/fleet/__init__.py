"""What the daemon knows of targets and of the configuration in force."""

from cassiaspread_daemon.fleet._checkpoint import PolicyCheckpointer
from cassiaspread_daemon.fleet._policy import PolicyFollower
from cassiaspread_daemon.fleet._policy_peers import PolicyPeers
from cassiaspread_daemon.fleet._targets import TargetRegistry

__all__ = ["PolicyCheckpointer", "PolicyFollower", "PolicyPeers", "TargetRegistry"]
