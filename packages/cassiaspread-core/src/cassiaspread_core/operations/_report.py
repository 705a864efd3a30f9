"""Reports that daemons give to operators."""

import msgspec

from cassiaspread_core.base import (
    DomainId,
    Incarnation,
    TargetId,
    TargetKind,
    VmId,
    VmState,
)
from cassiaspread_core.policy import PolicyStatus


class PeerReport(msgspec.Struct, frozen=True):
    """A daemon that another one hears.

    :param vm: its VM.
    :param domain: its failure domain.
    """

    vm: VmId
    domain: DomainId


class DaemonReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of one daemon.

    :param vm: its VM.
    :param domain: its failure domain.
    :param incarnation: this start of it.
    :param state: ``starting``, ``ready`` or ``leaving``.
    :param reasons: why it is not ready.
    :param n_requests: requests in progress.
    :param n_targets: targets that it would use.
    :param policy: state of its configuration.
    :param peers: daemons that it hears.
    """

    vm: VmId
    domain: DomainId
    incarnation: Incarnation
    state: str
    reasons: tuple[str, ...]
    n_requests: int
    n_targets: int
    policy: PolicyStatus
    peers: tuple[PeerReport, ...]


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """One target as a daemon knows it.

    :param target: identifier of the target.
    :param kind: what it is.
    :param name: the model that it holds layers of, or the service that it runs;
        empty while it is not usable.
    :param domain: its failure domain.
    :param address: ``host:port`` of its HTTP server.
    :param state: whether the platform lists it as leaving.
    :param is_usable: whether the daemon would give it new work.
    :param begin: first layer held, engines only.
    :param end: one past the last layer held, engines only.
    :param n_in_flight: requests that the daemon has on it.
    :param checks_fencing: whether the configuration says that it checks fencing.
    """

    target: TargetId
    kind: TargetKind
    name: str
    domain: DomainId
    address: str
    state: VmState
    is_usable: bool = False
    begin: int | None = None
    end: int | None = None
    n_in_flight: int = 0
    checks_fencing: bool = False
