"""Listening sockets of an HTTP server that close without losing a connection."""

import asyncio
import socket
from collections.abc import Callable
from types import TracebackType
from typing import Self

from absl import logging
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

from cassiaspread_daemon._caller_stream import CallerStream

# Connections accepted in one iteration of the event loop.
MAX_ACCEPTED = 128
# Pause after an error, which a lack of descriptors or buffers causes, in seconds.
ACCEPT_PAUSE_S = 0.1
# Pause until it is checked again whether connections may be accepted, in seconds.
FULL_PAUSE_S = 0.05
# After so many errors a listener that stops leaves the rest of its connections.
MAX_ACCEPT_ERRORS = 16


class Listener:
    """Owns the listening sockets of one server; a context manager.

    Closing a listening socket resets connections that the kernel has completed but
    the process has not accepted yet. :meth:`stop` therefore accepts them first.

    :param server: server that handles the connections.
    :param host: IP address to listen on.
    :param port: TCP port to listen on.
    :param receive_buffer_bytes: size of each connection's receive buffer in the kernel,
        which doubles it; without it, the kernel lets them grow.
    :param count_free: returns how many connections may be accepted now.
    """

    def __init__(
        self,
        server: HTTPServer,
        host: str,
        port: int,
        receive_buffer_bytes: int | None = None,
        count_free: Callable[[], int] = lambda: MAX_ACCEPTED,
    ) -> None:
        self._server = server
        self._count_free = count_free
        self._sockets = bind_sockets(port, host)
        if receive_buffer_bytes is not None:
            for listening_socket in self._sockets:
                # Accepted connections inherit it.
                listening_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
                )
        # Sockets that do not accept for a while after an error.
        self._paused: dict[socket.socket, asyncio.TimerHandle] = {}

    def __enter__(self) -> Self:
        for listening_socket in self._sockets:
            self._watch(listening_socket)
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
        for listening_socket in self._sockets:
            timer = self._paused.pop(listening_socket, None)
            if timer is not None:
                timer.cancel()
            else:
                IOLoop.current().remove_handler(listening_socket)
            self._accept_all(listening_socket)
            listening_socket.close()
        self._sockets.clear()

    def _watch(self, listening_socket: socket.socket) -> None:
        IOLoop.current().add_handler(listening_socket, self._handle_ready, IOLoop.READ)

    def _handle_ready(self, listening_socket: socket.socket, events: int) -> None:
        n_free = self._count_free()
        if n_free <= 0:
            self._pause(listening_socket, FULL_PAUSE_S)
            return
        try:
            for _ in range(min(MAX_ACCEPTED, n_free)):
                if not self._accept(listening_socket):
                    return
        except OSError as error:
            self._record_error(listening_socket, error)
            self._pause(listening_socket, ACCEPT_PAUSE_S)

    def _pause(self, listening_socket: socket.socket, pause_s: float) -> None:
        # The socket stays ready, so that the event loop would do nothing else.
        IOLoop.current().remove_handler(listening_socket)
        self._paused[listening_socket] = asyncio.get_running_loop().call_later(
            pause_s, self._resume, listening_socket
        )

    def _resume(self, listening_socket: socket.socket) -> None:
        del self._paused[listening_socket]
        self._watch(listening_socket)

    def _accept_all(self, listening_socket: socket.socket) -> None:
        n_errors = 0
        while n_errors < MAX_ACCEPT_ERRORS:
            try:
                if not self._accept(listening_socket):
                    return
            except OSError as error:
                self._record_error(listening_socket, error)
                n_errors += 1

    def _accept(self, listening_socket: socket.socket) -> bool:
        """Accept a connection; return whether there may be more of them."""
        try:
            connection, address = listening_socket.accept()
        except BlockingIOError:
            return False
        except ConnectionAbortedError:
            return True
        self._serve(connection, address)
        return True

    def _record_error(self, listening_socket: socket.socket, error: OSError) -> None:
        logging.log_every_n_seconds(
            logging.WARNING,
            "no connection accepted at %s, next attempt after %g s: %s",
            1,
            listening_socket.getsockname(),
            ACCEPT_PAUSE_S,
            error,
        )

    def _serve(self, connection: socket.socket, address: tuple) -> None:
        self._server.handle_stream(CallerStream(connection), address)
