"""Chains run each layer once and spread over engines with free cache."""

import itertools
import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.chains import (
    LoadLedger,
    RequestDemand,
    StageLoad,
    choose_chain,
    stage_load,
)
from cassiaspread_core.chains._chain import (
    _domain_link_ms,
    _hop_ms,
    _layer_cost_ms,
)
from cassiaspread_core.placement import (
    Accelerator,
    Engine,
    LayerRange,
    ModelSpec,
    plan_layout,
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
    step_ms=1.02,
    prefill_tokens_per_ms=164.0,
    activation_bytes=59_000,
    domain_link_mbps=19_000,
    domain_delay_ms=0.75,
    usual_prompt=774,
    usual_answer=210,
)
USUAL = RequestDemand(774, 210, "a")


def engine(name, begin, end, domain="a", kind="large"):
    return Engine(
        target=name,
        service="pool",
        address=name,
        domain=domain,
        accelerator=kind,
        layers=LayerRange(begin, end),
        n_slots=96,
    )


def make_fleet():
    counts = {"a": (1, 6, 6), "b": (1, 10, 4), "c": (2, 4, 4)}
    empty = [
        engine(f"{domain}-{kind}-{n}", 0, 0, domain, kind)
        for domain, numbers in counts.items()
        for kind, count in zip(KINDS, numbers, strict=True)
        for n in range(count)
    ]
    layout = plan_layout(MODEL, empty, {})
    return [msgspec.structs.replace(e, layers=layout[e.target]) for e in empty]


def target_names(chain):
    return [stage.engine.target for stage in chain]


def assert_exact(chain):
    at = 0
    for stage in chain:
        assert stage.layers.begin == at < stage.layers.end
        assert stage.engine.layers.begin <= stage.layers.begin
        assert stage.layers.end <= stage.engine.layers.end
        at = stage.layers.end
    assert at == MODEL.n_layers
    assert len(set(target_names(chain))) == len(chain)


def fill(fleet, demands, uses_ledger=True):
    """Choose chains one after the other until none has free capacity.

    Returns the chains and the ledger of their load.
    """
    ledger = LoadLedger()
    chains = []
    for demand in demands:
        load_of = ledger.total if uses_ledger else lambda target: StageLoad()
        chain = choose_chain(MODEL, fleet, demand, lambda e, f=load_of: f(e.target))
        if chain is None:
            break
        for n, stage in enumerate(chain):
            ledger.add(stage.engine.target, stage_load(stage, demand, n == 0))
        chains.append(chain)
    return chains, ledger


def test_chain_stays_in_its_domain_when_engines_are_idle():
    for domain in "abc":
        chain = choose_chain(
            MODEL, make_fleet(), RequestDemand(774, 210, domain), lambda e: StageLoad()
        )
        assert_exact(chain)
        assert len({stage.engine.domain for stage in chain}) == 1


def test_missing_layers_come_from_another_domain():
    fleet = [engine("a1", 0, 40), engine("b1", 30, 80, "b"), engine("b0", 0, 10, "b")]
    assert target_names(choose_chain(MODEL, fleet, USUAL, lambda e: StageLoad())) == [
        "a1",
        "b1",
    ]


def test_no_chain_when_a_layer_is_missing():
    fleet = [engine("a1", 0, 40), engine("a2", 41, 80)]
    assert choose_chain(MODEL, fleet, USUAL, lambda e: StageLoad()) is None


def test_full_caches_are_avoided_until_no_engine_has_room():
    # A burst of streams that all arrive in one domain: they must overflow to the other
    # domains and never exceed the KV cache of an engine.
    fleet = make_fleet()
    chains, ledger = fill(fleet, [USUAL] * 400)
    assert 100 < len(chains) < 400
    domains = {chain[0].engine.domain for chain in chains}
    assert domains == {"a", "b", "c"}
    for e in fleet:
        free_mb = KINDS[e.accelerator].memory_mb - len(e.layers) * MODEL.layer_mb
        used_mb = ledger.total(e.target).token_layers * MODEL.cache_mb_per_token_layer
        assert used_mb <= free_mb


def test_load_of_running_streams_spreads_new_ones():
    fleet = make_fleet()
    balanced, _ = fill(fleet, [USUAL] * 60)
    unbalanced, _ = fill(fleet, [USUAL] * 60, uses_ledger=False)
    assert len({target_names(chain)[0] for chain in balanced}) > 1
    assert len({target_names(chain)[0] for chain in unbalanced}) == 1


