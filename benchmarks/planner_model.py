"""Discrete-event simulation of engines with rated speeds under planner and admission.

An engine serves ``n_slots`` sequences concurrently at ``step_ms`` per token; the others
are queued by priority, then by arrival. A request passes through its plan once for
each ``CHUNK_TOKENS`` tokens. Daemons receive load reports with a delay of
``REPORT_LAG_S`` and each other's demand every second, and choose plans with the
production code.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import networkx

from cassiaspread_core.admission import (
    AdmissionGate,
    AdmissionTicket,
    DaemonDemand,
    Decision,
    divide_capacity,
    domain_capacity,
)
from cassiaspread_core.load import (
    LinkTable,
    LoadTracker,
    StageTime,
    make_link_cost,
    make_stage_cost,
    observe_round,
    sample_candidates,
)
from cassiaspread_core.pipeline import EngineReport, choose_plan

N_LAYERS = 32
CHUNK_TOKENS = 8
N_DAEMONS = 8
REPORT_LAG_S = 2.0
REPORT_INTERVAL_S = 0.5
GOSSIP_INTERVAL_S = 1.0
MEAN_TOKENS = 64
# A sequence occupies one of its four stages at a time, so a slot serves four sequences;
# the excess over four keeps the slots busy.
SLOT_RATIO = 5.5
LOCAL_LINK_MS, REMOTE_LINK_MS = 0.1, 10.0
ENGINE_KINDS = {"a": (8.0, 16), "b": (16.0, 8), "c": (32.0, 8), "d": (12.0, 12)}
LAYER_RANGES = [(0, 8), (8, 16), (16, 24), (24, 32), (0, 16), (16, 32)]


def build_engines(n_engines: int, random_state: random.Random) -> list[EngineReport]:
    engines = []
    for index in range(n_engines):
        # Four of five engines cycle through the quarters; this covers all layers.
        begin, end = (
            LAYER_RANGES[index % 4] if index % 5 else random_state.choice(LAYER_RANGES)
        )
        step_ms, n_slots = ENGINE_KINDS[random_state.choice(sorted(ENGINE_KINDS))]
        engines.append(
            EngineReport(
                target=f"e{index}",
                address=f"a{index}",
                link=f"l{index}",
                domain=f"rack{random_state.randrange(2)}",
                model="draft",
                begin=begin,
                end=end,
                step_ms=step_ms * (end - begin) / 8,
                n_slots=n_slots,
            )
        )
    return engines


def max_tokens_per_s(engines: list[EngineReport]) -> float:
    """Return the max-flow of the layered graph at the engines' rated speeds."""
    graph = networkx.DiGraph()
    for engine in engines:
        rate = engine.n_slots / engine.step_ms * 1000
        entry_node, exit_node = ("in", engine.target), ("out", engine.target)
        graph.add_edge(entry_node, exit_node, capacity=rate)
        graph.add_edge(("layer", engine.begin), entry_node)
        graph.add_edge(exit_node, ("layer", engine.end))
    return networkx.maximum_flow_value(graph, ("layer", 0), ("layer", N_LAYERS))


@dataclass
class Job:
    """State of one request."""

    organisation: str
    n_tokens: int
    arrived_s: float
    ticket: AdmissionTicket
    daemon: "Daemon"
    plan: list["Server"] = field(default_factory=list)
    stage: int = 0
    n_rounds: int = 0
    admitted_s: float = 0.0
    round_s: float = 0.0
    priority: int = 0
    best_round_s: float = float("inf")


@dataclass
class Server:
    """State of one engine."""

    engine: EngineReport
    n_busy: int = 0
    n_resident: int = 0
    queue: list = field(default_factory=list)


class Daemon:
    """State of one daemon: admission, reported loads and planner costs."""

    def __init__(self, simulation: "Simulation", seed: int) -> None:
        self.gate = AdmissionGate(lambda organisation: 1.0)
        self.tracker = LoadTracker(lambda: N_DAEMONS)
        self.links = LinkTable()
        self.peer_demands: dict[int, DaemonDemand] = {}
        self.reported_loads: dict[str, int] = {}
        self.n_own_requests: Counter[str] = Counter()
        self.random_state = random.Random(seed)
        self.costs = simulation.policy(self, self.random_state)


