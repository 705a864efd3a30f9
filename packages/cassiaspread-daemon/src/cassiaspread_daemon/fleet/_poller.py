"""Polls the targets assigned to this daemon."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec
from absl import logging

from cassiaspread_core.base import (
    DomainId,
    MalformedDocument,
    TargetId,
    TargetKind,
    VmId,
)
from cassiaspread_core.membership import Member
from cassiaspread_core.observations import (
    N_POLLERS,
    Observation,
    choose_pollers,
    next_poll_s,
    poll_interval_s,
)
from cassiaspread_daemon._exchange import ConnectFailed, Exchange, ExchangeBroken
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.adapters import EngineClient
from cassiaspread_daemon.fleet._target_location import TargetLocation
from cassiaspread_daemon.fleet._targets import TargetRegistry

REPORT_TIMEOUT_S = 1.0
MAX_WAIT_S = 1.0
MIN_WAIT_S = 0.02
# An engine is polled every second or so and repeats a malformed report.
MALFORMED_LOG_INTERVAL_S = 30

# Number of targets whose pollers are chosen before yielding to other tasks.
N_TARGETS_PER_YIELD = 32


class Poller:
    """Polls targets assigned by rendezvous hashing and those that failed here.

    :param own: this daemon.
    :param targets: registry that receives the observations.
    :param engines: client of the engines.
    :param members: returns the daemons that share the polling of targets.
    :param supervisor: runs the polls.
    :param min_interval_s: minimum time between two polls of a target, in
        seconds.
    """

    def __init__(
        self,
        own: Member,
        targets: TargetRegistry,
        engines: EngineClient,
        members: Callable[[], list[Member]],
        supervisor: Supervisor,
        min_interval_s: float,
    ) -> None:
        self._own = own
        self._targets = targets
        self._engines = engines
        self._list_members = members
        self._supervisor = supervisor
        self._min_interval_s = min_interval_s
        self._pollers: dict[tuple[TargetId, DomainId], tuple[VmId, ...]] = {}
        self._members: list[Member] = []
        self._reached_domains: set[DomainId] = set()
        self._is_stale = True
        self._assigned: list[TargetLocation] = []
        self._assigned_version = -1
        self._due_s: dict[TargetId, float] = {}
        self.observation_callbacks: list[Callable[[Observation], None]] = []
        self.release_callbacks: list[Callable[[TargetId], None]] = []
        targets.pollers_of = self.pollers_of

    def pollers_of(self, location: TargetLocation) -> tuple[VmId, ...]:
        """Return the VMs of the daemons that poll a target.

        The result is empty for a target of another domain that is reachable: the
        daemons of that domain poll it, and its delegates report on it.

        :param location: the target.
        """
        if location.domain in self._reached_domains:
            return ()
        key = (location.target, location.domain)
        pollers = self._pollers.get(key)
        if pollers is None:
            members = choose_pollers(
                location.target, location.domain, self._own, self._members
            )
            pollers = tuple(member.vm for member in members)
            self._pollers[key] = pollers
        return pollers

    def invalidate(self) -> None:
        """Recompute the pollers before the next poll, after a change of membership."""
        self._is_stale = True

    async def _update(self) -> None:
        if self._is_stale:
            self._is_stale = False
            await self._choose_pollers()
        if self._assigned_version != self._targets.version:
            self._assigned_version = self._targets.version
            self._assigned = self._choose_assigned()
            self._release_others()

    async def _choose_pollers(self) -> None:
        members = self._list_members()
        own_domain = self._own.domain
        local_members = sorted(m for m in members if m.domain == own_domain)
        reached_domains = {m.domain for m in members} - {own_domain}
        if (local_members, reached_domains) == (self._members, self._reached_domains):
            return
        previous = {
            location: self.pollers_of(location)
            for location in self._targets.locations()
        }
        self._members, self._reached_domains = local_members, reached_domains
        self._pollers.clear()
        self._assigned_version = -1
        for index, (location, pollers) in enumerate(previous.items()):
            if self.pollers_of(location) != pollers:
                self._targets.refresh(location.target)
            if index % N_TARGETS_PER_YIELD == 0:
                await asyncio.sleep(0)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._update()
            assigned = self._assigned
            interval_s = poll_interval_s(len(assigned), self._min_interval_s)
            now_s = time.time()
            for location in assigned:
                self._poll_if_due(location, interval_s, now_s)
            next_s = min(self._due_s.values(), default=now_s + MAX_WAIT_S)
            wait_s = min(next_s - now_s, self._min_interval_s)
            await asyncio.sleep(max(MIN_WAIT_S, wait_s))

    def _poll_if_due(
        self, location: TargetLocation, interval_s: float, now_s: float
    ) -> None:
        due_s = self._due_s.get(location.target, now_s)
        # Polls must continue after the wall clock was set back.
        if now_s < due_s <= now_s + interval_s:
            return
        pollers = self.pollers_of(location)
        rank = pollers.index(self._own.vm) if self._own.vm in pollers else N_POLLERS
        self._due_s[location.target] = next_poll_s(
            location.target, rank, interval_s, now_s
        )
        self._supervisor.start_once(location.target, self._poll_task(location))

    def _choose_assigned(self) -> list[TargetLocation]:
        return [
            location
            for location in self._targets.locations()
            if self._own.vm in self.pollers_of(location)
            or self._targets.table.failure(location.target) is not None
        ]

    def _release_others(self) -> None:
        kept = {location.target for location in self._assigned}
        for target in self._due_s.keys() - kept:
            del self._due_s[target]
            for callback in self.release_callbacks:
                callback(target)

    def _poll_task(self, location: TargetLocation) -> Callable[[], Awaitable[None]]:
        async def poll() -> None:
            for observation in await self._poll(location):
                self._targets.observe(observation)
                for callback in self.observation_callbacks:
                    callback(observation)

        return poll

    async def _poll(self, location: TargetLocation) -> list[Observation]:
        # Taken before the poll, since the reported state may change while it runs.
        stamp = self._targets.stamp()
        failure = Observation(location.target, self._own.vm, stamp)
        try:
            if location.kind is TargetKind.SERVICE:
                with await Exchange.open(location.address, REPORT_TIMEOUT_S):
                    return [
                        msgspec.structs.replace(failure, incarnation=location.target)
                    ]
            report = await self._engines.report(location.address, REPORT_TIMEOUT_S)
        except (ConnectFailed, ExchangeBroken):
            return [failure]
        except MalformedDocument as error:
            logging.log_every_n_seconds(
                logging.ERROR,
                "engine %s at %s counts as down, its report is malformed: %s",
                MALFORMED_LOG_INTERVAL_S,
                location.target,
                location.address,
                error,
            )
            return [failure]
        incarnation = report.incarnation or report.target
        success = Observation(report.target, self._own.vm, stamp, incarnation, report)
        # Another engine may now use the address.
        return [success] if report.target == location.target else [failure, success]
