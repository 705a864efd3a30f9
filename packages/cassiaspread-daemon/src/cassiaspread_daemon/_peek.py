"""Bytes that wait in the kernel, without reading them."""

import socket


def peek(connection: socket.socket, n_bytes: int = 1) -> bytes | None:
    """Return the next bytes that wait on a connection.

    :param connection: a non-blocking socket.
    :param n_bytes: largest number of bytes to return.
    :returns: the bytes, ``b""`` if the other end has closed or reset the connection,
        ``None`` if nothing has arrived.
    """
    try:
        return connection.recv(n_bytes, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        # A reset, for example.
        return b""
