"""Stand-in head with all layers that paces many token streams at little CPU cost.

Each stream receives a token every ``--interval-ms``; the streams are spread evenly over
the interval, so that their tokens do not arrive in one burst.
"""

import argparse
import asyncio
import json

CHUNK = b"%x\r\n%b\r\n"
HEADERS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
N_PHASES = 30


class Stream:
    """One token stream and its next position."""

    def __init__(self, transport: asyncio.Transport, order: dict) -> None:
        self.transport = transport
        transport.write(HEADERS)
        self.attempt = order["attempt"]
        self.position = order["start"]
        self.end = order["max_tokens"]

    def send_next(self) -> bool:
        """Send one token and return whether more follow."""
        if self.transport.is_closing():
            return False
        event = {"attempt": self.attempt, "position": self.position}
        is_last = self.position == self.end
        event |= {"finish_reason": "length"} if is_last else {"text": "brisket "}
        data = b"data: %b\n\n" % json.dumps(event).encode()
        self.transport.write(CHUNK % (len(data), data))
        self.position += 1
        if is_last:
            self.transport.write(b"0\r\n\r\n")
            self.transport.close()
        return not is_last


class Pacer:
    """Sends each stream its next token once per interval."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.phases: list[list[Stream]] = [[] for _ in range(N_PHASES)]

    def add(self, stream: Stream) -> None:
        """Send the first token at once and schedule the others."""
        if stream.send_next():
            min(self.phases, key=len).append(stream)

    async def run(self) -> None:
        """Send tokens until cancelled."""
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        while True:
            for index, streams in enumerate(self.phases):
                self.phases[index] = [s for s in streams if s.send_next()]
                next_s += self.interval_s / N_PHASES
                await asyncio.sleep(max(0.0, next_s - loop.time()))


class Connection(asyncio.Protocol):
    """One request on one connection."""

    def __init__(self, report: dict, pacer: Pacer) -> None:
        self.report, self.pacer, self.data = report, pacer, b""

    def connection_made(self, transport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond once the request is complete."""
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end:
            return
        if head.startswith(b"POST /engine/generate"):
            n_bytes = int(head.lower().split(b"content-length:")[1].split()[0])
            if len(body) >= n_bytes:
                self.pacer.add(Stream(self.transport, json.loads(body)))
            return
        answer = json.dumps(self.report).encode()
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b"
            % (len(answer), answer)
        )
        self.transport.close()


async def run(arguments: argparse.Namespace) -> None:
    """Serve until killed."""
    address = f"127.0.0.1:{arguments.port}"
    report = {
        "target": arguments.name,
        "address": address,
        "link": address,
        "domain": "cautin",
        "model": "draft",
        "begin": 0,
        "end": 8,
        "step_ms": arguments.interval_ms,
        "n_slots": 1000,
    }
    pacer = Pacer(arguments.interval_ms / 1000)
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: Connection(report, pacer), "127.0.0.1", arguments.port
    )
    await pacer.run()


def main() -> None:
    """Parse the flags and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--interval-ms", type=float, default=28.0)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
