"""State of targets and of the configuration in force."""

from cassiaspread_daemon.fleet._checkpoint import PolicyCheckpointer
from cassiaspread_daemon.fleet._list_reader import VmListReader
from cassiaspread_daemon.fleet._observation_gossip import ObservationGossip
from cassiaspread_daemon.fleet._policy import PolicyFollower
from cassiaspread_daemon.fleet._policy_peers import PolicyPeers
from cassiaspread_daemon.fleet._poller import Poller
from cassiaspread_daemon.fleet._targets import TargetRegistry, UnknownTarget

__all__ = [
    "ObservationGossip",
    "PolicyCheckpointer",
    "PolicyFollower",
    "PolicyPeers",
    "Poller",
    "TargetRegistry",
    "UnknownTarget",
    "VmListReader",
]
