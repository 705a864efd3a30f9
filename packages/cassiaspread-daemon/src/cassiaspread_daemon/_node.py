"""Components of a daemon and their lifecycle."""

import asyncio
import random
import resource
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum
from types import TracebackType
from typing import Self

import uuid6
from absl import logging

from cassiaspread_core.admission import RequestBounds, RequestMemory, RunDurations
from cassiaspread_core.base import DomainId, Incarnation, Outcome, Refusal
from cassiaspread_core.membership import Member
from cassiaspread_core.policy import CheckpointSchedule, Policy
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._caller_connections import CallerConnections
from cassiaspread_daemon._metrics import Metrics
from cassiaspread_daemon._requests import RequestCounter
from cassiaspread_daemon._settings import Settings
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.adapters import EngineClient, LogClient, VmListClient
from cassiaspread_daemon.claims import Call, ClaimService
from cassiaspread_daemon.fleet import (
    ObservationGossip,
    PolicyCheckpointer,
    PolicyFollower,
    PolicyPeers,
    Poller,
    TargetRegistry,
    VmListReader,
)
from cassiaspread_daemon.load import Admission, PlanCosts, build_quarantine
from cassiaspread_daemon.mesh import Mesh, Sender, to_member
from cassiaspread_daemon.relay import RelayServices

# A connection without a request for this long counts as idle.
CONNECTION_IDLE_S = 1.0
MILLISECONDS_PER_SECOND = 1000
BYTES_PER_MB = 1_000_000
# Another daemon can take a request that this one does not accept, in seconds.
RETRY_AFTER_LEAVING_S = 0.1


