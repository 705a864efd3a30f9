"""Polls the platform's VM list."""

import asyncio

from absl import logging

from cassiaspread_daemon.adapters import VmListClient
from cassiaspread_daemon.adapters._vm_list import VmListUnavailable
from cassiaspread_daemon.fleet._targets import TargetRegistry


class VmListReader:
    """Reads the VM list periodically and applies it when it changed.

    :param vm_list: client of the list.
    :param targets: registry to which the list is applied.
    :param interval_s: time between two reads, in seconds.
    """

    def __init__(
        self, vm_list: VmListClient, targets: TargetRegistry, interval_s: float
    ) -> None:
        self._vm_list = vm_list
        self._targets = targets
        self._interval_s = interval_s

    async def run(self) -> None:
        """Read until cancelled; the last list stays in use while reads fail."""
        while True:
            try:
                listed = await self._vm_list.read()
            except VmListUnavailable as error:
                logging.log_every_n_seconds(
                    logging.WARNING, "could not read the VM list: %s", 30, error
                )
            else:
                if listed is not None:
                    self._targets.apply_list(listed)
            await asyncio.sleep(self._interval_s)
