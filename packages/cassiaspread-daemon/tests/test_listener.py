"""Closing of listening sockets."""

import asyncio
import socket

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
