"""The registry of targets: the VM list, reused addresses, leaving marks, failures."""

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


def observation(at_ms, incarnation="i1", poller="p1", state=VmState.LIVE):
    fields = {"address": "a:1", "link": "a:2", "domain": "celje", "model": "m"}
    fields |= {"begin": 0, "end": 4, "state": state, "incarnation": incarnation}
    report = EngineReport(target="e1", **fields) if incarnation else None
    return Observation("e1", poller, Timestamp(at_ms, 0), incarnation, report)


def usable_incarnations(targets):
    return [report.incarnation for report in targets.engines("m")]


def test_listed_leaving_applies_to_one_incarnation_on_one_vm(targets):
    targets.apply_list((listed(),))
    targets.observe(observation(1))
    targets.apply_list((listed(state=VmState.LEAVING),))
    assert usable_incarnations(targets) == []
    targets.apply_list((listed(),))
    assert usable_incarnations(targets) == []
    targets.observe(observation(2, "i2"))
    assert usable_incarnations(targets) == ["i2"]
    targets.apply_list((listed(state=VmState.LEAVING),))
    assert usable_incarnations(targets) == ["i2"]


def test_incarnation_on_another_vm_is_not_leaving(targets):
    targets.apply_list((listed(state=VmState.LEAVING),))
    targets.observe(observation(1))
    assert usable_incarnations(targets) == []
    targets.apply_list((listed("v2"),))
    assert usable_incarnations(targets) == ["i1"]


@pytest.mark.parametrize("source", ["report", "operator"])
def test_leaving_mark_is_final_for_the_incarnation(targets, source):
    targets.observe(observation(1))
    if source == "report":
        targets.observe(observation(2, state=VmState.LEAVING))
    else:
        assert targets.drain("e1").incarnation == "i1"
    targets.observe(observation(3))
    assert usable_incarnations(targets) == []
    targets.observe(observation(4, "i2"))
    assert usable_incarnations(targets) == ["i2"]


def test_own_failure_is_cleared_only_by_an_own_poll(targets):
    targets.apply_list((listed(),))
    targets.observe(observation(1))
    targets.mark_failed("e1")
    targets.observe(observation(99_000))
    targets.apply_list((listed(), listed("v9", name="e9")))
    assert usable_incarnations(targets) == []
    targets.observe(observation(99_001, poller="own"))
    assert usable_incarnations(targets) == ["i1"]


def test_target_removed_from_the_list_stays_in_use(targets):
    targets.apply_list((listed(),))
    targets.observe(observation(1))
    targets.apply_list(())
    assert usable_incarnations(targets) == ["i1"]
    targets.observe(observation(2, ""))
    assert usable_incarnations(targets) == []
    assert targets.locations() == []


def test_service_target_is_identified_by_its_vm(targets):
    vms = [listed(v, role="service", name="booking") for v in ("v1", "v2")]
    targets.apply_list(tuple(vms))
    assert targets.services("booking") == vms
    targets.mark_failed("v1")
    assert targets.services("booking") == vms[1:]
    targets.observe(Observation("v1", "own", Timestamp(99_000, 0), "v1"))
    assert targets.services("booking") == vms
    assert targets.drain("v1").incarnation == "v1"
    assert targets.services("booking") == vms[1:]


def test_drain_of_a_target_that_was_never_observed(targets):
    with pytest.raises(UnknownTarget):
        targets.drain("e7")