Costs = tuple[Callable, Callable]


def product_policy(daemon: Daemon, random_state: random.Random) -> Costs:
    return make_stage_cost(daemon.tracker, random_state), make_link_cost(daemon.links)


def random_policy(daemon: Daemon, random_state: random.Random) -> Costs:
    return lambda engine: random_state.random(), lambda previous, following: 0.0


def least_loaded_policy(daemon: Daemon, random_state: random.Random) -> Costs:
    def cost(engine: EngineReport) -> float:
        n_reported = daemon.reported_loads.get(engine.target, 0)
        return max(n_reported, daemon.n_own_requests[engine.target]) / engine.n_slots

    return cost, lambda previous, following: 0.0


def own_in_flight_policy(daemon: Daemon, random_state: random.Random) -> Costs:
    """Return the planner's earlier costs: own requests in flight and fixed links."""

    def cost(engine: EngineReport) -> float:
        return engine.step_ms * (
            1 + daemon.n_own_requests[engine.target] / engine.n_slots
        )

    return cost, lambda a, b: 0.1 if a.domain == b.domain else 1.0


class Simulation:
    """One simulation run.

    :param engines: engines to simulate.
    :param rates: requests per second of each organisation.
    :param policy: returns the planner's costs for a daemon.
    :param seed: seed of arrivals and random choices.
    :param deadline_s: time limit of each request, in seconds.
    :param has_gate: whether requests pass admission.
    """

    def __init__(
        self, engines, rates, policy, seed, deadline_s=1e9, has_gate=True
    ) -> None:
        self.engines = engines
        self.policy = policy
        self.deadline_s = deadline_s
        self.has_gate = has_gate
        self.now_s = 0.0
        self.servers = {engine.target: Server(engine) for engine in engines}
        self.random_state = random.Random(seed)
        self.daemons = [Daemon(self, seed * 100 + n) for n in range(N_DAEMONS)]
        self.finished: list[Job] = []
        self.n_refused = 0
        self._capacity = domain_capacity(engines, N_LAYERS, SLOT_RATIO)
        self._events: list = []
        self._n_events = 0
        self._jobs: dict[int, Job] = {}
        for organisation, rate in rates.items():
            self._schedule_arrival(organisation, rate)
        self._schedule(0.0, self._send_loads)
        self._schedule(0.0, self._gossip)

    def run(self, until_s: float) -> None:
        """Process all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _schedule(self, delay_s, action, *arguments) -> None:
        self._n_events += 1
        event = (self.now_s + delay_s, self._n_events, action, arguments)
        heapq.heappush(self._events, event)

    def _schedule_arrival(self, organisation, rate) -> None:
        interval_s = self.random_state.expovariate(rate)
        self._schedule(interval_s, self._arrive, organisation, rate)

    def _arrive(self, organisation, rate) -> None:
        self._schedule_arrival(organisation, rate)
        n_tokens = CHUNK_TOKENS * (
            1 + int(self.random_state.expovariate(CHUNK_TOKENS / MEAN_TOKENS))
        )
        daemon = self.random_state.choice(self.daemons)
        ticket = AdmissionTicket(
            number=len(self._jobs),
            organisation=organisation,
            cost=n_tokens,
            deadline_s=self.now_s + self.deadline_s,
        )
        job = Job(organisation, n_tokens, self.now_s, ticket, daemon)
        self._jobs[ticket.number] = job
        if not self.has_gate:
            self._start(job)
            return
        result = daemon.gate.submit(ticket, self.now_s)
        self._apply_results([result])

    def _apply_results(self, results) -> None:
        for result in results:
            if result.decision is Decision.ADMITTED:
                self._start(self._jobs[result.ticket.number])
            elif result.decision is Decision.REFUSED:
                self.n_refused += 1

    def _start(self, job: Job) -> None:
        engines = self.engines
        if self.policy is product_policy:
            engines = sample_candidates(engines, job.daemon.random_state)
        plan = choose_plan(engines, N_LAYERS, *job.daemon.costs)
        job.plan = [self.servers[stage.engine] for stage in plan]
        job.n_rounds = job.n_tokens // CHUNK_TOKENS
        job.admitted_s = job.round_s = self.now_s
        job.priority = job.daemon.gate.engine_priority(job.organisation, 0)
        job.daemon.tracker.start([s.engine.target for s in job.plan], self.now_s)
        for server in job.plan:
            server.n_resident += 1
            job.daemon.n_own_requests[server.engine.target] += 1
        self._enter_stage(job)

    def _enter_stage(self, job: Job) -> None:
        server = job.plan[job.stage]
        if server.n_busy < server.engine.n_slots:
            self._start_stage(server, job)
        else:
            self._n_events += 1
            item = (-job.priority, self._n_events, job)
            heapq.heappush(server.queue, item)

    def _start_stage(self, server: Server, job: Job) -> None:
        server.n_busy += 1
        self._schedule(
            server.engine.step_ms * CHUNK_TOKENS / 1000, self._finish_stage, server, job
        )

    def _finish_stage(self, server: Server, job: Job) -> None:
        server.n_busy -= 1
        if server.queue:
            self._start_stage(server, heapq.heappop(server.queue)[-1])
        job.stage += 1
        if job.stage < len(job.plan):
            next_engine = job.plan[job.stage].engine
            is_local = server.engine.domain == next_engine.domain
            link_ms = LOCAL_LINK_MS if is_local else REMOTE_LINK_MS
            self._schedule(link_ms * CHUNK_TOKENS / 1000, self._enter_stage, job)
        else:
            self._end_round(job)

    def _end_round(self, job: Job) -> None:
        job.best_round_s = min(job.best_round_s, self.now_s - job.round_s)
        job.round_s, job.stage = self.now_s, 0
        job.n_rounds -= 1
        if job.n_rounds:
            self._enter_stage(job)
            return
        self.finished.append(job)
        job.round_s = self.now_s
        daemon = job.daemon
        for server in job.plan:
            server.n_resident -= 1
            daemon.n_own_requests[server.engine.target] -= 1
        daemon.tracker.end([s.engine.target for s in job.plan], self.now_s)
        stages = [StageTime(s.engine, s.engine.step_ms) for s in job.plan]
        observe_round(daemon.links, stages, job.best_round_s / CHUNK_TOKENS * 1000)
        if self.has_gate:
            elapsed_s = self.now_s - job.admitted_s
            daemon.gate.forecast.record(job.n_tokens, job.n_tokens, elapsed_s)
            self._apply_results(daemon.gate.finish(job.ticket, self.now_s))

    def _send_loads(self) -> None:
        loads = {name: s.n_resident for name, s in self.servers.items()}
        self._schedule(REPORT_LAG_S, self._receive_loads, loads, self.now_s)
        self._schedule(REPORT_INTERVAL_S, self._send_loads)

    def _receive_loads(self, loads, sampled_s) -> None:
        for daemon in self.daemons:
            daemon.reported_loads = loads
            for name, n_resident in loads.items():
                daemon.tracker.report(name, n_resident, sampled_s, self.now_s)

    def _gossip(self) -> None:
        demands = [daemon.gate.demand() for daemon in self.daemons]
        for index, daemon in enumerate(self.daemons):
            # The demand of peers is one gossip round old.
            peers = [d for i, d in daemon.peer_demands.items() if i != index]
            peers = peers or [DaemonDemand()] * (N_DAEMONS - 1)
            share = divide_capacity(
                self._capacity, demands[index], peers, lambda organisation: 1.0
            )
            self._apply_results(daemon.gate.set_share(share, self.now_s))
            self._apply_results(daemon.gate.expire(self.now_s))
            daemon.peer_demands = dict(enumerate(demands))
        self._schedule(GOSSIP_INTERVAL_S, self._gossip)
