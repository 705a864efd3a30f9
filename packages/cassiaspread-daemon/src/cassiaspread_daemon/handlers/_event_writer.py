"""Writes the events of a stream to its caller with one system call each.

The connection's own interface makes two futures for each write, which nobody waits
for: a stream's size is bounded by its tokens, so all of it may be buffered.
"""

from tornado.http1connection import HTTP1Connection
from tornado.web import RequestHandler

CHUNK = b"%x\r\n%b\r\n"


class EventWriter:
    """Writes events; the first one goes out together with the headers.

    :param handler: handler of the request, whose headers are set.
    """

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._has_begun = False

    @property
    def has_begun(self) -> bool:
        """Whether the headers have left."""
        return self._has_begun

    def write(self, events: bytes) -> None:
        """Write events at once, or buffer what the connection does not take.

        :param events: whole events.
        """
        if not self._has_begun:
            self._has_begun = True
            self._handler.write(events)
            self._handler.flush()
            return
        connection = self._handler.request.connection
        assert isinstance(connection, HTTP1Connection)
        if self._handler.request.version != "HTTP/1.1" or connection.stream.writing():
            connection.write(events)
        elif not connection.stream.closed():
            self._write_directly(connection, CHUNK % (len(events), events))

    def _write_directly(self, connection: HTTP1Connection, chunk: bytes) -> None:
        try:
            n_bytes = connection.stream.socket.send(chunk)
        except OSError:
            # The connection's own write finds out whether it is full or broken.
            n_bytes = 0
        if n_bytes < len(chunk):
            connection.stream.write(chunk[n_bytes:])
