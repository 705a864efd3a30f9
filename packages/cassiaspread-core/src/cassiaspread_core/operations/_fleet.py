"""Reports on daemons, targets and requests that crash them."""

import msgspec

from cassiaspread_core.base import DomainId, Incarnation, TargetId, VmId
from cassiaspread_core.membership import MemberState
from cassiaspread_core.quarantine import SuspectRecord


class DrainReport(msgspec.Struct, frozen=True):
    """A target that gets no new work.

    :param target: the target.
    :param incarnation: its start that gets no new work.
    :param n_in_flight: requests that this daemon still has on it.
    """

    target: TargetId
    incarnation: str
    n_in_flight: int


class MemberReport(msgspec.Struct, frozen=True):
    """One daemon as another one sees it.

    :param vm: its VM.
    :param domain: its failure domain.
    :param incarnation: its start.
    :param address: ``host:port`` where it takes messages.
    :param state: the verdict of the daemon that answers.
    """

    vm: VmId
    domain: DomainId
    incarnation: Incarnation
    address: str
    state: MemberState


class ObservationReport(msgspec.Struct, frozen=True):
    """What a daemon has observed of one target.

    :param target: the target.
    :param domain: its failure domain.
    :param is_usable: whether it gets new work from the daemon that answers.
    :param incarnation: the start that is used, empty for none.
    :param pollers: VMs of the daemons that poll it.
    :param n_in_flight: requests that the daemon that answers has on it.
    """

    target: TargetId
    domain: DomainId
    is_usable: bool
    incarnation: str
    pollers: tuple[VmId, ...]
    n_in_flight: int


class QuarantineReport(msgspec.Struct, frozen=True):
    """Requests that are refused or retried alone.

    :param quarantined: records of the fingerprints that are refused.
    :param suspects: records with a loss that do not suffice for a verdict.
    """

    quarantined: tuple[SuspectRecord, ...]
    suspects: tuple[SuspectRecord, ...]
