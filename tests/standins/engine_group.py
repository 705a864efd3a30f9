"""Stand-in for many engines in one process, for benchmarks of status polling.

Each engine has its own port and serves only its status. Its number of running
sequences changes by at most one from one report to the next. ``GET /control`` returns
the number of polls and the bytes of requests and responses, headers included.
"""

import asyncio
import json
import random
from functools import partial

from tests.standins._server import JsonHandler, parser, serve

N_SLOTS = 8


class EngineGroup:
    def __init__(self, arguments) -> None:
        self.arguments = arguments
        self.random_state = random.Random(arguments.name)
        self.n_running = [N_SLOTS // 2] * arguments.n_engines
        self.counts = {"n_polls": 0, "n_bytes": 0}

    def report(self, index: int) -> bytes:
        arguments = self.arguments
        step = self.random_state.choice((-1, 0, 1))
        self.n_running[index] = min(N_SLOTS, max(0, self.n_running[index] + step))
        name = f"{arguments.name}-{index}"
        fields = {
            "target": name,
            "address": f"127.0.0.1:{arguments.first_port + index}",
            "link": f"127.0.0.1:{arguments.first_port + index}",
            "domain": arguments.domain,
            "model": arguments.model,
            "begin": 0,
            "end": 8,
            "accelerator": "a",
            "step_ms": 10.0,
            "n_slots": N_SLOTS,
            "n_running": self.n_running[index],
            "n_queued": 0,
            "state": "live",
            "incarnation": f"{name}-start",
        }
        return json.dumps(fields).encode()

    async def serve_status(self, index: int, reader, writer) -> None:
        try:
            request = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
            return
        body = self.report(index)
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        head += f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        response = head.encode() + body
        writer.write(response)
        self.counts["n_polls"] += 1
        self.counts["n_bytes"] += len(request) + len(response)
        writer.close()


class ControlHandler(JsonHandler):
    standin: EngineGroup

    def get(self) -> None:
        self.reply(self.standin.counts)


async def run(arguments) -> None:
    group = EngineGroup(arguments)
    for index in range(arguments.n_engines):
        port = arguments.first_port + index
        await asyncio.start_server(
            partial(group.serve_status, index), "127.0.0.1", port
        )
    await serve([(r"/control", ControlHandler)], group, arguments.port)


def main() -> None:
    p = parser()
    p.add_argument("--domain", required=True)
    p.add_argument("--model", default="draft")
    p.add_argument("--first-port", type=int, required=True)
    p.add_argument("--n-engines", type=int, required=True)
    asyncio.run(run(p.parse_args()))


if __name__ == "__main__":
    main()
