"""Reports on the state of a daemon and its targets."""

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
    """A daemon from which the reporting daemon receives messages.

    :param vm: VM of the daemon.
    :param domain: failure domain of the daemon.
    """

    vm: VmId
    domain: DomainId


class DaemonReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of one daemon.

    :param vm: VM of the daemon.
    :param domain: failure domain of the daemon.
    :param incarnation: incarnation of the daemon.
    :param state: ``starting``, ``ready`` or ``leaving``.
    :param reasons: reasons why the daemon is not ready.
    :param n_requests: number of requests in progress.
    :param n_targets: number of targets usable for new requests.
    :param policy: status of the configuration.
    :param peers: daemons from which it receives messages.
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
    """State of a target at one daemon.

    :param target: identifier of the target.
    :param kind: engine or service.
    :param name: model whose layers the engine holds, or name of the service; empty
        while the target is not usable.
    :param domain: failure domain of the target.
    :param address: ``host:port`` of the HTTP server of the target.
    :param state: whether the platform lists the target as leaving.
    :param is_usable: whether the daemon sends new requests to the target.
    :param begin: first layer of the engine, ``None`` for services and unusable engines.
    :param end: layer after the last layer of the engine, ``None`` likewise.
    :param n_in_flight: number of requests of the daemon in progress at the target.
    :param checks_fencing: whether, according to the configuration, the target checks
        fencing tokens.
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
