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
from cassiaspread_daemon.gateway._gateway import Gateway
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
            await gateway._leave(listener)
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
    closing.begin(job.deadline_s + 0.1)
    closing.refuse_open_ends()
    closing.check(job, job.deadline_s - 20.0)
    closing.begin(job.deadline_s + 0.02)
    with pytest.raises(Refusal) as refused:
        closing.check(job, job.deadline_s - 20.0)
    assert refused.value.code == "leaving"


def test_request_that_takes_longer_than_the_rest_of_the_drain_is_refused():
    job, closing = make_job(), Closing()
    for duration_s in (0.1, 2.5, 0.2):
        closing.record_run(job.route, duration_s)
    closing.check(job, 100.0)
    closing.begin(102.6)
    closing.check(job, 100.0)
    with pytest.raises(Refusal) as refused:
        closing.check(job, 100.2)
    assert (refused.value.status, refused.value.outcome) == (503, Outcome.NOT_RUN)


def test_unknown_duration_is_taken_from_the_objective():
    job, closing = make_job(), Closing()
    closing.begin(100.0 + job.route.objective_s + 0.01)
    assert closing.may_end(job, 100.0)
    assert not closing.may_end(job, 100.02)
