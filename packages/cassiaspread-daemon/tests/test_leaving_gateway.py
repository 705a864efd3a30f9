"""End of a gateway after SIGTERM."""

import asyncio
import socket
from types import SimpleNamespace

import msgspec
import pytest
from tornado.httpserver import HTTPServer

from cassiaspread_core.base import Refusal
from cassiaspread_daemon._listener import Listener
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway import _gateway
from cassiaspread_daemon.gateway._frontend import Frontend
from cassiaspread_daemon.gateway._gateway import Gateway
from cassiaspread_daemon.gateway._router import Router
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
    gateway._router = SimpleNamespace(refuse_late=lambda end_s: None)
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
    job, router = make_job(), Router.__new__(Router)
    job = msgspec.structs.replace(job, answer_end_s=job.deadline_s + 0.05)
    router.refuse_late(job.deadline_s + 0.1)
    router._check_end(job, job.deadline_s - 20.0)
    router.refuse_late(job.deadline_s + 0.02)
    with pytest.raises(Refusal) as refused:
        router._check_end(job, job.deadline_s - 20.0)
    assert refused.value.code == "leaving"
