"""Links of VMs: all that leaves a VM passes one queue, emptied at a fixed rate.

``links.py FILE`` forwards connections until it is killed. The file contains JSON:

- ``rates``: bytes per second of the link of each VM, by its name;
- ``routes``: objects with ``listen`` (port on 127.0.0.1), ``upstream``
  (``host:port``), and ``requests`` and ``responses``, the names of the VMs that these
  leave; without a name they are forwarded at once.

The queues have no bound, as a sender's kernel accepts what its link cannot carry yet.
For each link and each second in which it carried anything, a JSON line ``link.used``
states the end of the second (``time_s``), the bytes queued and the longest time that
one waited. A line ``links.delayed`` states by how much this process itself was late.
"""

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path

from tests.users_platform.standins.delays import watch_delays

READ_BYTES = 1024 * 1024
PACKET_BYTES = 1500
REPORT_INTERVAL_S = 1.0


class Link:
    """Queue of what leaves one VM; empty packets close their connection."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.queue = asyncio.Queue()
        self.n_queued_bytes = 0
        self.longest_wait_s = 0.0

    def send(self, writer, data):
        self.n_queued_bytes += len(data)
        now_s = asyncio.get_running_loop().time()
        for begin in range(0, max(len(data), 1), PACKET_BYTES):
            packet = data[begin : begin + PACKET_BYTES]
            self.queue.put_nowait((now_s, writer, packet))

    async def run(self):
        loop = asyncio.get_running_loop()
        free_s = 0.0
        while True:
            queued_s, writer, packet = await self.queue.get()
            # Late wake-ups do not slow the link down.
            free_s = max(free_s, queued_s) + len(packet) / self.bytes_per_s
            self.longest_wait_s = max(self.longest_wait_s, free_s - queued_s)
            if free_s > loop.time():
                await asyncio.sleep(free_s - loop.time())
            deliver(writer, packet)


def deliver(writer, packet):
    if not packet:
        writer.close()
    elif not writer.is_closing():
        writer.write(packet)


async def forward(reader, writer, link):
    send = deliver if link is None else link.send
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            send(writer, data)
    send(writer, b"")


async def listen(route, links):
    host, port = route["upstream"].rsplit(":", 1)
    requests, responses = (
        links.get(route.get(direction)) for direction in ("requests", "responses")
    )

    async def accept(reader, writer):
        try:
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            forward(reader, upstream, requests),
            forward(upstream_reader, writer, responses),
        )

    await asyncio.start_server(accept, "127.0.0.1", route["listen"], limit=READ_BYTES)


def record(event, **fields):
    line = {"event": event, "time_s": time.time(), **fields}
    print(json.dumps(line), flush=True)


async def report_use(links):
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        for name, link in links.items():
            if link.longest_wait_s > 0.0:
                record(
                    "link.used",
                    link=name,
                    n_bytes=link.n_queued_bytes,
                    longest_wait_s=round(link.longest_wait_s, 3),
                )
            link.n_queued_bytes, link.longest_wait_s = 0, 0.0


def record_delay(time_s, delay_s):
    record("links.delayed", delay_s=round(delay_s, 3))


async def main():
    plan = json.loads(Path(sys.argv[1]).read_text())
    links = {name: Link(rate) for name, rate in plan["rates"].items()}
    for route in plan["routes"]:
        await listen(route, links)
    await asyncio.gather(
        report_use(links),
        watch_delays(record_delay),
        *(link.run() for link in links.values()),
    )


if __name__ == "__main__":
    asyncio.run(main())
