"""Targets that want no requests get none until their time is over."""

import msgspec
import pytest

from cassiaspread_core.placement import Engine
from cassiaspread_core.targets import MAX_CLOSED_S, TargetClosures

ENGINE = Engine(target="t", service="s", address="t:1", domain="d", incarnation=1)


def test_shorter_wish_does_not_end_a_longer_one():
    closures = TargetClosures()
    closures.close(ENGINE, 5.0, now_s=0.0)
    closures.close(ENGINE, 1.0, now_s=1.0)
    assert closures.is_closed(ENGINE, now_s=4.9)
    assert closures.opens_in_s(ENGINE, now_s=3.0) == 2.0


@pytest.mark.parametrize("is_before", [True, False])
def test_restarted_target_is_open(is_before):
    closures = TargetClosures()
    restarted = msgspec.structs.replace(ENGINE, incarnation=2)
    if is_before:
        closures.close(restarted, 1.0, now_s=-10.0)
    closures.close(ENGINE, 5.0, now_s=0.0)
    assert not closures.is_closed(restarted, now_s=1.0)
    assert closures.opens_in_s(restarted, now_s=1.0) == 0.0


def test_wish_without_end_ends():
    closures = TargetClosures()
    closures.close(ENGINE, 1e9, now_s=0.0)
    assert closures.is_closed(ENGINE, now_s=MAX_CLOSED_S - 1.0)
    assert not closures.is_closed(ENGINE, now_s=MAX_CLOSED_S)


def test_other_targets_are_open():
    closures = TargetClosures()
    closures.close(ENGINE, 5.0, now_s=0.0)
    other = msgspec.structs.replace(ENGINE, target="u")
    assert not closures.is_closed(other, now_s=1.0)


@pytest.mark.parametrize("incarnation", [0, 1])
def test_pause_outlasts_an_entry_that_goes_and_comes_back(incarnation):
    # The engine got requests again before the pause that it had asked for was over.
    closures = TargetClosures()
    engine = msgspec.structs.replace(ENGINE, incarnation=incarnation)
    closures.close(engine, 5.0, now_s=0.0)
    closures.record_removal(engine, now_s=1.0)
    # Without a known start the process may be another one.
    assert closures.is_closed(engine, now_s=2.0) == bool(incarnation)
    closures.record_removal(engine, now_s=5.0)
    assert not closures._closures
