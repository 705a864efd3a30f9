"""Small HTTP/1.1 peers for the cases: an engine stand-in and a caller.

Both do only what the pages of the platform describe. A case changes the answers of an
engine through its ``answer`` function.
"""

import asyncio
import contextlib
import itertools
import os
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

READ_BYTES = 64 * 1024


class Message(NamedTuple):
    """One request or response.

    :param first: the words of its first line, as bytes.
    :param headers: values by lower-case name.
    :param body: the complete body.
    """

    first: tuple[bytes, ...]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first[1])


async def read_head(reader):
    """Read the first line and the headers of a message.

    :param reader: stream of the connection.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.decode().lower()] = value.strip().decode("latin-1")
    return tuple(lines[0].split(b" ", 2)), headers


async def read_message(reader, has_body=True) -> Message:
    """Read one complete message.

    :param reader: stream of the connection.
    :param has_body: whether the message may have a body.
    """
    first, headers = await read_head(reader)
    body = await read_body(reader, headers) if has_body else b""
    return Message(first, headers, body)


async def read_body(reader, headers) -> bytes:
    """Read the body of a message to its end.

    :param reader: stream of the connection.
    :param headers: headers of the message.
    """
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while n_bytes := int(await reader.readline(), 16):
            body += await reader.readexactly(n_bytes)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return body


def format_message(first: bytes, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with the length of its body.

    :param first: its first line.
    :param headers: its headers.
    :param body: its body.
    """
    lines = [first] + [f"{n}: {v}".encode("latin-1") for n, v in headers.items()]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", b""]) + body


class Run(NamedTuple):
    """A request that an engine began to work on.

    :param at_s: when, on the monotonic clock in seconds.
    :param engine: name of the engine.
    :param request_id: the caller's identifier of the attempt.
    :param message: the request as it arrived.
    """

    at_s: float
    engine: str
    request_id: str
    message: Message


class Answer(NamedTuple):
    """Answer of an engine.

    :param status: HTTP status code.
    :param headers: headers beside the usual ones.
    :param delay_s: time that the work takes, in seconds.
    :param n_events: events of a stream; 0 for an answer with a length.
    :param event_s: pause after each event, in seconds.
    """

    status: int = 200
    headers: dict[str, str] = {}
    delay_s: float = 0.005
    n_events: int = 0
    event_s: float = 0.1


Decide = Callable[[Message], Answer]


class Engine:
    """Plain engine: runs each request once and answers with its seal.

    :param name: its identifier, which its entry has too.
    :param service: its service.
    :param zone: its zone.
    :param runs: receives each run.
    :param decide: returns the answer to a request; it is sound by default.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        runs: list[Run],
        decide: Decide = lambda message: Answer(),
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.runs = runs
        self.decide = decide
        self.port = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.n_renewals = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Listen no more; open connections stay."""
        if self._server is not None:
            self._server.close()

    def exit(self) -> None:
        """End as a process does: all of its connections close."""
        self.stop()
        for writer in self._writers:
            writer.close()

    def entry(self) -> dict[str, object]:
        """Return its entry in the platform's store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": 1,
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": next(self.n_renewals),
            "born": self.born,
        }

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                await self._answer(message, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        request_id = message.headers.get("attempt-id", "")
        headers = {"Attempt-Id": request_id, "Keep-Alive": "timeout=5"}
        if message.first[1] == b"/-/report":
            writer.write(format_message(b"HTTP/1.1 404 Not Found", {}))
            return
        if message.headers.get("expect-instance", self.name) != self.name:
            headers["Not-Executed"] = "1"
            writer.write(format_message(b"HTTP/1.1 421 Misdirected", headers))
            return
        answer = self.decide(message)
        self.runs.append(Run(time.monotonic(), self.name, request_id, message))
        await asyncio.sleep(answer.delay_s)
        headers |= answer.headers
        headers["Response-Seal"] = f"seal-{self.name}-{request_id}"
        first = b"HTTP/1.1 %d Answer" % answer.status
        if answer.n_events:
            await self._send_events(writer, first, headers, answer)
            return
        body = b"confirmed by " + self.name.encode() if answer.status == 200 else b""
        writer.write(format_message(first, headers, body))

    async def _send_events(
        self,
        writer: asyncio.StreamWriter,
        first: bytes,
        headers: dict[str, str],
        answer: Answer,
    ) -> None:
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        lines = [first] + [f"{n}: {v}".encode() for n, v in headers.items()]
        writer.write(b"\r\n".join([*lines, b"", b""]))
        for n in range(1, answer.n_events + 1):
            event = b"id: %d\ndata: token %d\n\n" % (n, n)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(answer.event_s)
        writer.write(b"0\r\n\r\n")


def new_id() -> str:
    """Return an identifier for one attempt of a caller."""
    return os.urandom(8).hex()


async def request(
    address: tuple[str, int],
    method: bytes,
    target: bytes,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message | None:
    """Send one request over a new connection and return the complete answer.

    :param address: host and port.
    :param method: HTTP method.
    :param target: path and query.
    :param headers: headers beside the length.
    :param body: the body.
    :param timeout_s: longest wait in seconds.
    :returns: ``None`` without a complete answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            first = method + b" " + target + b" HTTP/1.1"
            writer.write(format_message(first, headers, body))
            return await read_message(reader, method != b"HEAD")
    except (OSError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Channel:
    """Connection of a caller, which keeps it for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "Channel":
        """Open a connection.

        :param address: host and port.
        """
        return cls(*await asyncio.open_connection(*address))

    def send(self, method: bytes, target: bytes, headers: dict[str, str]) -> None:
        """Send a request without a body.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers beside the length.
        """
        first = method + b" " + target + b" HTTP/1.1"
        self._writer.write(format_message(first, headers))

    async def receive(self, timeout_s: float) -> tuple[Message | None, int]:
        """Read the answer; return it, if it is complete, and its status if any.

        :param timeout_s: longest wait in seconds.
        """
        status = 0
        try:
            async with asyncio.timeout(timeout_s):
                first, headers = await read_head(self._reader)
                status = int(first[1])
                body = await read_body(self._reader, headers)
                return Message(first, headers, body), status
        except (OSError, EOFError, TimeoutError, ValueError):
            return None, status

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def run_periodically(
    call: Callable[[], Awaitable[object]], interval_s: float
) -> None:
    """Call a function at intervals until cancelled.

    :param call: the function.
    :param interval_s: pause between two calls, in seconds.
    """
    while True:
        with contextlib.suppress(OSError):
            await call()
        await asyncio.sleep(interval_s)
