"""Requests that come late in a planned stop: passed on only if they can end in time."""

import http.client
import json
import os
import signal
import socket
import threading
import time

import pytest

from tests.users_platform.deployment import (
    DOMAINS,
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    wait_for,
)

GATEWAY = "gateway-celje"
# Time in which the load balancer goes on sending requests to a gateway that leaves.
BALANCER_LAG_S = 3.0
RUN_S = 2.5
PLAIN_ENGINES = tuple(f"{zone}-plain" for zone in DOMAINS)
MODEL_ENGINES = tuple(f"{zone}-large" for zone in DOMAINS)
# Events of a stream and the pause between them.
N_EVENTS = 10
EVENT_S = RUN_S / N_EVENTS
PATHS = {"stream": "/draft/s", "booking": "/book/b", "lookup": "/stock/l"}


@pytest.fixture
def start(bare_deployment):
    """Return a function that starts a deployment with a time to stop in."""

    def start_with_grace(grace_s):
        deployment = bare_deployment
        deployment.publish_configuration(3)
        for name in PLAIN_ENGINES:
            deployment.add_engine(name, PLAIN_SERVICE, name.split("-")[0])
        for name in MODEL_ENGINES:
            deployment.add_engine(name, MODEL_SERVICE, name.split("-")[0], "large")
        deployment.add_gateway(GATEWAY, "celje", grace_s=grace_s)
        wait_for(lambda: deployment.is_ready(GATEWAY))
        wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200)
        for name in PLAIN_ENGINES:
            deployment.control(name, begin_s=RUN_S)
        for name in MODEL_ENGINES:
            deployment.control(name, event_s=EVENT_S)
        calls = [Call(deployment, kind) for kind in PATHS]
        for call in calls:
            call.join()
        assert [call.status for call in calls] == [200] * len(PATHS)
        return deployment

    return start_with_grace


class Call:
    """One request in a thread, on a connection of its own.

    :param kind: key of ``PATHS``.
    :param connection: kept connection to use; a new one by default.
    """

    def __init__(self, deployment, kind, connection=None):
        self.id = os.urandom(8).hex()
        self.kind = kind
        self.status = self.outcome = None
        self.is_whole = False
        port = deployment.ports[GATEWAY]
        self.connection = connection or http.client.HTTPConnection(
            "127.0.0.1", port, timeout=20
        )
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def join(self):
        self._thread.join()
        self.connection.close()

    def _run(self):
        headers = {
            "Host": HOST,
            "Attempt-Id": self.id,
            "Deadline-Ms": "15000",
            "Authorization": f"Bearer {KEY}",
        }
        if self.kind == "stream":
            headers |= {"Token-Count": f"100,{4 * N_EVENTS}", "Model": "m"}
        try:
            self.connection.request("POST", PATHS[self.kind], b"order", headers)
            response = self.connection.getresponse()
            self.status = response.status
            body = response.read()
        except (OSError, http.client.HTTPException):
            return
        self.is_whole = True
        if self.status != 200:
            self.outcome = json.loads(body)["outcome"]


def assert_none_cut(deployment, calls):
    """Check that each request was answered whole, or truthfully refused."""
    runs = {row["headers"]["Attempt-Id"] for row in deployment.history("run")}
    for call in calls:
        described = call.kind, call.status, call.outcome, call.is_whole
        if call.id in runs:
            assert call.status == 200, f"run and not answered: {described}"
            assert call.is_whole, f"run and cut: {described}"
        elif call.status is not None:
            # A connection that the gateway does not accept promises the same.
            assert (call.status, call.outcome) == (503, "not-run"), described


def stop(deployment):
    deployment.kill(GATEWAY, signal.SIGTERM)
    return time.monotonic()


def test_requests_that_cannot_end_in_a_short_grace_are_not_passed_on(start):
    # Guards against gateways that pass on what they will have to cut.
    deployment = start(4)
    kept = {kind: keep_connections(deployment, 4) for kind in PATHS}
    begin_s, calls = stop(deployment), []
    for after_s in (0.2, 0.6, 1.0, 1.4, 1.8, 2.2, 2.6):
        time.sleep(max(0.0, begin_s + after_s - time.monotonic()))
        for kind in PATHS:
            calls.append(Call(deployment, kind))
            if kept[kind]:
                calls.append(Call(deployment, kind, kept[kind].pop()))
    for call in calls:
        call.join()
    deployment.processes[GATEWAY].wait()
    assert_none_cut(deployment, calls)
    # What can end in time is still served.
    assert [c.status for c in calls[:3]] == [200] * 3
    assert calls[-1].status == 503


