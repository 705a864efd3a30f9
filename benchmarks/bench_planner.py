"""Planner and admission against their bounds: ``python -m benchmarks.bench_planner``.

Throughput at 1.3 times the bound beside other planners on the same seeds, goodput at
three times the bound, latency of light organisations beside a heavy one, processor
time and memory at the aimed size.
"""

import random
import statistics
import time
import tracemalloc

from benchmarks.planner_model import (
    MEAN_TOKENS,
    N_LAYERS,
    Model,
    bound_tokens_per_s,
    build_engines,
    least_loaded_policy,
    own_in_flight_policy,
    product_policy,
    random_policy,
)
from cassiaspread_core.admission import Demand, count_demand, divide_capacity
from cassiaspread_core.load import (
    LinkTable,
    LoadTracker,
    make_link_cost,
    make_stage_cost,
    sample_candidates,
)
from cassiaspread_core.pipeline import choose_plan

SEEDS = (1, 2, 3)
N_ENGINES = 40
DURATION_S = 40.0
WARM_UP_S = 15.0
DEADLINE_S = 15.0
POLICIES = {
    "planner": product_policy,
    "own in flight": own_in_flight_policy,
    "least loaded": least_loaded_policy,
    "random": random_policy,
}
EVEN = {f"o{n}": 0.1 for n in range(10)}
LIGHT = {f"o{n}": 0.07 for n in range(9)}
N_AIMED_ENGINES, N_AIMED_DAEMONS, N_AIMED_ORGANISATIONS = 421, 29, 8_600


def run(seed, factor, policy, rates=EVEN, **options) -> tuple[Model, float]:
    engines = build_engines(N_ENGINES, random.Random(seed))
    bound = bound_tokens_per_s(engines)
    # Lengths are rounded up to whole chunks.
    rate = factor * bound / (MEAN_TOKENS + 4)
    model = Model(
        engines, {o: part * rate for o, part in rates.items()}, policy, seed, **options
    )
    model.run(DURATION_S)
    return model, bound


def tokens_per_s(model: Model) -> float:
    """Tokens of the requests that ended in time after the warm-up."""
    jobs = [
        job
        for job in model.finished
        if WARM_UP_S < job.round_s <= job.ticket.deadline_s
    ]
    return sum(job.n_tokens for job in jobs) / (DURATION_S - WARM_UP_S)


def p95(values) -> float:
    return statistics.quantiles(values, n=20)[-1]


def light_jobs(model: Model) -> list:
    return [
        job
        for job in model.finished
        if job.organisation in LIGHT and job.arrived_s > WARM_UP_S
    ]


def measure_throughput() -> float:
    means = {}
    for name, policy in POLICIES.items():
        ratios = []
        for seed in SEEDS:
            model, bound = run(seed, 1.3, policy)
            ratios.append(tokens_per_s(model) / bound)
        means[name] = statistics.mean(ratios)
        shown = " ".join(f"{ratio:.3f}" for ratio in ratios)
        print(f"throughput/bound {name}: mean {means[name]:.3f} (seeds {shown})")
    return means["planner"]


def measure_goodput() -> None:
    for seed in SEEDS:
        at_bound, bound = run(seed, 1.0, product_policy, deadline_s=DEADLINE_S)
        over, _ = run(seed, 3.0, product_policy, deadline_s=DEADLINE_S)
        ratio = tokens_per_s(over) / tokens_per_s(at_bound)
        print(
            f"goodput seed {seed}: at the bound {tokens_per_s(at_bound) / bound:.3f}, "
            f"at 3x {tokens_per_s(over) / bound:.3f} of the bound, ratio {ratio:.3f}, "
            f"refused {over.n_refused}, late {n_late(over)}"
        )
    model, bound = run(1, 3.0, product_policy, deadline_s=DEADLINE_S, has_gate=False)
    print(f"goodput seed 1 at 3x without admission: {tokens_per_s(model) / bound:.3f}")


def n_late(model: Model) -> int:
    return sum(job.round_s > job.ticket.deadline_s for job in model.finished)


def measure_fairness() -> None:
    for seed in SEEDS:
        runs = [
            run(seed, 1.0, product_policy, LIGHT | {"heavy": part}, **options)[0]
            for part, options in (
                (0.07, {}),
                (1.0, {}),
                (1.0, {"has_gate": False}),
            )
        ]
        total = [p95([j.round_s - j.arrived_s for j in light_jobs(m)]) for m in runs]
        wait = [p95([j.admitted_s - j.arrived_s for j in light_jobs(m)]) for m in runs]
        print(
            f"fairness seed {seed}: p95 of the light {total[0]:.2f} s, beside a heavy "
            f"one at 10 shares {total[1]:.2f} s (ratio {total[1] / total[0]:.3f}), "
            f"without admission ratio {total[2] / total[0]:.3f}; p95 wait before the "
            f"start {wait[0]:.3f} s and {wait[1]:.3f} s"
        )


def measure_cost() -> None:
    random_state = random.Random(5)
    engines = build_engines(N_AIMED_ENGINES, random_state)
    tracker = LoadTracker(lambda: N_AIMED_DAEMONS)
    costs = make_stage_cost(tracker, random_state), make_link_cost(LinkTable())
    n_plans = 50
    started_s = time.process_time()
    for _ in range(n_plans):
        candidates = sample_candidates(engines, random_state)
        choose_plan(candidates, N_LAYERS, *costs)
    plan_ms = (time.process_time() - started_s) / n_plans * 1000
    names = [f"organisation-{n}" for n in range(N_AIMED_ORGANISATIONS)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    peers = [
        count_demand({n: random_state.randrange(1, 9) for n in names[i::300]})
        for i in range(N_AIMED_DAEMONS - 1)
    ]
    local = Demand(dict.fromkeys(names[:16], 4), 280)
    weights = {name: 1.0 + n % 3 for n, name in enumerate(names)}
    share = divide_capacity(9_000.0, local, peers, weights.__getitem__)
    size_kb = (tracemalloc.get_traced_memory()[0] - before) / 1000
    tracemalloc.stop()
    started_s = time.process_time()
    for _ in range(n_plans):
        divide_capacity(9_000.0, local, peers, weights.__getitem__)
    share_ms = (time.process_time() - started_s) / n_plans * 1000
    print(
        f"cost: {plan_ms:.2f} ms a plan at {N_AIMED_ENGINES} engines; "
        f"{share_ms:.2f} ms a division among {N_AIMED_DAEMONS} daemons; "
        f"{size_kb:.0f} KB of demands and weights at {N_AIMED_ORGANISATIONS} "
        f"organisations (quota {share.quota:.0f})"
    )


def main() -> None:
    measure_cost()
    measure_goodput()
    measure_fairness()
    ratio = measure_throughput()
    print(f"throughput of the planner over the bound: {ratio:.3f}")


if __name__ == "__main__":
    main()
