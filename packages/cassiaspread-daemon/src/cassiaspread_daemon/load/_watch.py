"""Detects crashes of targets that run a request and refuses it if it causes them."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from cassiaspread_core.base import (
    OrganisationId,
    Outcome,
    Refusal,
    RequestId,
    TargetId,
)
from cassiaspread_core.pipeline import Plan
from cassiaspread_core.quarantine import (
    MAX_UNDELIVERED_TOKENS,
    Fingerprint,
    Loss,
    SuspectRecord,
    TrialClaim,
)

if TYPE_CHECKING:
    from cassiaspread_daemon.load._quarantine import Quarantine

TRIAL_POLL_S = 0.05
SUSPECT_RETRY_S = 1.0

ChoosePlan = Callable[[frozenset[TargetId]], Plan | None]


class RequestWatch:
    """Quarantine state of one request; a context manager that ends its trial.

    A trial is a run of a suspect request on targets without other suspects.

    :param quarantine: quarantine of this daemon.
    :param fingerprint: fingerprint of the request.
    :param organisation: organisation of the caller.
    :param subject: requested model or service.
    :param request: identity of the request.
    """

    def __init__(
        self,
        quarantine: "Quarantine",
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
        self._trial_end_position = 0
        self._has_run = False

    def __enter__(self) -> "RequestWatch":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.end_trial()

    def check_not_quarantined(self) -> None:
        """Raise a refusal if the request is quarantined.

        :raises Refusal: the request is quarantined.
        """
        if self._exchange.suspect_table.is_quarantined(self._fingerprint):
            raise Refusal(
                422,
                "quarantined",
                "Requests like this one crashed their targets "
                f"(fingerprint {self._fingerprint}).",
                self._outcome(),
            )

    async def choose(self, choose: ChoosePlan, deadline_s: float) -> Plan | None:
        """Choose the plan of the next attempt.

        A suspect request is given targets that run no other suspect.

        :param choose: returns a plan that excludes the given targets.
        :param deadline_s: deadline of the request, on the clock of the event loop.
        :returns: the plan, ``None`` if none exists even without exclusions.
        :raises Refusal: the request is quarantined, or no targets became free in time.
        """
        self.end_trial()
        self.check_not_quarantined()
        plan = None
        if not self._exchange.suspect_table.is_suspect(self._fingerprint):
            plan = choose(frozenset())
        else:
            plan = await self._choose_exclusive(choose, deadline_s)
        self._has_run = self._has_run or plan is not None
        return plan

    def record_position(self, position: int) -> None:
        """End the trial once the position is past those of the losses.

        :param position: position of the next token.
        """
        if self._claim is not None and position > self._trial_end_position:
            self.end_trial()

    async def probe_failure(
        self, target: TargetId, address: str, incarnation: str, position: int
    ) -> None:
        """Probe a target that failed the request and record a loss if it crashed.

        A lost connection does not prove a crash, hence the probe.

        :param target: the target that failed the request.
        :param address: its ``host:port``.
        :param incarnation: incarnation of the target that ran the request.
        :param position: number of tokens of the answer that were received.
        :raises Refusal: the request is now quarantined.
        """
        if await self._quarantine.probe.is_alive(address, incarnation):
            self._quarantine.events.record(
                "suspect.target_alive", self._request, target=target
            )
            return
        await self.record_loss(target, address, incarnation, position)

    async def record_loss(
        self, target: TargetId, address: str, incarnation: str, position: int
    ) -> None:
        """Record a loss without a probe; it is refuted later if the target is alive.

        :param target: the target that failed the request.
        :param address: its ``host:port``.
        :param incarnation: incarnation of the target that ran the request.
        :param position: number of tokens of the answer that were received.
        :raises Refusal: the request is now quarantined.
        """
        loss = Loss(target, incarnation, position, time.time())
        await self._quarantine.record_loss(self._record, address, loss, self._request)
        self.check_not_quarantined()

    async def probe_service_failure(self, address: str) -> None:
        """Probe a target of a plain service and record a loss if it crashed.

        Services report no incarnation: a target that restarted before the probe counts
        as alive.

        :param address: ``host:port`` of the target that lost the call.
        :raises Refusal: the call is now quarantined.
        """
        self._has_run = True
        await self.probe_failure(TargetId(address), address, "", 0)

    def clear(self) -> None:
        """Clear the request of suspicion, as it ran to its end."""
        self.end_trial()
        record = self._exchange.suspect_table.clear(self._fingerprint, time.time())
        if record is not None:
            self._quarantine.events.record(
                "suspect.cleared", self._request, fingerprint=self._fingerprint
            )

    def end_trial(self) -> None:
        """Withdraw the trial claim, if any."""
        if self._claim is not None:
            self._exchange.trials.withdraw(self._claim)
            self._claim = None

    def _outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self._has_run else Outcome.NOT_RUN

    async def _choose_exclusive(
        self, choose: ChoosePlan, deadline_s: float
    ) -> Plan | None:
        loop = asyncio.get_running_loop()
        busy: frozenset[TargetId] = frozenset()
        while loop.time() < deadline_s:
            plan = self._choose_free_plan(choose, busy)
            if plan is None and choose(frozenset()) is None:
                return None
            if plan is not None:
                blockers = await self._try_claim(plan)
                self.check_not_quarantined()
                if self._claim is not None:
                    return plan
                busy |= _targets_of(blockers)
                if busy and not any(self._has_same_fingerprint(b) for b in blockers):
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

    def _choose_free_plan(
        self, choose: ChoosePlan, busy: frozenset[TargetId]
    ) -> Plan | None:
        excluded = busy | self._exchange.trials.targets()
        lost = self._exchange.suspect_table.targets_lost(self._fingerprint)
        return choose(excluded | lost) or choose(excluded)

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
            record = (
                self._exchange.suspect_table.find(self._fingerprint) or self._record
            )
            blockers = await self._exchange.notify_peers((record,), claim)
        except BaseException:
            trials.withdraw(claim)
            raise
        if blockers:
            trials.withdraw(claim)
            return blockers
        trials.start(claim)
        self._claim = claim
        positions = [loss.position for loss in record.counted]
        self._trial_end_position = max(positions, default=0) + MAX_UNDELIVERED_TOKENS
        events.record("suspect.alone", self._request, targets=",".join(claim.targets))
        return []

    def _has_same_fingerprint(self, claim: TrialClaim) -> bool:
        return claim.fingerprint == self._fingerprint


def _targets_of(claims: Iterable[TrialClaim]) -> frozenset[TargetId]:
    return frozenset(target for claim in claims for target in claim.targets)
