"""Liveness probes of targets over new connections."""

import asyncio

from cassiaspread_core.base import MalformedDocument
from cassiaspread_daemon._exchange import ConnectFailed, Exchange, ExchangeBroken
from cassiaspread_daemon.adapters import EngineClient

PROBE_TIMEOUT_S = 0.5
CONFIRM_DELAY_S = 0.05


class TargetProbe:
    """Probes targets; concurrent requests for one target share a probe.

    :param engines: client of the engines.
    """

    def __init__(self, engines: EngineClient) -> None:
        self._engines = engines
        self._probes: dict[tuple[str, str], asyncio.Task[bool]] = {}

    async def is_alive(self, address: str, incarnation: str) -> bool:
        """Return whether a target is alive and has not restarted.

        :param address: ``host:port`` of the target.
        :param incarnation: expected incarnation of an engine; empty for a plain
            service, which reports none and is alive if it accepts connections.
        """
        key = address, incarnation
        probe = self._probes.get(key)
        if probe is None:
            probe = asyncio.create_task(self._probe(address, incarnation))
            self._probes[key] = probe
            probe.add_done_callback(lambda _: self._probes.pop(key, None))
        return await asyncio.shield(probe)

    async def _probe(self, address: str, incarnation: str) -> bool:
        try:
            if not incarnation:
                return await self._accepts_connections(address)
            report = await self._engines.report(address, PROBE_TIMEOUT_S)
        except (ConnectFailed, ExchangeBroken, MalformedDocument):
            return False
        return report.incarnation == incarnation

    async def _accepts_connections(self, address: str) -> bool:
        with await Exchange.open(address, PROBE_TIMEOUT_S):
            await asyncio.sleep(CONFIRM_DELAY_S)
        # A process that is exiting may still accept one connection.
        with await Exchange.open(address, PROBE_TIMEOUT_S):
            return True