class NodeState(Enum):
    """Lifecycle state of a daemon."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Node:
    """Owns the components of one daemon; an asynchronous context manager.

    :param settings: validated settings.
    :param random_state: generator for every random choice.
    """

    def __init__(self, settings: Settings, random_state: random.Random) -> None:
        self.settings = settings
        self.random_state = random_state
        self.incarnation = Incarnation(str(uuid6.uuid7()))
        self.events = EventRing(settings.vm, settings.n_events, time.time)
        self.metrics = Metrics(settings.domain)
        n_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.request_memory = RequestMemory(
            RequestBounds.of_requests(
                settings.request_memory_mb * BYTES_PER_MB, n_descriptors
            )
        )
        self.callers = CallerConnections(self.request_memory)
        self.metrics.observe_requests(self.request_memory, self.callers)
        self.log = LogClient(str(settings.log))
        self.engines = EngineClient()
        schedule = CheckpointSchedule(settings.log_retention_s, random_state)
        self.policy_follower = PolicyFollower(self.log, self.events, schedule)
        self._policy_checkpointer = PolicyCheckpointer(
            self.log, self.policy_follower, schedule, self.events
        )
        self.targets = TargetRegistry(settings.vm, self.events)
        self.supervisor = Supervisor("node")
        sender = Sender(
            settings.vm,
            settings.domain,
            self.incarnation,
            str(settings.advertise or settings.peer_listen),
        )
        self.mesh = Mesh(
            sender,
            self.events,
            self.supervisor.add_child("mesh"),
            self._daemon_addresses,
            str(settings.peer_listen),
        )
        self.metrics.observe_gossip(self.mesh.traffic)
        self._set_up_polling(to_member(sender))
        self._policy_peers = PolicyPeers(
            self.policy_follower, self.mesh, schedule, self.events, random_state
        )
        self.claims = ClaimService(
            self.log,
            self.mesh,
            self.targets,
            self.events,
            random_state,
            self.supervisor.add_child("claims"),
            lambda: self.policy,
        )
        self.quarantine = build_quarantine(
            self.mesh, self.log, self.events, self.engines, lambda: self.policy.limits
        )
        self.claims.set_connection_lost_callback(self._report_lost_call)
        self.admission = Admission(
            self.mesh,
            self.events,
            lambda: self.policy,
            self.targets.engines,
            random_state,
        )
        costs = PlanCosts(
            random_state,
            lambda: 1 + len(self.mesh.peers()),
            self.quarantine.exchange.reserved_targets,
        )
        self.relay = RelayServices(
            self.engines,
            self.targets,
            costs,
            self.admission,
            self.mesh,
            settings.domain,
            self.events,
            random_state,
        )
        self._is_leaving = False
        self._requests = RequestCounter()
        self._durations = RunDurations()
        # When the requests in progress are interrupted, and until when streams are
        # accepted that may last longer, on the monotonic clock.
        self._end_s: float | None = None
        self._open_until_s = float("inf")
        self.settle_callbacks: list[Callable[[], Awaitable[None]]] = [
            self.claims.settle
        ]

    def _set_up_polling(self, own: Member) -> None:
        interval_s = self.settings.poll_interval_ms / MILLISECONDS_PER_SECOND
        vm_list = VmListClient(str(self.settings.vm_list))
        self.list_reader = VmListReader(vm_list, self.targets, 2 * interval_s)
        gossip = ObservationGossip(own, self.targets, self.mesh)
        self.poller = Poller(
            own,
            self.targets,
            self.engines,
            self.mesh.pollers,
            self.supervisor.add_child("polls"),
            interval_s,
        )
        self.mesh.transition_callbacks.append(lambda _: self.poller.invalidate())
        self.poller.observation_callbacks.append(gossip.publish)
        self.poller.release_callbacks.append(gossip.withdraw)

    async def __aenter__(self) -> Self:
        await self.mesh.__aenter__()
        self.supervisor.start("callers", self.callers.run_checks)
        self.supervisor.start("policy", self.policy_follower.run)
        self.supervisor.start("policy-peers", self._policy_peers.run)
        self.supervisor.start("policy-checkpoints", self._policy_checkpointer.run)
        self.supervisor.start("vm-list", self.list_reader.run)
        self.supervisor.start("poller", self.poller.run)
        self.claims.start()
        self.quarantine.start(self.supervisor)
        self.admission.start(self.supervisor)
        self.relay.start(self.supervisor)
        self.events.record("node.started", incarnation=self.incarnation)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.supervisor.stop()
        await self.mesh.__aexit__(exc_type, exc, traceback)

    @property
    def policy(self) -> Policy:
        """The configuration in force."""
        return self.policy_follower.policy

    @property
    def state(self) -> NodeState:
        """Lifecycle state of this daemon."""
        if self._is_leaving:
            return NodeState.LEAVING
        return NodeState.STARTING if self.not_ready_reasons() else NodeState.READY

    @property
    def n_requests(self) -> int:
        """Number of requests in progress."""
        return self._requests.n_requests

    def not_ready_reasons(self) -> list[str]:
        """List the reasons why the balancer should send no requests to this daemon."""
        reasons = []
        if self._is_leaving:
            reasons.append("leaving")
        return reasons + self.policy_follower.not_ready_reasons()

    async def _report_lost_call(self, call: Call, address: str) -> None:
        watch = self.quarantine.watch_call(
            call.organisation, call.service, call.method, call.path, call.body
        )
        with suppress(Refusal):
            await watch.probe_service_failure(address)

    def _daemon_addresses(self) -> dict[str, DomainId | None]:
        seeds = dict.fromkeys(map(str, self.settings.seeds))
        return seeds | self.targets.daemon_addresses()

    def leave(self) -> None:
        """Report not ready; requests are accepted until the balancer has noticed."""
        self._is_leaving = True
        if self.settings.drain_timeout_ms:
            lag_s = self.settings.balancer_lag_ms / MILLISECONDS_PER_SECOND
            drain_s = self.settings.drain_timeout_ms / MILLISECONDS_PER_SECOND
            self._open_until_s = time.monotonic() + lag_s
            self._end_s = self._open_until_s + drain_s
        self.claims.leave()
        self.mesh.announce_leaving()
        self.poller.invalidate()
        self.events.record("node.leaving")

    def begin_request(self) -> None:
        """Count a request in progress."""
        self._requests.begin()

    def record_run(self, kind: str, duration_s: float) -> None:
        """Record a request that was answered.

        :param kind: kind of the request.
        :param duration_s: time from its arrival to its end, in seconds.
        """
        self._durations.record(kind, duration_s)

    def check_end(self, kind: str, now_s: float) -> None:
        """Check that a request that begins now can end before this daemon does.

        :param kind: kind of the request.
        :param now_s: current time on the monotonic clock, in seconds.
        :raises Refusal: it can not.
        """
        if self._end_s is None:
            return
        if now_s + (self._durations.estimate_s(kind) or 0.0) >= self._end_s:
            raise _leaving_refusal()

    def check_stream_end(self, kind: str, deadline_s: float, now_s: float) -> None:
        """Check that a stream that begins now can end before this daemon does.

        An answer that has begun can't be refused any more. Once the balancer has
        noticed, its deadline must therefore come before the end, however short the
        streams before it were.

        :param kind: kind of the request.
        :param deadline_s: when it ends at the latest, on the monotonic clock in
            seconds.
        :param now_s: current time on the same clock.
        :raises Refusal: it can not.
        """
        self.check_end(kind, now_s)
        if self._end_s is None or now_s < self._open_until_s:
            return
        if deadline_s >= self._end_s:
            raise _leaving_refusal()

    def end_request(self) -> None:
        """Count a request as ended."""
        self._requests.end()

    async def drain(self) -> None:
        """Wait until no request is in progress or the drain timeout has passed."""
        timeout_s = self.settings.drain_timeout_ms / MILLISECONDS_PER_SECOND
        try:
            async with asyncio.timeout(timeout_s or None):
                await self._requests.wait_idle(CONNECTION_IDLE_S)
                await self.claims.wait_in_flight()
        except TimeoutError:
            n_requests = self._requests.n_requests
            logging.warning("drain timed out with %d requests in progress", n_requests)
            self.events.record("node.drain_timeout", n_requests=n_requests)

    async def settle(self) -> None:
        """Run the callbacks in :attr:`settle_callbacks` concurrently.

        The failure or timeout of a callback does not affect the others.
        """
        timeout_s = self.settings.settle_timeout_ms / MILLISECONDS_PER_SECOND
        results = await asyncio.gather(
            *(asyncio.wait_for(call(), timeout_s) for call in self.settle_callbacks),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, Exception):
                logging.error("settle callback failed", exc_info=result)
                self.events.record("node.settle_failed", error=type(result).__name__)
        self.events.record("node.settled", n_callbacks=len(results))


def _leaving_refusal() -> Refusal:
    return Refusal(
        503,
        "leaving",
        "The daemon may end before the answer.",
        Outcome.NOT_RUN,
        retry_after_s=RETRY_AFTER_LEAVING_S,
    )
