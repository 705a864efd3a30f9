"""Merging and selection of observations, leaving marks and choice of pollers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.base import VmState
from cassiaspread_core.membership import Member
from cassiaspread_core.observations import (
    LeavingMark,
    LeavingMarks,
    Observation,
    ObservationTable,
    choose_pollers,
    differs_only_in_load,
    merge_observations,
    needs_publishing,
    to_load_update,
)
from cassiaspread_core.pipeline import EngineReport
from cassiaspread_core.timeline import Timestamp


def report(incarnation="i1", **fields):
    values = {"target": "e1", "address": "a:1", "link": "a:2", "domain": "celje"}
    values |= {"model": "m", "begin": 0, "end": 4, "n_slots": 8, "step_ms": 10.0}
    return EngineReport(**(values | {"incarnation": incarnation} | fields))


def observed(at, poller="p1", incarnation="i1", slot=0, **fields):
    engine = report(incarnation, **fields) if incarnation else None
    return Observation("e1", poller, Timestamp(at, 0), incarnation, engine, slot)


def table_of(*observations, failed_at=None):
    table = ObservationTable("own")
    for observation in observations:
        table.add(observation)
    if failed_at is not None:
        table.record_failure("e1", Timestamp(failed_at, 0))
    return table


OBSERVATIONS = st.builds(
    observed,
    st.integers(0, 3),
    incarnation=st.sampled_from(["", "i1", "i2"]),
    n_running=st.integers(0, 2),
)


@settings(derandomize=True)
@given(OBSERVATIONS, OBSERVATIONS, OBSERVATIONS)
def test_merge_of_observations_is_a_semilattice(a, b, c):
    assert merge_observations(a, a) == a
    assert merge_observations(a, b) == merge_observations(b, a)
    left = merge_observations(merge_observations(a, b), c)
    assert left == merge_observations(a, merge_observations(b, c))


@settings(derandomize=True)
@given(st.permutations([observed(t, p) for t in range(3) for p in ("p1", "p2")]))
def test_selection_does_not_depend_on_the_order_of_arrival(observations):
    table = table_of(*observations)
    assert table.select("e1", ("p1", "p2")).stamp == Timestamp(2, 0)


@pytest.mark.parametrize(
    ("observations", "failed_at", "expected"),
    [
        pytest.param([], None, None, id="never observed"),
        pytest.param(
            [observed(1), observed(2, "p2", "")], None, "i1", id="one reaches it"
        ),
        pytest.param(
            [observed(1, incarnation=""), observed(2, "p2", "")], None, None, id="no"
        ),
        pytest.param([observed(2), observed(1)], None, "i1", id="older arrives last"),
        pytest.param(
            [observed(1), observed(2, "p2", "i2")], None, "i2", id="new start"
        ),
        pytest.param([observed(5)], 2, None, id="peer after own failure"),
        pytest.param(
            [observed(5), observed(1, "own")], 2, None, id="own before own failure"
        ),
        pytest.param([observed(3, "own")], 2, "i1", id="own after own failure"),
        pytest.param([observed(1, "old")], None, "i1", id="former poller"),
        pytest.param(
            [observed(9, "old"), observed(1, incarnation="")],
            None,
            None,
            id="current poller takes precedence",
        ),
    ],
)
def test_selected_observation(observations, failed_at, expected):
    selected = table_of(*observations, failed_at=failed_at).select("e1", ("p1", "p2"))
    assert (selected.incarnation if selected else None) == expected


def test_own_poll_ends_a_failure_and_reported_ones_count_again():
    table = table_of(observed(1), failed_at=2)
    table.add(observed(3, "own"))
    table.add(observed(4))
    assert table.select("e1", ("p1", "p2")).stamp == Timestamp(4, 0)


def test_load_update_of_another_engine_is_ignored():
    table = table_of(observed(1, slot=7))
    assert table.add_load("p1", to_load_update(observed(2, slot=7, n_running=3)))
    assert table.add_load("p1", to_load_update(observed(3, slot=8))) is None
    assert table.add_load("p2", to_load_update(observed(3, slot=7))) is None
    table.add(observed(4, slot=9))
    assert table.add_load("p1", to_load_update(observed(5, slot=7))) is None
    assert to_load_update(observed(6, incarnation="")) is None
    assert table.select("e1", ("p1",)).report.n_running == 0


def test_dropping_a_poller_keeps_the_last_observation():
    table = table_of(observed(1), observed(2, "p2"))
    assert table.drop_poller("p1") == ["e1"]
    assert table.drop_poller("p2") == []
    assert table.select("e1", ("p3",)) == observed(2, "p2")


@pytest.mark.parametrize(
    ("incarnation", "listed_vm", "expected"),
    [("i1", "v1", True), ("i1", None, True), ("i1", "v2", False), ("i2", "v1", False)],
)
def test_mark_from_the_list_holds_for_its_vm_and_start(
    incarnation, listed_vm, expected
):
    marks = LeavingMarks()
    marks.add(LeavingMark("e1", "i1", "v1", "list"))
    assert marks.is_leaving("e1", incarnation, listed_vm) is expected


@pytest.mark.parametrize(
    ("before", "after", "is_published", "is_partial"),
    [
        ({}, {}, False, True),
        ({}, {"n_running": 1}, False, True),
        ({}, {"n_running": 2}, True, True),
        ({}, {"step_ms": 11.0}, False, True),
        ({}, {"step_ms": 13.0}, True, False),
        ({}, {"state": VmState.LEAVING}, True, False),
        ({}, {"incarnation": "i2"}, True, False),
        ({}, {"incarnation": ""}, True, False),
        ({"incarnation": ""}, {"incarnation": ""}, False, True),
    ],
)
def test_published_changes(before, after, is_published, is_partial):
    published, new = observed(1, **before), observed(2, **after)
    assert needs_publishing(published, new) is is_published
    assert differs_only_in_load(published, new) is is_partial


def test_pollers_are_of_the_targets_domain_while_it_has_daemons():
    local = [Member(f"n{i}", f"n{i}", "celje", "") for i in range(4)]
    remote = [Member(f"f{i}", f"f{i}", "zalec", "") for i in range(4)]
    chosen = choose_pollers("e1", "zalec", local[0], local + remote)
    assert len(chosen) == 2
    assert set(chosen) <= set(remote)
    assert set(choose_pollers("e1", "zalec", local[0], local)) <= set(local)
