"""Discrete-event simulation of engines that share the layers of a model.

Streams arrive independently of the load (open arrivals). In each pass an engine
batches all queued work. Caches have a limited capacity, transfers between domains are
serialised on one link, loading weights takes time, and engines can fail. Layouts,
moves and chains are computed by the production code in ``cassiaspread_core``. Times
are in milliseconds.

Run ``python -m benchmarks.pipeline_model --help``.
"""

import argparse
import random
import statistics
from collections.abc import Callable, Generator, Sequence

import msgspec
import simpy

from cassiaspread_core.chains import (
    Chain,
    LoadLedger,
    RequestDemand,
    StageLoad,
    choose_chain,
    stage_load,
)
from cassiaspread_core.placement import (
    Accelerator,
    Engine,
    LayerRange,
    ModelSpec,
    cache_capacity,
    plan_layout,
    plan_moves,
)

MS_PER_S = 1000.0
LOCAL_DELAY_MS = 0.1
FIRST_EVENT_OBJECTIVE_MS = 500.0
EVENT_GAP_OBJECTIVE_MS = 250.0
# Callers abandon a stream after this time without an event.
CALLER_TIMEOUT_MS = 2000.0
MAX_CAPACITY_WAIT_MS = 2 * FIRST_EVENT_OBJECTIVE_MS
# Time after which a head reports an engine of its chains that does not respond.
SILENCE_TIMEOUT_MS = 400.0
GOSSIP_INTERVAL_MS = 1000.0
PLACEMENT_INTERVAL_MS = 250.0
# The list drops an engine after three missed heartbeats.
ENTRY_LIFETIME_MS = 3600.0

ProcessGenerator = Generator[simpy.Event, object, None]


class Workload(msgspec.Struct, frozen=True):
    """Workload of one simulation run.

    :param streams_per_s: arrival rate over all domains.
    :param duration_s: length of the arrival period, in seconds.
    :param burst_factor: factor on the arrival rate in the middle third.
    :param engine_failures: time in seconds and target of each engine that stops
        responding for good.
    """

    streams_per_s: float = 43.0
    duration_s: float = 12.0
    burst_factor: float = 1.0
    engine_failures: tuple[tuple[float, str], ...] = ()


class Policy(msgspec.Struct, frozen=True):
    """Selection of the product's decisions or of baselines for comparison.

    :param chain_selection: ``product``, ``random`` or ``own-load`` (no gossip).
    :param has_takeover: whether other engines load the layers of failed ones.
    """

    chain_selection: str = "product"
    has_takeover: bool = True


class Result(msgspec.Struct):
    """Outcome of the streams as seen by their callers.

    :param n_in_objective: streams within both objectives.
    :param n_late: complete streams that missed an objective.
    :param n_refused: streams for which no capacity became free in time.
    :param n_abandoned: streams abandoned by their callers.
    :param first_event_ms: time to the first event of each stream, in milliseconds.
    :param n_crossings: transfers of prompts between domains.
    :param n_preempted: preemptions of streams, each with loss of the stream's cache.
    """

    n_in_objective: int = 0
    n_late: int = 0
    n_refused: int = 0
    n_abandoned: int = 0
    first_event_ms: list[float] = msgspec.field(default_factory=list)
    n_crossings: int = 0
    n_preempted: int = 0

    @property
    def objective_share(self) -> float:
        """Share of all streams within both objectives."""
        n_all = self.n_in_objective + self.n_late + self.n_refused + self.n_abandoned
        return self.n_in_objective / max(1, n_all)


