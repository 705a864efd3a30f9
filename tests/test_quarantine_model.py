"""Simulated crashes under the product's decision and under the rule before it."""

import dataclasses

import pytest

from benchmarks.quarantine_model import RULES, WORKLOADS, simulate

SHORT = {
    name: dataclasses.replace(workload, length_s=25.0)
    for name, workload in WORKLOADS.items()
}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", WORKLOADS)
def test_bad_parts_are_found_and_sound_ones_served(name, seed):
    result = simulate(SHORT[name], RULES["in use"], seed)
    assert result.n_late() <= 3
    assert result.n_sound_refused_late <= 0.05 * result.n_sound


def test_requests_that_are_never_alike_hide_the_part_they_share():
    result = simulate(SHORT["one part"], RULES["requests"], 0)
    assert result.n_late() > 3
