"""SIGHUP at any time of a daemon's life, through real processes."""

import signal
import sys
import time

import pytest

from tests.fleet import CONSOLE_SCRIPT, ROOT, Fleet, request, wait_for

INTERVAL_S = 0.02
# The end of a process takes less time than its start.
END_INTERVAL_S = 0.002
TIMEOUT_S = 30.0
MASKED_START = ROOT / "tests/standins/masked_start.py"


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.publish_base_configuration()
        yield fleet


def is_ready(daemon):
    assert daemon.popen.poll() is None
    try:
        return request("GET", daemon.address, "/readyz")[0] == 200
    except OSError:
        return False


def send_hangups(daemon, condition, interval_s=INTERVAL_S):
    """Send SIGHUP until a condition holds."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, f"not reached within {TIMEOUT_S} s"
        daemon.signal(signal.SIGHUP)
        time.sleep(interval_s)


def n_reloads(fleet):
    return (fleet.directory / "d1.log").read_text().count("SIGHUP")


def test_daemon_that_gets_hangups_from_its_first_import_on_serves(fleet):
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        launcher = (sys.executable, MASKED_START, CONSOLE_SCRIPT)
        daemon = fleet.start_daemon("d1", "cautin", launcher=launcher)
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    send_hangups(daemon, lambda: is_ready(daemon))
    # The request is answered after the signals sent before it have been handled.
    assert is_ready(daemon)
    before = n_reloads(fleet)
    daemon.signal(signal.SIGHUP)
    wait_for(lambda: n_reloads(fleet) == before + 1)
    assert is_ready(daemon)


def test_daemon_that_gets_hangups_while_it_leaves_ends_with_status_0(fleet):
    daemon = fleet.start_daemon("d1", "cautin")
    fleet.wait_ready(daemon)
    daemon.signal(signal.SIGTERM)
    send_hangups(daemon, lambda: daemon.popen.poll() is not None, END_INTERVAL_S)
    assert daemon.popen.returncode == 0
