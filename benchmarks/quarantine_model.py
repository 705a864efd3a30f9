"""Model of the decision which requests crash engines, under several rules.

Gateways send streams to engines; an engine ends a moment after it begins to answer a
prompt that contains a bad part. The gateways record losses and answers with the
production code, and exchange records with delays. Nothing else of the system is
modelled: an engine has room for all requests that it gets.

``python -m benchmarks.quarantine_model`` prints a table of all rules and workloads.
"""

import argparse
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import fmean, median

import msgspec

from cassiaspread_core.quarantine import (
    N_ROUNDS,
    CrashJudge,
    Fingerprint,
    RequestTraits,
    SuspectKind,
    SuspectRecord,
    part_fingerprint,
)

SLOT_S = 0.3
# From this time after the fifth crash on, few requests with a bad part may be sent.
LEARN_S = 3.0
N_FREE_CRASHES = 5
STORE_DELAY_S = (1.0, 3.0)
URGENT_DELAY_S = (0.05, 0.3)
GOSSIP_DELAY_S = (0.2, 2.0)
CALLER_RETRY_S = 1.0
EVENT_S = 0.05


@dataclass(frozen=True)
class Rule:
    """How a rule differs from the one in use."""

    identity: str = "parts"
    # Whether requests that had events are suspects too.
    counts_begun: bool = False
    # What separates two losses: rounds of knowledge, or slots of time.
    separation: str = "rounds"
    uses_companions: bool = True
    uses_explanations: bool = True
    uses_proof: bool = True


RULES = {
    "requests": Rule(identity="requests"),
    "any loss counts": Rule(uses_explanations=False, uses_proof=False),
    "begun too": Rule(counts_begun=True),
    "slots of time": Rule(separation="slots"),
    "no companions": Rule(uses_companions=False),
    "no proof": Rule(uses_proof=False),
    "in use": Rule(),
}


@dataclass(frozen=True)
class Workload:
    """Requests, engines and how gateways reach each other; times in seconds."""

    n_gateways: int = 9
    n_engines: int = 8
    respawn_s: float = 2.0
    sound_per_s: float = 20.0
    bad_per_s: float = 1.0
    n_parts: int = 60
    skew: float = 0.5
    # Whether all prompts, sound and bad ones, begin with one part.
    has_first_part: bool = False
    n_bad_parts: int = 1
    bad_begin_s: float = 8.0
    # The bad part was in sound prompts before.
    was_sound: bool = False
    # Other ends of engines in a second.
    other_losses_per_s: float = 0.0
    is_store_only: bool = False
    n_caller_retries: int = 1
    max_attempts: int = 2
    prefill_s: tuple[float, float] = (0.05, 0.4)
    stream_s: tuple[float, float] = (0.5, 3.0)
    length_s: float = 40.0


WORKLOADS = {
    "one part": Workload(),
    "first part": Workload(has_first_part=True, n_parts=4, skew=0.0),
    "few engines": Workload(n_engines=3, respawn_s=6.0),
    "store only": Workload(is_store_only=True, bad_per_s=2.5),
    "two parts": Workload(n_bad_parts=2, bad_per_s=2.0),
    "turned bad": Workload(was_sound=True),
    "other losses": Workload(other_losses_per_s=0.5),
    "few sound": Workload(sound_per_s=2.0, other_losses_per_s=0.3),
    "no bad part": Workload(bad_per_s=0.0, other_losses_per_s=1.0, n_engines=6),
}


@dataclass
class Request:
    """One request of a caller, over all its attempts."""

    traits: RequestTraits
    # The bad part, if it has one; it may still be sound.
    bad_part: Fingerprint | None
    number: int
    n_retries: int = 0


@dataclass
class Run:
    """One attempt, at work on an engine."""

    request: Request
    gateway: int
    engine: int
    run: object
    begin_s: float
    first_event_s: float
    n_runs: int
    is_over: bool = False


@dataclass
class Result:
    """What callers and engines saw."""

    crashes: dict[Fingerprint, list[float]] = field(default_factory=dict)
    n_sound: int = 0
    n_sound_refused: int = 0
    n_sound_refused_late: int = 0

    def n_crashes(self) -> int:
        """Return the crashes under the worst part."""
        return max((len(t) for t in self.crashes.values()), default=0)

    def n_late(self) -> int:
        """Return the crashes later than allowed, of the worst part."""
        counts = []
        for times_s in self.crashes.values():
            if len(times_s) >= N_FREE_CRASHES:
                bound_s = times_s[N_FREE_CRASHES - 1] + LEARN_S
                counts.append(sum(s > bound_s for s in times_s))
        return max(counts, default=0)


