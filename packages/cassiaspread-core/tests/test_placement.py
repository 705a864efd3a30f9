"""Layouts and moves keep a complete model in each domain that can hold it."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.placement import (
    Accelerator,
    Coverage,
    Engine,
    LayerRange,
    ModelSpec,
    cache_capacity,
    plan_layout,
    plan_moves,
)

KINDS = {
    "large": Accelerator("large", 72_000, 2.4, 3.2),
    "small": Accelerator("small", 14_400, 5.3, 7.9),
    "slow": Accelerator("slow", 21_600, 16.0, 8.2),
}
MODEL = ModelSpec(
    n_layers=80,
    layer_mb=1750.0,
    cache_mb_per_token=1.18,
    accelerators=KINDS,
    usual_prompt=774,
    usual_answer=210,
)


def make_fleet(counts):
    return [
        Engine(
            target=f"{domain}-{kind}-{n}",
            service="pool",
            address=f"{domain}-{kind}-{n}:1",
            domain=domain,
            accelerator=kind,
        )
        for domain, numbers in counts.items()
        for kind, count in zip(KINDS, numbers, strict=True)
        for n in range(count)
    ]


FLEET = make_fleet({"a": (1, 6, 6), "b": (1, 10, 4), "c": (2, 4, 4)})


def count_layers(engines, layout, domain):
    coverage = Coverage(MODEL.n_layers)
    for engine in engines:
        coverage.add(engine.domain, layout.get(engine.target, LayerRange(0, 0)))
    return coverage.domain(domain)


def apply_moves(engines, layout):
    """Apply moves until none is planned; return the layout and the number of rounds."""
    layout = dict(layout)
    for n_moves in range(50):
        moves = plan_moves(MODEL, engines, layout, moving=())
        if not moves:
            return layout, n_moves
        for move in moves:
            layout[move.engine.target] = move.layers
    raise AssertionError("plan_moves still returned moves after 50 rounds")


def test_each_domain_holds_the_complete_model():
    layout = plan_layout(MODEL, FLEET, {})
    for domain in "abc":
        assert min(count_layers(FLEET, layout, domain)) >= 1


def test_no_engine_holds_more_than_fits():
    layout = plan_layout(MODEL, FLEET, {})
    assert layout.keys() == {engine.target for engine in FLEET}
    for engine in FLEET:
        held = msgspec.structs.replace(engine, layers=layout[engine.target])
        assert 0 <= held.layers.begin < held.layers.end <= MODEL.n_layers
        assert len(held.layers) * MODEL.layer_mb < KINDS[engine.accelerator].memory_mb
        # KV cache for at least two sequences of usual length.
        assert cache_capacity(held, MODEL) >= 2 * 984 * len(held.layers)


def test_held_layers_are_kept():
    first = plan_layout(MODEL, FLEET, {})
    added = make_fleet({"a": (0, 8, 6)})[6:8]
    assert plan_layout(MODEL, [*FLEET, *added], first).keys() == {
        engine.target for engine in added
    }


@pytest.mark.parametrize("lost", ["c-large-0", "c-large-1", "a-large-0"])
def test_lost_layers_are_restored_in_their_domain(lost):
    # After the permanent loss of a large engine, without moves, its domain sent all
    # further requests across the link between domains.
    layout = plan_layout(MODEL, FLEET, {})
    remaining = [engine for engine in FLEET if engine.target != lost]
    held = {e.target: layout[e.target] for e in remaining}
    domain = lost[0]
    assert min(count_layers(remaining, held, domain)) == 0
    final, n_moves = apply_moves(remaining, held)
    counts = count_layers(remaining, final, domain)
    capacity = sum(
        int(KINDS[e.accelerator].memory_mb / MODEL.layer_mb)
        for e in remaining
        if e.domain == domain
    )
    if capacity >= MODEL.n_layers + 10:
        assert counts.count(0) == 0
    else:
        assert counts.count(0) < count_layers(remaining, held, domain).count(0)
    assert n_moves <= 16
    for engine in remaining:
        used_mb = len(final[engine.target]) * MODEL.layer_mb
        assert used_mb < KINDS[engine.accelerator].memory_mb


def test_moves_never_drop_the_last_copy_of_the_fleet():
    layout = plan_layout(MODEL, FLEET, {})
    remaining = [e for e in FLEET if "large" not in e.target]
    held = {e.target: layout[e.target] for e in remaining}
    before = Coverage(MODEL.n_layers)
    for engine in remaining:
        before.add(engine.domain, held[engine.target])
    for move in plan_moves(MODEL, remaining, held, moving=()):
        after = {**held, move.engine.target: move.layers}
        coverage = Coverage(MODEL.n_layers)
        for engine in remaining:
            coverage.add(engine.domain, after[engine.target])
        for layer in range(MODEL.n_layers):
            assert coverage.fleet[layer] or not before.fleet[layer]


def test_no_move_while_two_engines_of_the_domain_load():
    layout = plan_layout(MODEL, FLEET, {})
    remaining = [engine for engine in FLEET if engine.target != "c-large-0"]
    held = {e.target: layout[e.target] for e in remaining}
    moving = [e.target for e in remaining if e.domain == "c"][:2]
    assert plan_moves(MODEL, remaining, held, moving) == []


def test_model_that_fits_no_domain_is_spread_over_the_fleet():
    fleet = make_fleet({"a": (0, 4, 2), "b": (0, 4, 3), "c": (1, 0, 0)})
    layout = plan_layout(MODEL, fleet, {})
    coverage = Coverage(MODEL.n_layers)
    for engine in fleet:
        coverage.add(engine.domain, layout[engine.target])
    assert min(coverage.fleet) >= 1


def test_domains_that_cannot_hold_the_model_keep_their_cache():
    # In a fleet of twenty engines, two domains had less memory than the model. Larger
    # layer ranges there left no KV cache, and most streams were refused under low load.
    fleet = make_fleet({"a": (1, 6, 1), "b": (1, 3, 0), "c": (1, 4, 0)})
    layout = plan_layout(MODEL, fleet, {})
    final, _ = apply_moves(fleet, layout)
    for engine in fleet:
        held = msgspec.structs.replace(engine, layers=final[engine.target])
        if engine.domain in "bc":
            assert cache_capacity(held, MODEL) >= 20 * 984 * len(held.layers)


@settings(max_examples=40, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from("abcd"),
        st.tuples(*(st.integers(0, n) for n in (2, 8, 6))),
        min_size=1,
    )
)
def test_any_fleet_gets_a_layout_that_fits(counts):
    fleet = make_fleet(counts)
    layout = plan_layout(MODEL, fleet, {})
    for engine in fleet:
        layers = layout[engine.target]
        assert 0 < len(layers) <= MODEL.n_layers
        assert len(layers) * MODEL.layer_mb <= KINDS[engine.accelerator].memory_mb
    _, n_moves = apply_moves(fleet, layout)
    assert n_moves < 50


def test_engines_with_unknown_accelerators_get_no_layers():
    unknown = msgspec.structs.replace(FLEET[0], accelerator="unknown-kind")
    assert unknown.target not in plan_layout(MODEL, [unknown, *FLEET[1:]], {})
