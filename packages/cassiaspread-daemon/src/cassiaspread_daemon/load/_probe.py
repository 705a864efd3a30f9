"""Asks targets over new connections whether they are alive."""

import asyncio

import msgspec

from cassiaspread_daemon._exchange import ConnectFailed, Exchange, ExchangeBroken
from cassiaspread_daemon.adapters import EngineClient

PROBE_TIMEOUT_S = 0.5
CONFIRM_DELAY_S = 0.05


class TargetProbe:
    """Probes each target once for all requests that ask at the same time.

    :param engines: client of the engines.
    """

    def __init__(self, engines: EngineClient) -> None:
        self._engines = engines
        self._probes: dict[tuple[str, str], asyncio.Task[bool]] = {}

    async def is_alive(self, address: str, incarnation: str) -> bool:
        """Tell whether a target still is the process that it was.

        :param address: ``host:port`` of the target.
        :param incarnation: the start of an engine; empty for a plain service, of
            which an open connection is all that can be known.
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
                return await self._accepts(address)
            report = await self._engines.report(address, PROBE_TIMEOUT_S)
        except (ConnectFailed, ExchangeBroken, msgspec.MsgspecError):
            return False
        return report.incarnation == incarnation

    async def _accepts(self, address: str) -> bool:
        with await Exchange.open(address, PROBE_TIMEOUT_S):
            await asyncio.sleep(CONFIRM_DELAY_S)
        # A process that is ending may accept once more.
        with await Exchange.open(address, PROBE_TIMEOUT_S):
            return True
