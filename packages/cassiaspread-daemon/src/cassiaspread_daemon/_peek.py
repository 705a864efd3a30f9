"""Bytes that wait in the kernel, without reading them."""

import socket


def peek(connection: socket.socket) -> bytes | None:
    """Return the next byte that waits on a connection.

    :param connection: a non-blocking socket.
    :returns: one byte, ``b""`` if the other end has closed or reset the connection,
        ``None`` if nothing has arrived.
    """
    try:
        return connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        # A reset, for example.
        return b""
