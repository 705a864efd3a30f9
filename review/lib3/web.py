"""Minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
from urllib.parse import parse_qsl, urlsplit


class Request:
    """One request.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: headers by lower-case name.
    :param body: the body.
    """

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        # Port that it came from.
        self.peer_port = None
        parts = urlsplit(target)
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))


def parse_head(data):
    """Return the first line and the headers of a head."""
    lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, value in pairs}


async def read_request(reader):
    """Read one request; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, headers = parse_head(head)
    method, target, _ = first.split(" ")
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def format_answer(status, headers, body):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handle, port, write=None, host="127.0.0.1"):
    """Serve requests.

    :param handle: returns status, headers and body of the answer to a request.
    :param port: TCP port on the loopback address.
    :param write: sends the bytes of an answer; at once by default.
    """

    async def connected(reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                request.peer_port = writer.get_extra_info("peername")[1]
                answer = format_answer(*await handle(request))
                if write is None:
                    writer.write(answer)
                    await writer.drain()
                else:
                    await write(writer, answer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The caller is gone, or the case is over.
            pass
        finally:
            with contextlib.suppress(ConnectionError):
                writer.close()

    return await asyncio.start_server(connected, host, port, limit=1 << 20)


async def request(port, method, path, headers, body=b"", timeout_s=10.0):
    """Send one request over a new connection; return status, headers and body."""
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            head = await reader.readuntil(b"\r\n\r\n")
            first, answer_headers = parse_head(head)
            length = int(answer_headers.get("content-length", 0))
            answer = await reader.readexactly(length)
        finally:
            writer.close()
    return int(first.split(" ")[1]), answer_headers, answer
