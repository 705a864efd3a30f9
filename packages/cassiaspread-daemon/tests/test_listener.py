"""Closing of listening sockets."""

import asyncio
import errno
import socket
import time

import pytest
from tornado.httpserver import HTTPServer

from cassiaspread_daemon._listener import Listener


def test_pending_connections_are_served_when_the_listener_stops():
    """The event loop can't accept connections between the connect and the stop."""

    async def run():
        server = HTTPServer(lambda request: None)
        served = []
        server.handle_stream = lambda stream, address: served.append(stream)
        with Listener(server, "127.0.0.1", 0) as listener:
            address = listener.addresses[0]
            clients = [socket.create_connection(address) for _ in range(20)]
            listener.stop()
        for end in [*clients, *served]:
            end.close()
        return len(served)

    assert asyncio.run(run()) == 20


def serve_each(served):
    """Return a server that keeps its connections."""
    server = HTTPServer(lambda request: None)
    server.handle_stream = lambda stream, address: served.append(stream)
    return server


class FailingSocket:
    """A listening socket that can't accept a number of times."""

    def __init__(self, listening_socket, number, n_failures):
        self.socket = listening_socket
        self.number = number
        self.n_failures = n_failures

    def accept(self):
        if self.n_failures:
            self.n_failures -= 1
            raise OSError(self.number, "no")
        return self.socket.accept()

    def __getattr__(self, name):
        return getattr(self.socket, name)


def failing_listener(served, number, n_failures):
    listener = Listener(serve_each(served), "127.0.0.1", 0)
    [listening_socket] = listener._sockets
    listener._sockets = [FailingSocket(listening_socket, number, n_failures)]
    return listener, listener._sockets[0]


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
def test_listener_stops_while_no_connection_can_be_accepted(number):
    """An exception would end the process with its requests in progress."""

    async def run():
        served = []
        listener, failing = failing_listener(served, number, 1000)
        with listener:
            client = socket.create_connection(listener.addresses[0])
            listener.stop()
        client.close()
        assert failing.n_failures < 1000
        assert not served

    asyncio.run(run())


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ECONNABORTED, errno.EPROTO])
def test_connection_that_could_not_be_accepted_at_first_is_served_on_stop(number):
    async def run():
        served = []
        listener, _ = failing_listener(served, number, 1)
        with listener:
            client = socket.create_connection(listener.addresses[0])
            listener.stop()
        for end in [client, *served]:
            end.close()
        assert len(served) == 1

    asyncio.run(run())


def test_event_loop_is_not_busy_while_no_connection_can_be_accepted():
    async def run():
        served = []
        listener, failing = failing_listener(served, errno.EMFILE, 1000)
        with listener:
            client = socket.create_connection(listener.addresses[0])
            begin_s = time.monotonic()
            await asyncio.sleep(0.5)
            n_attempts = 1000 - failing.n_failures
            assert n_attempts <= 10 * (time.monotonic() - begin_s) + 1
            failing.n_failures = 0
            async with asyncio.timeout(5.0):
                while not served:
                    await asyncio.sleep(0.01)
        for end in [client, *served]:
            end.close()

    asyncio.run(run())
