"""Simulated workloads under the product's decisions and under baselines."""

from benchmarks.pipeline_model import Policy, Workload, simulate

BURST = Workload(duration_s=4.0, burst_factor=2.0)


def test_gossip_of_loads_spreads_streams_of_a_burst():
    shared = simulate(BURST, Policy(), seed=1)
    own_only = simulate(BURST, Policy(chain_selection="own-load"), seed=1)
    assert shared.objective_share > own_only.objective_share
    assert shared.n_abandoned == 0
