"""Watches requests for crashes of their targets and refuses those that cause them."""

import asyncio
import time
from collections.abc import Callable, Iterable

from cassiaspread_core.base import (
    Incarnation,
    OrganisationId,
    Outcome,
    Refusal,
    RequestId,
    ServiceId,
    TargetId,
)
from cassiaspread_core.pipeline import Plan
from cassiaspread_core.policy import Limits
from cassiaspread_core.quarantine import (
    MAX_UNSEEN_TOKENS,
    Fingerprint,
    Loss,
    SuspectRecord,
    TrialClaim,
    fingerprint_of,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.adapters import EngineClient, LogClient
from cassiaspread_daemon.load._probe import TargetProbe
from cassiaspread_daemon.load._suspects import SuspectExchange
from cassiaspread_daemon.mesh import Mesh

TRIAL_POLL_S = 0.05
SUSPECT_RETRY_S = 1.0
REPROBE_INTERVAL_S = 1.0

# Longest time after a loss in which the target may turn out to be alive.
REPROBE_AGE_S = 60.0

Choose = Callable[[frozenset[TargetId]], Plan | None]


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
    ) -> "Watch":
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
    ) -> "Watch":
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


class Watch:
    """One request under watch; a context manager that ends its trial.

    :param quarantine: judges and shares.
    :param fingerprint: fingerprint of the request.
    :param organisation: who asks.
    :param subject: model or service asked for.
    :param request: identity of the request.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        fingerprint: Fingerprint,
        organisation: OrganisationId,
        subject: str,
        request: RequestId,
    ) -> None:
        self._quarantine = quarantine
        self._exchange = quarantine.exchange
        self._record = SuspectRecord(
            fingerprint=fingerprint, organisation=organisation, subject=subject
        )
        self._fingerprint = fingerprint
        self._request = request
        self._claim: TrialClaim | None = None
        self._trial_end = 0
        self._has_run = False

    def __enter__(self) -> "Watch":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.end_trial()

    def check(self) -> None:
        """Check that the request is not quarantined.

        :raises Refusal: it is.
        """
        if self._exchange.book.is_quarantined(self._fingerprint):
            raise Refusal(
                422,
                "quarantined",
                "Requests like this one crashed their targets "
                f"(fingerprint {self._fingerprint}).",
                self._outcome(),
            )

    async def choose(self, choose: Choose, deadline_s: float) -> Plan | None:
        """Choose the plan of the next attempt, alone if the request is a suspect.

        :param choose: chooses a plan without the given targets.
        :param deadline_s: end of the request's time, on the loop's clock.
        :returns: the plan, ``None`` if none exists even with company.
        :raises Refusal: the request is quarantined, or found no place in time.
        """
        self.end_trial()
        self.check()
        plan = None
        if not self._exchange.book.is_suspect(self._fingerprint):
            plan = choose(frozenset())
        else:
            plan = await self._choose_alone(choose, deadline_s)
        self._has_run = self._has_run or plan is not None
        return plan

    def progress(self, position: int) -> None:
        """Note the tokens that arrived; past the point of the loss it may have company.

        :param position: position of the next token.
        """
        if self._claim is not None and position > self._trial_end:
            self.end_trial()

    async def judge(
        self, target: TargetId, address: str, incarnation: str, position: int
    ) -> None:
        """Find out whether a target died and, if so, note the loss.

        The loss of a connection proves nothing: the target is asked anew.

        :param target: the target that failed the request.
        :param address: its ``host:port``.
        :param incarnation: the start of the target that the request ran on.
        :param position: tokens of the answer that had arrived.
        :raises Refusal: the request is quarantined now.
        """
        if await self._quarantine.probe.is_alive(address, incarnation):
            self._quarantine.events.record(
                "suspect.target_alive", self._request, target=target
            )
            return
        await self.lose(target, address, incarnation, position)

    async def lose(
        self, target: TargetId, address: str, incarnation: str, position: int
    ) -> None:
        """Note a loss that was found out already; it is refuted if the target lives.

        :param target: the target that failed the request.
        :param address: its ``host:port``.
        :param incarnation: the start of the target that the request ran on.
        :param position: tokens of the answer that had arrived.
        :raises Refusal: the request is quarantined now.
        """
        loss = Loss(target, incarnation, position, time.time())
        await self._quarantine.note_loss(self._record, address, loss, self._request)
        self.check()

    async def judge_service(self, address: str) -> None:
        """Find out whether a target of a plain service died and, if so, note it.

        Services tell no incarnation: one that restarted before it was asked counts
        as alive.

        :param address: ``host:port`` of the target that lost the call.
        :raises Refusal: the call is quarantined now.
        """
        self._has_run = True
        await self.judge(TargetId(address), address, "", 0)

    def complete(self) -> None:
        """Clear the request: it ran to its end."""
        self.end_trial()
        record = self._exchange.book.clear(self._fingerprint, time.time())
        if record is not None:
            self._quarantine.events.record(
                "suspect.cleared", self._request, fingerprint=self._fingerprint
            )

    def end_trial(self) -> None:
        """Give up the claim to run alone."""
        if self._claim is not None:
            self._exchange.trials.withdraw(self._claim)
            self._claim = None

    def _outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self._has_run else Outcome.NOT_RUN

    async def _choose_alone(self, choose: Choose, deadline_s: float) -> Plan | None:
        loop = asyncio.get_running_loop()
        busy: frozenset[TargetId] = frozenset()
        while loop.time() < deadline_s:
            plan = self._find_place(choose, busy)
            if plan is None and choose(frozenset()) is None:
                return None
            if plan is not None:
                blockers = await self._try_claim(plan)
                self.check()
                if self._claim is not None:
                    return plan
                busy |= _targets_of(blockers)
                if busy and not any(self._is_same(b) for b in blockers):
                    continue
            busy = frozenset()
            await asyncio.sleep(TRIAL_POLL_S)
        raise Refusal(
            503,
            "suspect-waiting",
            "A target was lost with this request, and no target was free to run it "
            "alone.",
            self._outcome(),
            retry_after_s=SUSPECT_RETRY_S,
        )

    def _find_place(self, choose: Choose, busy: frozenset[TargetId]) -> Plan | None:
        taken = busy | self._exchange.trials.targets()
        lost = self._exchange.book.targets_lost(self._fingerprint)
        return choose(taken | lost) or choose(taken)

    async def _try_claim(self, plan: Plan) -> list[TrialClaim]:
        events, trials = self._quarantine.events, self._exchange.trials
        claim = TrialClaim(
            events.clock.tick(time.time()),
            self._quarantine.incarnation,
            self._fingerprint,
            tuple(stage.engine for stage in plan),
        )
        if not trials.propose(claim):
            return []
        try:
            record = self._exchange.book.find(self._fingerprint) or self._record
            blockers = await self._exchange.share((record,), claim)
        except BaseException:
            trials.withdraw(claim)
            raise
        if blockers:
            trials.withdraw(claim)
            return blockers
        trials.start(claim)
        self._claim = claim
        positions = [loss.position for loss in record.counted]
        self._trial_end = max(positions, default=0) + MAX_UNSEEN_TOKENS
        events.record("suspect.alone", self._request, targets=",".join(claim.targets))
        return []

    def _is_same(self, claim: TrialClaim) -> bool:
        return claim.fingerprint == self._fingerprint


def _targets_of(claims: Iterable[TrialClaim]) -> frozenset[TargetId]:
    return frozenset(target for claim in claims for target in claim.targets)
