"""Callers of several gateways with a deadline, in a process of their own.

``python -m tests.users_platform.callers SECONDS PORT...`` sends a lookup to each port
at a fixed interval, whether earlier ones are answered or not, over kept connections.
It prints a JSON object with two lists. ``requests`` are objects: ``port``, ``id``,
``sent_s`` (as ``time.time``), ``duration_s`` and the ``status`` of the complete answer,
``null`` if there was none in ten deadlines. ``delays`` are the times at which this
process ran late, with the length of each, in seconds.
"""

import asyncio
import json
import os
import sys
import time

from tests.users_platform.deployment import HOST, KEY
from tests.users_platform.standins.delays import watch_delays

INTERVAL_S = 0.1
DEADLINE_S = 0.6
# Callers wait for longer, so that a late answer shows by how much it is late.
PATIENCE_S = 10 * DEADLINE_S


def build_request(request_id):
    lines = [
        "GET /stock/1 HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        f"Attempt-Id: {request_id}",
        f"Deadline-Ms: {round(PATIENCE_S * 1000)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def read_answer(reader):
    """Return the status of a complete answer, and whether the connection is kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    if "content-length" in fields:
        await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding") == "chunked":
        length = -1
        while length != 0:
            length = int(await reader.readuntil(b"\r\n"), 16)
            await reader.readexactly(length + 2)
    else:
        raise ValueError(f"answer without a length: {head}")
    return int(head[0].split()[1]), fields.get("connection") != "close"


async def look_up(port, kept, rows):
    request_id = os.urandom(8).hex()
    row = {"port": port, "id": request_id, "sent_s": time.time(), "status": None}
    started_s = time.monotonic()
    writer = None
    is_kept = False
    try:
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = (
                kept.pop() if kept else await asyncio.open_connection("127.0.0.1", port)
            )
            writer.write(build_request(request_id))
            row["status"], is_kept = await read_answer(reader)
    except (TimeoutError, OSError, EOFError) as error:
        row["reason"] = type(error).__name__
    row["duration_s"] = round(time.monotonic() - started_s, 3)
    rows.append(row)
    if is_kept:
        kept.append((reader, writer))
    elif writer is not None:
        writer.close()


async def call_each_interval(port, start_s, end_s, rows):
    kept = []
    due_s = start_s
    async with asyncio.TaskGroup() as group:
        while due_s < end_s:
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
            group.create_task(look_up(port, kept, rows))
            due_s += INTERVAL_S


async def main():
    length_s, ports = float(sys.argv[1]), list(map(int, sys.argv[2:]))
    now_s = time.monotonic()
    rows, delays = [], []
    watching = asyncio.create_task(watch_delays(lambda *row: delays.append(row)))
    async with asyncio.TaskGroup() as group:
        for n, port in enumerate(ports):
            start_s = now_s + n * INTERVAL_S / len(ports)
            calls = call_each_interval(port, start_s, now_s + length_s, rows)
            group.create_task(calls)
    watching.cancel()
    print(json.dumps({"requests": rows, "delays": delays}))


if __name__ == "__main__":
    asyncio.run(main())
