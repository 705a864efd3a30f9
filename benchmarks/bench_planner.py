"""Compares planner and admission with their bounds, on simulated engines.

Measures the throughput at 1.3 times the bound for several planners on the same seeds,
the goodput at three times the bound, the latency of light organisations next to a heavy
one, and processor time and memory at the design size.

Run ``python -m benchmarks.bench_planner``.
"""

import random
import statistics
import time
import tracemalloc

from benchmarks.planner_model import (
    MEAN_TOKENS,
    N_LAYERS,
    Simulation,
    build_engines,
    least_loaded_policy,
    max_tokens_per_s,
    own_in_flight_policy,
    product_policy,
    random_policy,
)
from cassiaspread_core.admission import DaemonDemand, count_demand, divide_capacity
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
EVEN_SHARES = {f"o{n}": 0.1 for n in range(10)}
LIGHT_SHARES = {f"o{n}": 0.07 for n in range(9)}
N_DESIGN_ENGINES, N_DESIGN_DAEMONS, N_DESIGN_ORGANISATIONS = 421, 29, 8_600


def run(
    seed, load_factor, policy, shares=EVEN_SHARES, **options
) -> tuple[Simulation, float]:
    engines = build_engines(N_ENGINES, random.Random(seed))
    bound = max_tokens_per_s(engines)
    # Request lengths are rounded up to whole chunks, by four tokens on average.
    rate = load_factor * bound / (MEAN_TOKENS + 4)
    simulation = Simulation(
        engines,
        {o: share * rate for o, share in shares.items()},
        policy,
        seed,
        **options,
    )
    simulation.run(DURATION_S)
    return simulation, bound


def tokens_per_s(simulation: Simulation) -> float:
    """Return the token rate of requests that met their deadline after the warm-up."""
    jobs = [
        job
        for job in simulation.finished
        if WARM_UP_S < job.round_s <= job.ticket.deadline_s
    ]
    return sum(job.n_tokens for job in jobs) / (DURATION_S - WARM_UP_S)


def p95(values) -> float:
    return statistics.quantiles(values, n=20)[-1]


def light_jobs(simulation: Simulation) -> list:
    return [
        job
        for job in simulation.finished
        if job.organisation in LIGHT_SHARES and job.arrived_s > WARM_UP_S
    ]


def measure_throughput() -> float:
    means = {}
    for name, policy in POLICIES.items():
        ratios = []
        for seed in SEEDS:
            simulation, bound = run(seed, 1.3, policy)
            ratios.append(tokens_per_s(simulation) / bound)
        means[name] = statistics.mean(ratios)
        seed_ratios = " ".join(f"{ratio:.3f}" for ratio in ratios)
        print(f"throughput/bound {name}: mean {means[name]:.3f} (seeds {seed_ratios})")
    return means["planner"]


def measure_goodput() -> None:
    for seed in SEEDS:
        at_bound, bound = run(seed, 1.0, product_policy, deadline_s=DEADLINE_S)
        at_3x, _ = run(seed, 3.0, product_policy, deadline_s=DEADLINE_S)
        ratio = tokens_per_s(at_3x) / tokens_per_s(at_bound)
        print(
            f"goodput seed {seed}: at the bound {tokens_per_s(at_bound) / bound:.3f}, "
            f"at 3x {tokens_per_s(at_3x) / bound:.3f} of the bound, ratio {ratio:.3f}, "
            f"refused {at_3x.n_refused}, late {n_late(at_3x)}"
        )
    simulation, bound = run(
        1, 3.0, product_policy, deadline_s=DEADLINE_S, has_gate=False
    )
    print(
        "goodput seed 1 at 3x without admission: "
        f"{tokens_per_s(simulation) / bound:.3f}"
    )


def n_late(simulation: Simulation) -> int:
    return sum(job.round_s > job.ticket.deadline_s for job in simulation.finished)


def measure_fairness() -> None:
    for seed in SEEDS:
        runs = [
            run(
                seed,
                1.0,
                product_policy,
                LIGHT_SHARES | {"heavy": heavy_share},
                **options,
            )[0]
            for heavy_share, options in (
                (0.07, {}),
                (1.0, {}),
                (1.0, {"has_gate": False}),
            )
        ]
        latency_s = [
            p95([j.round_s - j.arrived_s for j in light_jobs(s)]) for s in runs
        ]
        wait_s = [
            p95([j.admitted_s - j.arrived_s for j in light_jobs(s)]) for s in runs
        ]
        print(
            f"fairness seed {seed}: p95 of the light {latency_s[0]:.2f} s, "
            f"beside a heavy one at 10 shares {latency_s[1]:.2f} s "
            f"(ratio {latency_s[1] / latency_s[0]:.3f}), "
            f"without admission ratio {latency_s[2] / latency_s[0]:.3f}; "
            f"p95 wait before the start {wait_s[0]:.3f} s and {wait_s[1]:.3f} s"
        )


def measure_cost() -> None:
    random_state = random.Random(5)
    engines = build_engines(N_DESIGN_ENGINES, random_state)
    tracker = LoadTracker(lambda: N_DESIGN_DAEMONS)
    costs = make_stage_cost(tracker, random_state), make_link_cost(LinkTable())
    n_plans = 50
    started_s = time.process_time()
    for _ in range(n_plans):
        candidates = sample_candidates(engines, random_state)
        choose_plan(candidates, N_LAYERS, *costs)
    plan_ms = (time.process_time() - started_s) / n_plans * 1000
    names = [f"organisation-{n}" for n in range(N_DESIGN_ORGANISATIONS)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    peers = [
        count_demand({n: random_state.randrange(1, 9) for n in names[i::300]})
        for i in range(N_DESIGN_DAEMONS - 1)
    ]
    local = DaemonDemand(dict.fromkeys(names[:16], 4), 280)
    weights = {name: 1.0 + n % 3 for n, name in enumerate(names)}
    share = divide_capacity(9_000.0, local, peers, weights.__getitem__)
    size_kb = (tracemalloc.get_traced_memory()[0] - before) / 1000
    tracemalloc.stop()
    started_s = time.process_time()
    for _ in range(n_plans):
        divide_capacity(9_000.0, local, peers, weights.__getitem__)
    share_ms = (time.process_time() - started_s) / n_plans * 1000
    print(
        f"cost: {plan_ms:.2f} ms a plan at {N_DESIGN_ENGINES} engines; "
        f"{share_ms:.2f} ms a division among {N_DESIGN_DAEMONS} daemons; "
        f"{size_kb:.0f} KB of demands and weights at {N_DESIGN_ORGANISATIONS} "
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