def three_domains() -> tuple[ModelSpec, list[Engine]]:
    """Return a model of 80 layers and 38 engines of three kinds in three domains."""
    kinds = [
        Accelerator("large", 72_000, 2.4, 3.2),
        Accelerator("small", 14_400, 5.3, 7.9),
        Accelerator("slow", 21_600, 16.0, 8.2),
    ]
    model = ModelSpec(
        n_layers=80,
        layer_mb=1750.0,
        cache_mb_per_token=1.18,
        accelerators={kind.name: kind for kind in kinds},
        step_ms=1.02,
        per_sequence_ms=0.00918,
        context_ms_per_1k_tokens=0.0123,
        prefill_tokens_per_ms=164.0,
        n_slots=96,
        steps_per_pass=4,
        usual_prompt=774,
        usual_answer=210,
        load_s=14.0,
        activation_bytes=59_000,
        domain_link_mbps=19_000,
        domain_delay_ms=0.75,
    )
    counts = {"a": (1, 6, 6), "b": (1, 10, 4), "c": (2, 4, 4)}
    engines = [
        Engine(
            target=f"{domain}-{kind.name}-{n}",
            service="pool",
            address=f"{domain}-{kind.name}-{n}",
            domain=domain,
            accelerator=kind.name,
            n_slots=96,
        )
        for domain, numbers in counts.items()
        for kind, count in zip(kinds, numbers, strict=True)
        for n in range(count)
    ]
    return model, engines


class _SimulatedEngine:
    """Engine with its queue, cache use and state.

    Cache sizes are in tokens times layers.
    """

    def __init__(self, simulation: "Simulation", engine: Engine) -> None:
        self.engine = engine
        self.simulation = simulation
        self.is_silent = False
        self.is_listed = True
        self.is_suspect = False
        self.is_loading = False
        self.waiting: list[tuple[float, int, simpy.Event]] = []
        self.queue = simpy.Store(simulation.env)
        self.cache_use: dict[int, float] = {}
        simulation.env.process(self._run())

    @property
    def free_cache(self) -> float:
        return cache_capacity(self.engine, self.simulation.model) - sum(
            self.cache_use.values()
        )

    def _run(self) -> ProcessGenerator:
        model = self.simulation.model
        kind = model.accelerators[self.engine.accelerator]
        while True:
            batch = [(yield self.queue.get())]
            batch += self.queue.items
            self.queue.items.clear()
            if self.is_silent:
                return
            busy_ms = 0.0
            n_decoding = sum(1 for _, n_prompt, _, _ in batch if not n_prompt)
            for n_layers, n_prompt, context, _ in batch:
                share = n_layers / model.n_layers
                if n_prompt:
                    rate = model.prefill_tokens_per_ms / kind.prefill_factor
                    busy_ms += share * n_prompt / rate
                else:
                    per_sequence = (
                        model.per_sequence_ms
                        + context / 1000 * model.context_ms_per_1k_tokens
                    )
                    busy_ms += (
                        share * kind.step_factor * per_sequence * model.steps_per_pass
                    )
            if n_decoding:
                layer_shares = [n / model.n_layers for n, p, _, _ in batch if not p]
                pass_ms = model.step_ms * kind.step_factor * model.steps_per_pass
                busy_ms += max(layer_shares) * pass_ms
            yield self.simulation.env.timeout(busy_ms)
            for *_, done in batch:
                done.succeed()


class _Daemon:
    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.ledger = LoadLedger()


