"""Model of engines that share a model's layers, driven by the product's own decisions.

Plays streams on simulated time: open arrivals, passes of engines that batch whatever
waits, caches that fill up, a link between domains that transfers one thing after the
other, loads of weights and lost engines. Layouts, moves and chains are chosen by
``cassiaspread_core``. Times are in milliseconds.

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
    Demand,
    LoadLedger,
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

S = 1000.0
LOCAL_HOP = 0.1
OBJECTIVE = 500.0
PAUSE = 250.0
# Callers leave a stream that is silent for this long.
PATIENCE = 2000.0
MAX_WAIT = 2 * OBJECTIVE
# A head lists a silent engine of its chains after this time.
DETECTION = 400.0
GOSSIP = 1000.0
PLACEMENT = 250.0
# An engine that fell silent is dropped from the list after three heartbeats.
ENTRY_LIFETIME = 3600.0

Events = Generator[simpy.Event, object, None]


class Load(msgspec.Struct, frozen=True):
    """What is played.

    :param per_s: streams a second over all domains.
    :param length_s: how long they arrive, in seconds.
    :param burst: factor by which more arrive in the middle third.
    :param lost: engines that fall silent for good: second and identifier.
    """

    per_s: float = 43.0
    length_s: float = 12.0
    burst: float = 1.0
    lost: tuple[tuple[float, str], ...] = ()


class Policy(msgspec.Struct, frozen=True):
    """Decisions that can be exchanged for baselines.

    :param chooses: ``product``, ``random`` or ``own-load`` (no gossip).
    :param moves: whether lost layers are taken over by other engines.
    """

    chooses: str = "product"
    moves: bool = True


class Result(msgspec.Struct):
    """What callers saw.

    :param in_aim: streams within both objectives.
    :param late: whole streams beyond them.
    :param refused: streams that found no room in time.
    :param abandoned: streams whose caller left.
    :param first_events: time to each stream's first event, in milliseconds.
    :param n_crossings: transfers of prompts between domains.
    :param n_preempted: streams that lost their cache midway.
    """

    in_aim: int = 0
    late: int = 0
    refused: int = 0
    abandoned: int = 0
    first_events: list[float] = msgspec.field(default_factory=list)
    n_crossings: int = 0
    n_preempted: int = 0

    @property
    def share_in_aim(self) -> float:
        """Share of all streams within both objectives."""
        n_all = self.in_aim + self.late + self.refused + self.abandoned
        return self.in_aim / max(1, n_all)


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
        context_ms_per_k=0.0123,
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


class _Card:
    """One engine: what it holds, what waits for it and what its cache holds."""

    def __init__(self, world: "World", engine: Engine) -> None:
        self.engine = engine
        self.world = world
        self.is_silent = False
        self.is_listed = True
        self.is_suspect = False
        self.is_loading = False
        self.waiting: list[tuple[float, int, simpy.Event]] = []
        self.work = simpy.Store(world.env)
        self.cache: dict[int, float] = {}
        world.env.process(self._run())

    @property
    def room(self) -> float:
        return cache_capacity(self.engine, self.world.model) - sum(self.cache.values())

    def _run(self) -> Events:
        model = self.world.model
        kind = model.accelerators[self.engine.accelerator]
        while True:
            batch = [(yield self.work.get())]
            batch += self.work.items
            self.work.items.clear()
            if self.is_silent:
                return
            busy = 0.0
            n_writing = sum(1 for _, n_prompt, _, _ in batch if not n_prompt)
            for n_layers, n_prompt, context, _ in batch:
                share = n_layers / model.n_layers
                if n_prompt:
                    rate = model.prefill_tokens_per_ms / kind.prefill_factor
                    busy += share * n_prompt / rate
                else:
                    per_sequence = (
                        model.per_sequence_ms + context / 1000 * model.context_ms_per_k
                    )
                    busy += (
                        share * kind.step_factor * per_sequence * model.steps_per_pass
                    )
            if n_writing:
                shares = [n / model.n_layers for n, p, _, _ in batch if not p]
                steps = model.step_ms * kind.step_factor * model.steps_per_pass
                busy += max(shares) * steps
            yield self.world.env.timeout(busy)
            for *_, done in batch:
                done.succeed()


class _Daemon:
    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.ledger = LoadLedger()


class World:
    """A deployment under one load.

    :param load: what is played.
    :param policy: decisions.
    :param random_state: arrivals, sizes and random choices.
    """

    def __init__(self, load: Load, policy: Policy, random_state: random.Random) -> None:
        self.load = load
        self.policy = policy
        self.random_state = random_state
        self.result = Result()
        self.env = simpy.Environment()
        self.model, engines = three_domains()
        layout = plan_layout(self.model, engines, {})
        self.cards = {
            e.target: _Card(
                self, msgspec.structs.replace(e, layers=layout.get(e.target, e.layers))
            )
            for e in engines
        }
        self.link = simpy.Resource(self.env)
        self.freed = self.env.event()
        domains = sorted({e.domain for e in engines})
        self.daemons = [_Daemon(f"{d}{n}", d) for d in domains for n in range(3)]

    def run(self) -> Result:
        """Play the load and return what callers saw."""
        self.env.process(self._arrive())
        self.env.process(self._gossip())
        self.env.process(self._place())
        for at_s, target in self.load.lost:
            self.env.process(self._lose(at_s * S, target))
        self.env.run(until=self.load.length_s * S + 15 * S)
        return self.result

    def _arrive(self) -> Events:
        number = 0
        while self.env.now < self.load.length_s * S:
            third = self.load.length_s * S / 3
            is_burst = third < self.env.now < 2 * third
            rate = self.load.per_s * (self.load.burst if is_burst else 1.0)
            yield self.env.timeout(self.random_state.expovariate(rate / S))
            number += 1
            self.env.process(self._serve(number))

    def _gossip(self) -> Events:
        while self.policy.chooses == "product":
            yield self.env.timeout(GOSSIP)
            told = {
                d.name: {t: msgspec.structs.replace(v) for t, v in d.ledger.own.items()}
                for d in self.daemons
            }
            for daemon in self.daemons:
                for peer, loads in told.items():
                    if peer != daemon.name:
                        daemon.ledger.hear(peer, loads, self.env.now)

    def _place(self) -> Events:
        while self.policy.moves:
            yield self.env.timeout(PLACEMENT)
            listed = [c.engine for c in self.cards.values() if c.is_listed]
            held = {e.target: e.layers for e in listed}
            moving = {c.engine.target for c in self.cards.values() if c.is_loading}
            for move in plan_moves(self.model, listed, held, moving):
                self.env.process(
                    self._move(self.cards[move.engine.target], move.layers)
                )

    def _move(self, card: _Card, layers: LayerRange) -> Events:
        card.is_loading = True
        card.engine = msgspec.structs.replace(card.engine, layers=layers)
        share = len(layers) / self.model.n_layers
        yield self.env.timeout(self.model.load_s * S * share)
        card.is_loading = False
        self._wake()

    def _lose(self, at: float, target: str) -> Events:
        yield self.env.timeout(at)
        card = self.cards[target]
        card.is_silent = True
        yield self.env.timeout(DETECTION)
        card.is_suspect = True
        yield self.env.timeout(ENTRY_LIFETIME - DETECTION)
        card.is_listed = False

    def _wake(self) -> None:
        self.freed.succeed()
        self.freed = self.env.event()

    def _choose(self, daemon: _Daemon, demand: Demand) -> Chain | None:
        engines = [
            c.engine
            for c in self.cards.values()
            if c.is_listed and not c.is_suspect and not c.is_loading
        ]
        if self.policy.chooses == "random":
            # Any chain, whatever its load.
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

    def _serve(self, number: int) -> Events:
        domains = [d for d in self.daemons]
        daemon = self.random_state.choice(domains)
        prompt = min(2280, max(1, int(self.random_state.lognormvariate(6.3, 0.75))))
        n_events = min(158, max(1, int(self.random_state.lognormvariate(3.6, 0.65))))
        demand = Demand(prompt, 4 * n_events, daemon.domain)
        arrived = self.env.now
        state = _Progress(number, prompt, n_events, arrived)
        while not state.is_over:
            chain = yield from self._find_chain(daemon, demand, arrived)
            if chain is None:
                self.result.refused += 1
                return
            for n, stage in enumerate(chain):
                daemon.ledger.add(
                    stage.engine.target, stage_load(stage, demand, n == 0)
                )
            yield from self._relay(state, chain)
            for n, stage in enumerate(chain):
                daemon.ledger.remove(
                    stage.engine.target, stage_load(stage, demand, n == 0)
                )
                self.cards[stage.engine.target].cache.pop(number, None)
            self._wake()
        state.count(self.result)

    def _find_chain(
        self, daemon: _Daemon, demand: Demand, arrived: float
    ) -> Generator[simpy.Event, object, Chain | None]:
        while True:
            chain = self._choose(daemon, demand)
            left = arrived + MAX_WAIT - self.env.now
            if chain is not None or left <= 0:
                return chain
            yield self.freed | self.env.timeout(left)

    def _relay(self, state: "_Progress", chain: Chain) -> Events:
        while not state.is_over:
            n_prompt = 0 if state.has_cache else state.n_tokens
            for before, stage in zip((None, *chain), chain, strict=False):
                card = self.cards[stage.engine.target]
                if before is not None:
                    yield from self._hop(before.engine, stage.engine, n_prompt)
                needed = float(state.n_tokens * len(stage.layers))
                if card.room + card.cache.get(state.number, 0.0) < needed:
                    yield from self._put_back(state, chain)
                    return
                card.cache[state.number] = needed
                done = self.env.event()
                context = state.n_tokens
                card.work.put((len(stage.layers), n_prompt, context, done))
                patience = self.env.timeout(DETECTION)
                while card.is_silent or not done.triggered:
                    yield done | patience
                    if not card.is_silent and done.triggered:
                        break
                    if card.is_silent and patience.processed:
                        state.has_cache = False
                        return
                    if state.note_silence(self.env.now):
                        return
                    if patience.processed:
                        patience = self.env.timeout(DETECTION)
            state.note_event(self.env.now)

    def _hop(self, one: Engine, other: Engine, n_prompt: int) -> Events:
        if one.domain == other.domain:
            yield self.env.timeout(LOCAL_HOP)
            return
        n_tokens = n_prompt or self.model.steps_per_pass
        self.result.n_crossings += bool(n_prompt)
        bits = n_tokens * self.model.activation_bytes * 8
        with self.link.request() as turn:
            yield turn
            yield self.env.timeout(bits / (self.model.domain_link_mbps * S))
        yield self.env.timeout(self.model.domain_delay_ms)

    def _put_back(self, state: "_Progress", chain: Chain) -> Events:
        self.result.n_preempted += 1
        state.has_cache = False
        for stage in chain:
            self.cards[stage.engine.target].cache.pop(state.number, None)
        state.note_silence(self.env.now)
        yield self.env.timeout(PAUSE / 5)


class _Progress:
    """One stream as its caller sees it."""

    def __init__(self, number: int, prompt: int, n_events: int, arrived: float) -> None:
        self.number = number
        self.prompt = prompt
        self.n_events = n_events
        self.arrived = arrived
        self.events: list[float] = []
        self.has_cache = False
        self.is_gone = False

    @property
    def n_tokens(self) -> int:
        return self.prompt + 4 * len(self.events)

    @property
    def is_over(self) -> bool:
        return self.is_gone or len(self.events) >= self.n_events

    def note_event(self, now: float) -> None:
        self.note_silence(now)
        self.has_cache = True
        self.events.append(now)

    def note_silence(self, now: float) -> bool:
        last = self.events[-1] if self.events else self.arrived
        self.is_gone = self.is_gone or now - last > PATIENCE
        return self.is_gone

    def count(self, result: Result) -> None:
        if self.events:
            result.first_events.append(self.events[0] - self.arrived)
        if self.is_gone:
            result.abandoned += 1
            return
        pauses = [b - a for a, b in zip(self.events, self.events[1:], strict=False)]
        is_early = self.events[0] - self.arrived <= OBJECTIVE
        if is_early and max(pauses, default=0.0) <= PAUSE:
            result.in_aim += 1
        else:
            result.late += 1


def play(load: Load, policy: Policy, seed: int) -> Result:
    """Play a load.

    :param load: what is played.
    :param policy: decisions.
    :param seed: seed of all random numbers.
    """
    return World(load, policy, random.Random(seed)).run()


LOADS = {
    "calm": Load(),
    "burst": Load(burst=1.7),
    "lost": Load(length_s=18.0, lost=((4.0, "c-large-0"),)),
    "worst": Load(length_s=18.0, burst=1.5, lost=((4.0, "c-large-0"),)),
}
POLICIES = {
    "product": Policy(),
    "no moves": Policy(moves=False),
    "own load only": Policy(chooses="own-load"),
    "random": Policy(chooses="random"),
}


def report(names: Sequence[str], seeds: Sequence[int], show: Callable) -> None:
    """Print a table of loads and policies.

    :param names: loads that are played.
    :param seeds: seeds, over which results are averaged.
    :param show: prints one line.
    """
    show(
        "| load | policy | in aim | late | refused | left | first p50 ms | crossings |"
    )
    show("|---|---|---|---|---|---|---|---|")
    for name in names:
        for label, policy in POLICIES.items():
            results = [play(LOADS[name], policy, seed) for seed in seeds]
            mean = statistics.fmean
            firsts = [t for r in results for t in r.first_events]
            show(
                f"| {name} | {label} | {mean(r.share_in_aim for r in results):.3f} "
                f"| {mean(r.late for r in results):.0f} "
                f"| {mean(r.refused for r in results):.0f} "
                f"| {mean(r.abandoned for r in results):.0f} "
                f"| {statistics.median(firsts):.0f} "
                f"| {mean(r.n_crossings for r in results):.0f} |"
            )


def main() -> None:
    """Read the arguments and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", choices=LOADS, action="append", help="default: all")
    parser.add_argument("--seeds", type=int, default=2, help="how many seeds")
    arguments = parser.parse_args()
    report(arguments.load or list(LOADS), range(1, arguments.seeds + 1), print)


if __name__ == "__main__":
    main()
