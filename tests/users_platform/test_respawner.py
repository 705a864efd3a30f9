"""Restarts of processes by the tests' stand-in for the platform."""

import time
from types import SimpleNamespace

import pytest

from tests.users_platform.deployment import RESPAWN_POLL_S, Respawner, wait_for


class Processes:
    """Owner of processes that end when told to."""

    def __init__(self):
        self.processes = {}
        self.restarted = []

    def start(self, name, status=None):
        self.processes[name] = SimpleNamespace(poll=lambda: status)

    def restart(self, name):
        self.restarted.append(name)
        self.start(name)


def test_process_started_after_the_first_check_is_restarted():
    # The thread ended with a KeyError, and no process was restarted any more.
    owner = Processes()
    owner.start("a")
    with Respawner(owner, ("a", "b"), 0.0):
        time.sleep(2 * RESPAWN_POLL_S)
        owner.start("b", 1)
        wait_for(lambda: owner.restarted == ["b"])


def test_process_that_is_never_started_fails_the_test():
    owner = Processes()
    owner.start("a")
    with pytest.raises(AssertionError), Respawner(owner, ("a", "b"), 0.0):
        pass


def test_failed_restart_fails_the_test():
    owner = Processes()
    owner.start("a", 1)

    def restart(name):
        raise OSError("no such command")

    owner.restart = restart
    respawner = Respawner(owner, ("a",), 0.0)
    with pytest.raises(OSError, match="no such command"), respawner:
        time.sleep(3 * RESPAWN_POLL_S)
