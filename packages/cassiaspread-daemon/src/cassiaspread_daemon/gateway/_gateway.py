"""The gateway: its components, their lifetime and signal handling."""

import asyncio
import gc
import random
import signal
import time
from contextlib import ExitStack
from types import TracebackType
from typing import Self

import uuid6
from tornado.httpserver import HTTPServer

from cassiaspread_core.admission import (
    RECEIVE_BUFFER_BYTES,
    PeakCount,
    RequestBounds,
    RequestMemory,
)
from cassiaspread_core.base import DomainId, Incarnation, Outcome, Refusal, TargetId
from cassiaspread_core.chains import LoadLedger
from cassiaspread_core.placement import Engine
from cassiaspread_core.routing import ClientLimits
from cassiaspread_core.targets import TargetClosures, TargetHealth, TargetPaces
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._caller_stream import READ_BLOCK_BYTES
from cassiaspread_daemon._exchange import ANSWER_MEMORY
from cassiaspread_daemon._listener import Listener
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._capacity_queue import CapacityQueue
from cassiaspread_daemon.gateway._closing import Closing
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Dispatcher
from cassiaspread_daemon.gateway._domain_capacity_queue import DomainCapacityQueue
from cassiaspread_daemon.gateway._duty import PlacementDuty
from cassiaspread_daemon.gateway._engine_notices import EngineNotices
from cassiaspread_daemon.gateway._feed_sharing import (
    ConfigurationFollower,
    EngineFollower,
    FeedSharing,
)
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._frontend import (
    Frontend,
    Handler,
    InboundRequest,
)
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import Job, now, unix_time_s
from cassiaspread_daemon.gateway._link_permits import LinkPermits
from cassiaspread_daemon.gateway._loads import LoadSharing
from cassiaspread_daemon.gateway._loop_monitor import LoopMonitor
from cassiaspread_daemon.gateway._loss_check import LossCheck
from cassiaspread_daemon.gateway._pacing import log_pace, observe_paces, rank_in_domain
from cassiaspread_daemon.gateway._plain import PlainForwarder
from cassiaspread_daemon.gateway._pool import ConnectionPool, UnaskedBytes
from cassiaspread_daemon.gateway._protocols import EngineChange, Platform
from cassiaspread_daemon.gateway._quarantine import Quarantine
from cassiaspread_daemon.gateway._retry_limits import RetryLimits
from cassiaspread_daemon.gateway._router import Router
from cassiaspread_daemon.gateway._routing_state import (
    FeedFollower,
    RoutingState,
    suspended_clock_s,
)
from cassiaspread_daemon.gateway._settings import GatewaySettings
from cassiaspread_daemon.gateway._stalls import StallDetector
from cassiaspread_daemon.gateway._stream import StreamForwarder
from cassiaspread_daemon.gateway._suspect_sharing import SuspectSharing
from cassiaspread_daemon.gateway._urgent_gossip import UrgentGossip
from cassiaspread_daemon.mesh import Mesh, Sender
from cassiaspread_daemon.reload_signal import ReloadSignal

# The store waits this long for a new configuration before it returns an empty page; in
# normal operation the keys in force are never older than this.
CONFIGURATION_WAIT_S = 1.0
# Interval between reads of the list of targets, as a fraction of the time within which
# a leaving target must get no more work.
ENGINES_INTERVAL_SHARE = 0.4
# The load balancer checks readiness once a second and stops sending requests after two
# failed checks.
BALANCER_LAG_S = 3.0
# Part of the exit timeout that is reserved for the shutdown itself, counted from when
# SIGTERM was handled; and the least that is left of it if the signal may have been sent
# much earlier.
EXIT_MARGIN_S = 0.7
MIN_EXIT_MARGIN_S = 0.3
DRAIN_POLL_S = 0.05
# Heads above this size close the connection; those that only exceed the configured
# limit are read to their end and refused.
MAX_READ_HEADER_BYTES = 1024 * 1024
# Tornado's own bound, which would answer without a reason; the frontend has its own.
MAX_READ_BODY_BYTES = 2**63
READ_PARAMETERS = {
    "chunk_size": READ_BLOCK_BYTES,
    "max_body_size": MAX_READ_BODY_BYTES,
}
# Part of the margin within which the last refusals are sent.
ANSWER_TIME_S = 0.1
# A connection that was just opened, or whose answer was just read, may be about to
# carry its next request; it must have been idle for this long to be closed.
MIN_IDLE_BEFORE_CLOSE_S = 0.3
# The gateway keeps no time line of messages between daemons: the log has the decisions.
N_EVENTS = 1
# Time for which a daemon is counted that is no longer seen, in seconds; partitions of
# failure domains take minutes at the most.
COUNTED_DAEMONS_S = 300.0
# Daemons gossip every second; they do so at once for a target that turns requests away
# or leaves, but not more often than this, in seconds. A target leaves once; requests
# may be turned away all the time.
MIN_AVOIDED_INTERVAL_S = 1.0
MIN_LEAVING_INTERVAL_S = 0.3
# The same for requests that wait, and for room that is left to those of other daemons.
MIN_WAITING_INTERVAL_S = 1.0
# Minimum for the number of daemons, since a daemon may not have discovered the others
# yet.
MIN_COUNTED_DAEMONS = 8


