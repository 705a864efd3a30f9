"""SIGHUP before, while and after something can act on it."""

import os
import signal

import pytest

from cassiaspread_daemon.reload_signal import ReloadSignal


@pytest.fixture
def reload_signal():
    before = signal.getsignal(signal.SIGHUP)
    reload_signal = ReloadSignal()
    reload_signal.hold()
    yield reload_signal
    signal.signal(signal.SIGHUP, before)


def hang_up():
    os.kill(os.getpid(), signal.SIGHUP)


def test_kept_signals_are_passed_on_once_and_later_ones_each(reload_signal):
    calls = []
    hang_up()
    hang_up()
    with reload_signal.passed_to(lambda: calls.append("reload")):
        assert calls == ["reload"]
        hang_up()
        hang_up()
        assert calls == ["reload"] * 3
    hang_up()
    assert calls == ["reload"] * 3


def test_nothing_is_passed_on_without_a_signal(reload_signal):
    calls = []
    with reload_signal.passed_to(lambda: calls.append("reload")):
        assert calls == []


def test_signals_are_ignored_after_an_error(reload_signal):
    with pytest.raises(ValueError, match="failed"), reload_signal.passed_to(list):
        raise ValueError("failed")
    hang_up()
