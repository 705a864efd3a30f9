"""A version takes a key away and adds a tenant whose name is not Latin-1."""

import asyncio
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import platform_stand_in as stand_in  # noqa: E402

KEPT_KEY = "key-of-celje-1"
REVOKED_KEY = "key-of-velenje-1"
NEW_KEY = "key-of-the-new-tenant"
# The same tenant with and without the letter.
NAME, PLAIN_NAME = "Žalec", "Zalec"
REVOKE_S = stand_in.BOUNDS["revoke_ms"] / 1000
# Requests are sent for this long after the acknowledgement.
LENGTH_S = 20.0
INTERVAL_S = 0.5


async def run(folder):
    """Return whether the rule was broken."""
    record = stand_in.Record(folder / "record.txt")
    name = NAME if stand_in.is_troubled() else PLAIN_NAME
    routes = [stand_in.route("stock", "/stock/", "idempotent", "counter")]
    before = [
        {"name": "celje", "api_keys": [KEPT_KEY], "priority": 1},
        {"name": "velenje", "api_keys": [REVOKED_KEY], "priority": 1},
    ]
    after = [
        {"name": "celje", "api_keys": [KEPT_KEY], "priority": 1},
        {"name": "velenje", "api_keys": [], "priority": 1},
        {"name": name, "api_keys": [NEW_KEY], "priority": 1},
    ]
    with tempfile.TemporaryDirectory() as temporary:
        store = stand_in.Store(record)
        await store.start()
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
            for zone in ("celje", "velenje")
        ]
        late, statuses = [], {KEPT_KEY: [], REVOKED_KEY: [], NEW_KEY: []}
        try:
            for gateway in gateways:
                gateway.write_settings()
                await gateway.start()
            for gateway in gateways:
                if not await gateway.wait_ready():
                    raise RuntimeError(f"{gateway.name} does not get ready")
            # All keys of the first version are served before the change.
            await asyncio.sleep(3.0)
            for gateway in gateways:
                for key in (KEPT_KEY, REVOKED_KEY):
                    _, status = await stand_in.call(gateway, record, key, "/stock/1")
                    if status != 200:
                        raise RuntimeError(f"{gateway.name} answers {status} at first")
            store.put(
                "keyed.op",
                "config",
                stand_in.configuration(2, routes, ["counter"], after),
            )
            acknowledged_s = record.now_s()
            record.write("configuration.acknowledged", version=2, tenant=name)
            while record.now_s() < acknowledged_s + LENGTH_S:
                await asyncio.sleep(INTERVAL_S)
                for gateway in gateways:
                    for key in statuses:
                        since_s = record.now_s() - acknowledged_s
                        request, status = await stand_in.call(
                            gateway, record, key, "/stock/1"
                        )
                        if since_s <= REVOKE_S:
                            continue
                        statuses[key].append(status)
                        if key == REVOKED_KEY:
                            late.append(request)
        finally:
            for gateway in gateways:
                await gateway.close()
        ran = {request for engine in engines for request, _, _ in engine.runs}
        n_ran = len(ran.intersection(late))
    for key, answers in statuses.items():
        counts = {status: answers.count(status) for status in set(answers)}
        record.write("result", key=key, statuses=counts)
        print(f"{key}, later than {REVOKE_S:g} s after the ack: {counts}")
    record.write("result", n_late=len(late), n_ran=n_ran)
    print(f"{n_ran} of {len(late)} requests ran whose key had been taken away")
    return n_ran > 0


if __name__ == "__main__":
    stand_in.main(run, FOLDER)