class Gateway:
    """Owns the components of one gateway; an asynchronous context manager.

    :param settings: validated settings.
    :param platform: interfaces of the platform.
    :param pool: connections to targets.
    :param log: receives a line for each decision.
    :param random_state: generator for every random choice.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        platform: Platform,
        pool: ConnectionPool,
        log: DecisionLog,
        random_state: random.Random,
    ) -> None:
        self._settings = settings
        self._log = log
        self._is_leaving = False
        self._platform = platform
        self._metrics = GatewayMetrics(settings.domain)
        self._supervisor = Supervisor("gateway")
        self._loop_monitor = LoopMonitor(log, self._metrics.record_loop_delay)
        self._routing_state = RoutingState(
            log,
            settings.max_configuration_age_s,
            settings.max_configuration_age_s,
            settings.configuration_delay_s,
        )
        self._health = TargetHealth()
        self._closures = TargetClosures()
        self._pool = pool
        pool.on_unasked = self._record_unasked
        self._quarantine = Quarantine(
            lambda engine: self._dispatcher.is_domain_unreachable(engine, now()),
            self._supervisor.add_child("probes"),
            log,
            random_state.random(),
        )
        self._ledger = LoadLedger()
        self._daemon_peak = PeakCount(COUNTED_DAEMONS_S)
        self._dispatcher = Dispatcher(
            settings.domain,
            self._routing_state,
            self._ledger,
            self._health,
            self._closures,
            random_state,
        )
        # Targets in the first list may have been at work for long.
        self._has_list = False
        self._paces = self._build_paces() if settings.paces_targets else None
        self._dispatcher.paces = self._paces
        self._routing_state.engine_callbacks.append(self._handle_engine_change)
        self._routing_state.renewal_callbacks.append(
            lambda target: self._health.record_renewal(target, now())
        )
        self._routing_state.renewal_callbacks.append(self._handle_renewal)
        self._quarantine.verdict_callbacks.append(self._recheck_quarantine)
        self._exit_stack = ExitStack()
        self._mesh = self._build_mesh()
        self._urgent_gossip = UrgentGossip(self._gossip_now)
        self._fleet = FleetView(self._mesh, now())
        links = LinkPermits(self._mesh, self._fleet, self._dispatcher, log)
        self._domain_queue: DomainCapacityQueue | None = None
        if settings.orders_across_daemons:
            self._domain_queue = DomainCapacityQueue(
                self._dispatcher, links, log, random_state
            )
            self._capacity_queue: CapacityQueue = self._domain_queue
        else:
            self._capacity_queue = CapacityQueue(self._dispatcher, links, log)
        if self._mesh is not None:
            self._share_loads(self._mesh)
        self._notices = EngineNotices(
            self._routing_state,
            self._closures,
            self._dispatcher,
            platform.engine_api,
            self._supervisor.add_child("notices"),
            self._mesh,
            lambda: self._urgent_gossip.request(MIN_LEAVING_INTERVAL_S, now()),
            log,
            self._metrics,
        )
        platform.engine_api.notice_callbacks.append(self._notices.record_at)
        self._closing = Closing()
        self._router = self._build_router(random_state)
        self._loss_check = LossCheck(
            self._routing_state, self._health, lambda: self._duty.is_holder, log
        )
        bounds = RequestBounds.of_process(
            settings.max_memory_bytes, settings.max_descriptors
        )
        self._request_memory = RequestMemory(bounds)
        self._frontend = Frontend(self._router.handle, log, self._request_memory)
        self._duty = PlacementDuty(
            platform.duty,
            platform.engine_api,
            self._routing_state,
            self._mesh,
            self._fleet,
            self._closures,
            log,
            self._metrics,
            random_state,
            self._loss_check.is_lost,
        )
        self._feed_sharing = FeedSharing(
            settings.domain,
            self._mesh,
            self._fleet,
            self._supervisor.add_child("relay"),
            log,
        )
        self._suspect_sharing = SuspectSharing(
            self._quarantine,
            self._mesh,
            self._feed_sharing,
            platform.suspects,
            self._supervisor.add_child("suspects"),
            log,
            random_state,
        )
        self._followers = self._build_followers(random_state)
        self._register_gauges()

    def _register_gauges(self) -> None:
        routing_state, observe = self._routing_state, self._metrics.observe
        observe(
            "cassiaspread.gateway.configuration.age",
            "Seconds since the configuration was last known to be current.",
            lambda: routing_state.configuration_age.age_s(suspended_clock_s()),
        )
        observe(
            "cassiaspread.gateway.engines.age",
            "Seconds since the list of targets was last known to be current.",
            lambda: routing_state.engines_age.age_s(suspended_clock_s()),
        )
        observe(
            "cassiaspread.gateway.engines",
            "Targets that are known.",
            lambda: len(routing_state.engines),
        )
        observe(
            "cassiaspread.gateway.waiting",
            "Requests that wait for room on a chain.",
            lambda: len(self._capacity_queue),
        )
        observe(
            "cassiaspread.gateway.duty",
            "1 while this daemon gives the engines their orders.",
            lambda: float(self._duty.is_holder),
        )
        observe(
            "cassiaspread.gateway.lost_engines",
            "Listed engines that have ended, as the holder of the duty found.",
            lambda: self._loss_check.n_lost,
        )
        observe(
            "cassiaspread.gateway.suspects",
            "Records of requests under which targets ended.",
            lambda: self._quarantine.n_suspects,
        )
        observe(
            "cassiaspread.gateway.quarantined",
            "Fingerprints of requests that are refused.",
            lambda: self._quarantine.n_crashing,
        )
        observe(
            "cassiaspread.gateway.answer_bytes",
            "Bytes of answers that were received and not yet sent to their callers.",
            lambda: ANSWER_MEMORY.n_bytes,
        )
        observe(
            "cassiaspread.gateway.request_bytes",
            "Bytes granted to requests that have not ended.",
            lambda: self._request_memory.n_bytes,
        )
        observe(
            "cassiaspread.gateway.unread_requests",
            "Requests that wait for memory before they are read.",
            lambda: self._request_memory.n_waiting,
        )
        observe(
            "cassiaspread.gateway.caller_connections",
            "Open connections of callers.",
            lambda: self._frontend.n_connections,
        )
        self._metrics.observe_counts(
            "cassiaspread.gateway.requests_not_read",
            "Requests refused or ended to bound memory, and connections, by kind.",
            lambda: self._frontend.n_not_read,
        )
        observe(
            "cassiaspread.gateway.undelivered_answers",
            "Answers that ended and are not known to have reached their callers.",
            lambda: self._frontend.n_undelivered,
        )
        if self._paces is not None:
            observe_paces(self._paces, self._dispatcher, self._metrics)
        if self._domain_queue is not None:
            domain_queue = self._domain_queue
            observe(
                "cassiaspread.gateway.domain_waiting",
                "Requests that wait at all daemons of the failure domain.",
                domain_queue.count_domain_waiting,
            )
            self._metrics.observe_counts(
                "cassiaspread.gateway.turns",
                "Requests held back for others, refused at once and after a wait.",
                lambda: domain_queue.counts,
            )
        if self._mesh is not None:
            self._metrics.observe_counts(
                "cassiaspread.gateway.peer_bytes",
                "Bytes sent to and received from other daemons, by kind of message.",
                self._mesh.bytes_by_kind,
            )
        self._metrics.observe_counts(
            "cassiaspread.gateway.store_calls",
            "Calls to the platform's store, by kind.",
            self._platform.store_calls,
        )
        observe(
            "cassiaspread.gateway.connections",
            "Connections opened to targets and to the store.",
            lambda: self._pool.n_opened,
        )

    def _build_router(self, random_state: random.Random) -> Router:
        codec, settings = self._platform.header_codec, self._settings
        plain = PlainForwarder(
            codec,
            self._pool,
            self._dispatcher,
            self._health,
            self._quarantine,
            self._notices,
            self._closing,
            self._log,
        )
        stalls = StallDetector(
            self._platform.engine_api,
            self._routing_state,
            self._health,
            self._closures,
            self._log,
            self._supervisor.add_child("stalls"),
        )
        stream = StreamForwarder(
            codec,
            self._pool,
            self._dispatcher,
            self._capacity_queue,
            self._health,
            self._quarantine,
            stalls,
            self._notices,
            self._closing,
            self._log,
            self._metrics,
            settings.moves_streams_early,
        )
        retries = RetryLimits(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
            self._count_daemons,
            self._mesh,
            self._fleet,
            self._log,
            self._metrics,
            random_state,
            now(),
        )
        return Router(
            codec,
            self._routing_state,
            self._dispatcher,
            plain,
            stream,
            retries,
            settings.configuration_delay_s,
            self._log,
            self._metrics,
            random_state,
            self._closing,
        )

    def _build_paces(self) -> TargetPaces:
        paces = TargetPaces(
            lambda key: rank_in_domain(self._mesh, self._settings.domain, key),
            self._dispatcher.mean_in_use,
            lambda change: log_pace(self._log, change),
        )
        self._health.failure_callbacks.append(paces.record_failure)
        return paces

    def _count_daemons(self) -> int:
        n_running = 1 if self._mesh is None else len(self._mesh.active_members())
        # Daemons behind a partition go on retrying, although they are not counted.
        n_peak = self._daemon_peak.record(n_running, now())
        return max(MIN_COUNTED_DAEMONS, n_peak)

    def _build_mesh(self) -> Mesh | None:
        settings = self._settings
        if settings.peer_listen is None:
            return None
        address = str(settings.peer_listen)
        incarnation = Incarnation(str(uuid6.uuid7()))
        return Mesh(
            Sender(settings.vm, settings.domain, incarnation, address),
            EventRing(settings.vm, N_EVENTS, time.time),
            self._supervisor.add_child("mesh"),
            self._seed_addresses,
            address,
        )

    def _share_loads(self, mesh: Mesh) -> None:
        sharing = LoadSharing(
            self._settings.domain,
            mesh,
            self._ledger,
            self._health,
            self._capacity_queue.recheck_capacity,
            self._paces,
            self._domain_queue,
        )
        if self._domain_queue is not None:
            self._domain_queue.on_news = lambda: self._urgent_gossip.request(
                MIN_WAITING_INTERVAL_S, now()
            )
        self._dispatcher.count_domain_daemons = sharing.count_domain_daemons
        self._dispatcher.on_avoided = lambda: self._urgent_gossip.request(
            MIN_AVOIDED_INTERVAL_S, now()
        )

    def _gossip_now(self) -> None:
        if self._mesh is not None:
            self._mesh.gossip_now()

    def _seed_addresses(self) -> dict[str, DomainId | None]:
        return dict.fromkeys(map(str, self._settings.seeds))

    def _build_followers(self, random_state: random.Random) -> list[FeedFollower]:
        settings, routing_state = self._settings, self._routing_state
        return [
            ConfigurationFollower(
                self._feed_sharing,
                self._platform.configuration,
                routing_state,
                self._log,
                CONFIGURATION_WAIT_S,
                random_state,
            ),
            EngineFollower(
                self._feed_sharing,
                routing_state,
                self._platform.engines,
                self._replace_engines,
                self._log,
                settings.leaving_timeout_s * ENGINES_INTERVAL_SHARE,
                settings.leaving_timeout_s,
                random_state,
            ),
        ]

    async def __aenter__(self) -> Self:
        self._supervisor.start("log", self._log.run)
        self._supervisor.start("loop-monitor", self._loop_monitor.run)
        if self._mesh is not None:
            await self._mesh.__aenter__()
        for index, follower in enumerate(self._followers):
            self._supervisor.start(f"feed-{index}", follower.run)
        self._suspect_sharing.start()
        self._supervisor.start("expiry", self._quarantine.run_expiry)
        self._supervisor.start("duty", self._duty.renew)
        self._supervisor.start("placement", self._duty.place)
        if self._settings.replaces_lost_engines:
            self._supervisor.start("loss-check", self._loss_check.run)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._supervisor.stop()
        if self._mesh is not None:
            await self._mesh.__aexit__(exc_type, exc, traceback)
        self._exit_stack.close()

    @property
    def not_ready_reasons(self) -> list[str]:
        """Reasons for which the load balancer should send no requests here."""
        reasons = []
        if self._is_leaving:
            reasons.append("leaving")
        if self._routing_state.table is None:
            reasons.append("no configuration")
        elif not self._routing_state.configuration_age.is_valid(suspended_clock_s()):
            reasons.append("configuration too old")
        return reasons

    async def serve(self, reload_signal: ReloadSignal) -> None:
        """Serve until SIGTERM, then until the requests in progress have ended.

        :param reload_signal: SIGHUP of this process.
        """
        loop = asyncio.get_running_loop()
        stop: asyncio.Future[float] = loop.create_future()

        def handle_stop() -> None:
            if not stop.done():
                stop.set_result(self._loop_monitor.signals_handled_s)

        loop.add_signal_handler(signal.SIGTERM, handle_stop)
        loop.add_signal_handler(signal.SIGINT, handle_stop)
        # The frontend has timeouts and bounds of its own.
        server = HTTPServer(self._frontend, **READ_PARAMETERS)
        server.conn_params.header_timeout = None
        self._routing_state.table_callbacks.append(
            lambda table: self._apply_limits(server, table.limits)
        )
        self._supervisor.start("timeouts", self._frontend.run_timeouts)
        readiness = self._build_server(self._answer_readiness)
        with (
            reload_signal.passed_to(
                lambda: loop.call_soon_threadsafe(self._handle_reload)
            ),
            Listener(
                server,
                *self._settings.listen,
                RECEIVE_BUFFER_BYTES,
                self._frontend.count_free,
            ) as listener,
            Listener(readiness, *self._settings.readiness, RECEIVE_BUFFER_BYTES),
        ):
            if self._settings.metrics is not None:
                metrics = self._build_server(self._answer_metrics)
                self._exit_stack.enter_context(
                    Listener(metrics, *self._settings.metrics, RECEIVE_BUFFER_BYTES)
                )
            # Objects created at start-up live as long as the process.
            gc.freeze()
            self._log.record(
                "gateway.started",
                domain=self._settings.domain,
                listen=str(self._settings.listen),
            )
            await self._leave(listener, await stop)
        self._log.record("gateway.stopped", n_open=self._frontend.n_requests)
        self._log.flush()

    def _build_server(self, handler: Handler) -> HTTPServer:
        """Return a server for operators and the load balancer."""
        frontend = Frontend(handler, memory=self._request_memory)
        return HTTPServer(frontend, **READ_PARAMETERS)

    async def _leave(self, listener: Listener, sent_after_s: float) -> None:
        """End the requests in progress, and accept only what can end as well.

        :param listener: the callers' connections.
        :param sent_after_s: earliest time at which the signal can have been sent, on
            the monotonic clock in seconds.
        """
        drain_started_s = now()
        exit_timeout_s = self._settings.exit_timeout_s
        drain_deadline_s = min(
            drain_started_s + exit_timeout_s - EXIT_MARGIN_S,
            sent_after_s + exit_timeout_s - MIN_EXIT_MARGIN_S,
        )
        self._closing.begin(sent_after_s + BALANCER_LAG_S, drain_deadline_s)
        self._is_leaving = True
        self._log.record(
            "gateway.leaving",
            n_open=self._frontend.n_requests,
            sent_before_ms=round((drain_started_s - sent_after_s) * 1000),
        )
        self._frontend.leave()
        # Further renewals could return the duty to this daemon, which is about to exit.
        await self._supervisor.cancel("duty")
        await self._supervisor.cancel("placement")
        self._supervisor.start_once("leave-duty", self._duty.leave)
        listen_until_s = min(drain_started_s + BALANCER_LAG_S, drain_deadline_s)
        while now() < listen_until_s:
            await asyncio.sleep(DRAIN_POLL_S)
            self._refuse_late_waiting()
        listener.stop()
        # A request received later on a keep-alive connection could not be completed.
        while now() < drain_deadline_s:
            # The frontend learns of the connections accepted last after this step.
            await asyncio.sleep(DRAIN_POLL_S)
            self._refuse_late_waiting()
            self._frontend.close_idle(MIN_IDLE_BEFORE_CLOSE_S, now())
            if not self._frontend.n_requests and not self._frontend.n_connections:
                break
        if self._frontend.n_requests or self._frontend.n_connections:
            await self._interrupt()

    def _refuse_late_waiting(self) -> None:
        """Refuse the requests that wait for room too long to end in time."""

        def check(job: Job) -> None:
            if not job.inbound.is_passed_on:
                self._closing.check(job, now())

        self._capacity_queue.refuse_waiting(check)

    async def _interrupt(self) -> None:
        self._log.record(
            "gateway.drain_timeout",
            n_open=self._frontend.n_requests,
            n_connections=self._frontend.n_connections,
        )
        # The second round is for requests that were being received in the first.
        for _ in range(2):
            self._frontend.close_idle(0.0, now())
            self._frontend.interrupt(_leaving_refusal())
            await asyncio.sleep(ANSWER_TIME_S)

    def _apply_limits(self, server: HTTPServer, limits: ClientLimits) -> None:
        params = server.conn_params
        params.max_header_size = max(limits.max_header_bytes, MAX_READ_HEADER_BYTES)
        self._frontend.apply_limits(limits)

    def _handle_reload(self) -> None:
        # Addresses and domain of a running process do not change; other settings are
        # read at the next start.
        self._log.record("gateway.reload", changed=False)

    async def _answer_readiness(self, inbound: InboundRequest) -> None:
        reasons = self.not_ready_reasons
        body = "\n".join(reasons).encode()
        inbound.answer(503 if reasons else 200, {"Content-Type": "text/plain"}, body)

    async def _answer_metrics(self, inbound: InboundRequest) -> None:
        headers = {"Content-Type": "text/plain; version=0.0.4"}
        inbound.answer(200, headers, self._metrics.render())

    def _replace_engines(self, changes: tuple[EngineChange, ...]) -> None:
        self._routing_state.retain({change.target for change in changes})
        for change in changes:
            self._routing_state.apply_change(change)
        self._has_list = True

    def _recheck_quarantine(self) -> None:
        self._capacity_queue.refuse_waiting(
            lambda job: self._quarantine.check(job, False, unix_time_s())
        )

    def _record_unasked(self, unasked: UnaskedBytes) -> None:
        self._log.record(
            "connection.unasked",
            request=unasked.request_id,
            address=unasked.address,
            n_bytes=unasked.n_bytes,
            when=unasked.when.value,
        )

    def _handle_renewal(self, target: TargetId) -> None:
        engine = self._routing_state.engines.get(target)
        if engine is not None:
            self._quarantine.record_renewal(engine, now(), unix_time_s())

    def _handle_engine_change(
        self, before: Engine | None, after: Engine | None
    ) -> None:
        is_new = before is None or after is None
        if is_new or before.incarnation != after.incarnation:
            engine = before or after
            self._health.forget(engine.target)
            if before is not None:
                self._closures.record_removal(before, now())
                self._pool.drop(before.address)
        if self._paces is not None:
            self._paces.record_change(before, after, self._has_list, now())
        self._dispatcher.record_targets_changed()


def _leaving_refusal() -> Refusal:
    detail = "The daemon ends before the answer; the request may have run."
    return Refusal(502, "leaving", detail, Outcome.UNKNOWN)