class Simulation:
    """Simulated deployment under one workload.

    :param workload: arrivals and failures.
    :param policy: decisions to use.
    :param random_state: source of arrivals, sizes and random choices.
    """

    def __init__(
        self, workload: Workload, policy: Policy, random_state: random.Random
    ) -> None:
        self.workload = workload
        self.policy = policy
        self.random_state = random_state
        self.result = Result()
        self.env = simpy.Environment()
        self.model, engines = three_domains()
        layout = plan_layout(self.model, engines, {})
        self.sim_engines = {
            e.target: _SimulatedEngine(
                self, msgspec.structs.replace(e, layers=layout.get(e.target, e.layers))
            )
            for e in engines
        }
        self.link = simpy.Resource(self.env)
        self.capacity_freed = self.env.event()
        domains = sorted({e.domain for e in engines})
        self.daemons = [_Daemon(f"{d}{n}", d) for d in domains for n in range(3)]

    def run(self) -> Result:
        """Run the workload and return the outcome."""
        self.env.process(self._generate_arrivals())
        self.env.process(self._exchange_loads())
        self.env.process(self._run_placement())
        for at_s, target in self.workload.engine_failures:
            self.env.process(self._fail_engine(at_s * MS_PER_S, target))
        self.env.run(until=self.workload.duration_s * MS_PER_S + 15 * MS_PER_S)
        return self.result

    def _generate_arrivals(self) -> ProcessGenerator:
        number = 0
        while self.env.now < self.workload.duration_s * MS_PER_S:
            third = self.workload.duration_s * MS_PER_S / 3
            is_burst = third < self.env.now < 2 * third
            rate = self.workload.streams_per_s * (
                self.workload.burst_factor if is_burst else 1.0
            )
            yield self.env.timeout(self.random_state.expovariate(rate / MS_PER_S))
            number += 1
            self.env.process(self._serve_stream(number))

    def _exchange_loads(self) -> ProcessGenerator:
        while self.policy.chain_selection == "product":
            yield self.env.timeout(GOSSIP_INTERVAL_MS)
            reports = {
                d.name: {t: msgspec.structs.replace(v) for t, v in d.ledger.own.items()}
                for d in self.daemons
            }
            for daemon in self.daemons:
                for peer, loads in reports.items():
                    if peer != daemon.name:
                        daemon.ledger.record_peer_load(peer, loads, self.env.now)

    def _run_placement(self) -> ProcessGenerator:
        while self.policy.has_takeover:
            yield self.env.timeout(PLACEMENT_INTERVAL_MS)
            listed = [c.engine for c in self.sim_engines.values() if c.is_listed]
            layers_by_target = {e.target: e.layers for e in listed}
            loading = {
                c.engine.target for c in self.sim_engines.values() if c.is_loading
            }
            for move in plan_moves(self.model, listed, layers_by_target, loading):
                self.env.process(
                    self._load_layers(self.sim_engines[move.engine.target], move.layers)
                )

    def _load_layers(
        self, sim_engine: _SimulatedEngine, layers: LayerRange
    ) -> ProcessGenerator:
        sim_engine.is_loading = True
        sim_engine.engine = msgspec.structs.replace(sim_engine.engine, layers=layers)
        share = len(layers) / self.model.n_layers
        yield self.env.timeout(self.model.load_s * MS_PER_S * share)
        sim_engine.is_loading = False
        self._notify_capacity()

    def _fail_engine(self, at_ms: float, target: str) -> ProcessGenerator:
        yield self.env.timeout(at_ms)
        sim_engine = self.sim_engines[target]
        sim_engine.is_silent = True
        yield self.env.timeout(SILENCE_TIMEOUT_MS)
        sim_engine.is_suspect = True
        yield self.env.timeout(ENTRY_LIFETIME_MS - SILENCE_TIMEOUT_MS)
        sim_engine.is_listed = False

    def _notify_capacity(self) -> None:
        self.capacity_freed.succeed()
        self.capacity_freed = self.env.event()

    def _choose(self, daemon: _Daemon, demand: RequestDemand) -> Chain | None:
        engines = [
            c.engine
            for c in self.sim_engines.values()
            if c.is_listed and not c.is_suspect and not c.is_loading
        ]
        if self.policy.chain_selection == "random":
            # Chooses any chain, regardless of load.
            weights = {e.target: self.random_state.uniform(0.2, 5.0) for e in engines}
            return choose_chain(
                self.model,
                engines,
                demand,
                lambda e: StageLoad(),
                lambda e: weights[e.target],
            )
        return choose_chain(
            self.model, engines, demand, lambda e: daemon.ledger.total(e.target)
        )

    def _serve_stream(self, number: int) -> ProcessGenerator:
        daemons = [d for d in self.daemons]
        daemon = self.random_state.choice(daemons)
        prompt = min(2280, max(1, int(self.random_state.lognormvariate(6.3, 0.75))))
        n_events = min(158, max(1, int(self.random_state.lognormvariate(3.6, 0.65))))
        demand = RequestDemand(prompt, 4 * n_events, daemon.domain)
        arrived_ms = self.env.now
        progress = _StreamProgress(number, prompt, n_events, arrived_ms)
        while not progress.is_over:
            chain = yield from self._wait_for_chain(daemon, demand, arrived_ms)
            if chain is None:
                self.result.n_refused += 1
                return
            for n, stage in enumerate(chain):
                daemon.ledger.add(
                    stage.engine.target, stage_load(stage, demand, n == 0)
                )
            yield from self._relay(progress, chain)
            for n, stage in enumerate(chain):
                daemon.ledger.remove(
                    stage.engine.target, stage_load(stage, demand, n == 0)
                )
                self.sim_engines[stage.engine.target].cache_use.pop(number, None)
            self._notify_capacity()
        progress.add_to(self.result)

    def _wait_for_chain(
        self, daemon: _Daemon, demand: RequestDemand, arrived_ms: float
    ) -> Generator[simpy.Event, object, Chain | None]:
        while True:
            chain = self._choose(daemon, demand)
            remaining_ms = arrived_ms + MAX_CAPACITY_WAIT_MS - self.env.now
            if chain is not None or remaining_ms <= 0:
                return chain
            yield self.capacity_freed | self.env.timeout(remaining_ms)

    def _relay(self, progress: "_StreamProgress", chain: Chain) -> ProcessGenerator:
        while not progress.is_over:
            n_prompt = 0 if progress.has_cache else progress.n_tokens
            for previous, stage in zip((None, *chain), chain, strict=False):
                sim_engine = self.sim_engines[stage.engine.target]
                if previous is not None:
                    yield from self._transfer(previous.engine, stage.engine, n_prompt)
                needed_cache = float(progress.n_tokens * len(stage.layers))
                if (
                    sim_engine.free_cache
                    + sim_engine.cache_use.get(progress.number, 0.0)
                    < needed_cache
                ):
                    yield from self._preempt(progress, chain)
                    return
                sim_engine.cache_use[progress.number] = needed_cache
                done = self.env.event()
                context = progress.n_tokens
                sim_engine.queue.put((len(stage.layers), n_prompt, context, done))
                silence_timeout = self.env.timeout(SILENCE_TIMEOUT_MS)
                while sim_engine.is_silent or not done.triggered:
                    yield done | silence_timeout
                    if not sim_engine.is_silent and done.triggered:
                        break
                    if sim_engine.is_silent and silence_timeout.processed:
                        progress.has_cache = False
                        return
                    if progress.check_timeout(self.env.now):
                        return
                    if silence_timeout.processed:
                        silence_timeout = self.env.timeout(SILENCE_TIMEOUT_MS)
            progress.record_event(self.env.now)

    def _transfer(
        self, source: Engine, destination: Engine, n_prompt: int
    ) -> ProcessGenerator:
        if source.domain == destination.domain:
            yield self.env.timeout(LOCAL_DELAY_MS)
            return
        n_tokens = n_prompt or self.model.steps_per_pass
        self.result.n_crossings += bool(n_prompt)
        bits = n_tokens * self.model.activation_bytes * 8
        with self.link.request() as granted:
            yield granted
            yield self.env.timeout(bits / (self.model.domain_link_mbps * MS_PER_S))
        yield self.env.timeout(self.model.domain_delay_ms)

    def _preempt(self, progress: "_StreamProgress", chain: Chain) -> ProcessGenerator:
        self.result.n_preempted += 1
        progress.has_cache = False
        for stage in chain:
            self.sim_engines[stage.engine.target].cache_use.pop(progress.number, None)
        progress.check_timeout(self.env.now)
        yield self.env.timeout(EVENT_GAP_OBJECTIVE_MS / 5)


