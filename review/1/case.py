"""Engines run bookings and lose their answers; the bookings run again."""

import asyncio
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import platform_stand_in as stand_in  # noqa: E402

KEY = "key-of-savinja-1"
# Share of the answers that each engine loses (the site's largest is 0.4, at a share of
# 0.6 of the engines), and for how long.
LOST_SHARE, LOST_FOR_S = 0.4, 4.0
N_ENGINES, N_LOSING = 5, 3
INTERVAL_S = 0.25


class LosingEngine(stand_in.Engine):
    """It runs each booking once; some answers are lost with their channel."""

    share = 0.0

    async def answer(self, writer, request, headers, body):
        """Run a request to its end."""
        if random.random() < self.share:
            await asyncio.sleep(0.02)
            self._record.write("answer.lost", engine=self.name, id=request)
            writer.close()
            return
        await super().answer(writer, request, headers, body)


async def run(folder):
    """Return whether the rule was broken."""
    record = stand_in.Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        store = stand_in.Store(record)
        await store.start()
        book = stand_in.route(
            "book", "/book/", "non_idempotent", "counter", resumable=True
        )
        tenants = [{"name": "savinja", "api_keys": [KEY], "priority": 1}]
        store.put(
            "keyed.op",
            "config",
            stand_in.configuration(1, [book], ["counter"], tenants),
        )
        engines = []
        for number in range(1, N_ENGINES + 1):
            engine = LosingEngine(f"e{number}", "counter", "celje", store, record)
            await engine.start()
            engines.append(engine)
        peers = []
        gateways = [
            stand_in.Gateway(
                f"edge-{zone}-1", zone, temporary, store.port, record, peers
            )
            for zone in ("celje", "velenje")
        ]
        statuses = []
        try:
            for gateway in gateways:
                gateway.write_settings()
                await gateway.start()
            for gateway in gateways:
                if not await gateway.wait_ready():
                    raise RuntimeError(f"{gateway.name} does not get ready")
            await asyncio.sleep(3.0)
            for engine in engines[:N_LOSING]:
                engine.share = LOST_SHARE if stand_in.is_troubled() else 0.0
            end_s = record.now_s() + LOST_FOR_S
            tasks = []
            while record.now_s() < end_s:
                for gateway in gateways:
                    call = stand_in.call(
                        gateway, record, KEY, "/book/1", "POST", 2000, b"one van"
                    )
                    tasks.append(asyncio.create_task(call))
                await asyncio.sleep(INTERVAL_S)
            statuses = [status for _, status in await asyncio.gather(*tasks)]
        finally:
            for gateway in gateways:
                await gateway.close()
    runs = Counter(request for engine in engines for request, _, _ in engine.runs)
    n_twice = sum(n > 1 for n in runs.values())
    record.write("result", n_bookings=len(statuses), n_twice=n_twice)
    print(
        f"{n_twice} of {len(statuses)} bookings ran more than once; "
        f"statuses {dict(Counter(statuses))}"
    )
    return n_twice > 0


if __name__ == "__main__":
    stand_in.main(run, FOLDER)