class _RuleJudge(CrashJudge):
    """The judge in use, changed as a rule says."""

    def __init__(self, rule: Rule) -> None:
        super().__init__()
        self._rule = rule

    def merge(self, record: SuspectRecord) -> SuspectRecord | None:
        rule = self._rule
        if record.kind is SuspectKind.PROMPT_PART:
            losses = record.losses
            if rule.separation == "slots":
                losses = tuple(
                    msgspec.structs.replace(x, round=1 + int(x.at_s / SLOT_S))
                    for x in losses
                )
            if not rule.uses_proof:
                losses = tuple(
                    msgspec.structs.replace(x, is_proven=False) for x in losses
                )
            companions = record.companions if rule.uses_companions else ()
            record = msgspec.structs.replace(
                record, losses=losses, companions=companions
            )
        return super().merge(record)

    def _judge_all(self) -> None:
        super()._judge_all()
        if not self._rule.uses_explanations:
            self._crashing = frozenset(
                r.fingerprint for r in self.table.suspects() if r.n_rounds >= N_ROUNDS
            )


class _Simulation:
    def __init__(self, workload: Workload, rule: Rule, seed: int) -> None:
        self._workload = workload
        self._rule = rule
        self._random_state = random.Random(seed)
        self._now_s = 0.0
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._judges = [_RuleJudge(rule) for _ in range(workload.n_gateways)]
        self._back_s = [0.0] * workload.n_engines
        self._boots = [0] * workload.n_engines
        self._runs: list[list[Run]] = [[] for _ in range(workload.n_engines)]
        self._parts = [part_fingerprint(f"{n:x}") for n in range(workload.n_parts)]
        self._weights = [(n + 1) ** -workload.skew for n in range(workload.n_parts)]
        self._first = part_fingerprint("first")
        self._bad = [part_fingerprint(f"bad{n}") for n in range(workload.n_bad_parts)]
        self.result = Result({part: [] for part in self._bad if workload.bad_per_s})

    def run(self) -> Result:
        workload = self._workload
        self._repeat(workload.sound_per_s, self._send_sound, 0.0)
        self._repeat(workload.bad_per_s, self._send_bad, workload.bad_begin_s)
        self._repeat(
            workload.other_losses_per_s,
            lambda: self._end_engine(self._random_state.randrange(workload.n_engines)),
            workload.bad_begin_s,
        )
        while self._queue:
            self._now_s, _, act = heapq.heappop(self._queue)
            if self._now_s > workload.length_s:
                break
            act()
        return self.result

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._numbers), act))

    def _repeat(self, per_s: float, act: Callable[[], None], begin_s: float) -> None:
        if not per_s:
            return

        def act_again() -> None:
            act()
            self._at(self._now_s + self._random_state.expovariate(per_s), act_again)

        self._at(begin_s + self._random_state.expovariate(per_s), act_again)

    def _draw_parts(self) -> list[Fingerprint]:
        drawn = self._random_state.choices(self._parts, self._weights, k=2)
        first = [self._first] if self._workload.has_first_part else []
        return first + drawn[: 2 if self._workload.has_first_part else 1]

    def _send_sound(self) -> None:
        parts = self._draw_parts()
        is_before = self._now_s < self._workload.bad_begin_s
        if self._workload.was_sound and is_before and self._random_state.random() < 0.1:
            parts.append(self._bad[0])
        self.result.n_sound += 1
        self._send(self._build_request(parts))

    def _send_bad(self) -> None:
        parts = [*self._draw_parts(), self._random_state.choice(self._bad)]
        self._send(self._build_request(parts))

    def _build_request(self, parts: list[Fingerprint]) -> Request:
        number = next(self._numbers)
        organisation = f"o{self._random_state.randrange(5)}"
        unique = tuple(dict.fromkeys(parts))
        known = unique if self._rule.identity == "parts" else ()
        traits = RequestTraits(Fingerprint(f"r{number}"), organisation, "m", known)
        bad = next((part for part in unique if part in self._bad), None)
        return Request(traits, bad, number)

    def _send(self, request: Request, n_runs: int = 0, avoid: int = -1) -> None:
        gateway = self._random_state.randrange(self._workload.n_gateways)
        self._attempt(request, gateway, n_runs, avoid)

    def _attempt(self, request: Request, gateway: int, n_runs: int, avoid: int) -> None:
        judge = self._judges[gateway]
        record = judge.find_refusal(request.traits)
        if record is not None and not judge.may_try(
            record, str(request.number), self._now_s
        ):
            self._count_refusal(request)
            return
        engines = [
            n
            for n, back_s in enumerate(self._back_s)
            if back_s <= self._now_s and n != avoid
        ]
        if not engines:
            return
        engine = min(
            engines, key=lambda n: (len(self._runs[n]), self._random_state.random())
        )
        begin_s = self._now_s
        first_s = begin_s + self._random_state.uniform(*self._workload.prefill_s)
        start = judge.begin_run(request.traits)
        run = Run(request, gateway, engine, start, begin_s, first_s, n_runs)
        self._runs[engine].append(run)
        if request.bad_part and first_s > self._workload.bad_begin_s:
            self._at(first_s, lambda: self._crash(run))
        else:
            self._at(first_s + EVENT_S, lambda: self._go_on(run))
            end_s = first_s + self._random_state.uniform(*self._workload.stream_s)
            self._at(end_s, lambda: self._end(run))

    def _count_refusal(self, request: Request) -> None:
        if request.bad_part:
            return
        self.result.n_sound_refused += 1
        times_s = [t for times_s in self.result.crashes.values() for t in times_s]
        fifth_s = sorted(times_s)[:N_FREE_CRASHES][-1] if times_s else 0.0
        if self._now_s > fifth_s + 2 * LEARN_S:
            self.result.n_sound_refused_late += 1

    def _crash(self, run: Run) -> None:
        if run.is_over:
            return
        self.result.crashes[run.request.bad_part].append(self._now_s)
        self._end_engine(run.engine)

    def _go_on(self, run: Run) -> None:
        if not run.is_over:
            traits = run.request.traits
            changed = self._judges[run.gateway].record_progress(traits, self._now_s)
            self._share(run.gateway, changed)

    def _end(self, run: Run) -> None:
        if not run.is_over:
            run.is_over = True
            self._runs[run.engine].remove(run)
            fingerprint = run.request.traits.fingerprint
            self._judges[run.gateway].record_answer(fingerprint, self._now_s)

    def _end_engine(self, engine: int) -> None:
        runs, self._runs[engine] = self._runs[engine], []
        incarnation = str(self._boots[engine])
        self._boots[engine] += 1
        self._back_s[engine] = self._now_s + self._workload.respawn_s
        for run in runs:
            run.is_over = True
            has_gone_on = self._now_s > run.first_event_s + EVENT_S
            changed = self._judges[run.gateway].record_loss(
                run.request.traits,
                f"e{engine}",
                incarnation,
                run.run,
                self._now_s,
                has_gone_on=has_gone_on and not self._rule.counts_begun,
            )
            self._share(run.gateway, changed)
        for run in runs:
            self._go_elsewhere(run, engine)

    def _go_elsewhere(self, run: Run, engine: int) -> None:
        request, n_runs = run.request, run.n_runs + 1
        if n_runs < self._workload.max_attempts:
            self._attempt(request, run.gateway, n_runs, engine)
        elif request.n_retries < self._workload.n_caller_retries:
            request.n_retries += 1
            self._at(self._now_s + CALLER_RETRY_S, lambda: self._send(request))

    def _share(self, gateway: int, records: list[SuspectRecord]) -> None:
        for record in records:
            is_urgent = record.n_rounds >= 2
            if self._workload.is_store_only:
                is_kept = record.kind is SuspectKind.PROMPT_PART or is_urgent
                if not is_kept:
                    continue
                delay_s = (0.1, 1.0) if is_urgent else STORE_DELAY_S
            else:
                delay_s = URGENT_DELAY_S if is_urgent else GOSSIP_DELAY_S
            for other in range(len(self._judges)):
                if other != gateway:
                    at_s = self._now_s + self._random_state.uniform(*delay_s)
                    self._at(at_s, self._merger(other, record))

    def _merger(self, gateway: int, record: SuspectRecord) -> Callable[[], None]:
        return lambda: self._judges[gateway].merge(record)


