"""End of a gateway after SIGTERM."""

import asyncio
import socket
from types import SimpleNamespace

import msgspec
import pytest
from tornado.httpserver import HTTPServer

from cassiaspread_core.base import Outcome, Refusal
from cassiaspread_daemon._listener import Listener
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway import _gateway
from cassiaspread_daemon.gateway._closing import Closing
from cassiaspread_daemon.gateway._frontend import Frontend
from cassiaspread_daemon.gateway._gateway import (
    BALANCER_LAG_S,
    EXIT_MARGIN_S,
    MIN_EXIT_MARGIN_S,
    Gateway,
)
from cassiaspread_daemon.gateway._job import now
from tests.gateway_jobs import make_job


class LateCaller(Listener):
    """A listener to which a caller connects just before it stops."""

    def stop(self):
        if self.addresses:
            self.caller = socket.create_connection(self.addresses[0])
            self.caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        super().stop()


async def answer_whole(inbound):
    inbound.answer(200, {}, b"whole")


async def ignore():
    """Do nothing."""


def make_gateway():
    """Return the parts of a gateway that its end involves."""
    gateway = Gateway.__new__(Gateway)
    gateway._frontend = Frontend(answer_whole)
    gateway._log = SimpleNamespace(record=lambda event, **fields: None)
    gateway._closing = Closing()
    gateway._capacity_queue = SimpleNamespace(refuse_waiting=lambda check: None)
    gateway._settings = SimpleNamespace(exit_timeout_s=2.0)
    gateway._supervisor = Supervisor("test")
    gateway._duty = SimpleNamespace(leave=ignore)
    return gateway


def test_connection_accepted_as_the_listener_stops_is_served(monkeypatch):
    # Nothing else is open, so that the process could end at once.
    monkeypatch.setattr(_gateway, "BALANCER_LAG_S", 0.05)

    async def run():
        gateway = make_gateway()
        server = HTTPServer(gateway._frontend)
        with LateCaller(server, "127.0.0.1", 0) as listener:
            await gateway._leave(listener, now())
        listener.caller.setblocking(False)
        answer = listener.caller.recv(1000)
        listener.caller.close()
        assert answer.endswith(b"whole")
        assert b"Connection: close" in answer

    asyncio.run(run())


def test_late_stream_whose_answer_may_outlast_the_drain_is_refused():
    # Its answer may go on after the time at which its refusal would leave.
    job, closing = make_job(), Closing()
    job = msgspec.structs.replace(job, answer_end_s=job.deadline_s + 0.05)
    open_until_s = job.deadline_s - 20.0
    closing.begin(open_until_s, job.deadline_s + 0.1)
    closing.check(job, open_until_s)
    closing.begin(open_until_s, job.deadline_s + 0.02)
    with pytest.raises(Refusal) as refused:
        closing.check(job, open_until_s)
    assert refused.value.code == "leaving"


def test_late_stream_is_judged_by_the_clock_alone():
    # A timer that ran late let streams pass that were cut at the end.
    job, closing = make_job(), Closing()
    open_until_s = job.deadline_s - 15.0
    closing.begin(open_until_s, job.deadline_s - 5.0)
    assert closing.may_end(job, open_until_s - 0.001)
    assert not closing.may_end(job, open_until_s)


def test_delay_of_the_signal_shortens_the_drain():
    # The process would be killed before it has answered what it can't end.
    async def run():
        gateway = make_gateway()
        gateway._settings = SimpleNamespace(exit_timeout_s=10.0)
        began = []
        gateway._closing = SimpleNamespace(begin=lambda *bounds: began.append(bounds))
        for delay_s in (0.0, 0.4, 2.0):
            # Nothing is open, so that the end is at once after the listener's.
            with Listener(HTTPServer(gateway._frontend), "127.0.0.1", 0) as listener:
                now_s = now()
                await gateway._leave(listener, now_s - delay_s)
            open_until_s, end_s = (bound_s - now_s for bound_s in began.pop())
            assert open_until_s == pytest.approx(BALANCER_LAG_S - delay_s)
            latest_s = 10.0 - max(EXIT_MARGIN_S, delay_s + MIN_EXIT_MARGIN_S)
            assert end_s == pytest.approx(latest_s, abs=0.1)

    asyncio.run(run())


def test_request_that_takes_longer_than_the_rest_of_the_drain_is_refused():
    job, closing = make_job(), Closing()
    for duration_s in (0.1, 2.5, 0.2):
        closing.record_run(job.route, duration_s)
    closing.check(job, 100.0)
    closing.begin(200.0, 102.6)
    closing.check(job, 100.0)
    with pytest.raises(Refusal) as refused:
        closing.check(job, 100.2)
    assert (refused.value.status, refused.value.outcome) == (503, Outcome.NOT_RUN)


def test_unknown_duration_is_taken_from_the_objective():
    job, closing = make_job(), Closing()
    closing.begin(200.0, 100.0 + job.route.objective_s + 0.01)
    assert closing.may_end(job, 100.0)
    assert not closing.may_end(job, 100.02)