class _StreamProgress:
    """Progress of one stream as seen by its caller."""

    def __init__(
        self, number: int, prompt: int, n_events: int, arrived_ms: float
    ) -> None:
        self.number = number
        self.prompt = prompt
        self.n_events = n_events
        self.arrived_ms = arrived_ms
        self.event_times_ms: list[float] = []
        self.has_cache = False
        self.is_abandoned = False

    @property
    def n_tokens(self) -> int:
        return self.prompt + 4 * len(self.event_times_ms)

    @property
    def is_over(self) -> bool:
        return self.is_abandoned or len(self.event_times_ms) >= self.n_events

    def record_event(self, now_ms: float) -> None:
        self.check_timeout(now_ms)
        self.has_cache = True
        self.event_times_ms.append(now_ms)

    def check_timeout(self, now_ms: float) -> bool:
        last_ms = self.event_times_ms[-1] if self.event_times_ms else self.arrived_ms
        self.is_abandoned = self.is_abandoned or now_ms - last_ms > CALLER_TIMEOUT_MS
        return self.is_abandoned

    def add_to(self, result: Result) -> None:
        if self.event_times_ms:
            result.first_event_ms.append(self.event_times_ms[0] - self.arrived_ms)
        if self.is_abandoned:
            result.n_abandoned += 1
            return
        gaps_ms = [
            b - a
            for a, b in zip(self.event_times_ms, self.event_times_ms[1:], strict=False)
        ]
        is_first_in_time = (
            self.event_times_ms[0] - self.arrived_ms <= FIRST_EVENT_OBJECTIVE_MS
        )
        if is_first_in_time and max(gaps_ms, default=0.0) <= EVENT_GAP_OBJECTIVE_MS:
            result.n_in_objective += 1
        else:
            result.n_late += 1