def test_slow_engines_are_avoided():
    fleet = [engine("a1", 0, 80), engine("a2", 0, 80)]
    chain = choose_chain(
        MODEL,
        fleet,
        USUAL,
        lambda e: StageLoad(),
        lambda e: 5.0 if e.target == "a1" else 1.0,
    )
    assert target_names(chain) == ["a2"]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 79),
            st.integers(1, 80),
            st.sampled_from("ab"),
            st.sampled_from(sorted(KINDS)),
        ),
        max_size=24,
    )
)
def test_any_chain_runs_each_layer_once_in_order(ranges):
    fleet = [
        engine(f"e{n}", begin, min(80, begin + size), domain, kind)
        for n, (begin, size, domain, kind) in enumerate(ranges)
    ]
    chain = choose_chain(MODEL, fleet, USUAL, lambda e: StageLoad())
    if chain is not None:
        assert_exact(chain)
    else:
        fitting = [
            e
            for e in fleet
            if KINDS[e.accelerator].memory_mb >= len(e.layers) * MODEL.layer_mb
        ]
        covered = {n for e in fitting for n in range(*_bounds(e))}
        assert covered != set(range(80)) or len(fitting) == len(fleet)


def _bounds(e):
    return e.layers.begin, e.layers.end


def list_chains(fleet, sections):
    """List every way to run the sections in order, as one engine for each section."""
    holders = [
        [e for e in fleet if e.layers.begin <= begin and end <= e.layers.end]
        for begin, end in sections
    ]
    return itertools.product(*holders)


def predict_ms(engines, sections, demand, load_by_target, slowness_by_target):
    """Return the predicted time of a chain, from the parts of the cost model."""
    link_ms = _domain_link_ms(MODEL, demand)
    is_remote = engines[0].domain != demand.domain
    total_ms = MODEL.domain_delay_ms * demand.answer_tokens * is_remote
    for e, (begin, end) in zip(engines, sections, strict=True):
        load, slowness = load_by_target[e.target], slowness_by_target[e.target]
        layer_ms = _layer_cost_ms(MODEL, e, demand, load, slowness, 0.0)
        total_ms += (end - begin) * layer_ms
    for before, after in itertools.pairwise(engines):
        if before is not after:
            total_ms += _hop_ms(demand, before.domain == after.domain, link_ms)
    return total_ms


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([0, 20, 40, 60]),
            st.sampled_from([20, 40, 60, 80]),
            st.sampled_from("abc"),
            st.sampled_from(sorted(KINDS)),
            st.integers(0, 40),
            st.sampled_from([0.0, 1e4, 1e6]),
            st.sampled_from([0, 96]),
            st.sampled_from([1.0, 3.0]),
        ),
        min_size=1,
        max_size=7,
    ),
    st.sampled_from("ad"),
    st.integers(0, 210),
)
def test_no_other_chain_has_a_lower_predicted_time(rows, domain, n_answer):
    fleet = [
        engine(f"e{n}", begin, end, engine_domain, kind)
        for n, (begin, end, engine_domain, kind, *_) in enumerate(rows)
        if begin < end
    ]
    loads = {f"e{n}": StageLoad(*row[4:7]) for n, row in enumerate(rows)}
    slowness = {f"e{n}": row[7] for n, row in enumerate(rows)}
    demand = RequestDemand(774, n_answer, domain)
    sections = [(begin, begin + 20) for begin in range(0, 80, 20)]
    best_ms = min(
        (
            predict_ms(engines, sections, demand, loads, slowness)
            for engines in list_chains(fleet, sections)
        ),
        default=math.inf,
    )
    chain = choose_chain(
        MODEL,
        fleet,
        demand,
        lambda e: loads[e.target],
        lambda e: slowness[e.target],
    )
    if chain is None:
        assert best_ms == math.inf
        return
    assert_exact(chain)
    engines = [
        next(s.engine for s in chain if s.layers.begin <= begin < s.layers.end)
        for begin, _ in sections
    ]
    chosen_ms = predict_ms(engines, sections, demand, loads, slowness)
    assert chosen_ms == pytest.approx(best_ms)


def test_ledger_removes_load_of_daemons_that_stopped_reporting():
    ledger = LoadLedger()
    ledger.record_peer_load("d2", {"e": StageLoad(2, 10.0, 1)}, now_s=1.0)
    ledger.add("e", StageLoad(1, 5.0, 1))
    assert ledger.total("e") == StageLoad(3, 15.0, 2)
    assert ledger.remove_expired(now_s=5.0, max_age_s=3.0) == ["d2"]
    assert ledger.total("e") == StageLoad(1, 5.0, 1)
    ledger.remove("e", StageLoad(1, 5.0, 1))
    assert ledger.own == {}
