"""Watches one request for crashes of its targets and refuses it if it causes them."""

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
    MAX_UNSEEN_TOKENS,
    Fingerprint,
    Loss,
    SuspectRecord,
    TrialClaim,
)

if TYPE_CHECKING:
    from cassiaspread_daemon.load._quarantine import Quarantine

TRIAL_POLL_S = 0.05
SUSPECT_RETRY_S = 1.0

Choose = Callable[[frozenset[TargetId]], Plan | None]


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
