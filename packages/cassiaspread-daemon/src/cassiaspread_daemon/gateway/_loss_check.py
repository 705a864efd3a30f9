"""Connections to suspect engines, for the placement of the layers that they hold."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from cassiaspread_core.base import DomainId
from cassiaspread_core.placement import Contact, Engine, EngineLosses
from cassiaspread_core.targets import TargetHealth
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._loss_probe import LossProbe, ProbeResult
from cassiaspread_daemon.gateway._routing_state import RoutingState

# Pause between two rounds of connections, in seconds.
CHECK_INTERVAL_S = 0.25
# Connections of one round. They go on in the next one.
MAX_CHECKED = 32

CONTACTS = {
    ProbeResult.ALIVE: Contact.ACCEPTED,
    ProbeResult.REFUSED: Contact.REFUSED,
    ProbeResult.SILENT: Contact.SILENT,
}


class LossCheck:
    """Finds the engines that have ended before the list of engines shows it.

    :param routing_state: the current list of engines.
    :param health: knows the engines that this daemon or others suspect.
    :param is_holder: returns whether this daemon places layers.
    :param log: receives a line for each engine that is lost.
    :param connect: connects to ``host:port``, at a time in seconds.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        health: TargetHealth,
        is_holder: Callable[[], bool],
        log: DecisionLog,
        connect: Callable[[str, float], Awaitable[ProbeResult]] | None = None,
    ) -> None:
        self._routing_state = routing_state
        self._health = health
        self._is_holder = is_holder
        self._log = log
        self._connect = LossProbe().run if connect is None else connect
        self._losses = EngineLosses()

    @property
    def n_lost(self) -> int:
        """Number of engines that are listed and count as lost."""
        return len(self._losses.lost)

    def is_lost(self, engine: Engine) -> bool:
        """Return whether an engine counts as lost.

        :param engine: the engine as listed.
        """
        return self._losses.is_lost(engine.target, engine.incarnation)

    async def run(self) -> None:
        """Check suspect engines while this daemon places layers, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check(now())

    async def check(self, now_s: float) -> None:
        """Connect to the suspect engines once.

        :param now_s: current time, in seconds.
        """
        listed = self._routing_state.engines
        self._losses.retain(set(listed))
        if not self._is_holder():
            return
        with_layers = [e for e in listed.values() if e.layers and not e.is_leaving]
        suspects = [
            e
            for e in with_layers
            if self.is_lost(e) or self._health.is_suspect(e.target, now_s)
        ][:MAX_CHECKED]
        if not suspects:
            return
        others = self._find_others(with_layers, suspects, now_s)
        engines = [*suspects, *others.values()]
        results = await asyncio.gather(
            *(self._connect(engine.address, now_s) for engine in engines)
        )
        reachable = {
            engine.domain
            for engine, result in zip(engines, results, strict=True)
            if result is not ProbeResult.SILENT
        }
        for engine, result in zip(suspects, results, strict=False):
            # A failure domain that is cut off is silent as a whole.
            if result is not ProbeResult.SILENT or engine.domain in reachable:
                self._record(engine, CONTACTS[result], now())

    def _find_others(
        self, engines: Iterable[Engine], suspects: list[Engine], now_s: float
    ) -> dict[DomainId, Engine]:
        """Choose an engine of each domain that shows whether it can be reached."""
        domains = {engine.domain for engine in suspects}
        return {
            engine.domain: engine
            for engine in engines
            if engine.domain in domains
            and not self.is_lost(engine)
            and not self._health.is_suspect(engine.target, now_s)
        }

    def _record(self, engine: Engine, contact: Contact, now_s: float) -> None:
        was_lost = self.is_lost(engine)
        is_new = self._losses.record(engine.target, engine.incarnation, contact, now_s)
        if is_new or (was_lost and not self.is_lost(engine)):
            self._log.record(
                "engine.lost" if is_new else "engine.found",
                target=engine.target,
                contact=contact.value,
                layers=[engine.layers.begin, engine.layers.end],
            )
