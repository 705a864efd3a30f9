"""Listening sockets of an HTTP server that close without losing a connection."""

import socket
from collections.abc import Callable
from types import TracebackType
from typing import Self

from tornado.httpserver import HTTPServer
from tornado.netutil import add_accept_handler, bind_sockets

from cassiaspread_daemon._caller_stream import CallerStream


class Listener:
    """Owns the listening sockets of one server; a context manager.

    Closing a listening socket resets connections that the kernel has completed but
    the process has not accepted yet. :meth:`stop` therefore accepts them first.

    :param server: server that handles the connections.
    :param host: IP address to listen on.
    :param port: TCP port to listen on.
    """

    def __init__(self, server: HTTPServer, host: str, port: int) -> None:
        self._server = server
        self._sockets = bind_sockets(port, host)
        self._remove_handlers: list[Callable[[], None]] = []

    def __enter__(self) -> Self:
        for listening_socket in self._sockets:
            self._remove_handlers.append(
                add_accept_handler(listening_socket, self._serve)
            )
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    @property
    def addresses(self) -> list[tuple]:
        """Addresses of the listening sockets."""
        return [listening_socket.getsockname() for listening_socket in self._sockets]

    def announce_close(self) -> None:
        """Close each connection after its next response, with ``Connection: close``."""
        self._server.conn_params.no_keep_alive = True

    def stop(self) -> None:
        """Accept pending connections, then close the listening sockets."""
        for remove in self._remove_handlers:
            remove()
        self._remove_handlers.clear()
        for listening_socket in self._sockets:
            self._accept_pending(listening_socket)
            listening_socket.close()
        self._sockets.clear()

    def _accept_pending(self, listening_socket: socket.socket) -> None:
        while True:
            try:
                connection, address = listening_socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            self._serve(connection, address)

    def _serve(self, connection: socket.socket, address: tuple) -> None:
        self._server.handle_stream(CallerStream(connection), address)
