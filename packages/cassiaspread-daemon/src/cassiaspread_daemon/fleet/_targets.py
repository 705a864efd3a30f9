"""Targets that the daemon knows, with their last report."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import msgspec
from cassiaspread_core.base import ModelId, ServiceId, TargetId, VmState
from cassiaspread_core.pipeline import EngineReport

from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon.adapters import EngineClient, ListedVm, VmListClient
from cassiaspread_daemon.adapters._vm_list import VmListUnavailable

REPORT_TIMEOUT_S = 1.0


class TargetRegistry:
    """Reads the VM list, polls the engines on it and counts work in flight.

    :param vm_list: client of the platform's list.
    :param engines: client of the engines.
    :param poll_interval_s: interval between polls, in seconds.
    """

    def __init__(
        self, vm_list: VmListClient, engines: EngineClient, poll_interval_s: float
    ) -> None:
        self._vm_list = vm_list
        self._engines = engines
        self._poll_interval_s = poll_interval_s
        self._listed: tuple[ListedVm, ...] = ()
        self._reports: dict[TargetId, EngineReport] = {}
        self._in_flight: dict[TargetId, int] = {}

    def engines(self, model: ModelId) -> list[EngineReport]:
        """List the engines of a model that take new work.

        :param model: the model.
        """
        return [
            report
            for report in self._reports.values()
            if report.model == model and report.state is VmState.LIVE
        ]

    def services(self, service: ServiceId) -> list[ListedVm]:
        """List the targets of a plain service that take new work.

        :param service: the service.
        """
        return [
            vm
            for vm in self._listed
            if vm.role == "service" and vm.name == service and vm.state is VmState.LIVE
        ]

    def daemon_addresses(self) -> set[str]:
        """Return where the listed daemons take messages."""
        return {vm.address for vm in self._listed if vm.role == "daemon"}

    def n_in_flight(self, target: TargetId) -> int:
        """Count the requests that this daemon has on a target.

        :param target: the target.
        """
        return self._in_flight.get(target, 0)

    @contextmanager
    def in_flight(self, targets: list[TargetId]) -> Iterator[None]:
        """Count a request on targets while the context lasts.

        :param targets: the targets that it uses.
        """
        for target in targets:
            self._in_flight[target] = self._in_flight.get(target, 0) + 1
        try:
            yield
        finally:
            for target in targets:
                self._in_flight[target] -= 1

    def forget(self, target: TargetId) -> None:
        """Stop using an engine until it reports again.

        :param target: an engine that this daemon saw failing.
        """
        self._reports.pop(target, None)

    async def run(self) -> None:
        """Read the list and poll until cancelled."""
        while True:
            with suppress(VmListUnavailable):
                self._listed = await self._vm_list.read()
            await asyncio.gather(
                *(self._poll(vm) for vm in self._listed if vm.role == "engine")
            )
            await asyncio.sleep(self._poll_interval_s)

    async def _poll(self, vm: ListedVm) -> None:
        target = TargetId(vm.name)
        try:
            report = await self._engines.report(vm.address, REPORT_TIMEOUT_S)
        except (ConnectFailed, ExchangeBroken, msgspec.MsgspecError):
            self._reports.pop(target, None)
            return
        if vm.state is VmState.LEAVING:
            report = msgspec.structs.replace(report, state=VmState.LEAVING)
        self._reports[target] = report
