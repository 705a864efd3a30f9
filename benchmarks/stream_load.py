"""Opens many streams to a daemon and counts their tokens for a fixed time."""

import argparse
import asyncio
import json
import time

HEADERS = (
    "POST /v1/completions HTTP/1.1\r\nHost: daemon\r\nContent-Length: {}\r\n"
    "Authorization: Bearer osorno-token\r\nX-Request-Timeout: 300\r\n\r\n{}"
)


class Caller(asyncio.Protocol):
    """One stream that counts the events it receives."""

    def __init__(self, body: str) -> None:
        self.n_events = 0
        self.body = body

    def connection_made(self, transport) -> None:
        """Send the request."""
        transport.write(HEADERS.format(len(self.body), self.body).encode())

    def data_received(self, data: bytes) -> None:
        """Count events."""
        self.n_events += data.count(b"id: ")


async def run(address: str, n_streams: int, warm_up_s: float, measure_s: float) -> None:
    """Print a line once all streams are running and one with the token count."""
    host, port = address.rsplit(":", 1)
    body = {"model": "draft", "prompt": "loin", "max_tokens": 4096, "stream": True}
    loop = asyncio.get_running_loop()
    callers = []
    for _ in range(n_streams):
        _, caller = await loop.create_connection(
            lambda: Caller(json.dumps(body)), host, int(port)
        )
        callers.append(caller)
        await asyncio.sleep(0.002)
    await asyncio.sleep(warm_up_s)
    print("running", flush=True)
    before, started_s = sum(c.n_events for c in callers), time.monotonic()
    await asyncio.sleep(measure_s)
    n_tokens = sum(c.n_events for c in callers) - before
    n_idle = sum(c.n_events == 0 for c in callers)
    result = {
        "n_tokens": n_tokens,
        "n_idle": n_idle,
        "time_s": time.monotonic() - started_s,
    }
    print(json.dumps(result), flush=True)


def main() -> None:
    """Parse the flags and run the load."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--n-streams", type=int, required=True)
    parser.add_argument("--warm-up-s", type=float, default=1.0)
    parser.add_argument("--measure-s", type=float, default=5.0)
    arguments = parser.parse_args()
    asyncio.run(
        run(
            arguments.address,
            arguments.n_streams,
            arguments.warm_up_s,
            arguments.measure_s,
        )
    )


if __name__ == "__main__":
    main()
