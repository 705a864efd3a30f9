"""What the daemon knows of targets and of the configuration in force."""

from cassiaspread_daemon.fleet._list_reader import VmListReader
from cassiaspread_daemon.fleet._policy import PolicyFollower
from cassiaspread_daemon.fleet._poller import Poller
from cassiaspread_daemon.fleet._spread import ObservationSpread
from cassiaspread_daemon.fleet._targets import TargetRegistry, UnknownTarget

__all__ = [
    "ObservationSpread",
    "PolicyFollower",
    "Poller",
    "TargetRegistry",
    "UnknownTarget",
    "VmListReader",
]