def simulate(workload: Workload, policy: Policy, seed: int) -> Result:
    """Simulate a workload and return the outcome.

    :param workload: arrivals and failures.
    :param policy: decisions to use.
    :param seed: seed of all random numbers.
    """
    return Simulation(workload, policy, random.Random(seed)).run()


WORKLOADS = {
    "calm": Workload(),
    "burst": Workload(burst_factor=1.7),
    "lost": Workload(duration_s=18.0, engine_failures=((4.0, "c-large-0"),)),
    "worst": Workload(
        duration_s=18.0, burst_factor=1.5, engine_failures=((4.0, "c-large-0"),)
    ),
}
POLICIES = {
    "product": Policy(),
    "no moves": Policy(has_takeover=False),
    "own load only": Policy(chain_selection="own-load"),
    "random": Policy(chain_selection="random"),
}


def report(names: Sequence[str], seeds: Sequence[int], print_line: Callable) -> None:
    """Print a table of workloads and policies.

    :param names: names of the workloads to run.
    :param seeds: seeds over which results are averaged.
    :param print_line: prints one line.
    """
    print_line(
        "| load | policy | in objective | late | refused | abandoned "
        "| first p50 ms | crossings |"
    )
    print_line("|---|---|---|---|---|---|---|---|")
    for name in names:
        for label, policy in POLICIES.items():
            results = [simulate(WORKLOADS[name], policy, seed) for seed in seeds]
            mean = statistics.fmean
            times_ms = [t for r in results for t in r.first_event_ms]
            print_line(
                f"| {name} | {label} | {mean(r.objective_share for r in results):.3f} "
                f"| {mean(r.n_late for r in results):.0f} "
                f"| {mean(r.n_refused for r in results):.0f} "
                f"| {mean(r.n_abandoned for r in results):.0f} "
                f"| {statistics.median(times_ms):.0f} "
                f"| {mean(r.n_crossings for r in results):.0f} |"
            )


def main() -> None:
    """Parse the arguments and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--load", choices=WORKLOADS, action="append", help="default: all"
    )
    parser.add_argument("--seeds", type=int, default=2, help="number of seeds")
    arguments = parser.parse_args()
    report(arguments.load or list(WORKLOADS), range(1, arguments.seeds + 1), print)


if __name__ == "__main__":
    main()
