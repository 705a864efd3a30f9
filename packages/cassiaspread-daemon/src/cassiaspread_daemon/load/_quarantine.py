"""Detection of requests that crash their targets, coordinated among all daemons."""

import asyncio
import time
from collections.abc import Callable

from cassiaspread_core.base import (
    Incarnation,
    OrganisationId,
    RequestId,
    ServiceId,
    TargetId,
)
from cassiaspread_core.policy import Limits
from cassiaspread_core.quarantine import (
    Fingerprint,
    Loss,
    SuspectRecord,
    call_content,
    fingerprint_of,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.adapters import EngineClient, LogClient
from cassiaspread_daemon.load._probe import TargetProbe
from cassiaspread_daemon.load._suspects import SuspectExchange
from cassiaspread_daemon.load._watch import RequestWatch
from cassiaspread_daemon.mesh import Mesh

REPROBE_INTERVAL_S = 1.0

# Time after a loss for which the target is probed again; it may turn out to be alive.
REPROBE_AGE_S = 60.0


def build_quarantine(
    mesh: Mesh,
    log: LogClient,
    events: EventRing,
    engines: EngineClient,
    limits: Callable[[], Limits],
) -> "Quarantine":
    """Build the quarantine of one daemon.

    :param mesh: sends messages to daemons.
    :param log: client of the log.
    :param events: the time line.
    :param engines: client of the engines.
    :param limits: returns the fleet-wide limits in force.
    """
    exchange = SuspectExchange(mesh, log, events, limits)
    probe = TargetProbe(engines)
    return Quarantine(exchange, probe, events, mesh.sender.incarnation)


class Quarantine:
    """Records losses of targets and quarantines the requests that cause them.

    :param exchange: suspect records, shared with all daemons.
    :param probe: liveness probe of targets.
    :param events: the time line.
    :param incarnation: incarnation of this daemon.
    """

    def __init__(
        self,
        exchange: SuspectExchange,
        probe: TargetProbe,
        events: EventRing,
        incarnation: Incarnation,
    ) -> None:
        self.exchange = exchange
        self.probe = probe
        self.events = events
        self.incarnation = incarnation
        self._lost_addresses: dict[tuple[TargetId, str], tuple[str, float]] = {}

    def start(self, supervisor: Supervisor) -> None:
        """Start the tasks.

        :param supervisor: runs them.
        """
        supervisor.start("quarantine-writer", self.exchange.run_writer)
        supervisor.start("quarantine-reader", self.exchange.run_reader)
        supervisor.start("quarantine-expiry", self.exchange.run_expiry)
        supervisor.start("quarantine-reprobe", self.run_reprobe)

    def watch(
        self,
        fingerprint: Fingerprint,
        organisation: OrganisationId,
        subject: str,
        request: RequestId,
    ) -> RequestWatch:
        """Return the watch of one request.

        :param fingerprint: fingerprint of the request.
        :param organisation: organisation of the caller.
        :param subject: requested model or service.
        :param request: identity of the request.
        """
        return RequestWatch(self, fingerprint, organisation, subject, request)

    def watch_call(
        self,
        organisation: OrganisationId,
        service: ServiceId,
        method: str,
        path: str,
        body: bytes,
    ) -> RequestWatch:
        """Return the watch of one call of a plain service.

        :param organisation: organisation of the caller.
        :param service: the service.
        :param method: method of the call.
        :param path: path and query of the call.
        :param body: body of the call.
        """
        content = call_content(method, path, body)
        fingerprint = fingerprint_of(organisation, service, content)
        return self.watch(fingerprint, organisation, service, RequestId(""))

    async def release(self, fingerprint: Fingerprint) -> SuspectRecord | None:
        """Release a fingerprint from quarantine on all daemons.

        :param fingerprint: the fingerprint.
        :returns: the updated record, ``None`` if there was none.
        """
        record = self.exchange.suspect_table.clear(fingerprint, time.time())
        if record is not None:
            self.events.record("quarantine.released", fingerprint=fingerprint)
            self.exchange.write_verdict(record)
            await self.exchange.notify_peers((record,))
        return record

    async def record_loss(
        self, record: SuspectRecord, address: str, loss: Loss, request: RequestId
    ) -> None:
        """Record a loss and notify the peers, before the request is retried.

        :param record: fingerprint, organisation and subject of the request.
        :param address: ``host:port`` of the target.
        :param loss: the loss.
        :param request: the request that was in flight.
        """
        table = self.exchange.suspect_table
        record = table.record_loss(
            record.fingerprint, record.organisation, record.subject, loss
        )
        self._lost_addresses[loss.key] = (address, loss.at_s)
        self.events.record(
            "suspect.noted",
            request,
            fingerprint=record.fingerprint,
            target=loss.target,
            position=loss.position,
            n_losses=len(record.counted),
        )
        await self.exchange.notify_peers((record,))
        if table.is_quarantined(record.fingerprint):
            self.events.record(
                "quarantine.imposed", request, fingerprint=record.fingerprint
            )
            self.exchange.write_verdict(table.find(record.fingerprint) or record)

    async def run_reprobe(self) -> None:
        """Probe lost targets until cancelled and refute the losses of live ones."""
        while True:
            await asyncio.sleep(REPROBE_INTERVAL_S)
            oldest_s = time.time() - REPROBE_AGE_S
            self._lost_addresses = {
                key: (address, at_s)
                for key, (address, at_s) in self._lost_addresses.items()
                if at_s > oldest_s
            }
            await asyncio.gather(*(self._reprobe(key) for key in self._lost_addresses))

    async def _reprobe(self, key: tuple[TargetId, str]) -> None:
        address, _ = self._lost_addresses[key]
        if not await self.probe.is_alive(address, key[1]):
            return
        changed = self.exchange.suspect_table.refute((key,))
        for record in changed:
            self.events.record(
                "suspect.refuted", fingerprint=record.fingerprint, target=key[0]
            )
            if len(record.losses) > 1:
                self.exchange.write_verdict(record)
        await self.exchange.notify_peers(changed)
