"""Reports on daemons, targets and requests that crash targets."""

import msgspec

from cassiaspread_core.base import DomainId, Incarnation, TargetId, VmId
from cassiaspread_core.membership import MemberState
from cassiaspread_core.quarantine import SuspectRecord


class DrainReport(msgspec.Struct, frozen=True):
    """A draining target, which receives no new requests.

    :param target: identifier of the target.
    :param incarnation: incarnation of the target that is draining.
    :param n_in_flight: number of requests of this daemon still in progress at it.
    """

    target: TargetId
    incarnation: str
    n_in_flight: int


class MemberReport(msgspec.Struct, frozen=True):
    """State of a daemon in the membership view of the reporting daemon.

    :param vm: VM of the daemon.
    :param domain: failure domain of the daemon.
    :param incarnation: incarnation of the daemon.
    :param address: ``host:port`` at which it receives messages.
    :param state: membership state according to the reporting daemon.
    """

    vm: VmId
    domain: DomainId
    incarnation: Incarnation
    address: str
    state: MemberState


class ObservationReport(msgspec.Struct, frozen=True):
    """Observations of one target at the reporting daemon.

    :param target: identifier of the target.
    :param domain: failure domain of the target.
    :param is_usable: whether the reporting daemon sends new requests to the target.
    :param incarnation: incarnation of the target in use, empty for none.
    :param pollers: VMs of the daemons that poll the target.
    :param n_in_flight: number of requests of the reporting daemon in progress at the
        target.
    """

    target: TargetId
    domain: DomainId
    is_usable: bool
    incarnation: str
    pollers: tuple[VmId, ...]
    n_in_flight: int


class QuarantineReport(msgspec.Struct, frozen=True):
    """Requests that are refused or retried in isolation.

    :param quarantined: records of the request fingerprints that are refused.
    :param suspects: records with a loss that is not enough for a quarantine.
    """

    quarantined: tuple[SuspectRecord, ...]
    suspects: tuple[SuspectRecord, ...]
