"""The registry of targets: the list, addresses that are used again, failures."""

import pytest

from cassiaspread_core.base import VmState
from cassiaspread_core.observations import Observation
from cassiaspread_core.pipeline import EngineReport
from cassiaspread_core.timeline import EventRing, Timestamp
from cassiaspread_daemon.adapters import ListedVm
from cassiaspread_daemon.fleet import TargetRegistry, UnknownTarget


@pytest.fixture
def targets():
    registry = TargetRegistry("own", EventRing("own", 100, lambda: 10.0))
    registry.pollers_of = lambda _: ("p1", "p2")
    return registry


def listed(vm="v1", state=VmState.LIVE, role="engine", name="e1"):
    fields = {"vm": vm, "role": role, "name": name, "domain": "celje"}
    return ListedVm(address="a:1", state=state, **fields)


def seen(at_ms, incarnation="i1", poller="p1", state=VmState.LIVE):
    fields = {"address": "a:1", "link": "a:2", "domain": "celje", "model": "m"}
    fields |= {"begin": 0, "end": 4, "state": state, "incarnation": incarnation}
    report = EngineReport(target="e1", **fields) if incarnation else None
    return Observation("e1", poller, Timestamp(at_ms, 0), incarnation, report)


def used(targets):
    return [report.incarnation for report in targets.engines("m")]


def test_word_of_the_list_is_bound_to_the_start_and_the_vm(targets):
    targets.apply_list((listed(),))
    targets.observe(seen(1))
    targets.apply_list((listed(state=VmState.LEAVING),))
    assert used(targets) == []
    targets.apply_list((listed(),))
    assert used(targets) == []
    targets.observe(seen(2, "i2"))
    assert used(targets) == ["i2"]
    targets.apply_list((listed(state=VmState.LEAVING),))
    assert used(targets) == ["i2"]


def test_start_on_another_vm_is_not_leaving(targets):
    targets.apply_list((listed(state=VmState.LEAVING),))
    targets.observe(seen(1))
    assert used(targets) == []
    targets.apply_list((listed("v2"),))
    assert used(targets) == ["i1"]


@pytest.mark.parametrize("source", ["report", "operator"])
def test_mark_is_final_for_the_start(targets, source):
    targets.observe(seen(1))
    if source == "report":
        targets.observe(seen(2, state=VmState.LEAVING))
    else:
        assert targets.drain("e1").incarnation == "i1"
    targets.observe(seen(3))
    assert used(targets) == []
    targets.observe(seen(4, "i2"))
    assert used(targets) == ["i2"]


def test_own_failure_is_ended_by_an_own_poll_only(targets):
    targets.apply_list((listed(),))
    targets.observe(seen(1))
    targets.forget("e1")
    targets.observe(seen(99_000))
    targets.apply_list((listed(), listed("v9", name="e9")))
    assert used(targets) == []
    targets.observe(seen(99_001, poller="own"))
    assert used(targets) == ["i1"]


def test_list_that_loses_a_target_does_not_stop_its_use(targets):
    targets.apply_list((listed(),))
    targets.observe(seen(1))
    targets.apply_list(())
    assert used(targets) == ["i1"]
    targets.observe(seen(2, ""))
    assert used(targets) == []
    assert targets.known() == []


def test_service_counts_by_its_vm(targets):
    vms = [listed(v, role="service", name="booking") for v in ("v1", "v2")]
    targets.apply_list(tuple(vms))
    assert targets.services("booking") == vms
    targets.forget("v1")
    assert targets.services("booking") == vms[1:]
    targets.observe(Observation("v1", "own", Timestamp(99_000, 0), "v1"))
    assert targets.services("booking") == vms
    assert targets.drain("v1").incarnation == "v1"
    assert targets.services("booking") == vms[1:]


def test_drain_of_a_target_that_nobody_has_seen(targets):
    with pytest.raises(UnknownTarget):
        targets.drain("e7")
