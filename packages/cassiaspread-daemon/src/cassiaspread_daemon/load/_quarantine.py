"""Judges lost targets and tells all daemons which requests are suspected."""

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
    fingerprint_of,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.adapters import EngineClient, LogClient
from cassiaspread_daemon.load._probe import TargetProbe
from cassiaspread_daemon.load._suspects import SuspectExchange
from cassiaspread_daemon.load._watch import Watch
from cassiaspread_daemon.mesh import Mesh

REPROBE_INTERVAL_S = 1.0

# Longest time after a loss in which the target may turn out to be alive.
REPROBE_AGE_S = 60.0


def build_quarantine(
    mesh: Mesh,
    log: LogClient,
    events: EventRing,
    engines: EngineClient,
    limits: Callable[[], Limits],
) -> "Quarantine":
    """Build the quarantine of one daemon.

    :param mesh: messages between daemons.
    :param log: client of the log.
    :param events: the time line.
    :param engines: client of the engines.
    :param limits: returns the fleet-wide limits in force.
    """
    exchange = SuspectExchange(mesh, log, events, limits)
    probe = TargetProbe(engines)
    return Quarantine(exchange, probe, events, mesh.sender.incarnation)


class Quarantine:
    """Judges lost targets and keeps suspects apart.

    :param exchange: the records, shared with all daemons.
    :param probe: asks targets whether they are alive.
    :param events: the time line.
    :param incarnation: this start of the daemon.
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
        self._addresses: dict[tuple[TargetId, str], tuple[str, float]] = {}

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
    ) -> Watch:
        """Watch one request.

        :param fingerprint: its fingerprint.
        :param organisation: who asks.
        :param subject: model or service asked for.
        :param request: its identity.
        """
        return Watch(self, fingerprint, organisation, subject, request)

    def watch_call(
        self,
        organisation: OrganisationId,
        service: ServiceId,
        method: str,
        path: str,
        body: bytes,
    ) -> Watch:
        """Watch one call of a plain service.

        :param organisation: who calls.
        :param service: the service.
        :param method: method of the call.
        :param path: path and query of the call.
        :param body: body of the call.
        """
        content = b"\n".join((method.encode(), path.encode(), body))
        fingerprint = fingerprint_of(organisation, service, content)
        return self.watch(fingerprint, organisation, service, RequestId(""))

    async def release(self, fingerprint: Fingerprint) -> SuspectRecord | None:
        """Let requests with a fingerprint run again, on every daemon.

        :param fingerprint: the fingerprint.
        :returns: the record afterwards, ``None`` if it was not suspected.
        """
        record = self.exchange.book.clear(fingerprint, time.time())
        if record is not None:
            self.events.record("quarantine.released", fingerprint=fingerprint)
            self.exchange.write_verdict(record)
            await self.exchange.share((record,))
        return record

    async def note_loss(
        self, record: SuspectRecord, address: str, loss: Loss, request: RequestId
    ) -> None:
        """Take in a loss and tell the peers, before anything is retried.

        :param record: fingerprint, organisation and subject of the request.
        :param address: ``host:port`` of the target.
        :param loss: the loss.
        :param request: the request that was in flight.
        """
        book = self.exchange.book
        record = book.note_loss(
            record.fingerprint, record.organisation, record.subject, loss
        )
        self._addresses[loss.key] = (address, loss.at_s)
        self.events.record(
            "suspect.noted",
            request,
            fingerprint=record.fingerprint,
            target=loss.target,
            position=loss.position,
            n_losses=len(record.counted),
        )
        await self.exchange.share((record,))
        if book.is_quarantined(record.fingerprint):
            self.events.record(
                "quarantine.imposed", request, fingerprint=record.fingerprint
            )
            self.exchange.write_verdict(book.find(record.fingerprint) or record)

    async def run_reprobe(self) -> None:
        """Ask lost targets whether they live after all, until cancelled."""
        while True:
            await asyncio.sleep(REPROBE_INTERVAL_S)
            oldest_s = time.time() - REPROBE_AGE_S
            self._addresses = {
                key: (address, at_s)
                for key, (address, at_s) in self._addresses.items()
                if at_s > oldest_s
            }
            await asyncio.gather(*(self._reprobe(key) for key in self._addresses))

    async def _reprobe(self, key: tuple[TargetId, str]) -> None:
        address, _ = self._addresses[key]
        if not await self.probe.is_alive(address, key[1]):
            return
        changed = self.exchange.book.refute((key,))
        for record in changed:
            self.events.record(
                "suspect.refuted", fingerprint=record.fingerprint, target=key[0]
            )
            if len(record.losses) > 1:
                self.exchange.write_verdict(record)
        await self.exchange.share(changed)
