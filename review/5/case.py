"""The store comes back from an older copy just before a machine is added."""

import asyncio
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import platform_stand_in as stand_in  # noqa: E402

KEPT_KEY = "key-of-celje-1"
REVOKED_KEY = "key-of-velenje-1"
REVOKE_S = stand_in.BOUNDS["revoke_ms"] / 1000
# Time from the acknowledgement of the version to the drill, age of the copy then, how
# long the store is away, and time until the operator's version is written again.
DRILL_AFTER_S, COPY_AGE_S, AWAY_S, WRITTEN_AGAIN_S = 6.0, 7.0, 1.0, 2.0
INTERVAL_S = 0.1
# The rest of the run, after the version was written again.
REST_S = 4.0


async def run(folder):
    """Return whether the rule was broken."""
    record = stand_in.Record(folder)
    routes = [stand_in.route("stock", "/stock/", "idempotent", "counter")]
    before = [
        {"name": "celje", "api_keys": [KEPT_KEY], "priority": 1},
        {"name": "velenje", "api_keys": [REVOKED_KEY], "priority": 1},
    ]
    after = [before[0], {"name": "velenje", "api_keys": [], "priority": 1}]
    with tempfile.TemporaryDirectory() as temporary:
        store = stand_in.Store(record)
        await store.start()
        version_2 = stand_in.configuration(2, routes, ["counter"], after)
        store.put(
            "keyed.op", "config", stand_in.configuration(1, routes, ["counter"], before)
        )
        engines = []
        for number in (1, 2, 3):
            engine = stand_in.Engine(f"e{number}", "counter", "celje", store, record)
            await engine.start()
            engines.append(engine)
        peers = []
        gateways = [
            stand_in.Gateway(
                f"edge-{zone}-1", zone, temporary, store.port, record, peers
            )
            for zone in ("celje", "velenje", "zalec")
        ]
        added = gateways[-1]
        late = {gateway.name: [] for gateway in gateways}
        try:
            for gateway in gateways:
                gateway.write_settings()
            for gateway in gateways[:-1]:
                await gateway.start()
            for gateway in gateways[:-1]:
                if not await gateway.wait_ready():
                    raise RuntimeError(f"{gateway.name} does not get ready")
            await asyncio.sleep(5.0)
            store.put("keyed.op", "config", version_2)
            acknowledged_s = record.now_s()
            record.write("configuration.acknowledged", version=2)
            await asyncio.sleep(DRILL_AFTER_S)
            # The machine starts while the store is away.
            await added.start()
            if stand_in.is_troubled():
                await store.restore(COPY_AGE_S, AWAY_S)
                record.write("restored", era=store.era)
            returned_s = record.now_s()
            is_written = not stand_in.is_troubled()
            while record.now_s() < returned_s + WRITTEN_AGAIN_S + REST_S:
                await asyncio.sleep(INTERVAL_S)
                if not is_written and record.now_s() >= returned_s + WRITTEN_AGAIN_S:
                    is_written = True
                    store.put("keyed.op", "config", version_2)
                    record.write("configuration.written.again", version=2)
                for gateway in gateways:
                    if gateway is added and await gateway.readiness() != 200:
                        continue
                    since_s = record.now_s() - acknowledged_s
                    request, status = await stand_in.call(
                        gateway, record, REVOKED_KEY, "/stock/1"
                    )
                    if since_s > REVOKE_S:
                        late[gateway.name].append((request, status))
        finally:
            for gateway in gateways:
                await gateway.close()
        ran = {request for engine in engines for request, _, _ in engine.runs}
    n_ran = 0
    for name, rows in late.items():
        n = sum(request in ran for request, _ in rows)
        n_ran += n
        record.write("result", name=name, n_late=len(rows), n_ran=n)
        print(f"{name}: {n} of {len(rows)} requests ran whose key had been taken away")
    return n_ran > 0


if __name__ == "__main__":
    stand_in.main(run, FOLDER)
