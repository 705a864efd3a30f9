"""At-most-once execution of non-idempotent calls by one daemon."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

from cassiaspread_core.base import Incarnation, OrganisationId, Refusal
from cassiaspread_core.claims import (
    N_PARTITIONS,
    CallResult,
    ClaimId,
    KeyAge,
    ScopedKey,
    classify_age,
    compute_partition,
    ticket_incarnation,
)
from cassiaspread_core.operations import KeyReport
from cassiaspread_core.policy import Limits, Policy
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.adapters import LogClient
from cassiaspread_daemon.claims._call import Call, CallAnswer, unknown_history_refusal
from cassiaspread_daemon.claims._claim_runner import ClaimRunner
from cassiaspread_daemon.claims._committer import Committer, PartitionAppender
from cassiaspread_daemon.claims._forward import TicketForwarder
from cassiaspread_daemon.claims._journal import PartitionJournal
from cassiaspread_daemon.claims._reader import LogHealth, PartitionReader
from cassiaspread_daemon.claims._sender import (
    CallContext,
    CallSender,
    ConnectionLostCallback,
)
from cassiaspread_daemon.claims._tickets import LocalTickets
from cassiaspread_daemon.fleet import TargetRegistry
from cassiaspread_daemon.mesh import Mesh

IDLE_POLL_S = 0.05
LOOK_UP_TIMEOUT_S = 1.0
EXPIRY_INTERVAL_S = 60.0


class ClaimService:
    """Runs non-idempotent calls, creates tickets and looks up keys.

    :param log: client of the log.
    :param mesh: sends messages to daemons.
    :param targets: targets by service.
    :param events: the time line.
    :param random_state: generator for the selection of targets and read intervals.
    :param supervisor: runs the tasks.
    :param policy: returns the configuration in force.
    """

    def __init__(
        self,
        log: LogClient,
        mesh: Mesh,
        targets: TargetRegistry,
        events: EventRing,
        random_state: random.Random,
        supervisor: Supervisor,
        policy: Callable[[], Policy],
    ) -> None:
        self._mesh = mesh
        self._policy = policy
        self._supervisor = supervisor
        self._random_state = random_state
        self._incarnation = mesh.sender.incarnation
        self._sequence = itertools.count(1)
        self._sender = CallSender(targets, random_state, events)
        self._health = LogHealth()
        self._journals: dict[int, PartitionJournal] = {}
        self._committer = Committer(
            log,
            mesh,
            events,
            self._journals,
            lambda: policy().limits.uses_claim_committers,
        )
        for partition in range(N_PARTITIONS):
            self._journals[partition] = self._build_journal(partition, log)
        self._claim_runner = ClaimRunner(
            self._sender, self._health, events, self._is_live
        )
        self._tickets = LocalTickets(
            self._incarnation, self._sender, events, self._next_claim, self._journal_of
        )
        self._forwarder = TicketForwarder(mesh, self._tickets, events, self._next_claim)
        self._is_leaving = False

    def set_connection_lost_callback(
        self, on_connection_lost: ConnectionLostCallback
    ) -> None:
        """Set the callback for calls whose connection was lost after the send.

        :param on_connection_lost: called with the call and the ``host:port`` of its
            target, before the caller is answered.
        """
        self._sender.on_connection_lost = on_connection_lost

    def start(self) -> None:
        """Start the readers, the appenders and the expiry of tickets."""
        for partition, journal in self._journals.items():
            self._supervisor.start(f"reader-{partition}", journal.reader.run)
            self._supervisor.start(f"appender-{partition}", journal.run)
        self._supervisor.start("tickets", self._remove_expired_tickets)

    async def run(
        self,
        call: Call,
        limits: Limits,
        deadline_s: float,
        is_caller_waiting: Callable[[], bool],
    ) -> CallAnswer:
        """Answer a non-idempotent call.

        :param call: the call.
        :param limits: limits in force for it.
        :param deadline_s: its deadline, on the monotonic clock in seconds.
        :param is_caller_waiting: called immediately before the send; returns whether
            the caller still waits.
        :raises Refusal: there is no complete answer.
        """
        self._check_age(call, limits)
        journal = self._journal_of(call.key)
        incarnation = ticket_incarnation(call.key.key)
        context = CallContext(
            call, self._next_claim(), limits, deadline_s, is_caller_waiting
        )
        if incarnation is None:
            return await self._claim_runner.run(context, journal)
        if incarnation == self._incarnation:
            return await self._tickets.run(context)
        return await self._forwarder.run(context, journal)

    def create_ticket(self, organisation: OrganisationId) -> ScopedKey:
        """Create a ticket: a key that only this daemon may run.

        :param organisation: organisation that owns the ticket.
        :raises Refusal: the daemon is leaving.
        """
        if self._is_leaving:
            raise Refusal(
                503, "leaving", "This daemon is leaving; ask again.", retry_after_s=1.0
            )
        return self._tickets.mint(organisation)

    async def report(self, key: ScopedKey) -> KeyReport:
        """Look up a key.

        :param key: a valid key.
        """
        reader = self._journal_of(key).reader
        is_current = await reader.catch_up(LOOK_UP_TIMEOUT_S)
        state = reader.fold.find(key)
        holder = state.holder if state else None
        result = state.result if state else None
        return KeyReport(
            organisation=key.organisation,
            key=key.key,
            partition=compute_partition(key),
            state=_state_name(holder, result),
            claim=str(holder) if holder else None,
            is_holder_live=holder is not None and self._is_live(holder.holder),
            status=result.status if result else None,
            n_void_claims=len(state.void) if state else 0,
            is_current=is_current,
            is_judged=reader.fold.has_complete_history(key),
        )

    def leave(self) -> None:
        """Stop creating tickets and passing batches to committers."""
        self._is_leaving = True
        self._committer.leave()

    async def wait_in_flight(self) -> None:
        """Wait for the end of sent calls, including those without a waiting caller."""
        while self._sender.n_in_flight or self._forwarder.n_running:
            await asyncio.sleep(IDLE_POLL_S)

    async def settle(self) -> None:
        """Retire unused tickets and append all outcomes to the log.

        Outcomes that are not in the log when the timeout of this method's caller
        expires are lost when the process exits; later calls with those keys are
        answered ``unknown``.
        """
        self._tickets.retire()
        while any(journal.n_unsettled for journal in self._journals.values()):
            await asyncio.sleep(IDLE_POLL_S)

    def _build_journal(self, partition_number: int, log: LogClient) -> PartitionJournal:
        reader = PartitionReader(
            f"claims-{partition_number}",
            log,
            self._health,
            self._random_state,
            lambda: self._policy().limits.dedupe_window_s,
        )
        appender = PartitionAppender(self._committer, partition_number)
        return PartitionJournal(reader, self._health, self._incarnation, appender)

    def _journal_of(self, key: ScopedKey) -> PartitionJournal:
        return self._journals[compute_partition(key)]

    def _next_claim(self) -> ClaimId:
        return ClaimId(self._incarnation, next(self._sequence))

    def _is_live(self, incarnation: Incarnation) -> bool:
        if incarnation == self._incarnation:
            return True
        return self._mesh.find_peer(incarnation) is not None

    def _check_age(self, call: Call, limits: Limits) -> None:
        age = classify_age(call.key.key, time.time(), limits.dedupe_window_s)
        if age is KeyAge.FUTURE:
            raise unknown_history_refusal(
                call, 400, "key-from-future", "The key's time lies ahead.", None
            )
        if age is KeyAge.EXPIRED:
            raise unknown_history_refusal(
                call,
                400,
                "key-expired",
                f"Keys are accepted for {limits.dedupe_window_s} s.",
                None,
            )

    async def _remove_expired_tickets(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            window_s = self._policy().limits.dedupe_window_s
            self._tickets.remove_expired(time.time(), window_s)


def _state_name(holder: ClaimId | None, result: CallResult | None) -> str:
    if holder is None:
        return "free"
    if result is None:
        return "held"
    return "outcome-unknown" if result.status is None else "answered"
