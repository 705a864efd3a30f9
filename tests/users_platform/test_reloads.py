"""SIGHUP at any time of a gateway's life, through real processes."""

import signal
import time
from contextlib import contextmanager

from tests.fleet import ROOT
from tests.users_platform.deployment import wait_for

GATEWAY = "gateway-celje"
STARTED = "gateway-started"
INTERVAL_S = 0.02
# The end of a process takes less time than its start.
END_INTERVAL_S = 0.002
START_TIMEOUT_S = 30.0
LEAVE_TIMEOUT_S = 30.0
MASKED_START = (ROOT / "tests/standins/masked_start.py", "cassiaspread_platform")


@contextmanager
def inherited_hangup(is_blocked):
    """Have processes that are started within inherit a blocked or ignored SIGHUP."""
    if is_blocked:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    else:
        handler = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        yield
    finally:
        if is_blocked:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        else:
            signal.signal(signal.SIGHUP, handler)


def start_gateway(deployment, is_blocked, **options):
    with inherited_hangup(is_blocked):
        deployment.add_gateway(STARTED, "celje", waits=False, **options)


def is_serving(deployment):
    assert deployment.processes[STARTED].poll() is None
    ports = (deployment.ports[STARTED], deployment.ports[f"{STARTED}/ready"])
    return all(map(deployment.accepts_connections, ports)) and deployment.is_ready(
        STARTED
    )


def send_hangups(deployment, condition, timeout_s, interval_s=INTERVAL_S):
    """Send SIGHUP until a condition holds."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, f"not reached within {timeout_s} s"
        deployment.kill(STARTED, signal.SIGHUP)
        time.sleep(interval_s)


def count_reloads(deployment, marker):
    """Return how often a gateway acted on a SIGHUP, and check that it serves.

    Lines are written in order but late; those before a request's lines are there.
    """
    assert deployment.request_stream(STARTED, 1, Attempt_Id=marker).status == 200
    wait_for(
        lambda: any(r.get("request") == marker for r in deployment.log_lines(STARTED))
    )
    return len(deployment.decisions(STARTED, "gateway.reload"))


def assert_reloads(deployment):
    """Check that a gateway serves and acts on one more SIGHUP, once."""
    before = count_reloads(deployment, "before")
    deployment.kill(STARTED, signal.SIGHUP)
    assert count_reloads(deployment, "after") == before + 1
    assert deployment.processes[STARTED].poll() is None


def test_gateway_that_gets_hangups_from_its_first_import_on_serves(deployment):
    start_gateway(deployment, is_blocked=True, launcher=MASKED_START)
    send_hangups(deployment, lambda: is_serving(deployment), START_TIMEOUT_S)
    assert_reloads(deployment)


def test_gateway_that_inherits_an_ignored_hangup_gets_it_from_its_start_on(deployment):
    start_gateway(deployment, is_blocked=False)
    send_hangups(deployment, lambda: is_serving(deployment), START_TIMEOUT_S)
    assert_reloads(deployment)


def test_hangup_during_the_start_is_acted_on_once(deployment):
    start_gateway(deployment, is_blocked=True, launcher=MASKED_START)
    deployment.kill(STARTED, signal.SIGHUP)
    wait_for(lambda: is_serving(deployment), START_TIMEOUT_S)
    assert count_reloads(deployment, "started") == 1
    assert_reloads(deployment)


def test_gateway_that_gets_hangups_while_it_leaves_ends_with_status_0(deployment):
    deployment.add_gateway(STARTED, "celje")
    wait_for(lambda: deployment.is_ready(STARTED))
    process = deployment.processes[STARTED]
    process.send_signal(signal.SIGTERM)
    send_hangups(
        deployment,
        lambda: process.poll() is not None,
        LEAVE_TIMEOUT_S,
        END_INTERVAL_S,
    )
    assert process.returncode == 0
