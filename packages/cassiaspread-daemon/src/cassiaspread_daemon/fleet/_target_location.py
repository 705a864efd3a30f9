"""Targets that are listed or reported, and their locations."""

from typing import NamedTuple

from cassiaspread_core.base import DomainId, TargetId, TargetKind, VmId, VmState
from cassiaspread_core.pipeline import EngineReport
from cassiaspread_daemon.adapters import ListedVm


class TargetLocation(NamedTuple):
    """Location of a listed or reported target.

    :param target: the target.
    :param kind: kind of the target.
    :param address: ``host:port`` where it is polled.
    :param domain: its failure domain.
    :param vm: VM on which it is listed, ``None`` if it is not.
    :param is_listed_leaving: whether that VM is listed as leaving.
    """

    target: TargetId
    kind: TargetKind
    address: str
    domain: DomainId
    vm: VmId | None = None
    is_listed_leaving: bool = False


def target_id(vm: ListedVm) -> TargetId:
    """Return the target that runs on a listed VM.

    An engine has its own name; a plain service is identified by its VM.

    :param vm: an engine or a plain service.
    """
    return TargetId(vm.name if vm.role == TargetKind.ENGINE.value else vm.vm)


def from_list(vm: ListedVm) -> TargetLocation:
    """Return the target that runs on a listed VM.

    :param vm: an engine or a plain service.
    """
    return TargetLocation(
        target_id(vm),
        TargetKind(vm.role),
        vm.address,
        vm.domain,
        vm.vm,
        vm.state is VmState.LEAVING,
    )


def from_report(report: EngineReport) -> TargetLocation:
    """Return the target of an engine that is not listed.

    :param report: report of the engine.
    """
    return TargetLocation(
        report.target, TargetKind.ENGINE, report.address, report.domain
    )
