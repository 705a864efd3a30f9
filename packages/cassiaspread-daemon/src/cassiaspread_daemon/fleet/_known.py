"""Targets that are listed or were heard of, and where they are."""

from typing import NamedTuple

from cassiaspread_core.base import DomainId, TargetId, TargetKind, VmId, VmState
from cassiaspread_core.pipeline import EngineReport
from cassiaspread_daemon.adapters import ListedVm


class KnownTarget(NamedTuple):
    """One target.

    :param target: the target.
    :param kind: what it is.
    :param address: ``host:port`` where it is polled.
    :param domain: its failure domain.
    :param vm: VM on which the list shows it, if it does.
    :param is_listed_leaving: whether the list shows that VM as leaving.
    """

    target: TargetId
    kind: TargetKind
    address: str
    domain: DomainId
    vm: VmId | None = None
    is_listed_leaving: bool = False


def target_id(vm: ListedVm) -> TargetId:
    """Return the target that runs on a listed VM.

    An engine has a name of its own; a plain service is told apart by its VM.

    :param vm: an engine or a plain service.
    """
    return TargetId(vm.name if vm.role == TargetKind.ENGINE.value else vm.vm)


def from_list(vm: ListedVm) -> KnownTarget:
    """Return the target that runs on a listed VM.

    :param vm: an engine or a plain service.
    """
    return KnownTarget(
        target_id(vm),
        TargetKind(vm.role),
        vm.address,
        vm.domain,
        vm.vm,
        vm.state is VmState.LEAVING,
    )


def from_report(report: EngineReport) -> KnownTarget:
    """Return an engine that no list has shown yet.

    :param report: its report, as a peer told it.
    """
    return KnownTarget(report.target, TargetKind.ENGINE, report.address, report.domain)