def simulate(workload: Workload, rule: Rule, seed: int) -> Result:
    """Run one simulation.

    :param workload: requests and engines.
    :param rule: the rule of the decision.
    :param seed: seed of all random draws.
    """
    return _Simulation(workload, rule, seed).run()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--workload", choices=WORKLOADS)
    parser.add_argument("--rule", choices=RULES)
    arguments = parser.parse_args()
    names = [arguments.workload] if arguments.workload else list(WORKLOADS)
    print(
        f"{'workload':<14}{'rule':<18}{'crashes':>8}{'max':>5}{'late':>6}"
        f"{'seeds late>3':>13}{'sound refused %':>16}{'later %':>9}{'worst %':>9}"
    )
    for name in names:
        rules = [arguments.rule] if arguments.rule else list(RULES)
        for rule_name in rules:
            rule = RULES[rule_name]
            seeds = range(arguments.seeds)
            results = [simulate(WORKLOADS[name], rule, seed) for seed in seeds]
            crashes = [r.n_crashes() for r in results]
            late = [r.n_late() for r in results]
            refused = [100 * r.n_sound_refused / r.n_sound for r in results]
            later = [100 * r.n_sound_refused_late / r.n_sound for r in results]
            print(
                f"{name:<14}{rule_name:<18}{median(crashes):>8.0f}{max(crashes):>5.0f}"
                f"{max(late):>6}{sum(n > 3 for n in late):>13}{fmean(refused):>16.2f}"
                f"{fmean(later):>9.2f}{max(later):>9.2f}"
            )


if __name__ == "__main__":
    main()