@pytest.mark.parametrize("paused_s", [0.0, 0.4])
def test_stream_sent_after_the_balancer_lag_is_not_cut(start, paused_s):
    # Streams sent just after the third second were accepted and cut at the end, the
    # more the later the signal was handled.
    deployment = start(8)
    for name in MODEL_ENGINES:
        deployment.control(name, event_s=6.0 / N_EVENTS)
    kept = keep_connections(deployment, 80)
    deployment.kill(GATEWAY, signal.SIGSTOP)
    begin_s, calls = stop(deployment), []
    time.sleep(paused_s)
    deployment.kill(GATEWAY, signal.SIGCONT)
    for n, connection in enumerate(kept):
        time.sleep(max(0.0, begin_s + BALANCER_LAG_S + 0.005 * n - time.monotonic()))
        calls.append(Call(deployment, "stream", connection))
    for call in calls:
        call.join()
    deployment.processes[GATEWAY].wait()
    assert_none_cut(deployment, calls)
    assert calls[0].status == 503


def keep_connections(deployment, n_connections):
    """Return connections that have carried a request."""
    connections = []
    for _ in range(n_connections):
        connection = http.client.HTTPConnection(
            "127.0.0.1", deployment.ports[GATEWAY], timeout=20
        )
        connection.request("GET", "/nowhere", headers={"Host": HOST})
        connection.getresponse().read()
        connections.append(connection)
    return connections


def test_bookings_whose_bodies_end_late_are_not_passed_on(start):
    deployment = start(8)
    slow = [SlowBooking(deployment) for _ in range(6)]
    begin_s = stop(deployment)
    for booking, after_s in zip(slow, (1.0, 3.5, 5.0, 5.6, 6.2, 6.8), strict=True):
        time.sleep(max(0.0, begin_s + after_s - time.monotonic()))
        booking.end()
    for booking in slow:
        booking.read()
    deployment.processes[GATEWAY].wait()
    assert_none_cut(deployment, slow)
    assert [booking.status for booking in slow] == [200] * 2 + [503] * 4


class SlowBooking:
    """A booking whose last byte is sent later."""

    kind = "booking"

    def __init__(self, deployment):
        self.id = os.urandom(8).hex()
        self.status = self.outcome = None
        self.is_whole = False
        address = "127.0.0.1", deployment.ports[GATEWAY]
        self._socket = socket.create_connection(address, timeout=20)
        lines = [
            "POST /book/slow HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {self.id}",
            "Deadline-Ms: 15000",
            f"Authorization: Bearer {KEY}",
            "Content-Length: 5",
        ]
        self._socket.sendall("\r\n".join([*lines, "", "orde"]).encode())

    def end(self):
        self._socket.sendall(b"r")

    def read(self):
        response = http.client.HTTPResponse(self._socket)
        try:
            response.begin()
            self.status = response.status
            body = response.read()
        except (OSError, http.client.HTTPException):
            return
        finally:
            self._socket.close()
        self.is_whole = True
        if self.status != 200:
            self.outcome = json.loads(body)["outcome"]


def test_streams_that_wait_for_room_are_refused_once_it_is_too_late(start):
    # The engines have room again when a stream can no longer end in time.
    deployment = start(6)
    for name in MODEL_ENGINES:
        deployment.control(name, full=True)
    begin_s = stop(deployment)
    time.sleep(2.0)
    calls = [Call(deployment, "stream") for _ in range(4)]
    time.sleep(max(0.0, begin_s + 2.9 - time.monotonic()))
    for name in MODEL_ENGINES:
        deployment.control(name, full=False)
    for call in calls:
        call.join()
    deployment.processes[GATEWAY].wait()
    assert_none_cut(deployment, calls)
    assert [call.status for call in calls] == [503] * 4
