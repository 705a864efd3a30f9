"""A key that was taken away works again behind a cut page of configurations."""

import asyncio
import json
import time
from pathlib import Path

from review.lib3.case import KEY, Case, free_port, is_troubled, main, route
from review.lib3.engine import Engine
from review.lib3.store import Store

RECORD = Path(__file__).with_name("record.txt")
SERVICE = "app-diferida"
OTHER_KEY = "second-key-of-osorno"
# Bounds of the sheet of this deployment, as far as they differ from the small ones.
BOUNDS = {
    "stability_ms": 4000,
    "drain_ms": 3000,
    "config_apply_ms": 3000,
    "partition_max_ms": 6000,
    "retry_budget_slack": 513,
}
CONFIG_APPLY_S = 3.0
REVOKE_S = 5.0
# big_config: so many routes more, at most.
N_MORE_ROUTES = 1275
# config_storm: for 2 s, a change each 0.08 s.
N_STORM, STORM_GAP_S = 25, 0.08
# Link of the slowest machines.
LINK_MBPS = 7
MACHINES = ("edge-1", "edge-2", "edge-3")
SEND_INTERVAL_S = 0.02
WATCH_S = 7.0


def configuration(version, keys, n_more):
    """Return one version of the operator's configuration."""
    routes = [
        route("r-book", "/book/", "non_idempotent", SERVICE, max_attempts=1),
        route("r-stock", "/stock/", "idempotent", SERVICE),
    ]
    routes += [
        route(f"r-m{n}", f"/more{n}/", "idempotent", SERVICE) for n in range(n_more)
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "health_path": "/healthz"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "osorno", "api_keys": keys, "priority": 1}],
    }
    return json.dumps(document, separators=(",", ":")).encode()


async def run():
    """Return whether the rule held."""
    async with Case(RECORD) as case:
        store = Store(case.record)
        store_port = free_port()
        await case.serve(store.handle, store_port, store.write)
        engine = Engine("i-1", SERVICE, free_port(), "osorno-norte", store, case.record)
        await case.serve(engine.handle, engine.port)
        case.run_task(engine.ping())
        keys = [KEY, OTHER_KEY]
        version = 3
        document = configuration(version, keys, N_MORE_ROUTES)
        await store.put("keyed.op", "config", document)
        case.record("configuration", version=version, n_bytes=len(document))
        for n, name in enumerate(MACHINES):
            ip = f"127.0.0.{n + 2}"
            case.start_gateway(name, ip, store_port, link_mbps=LINK_MBPS, bounds=BOUNDS)
        for name in MACHINES:
            await case.wait_ready(name)
            while await case.call(name, "GET", "/stock/1", "warm-up") != 200:
                await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)
        store.link_bytes_per_s = LINK_MBPS * 1e6 / 8
        await asyncio.sleep(2.0)
        case.record("requests with the key are served")
        n_storm = N_STORM if is_troubled() else 0
        storm = [
            (version + 3 * n, configuration(version + 3 * n, keys, N_MORE_ROUTES))
            for n in range(1, n_storm + 1)
        ]
        version += 3 * (N_STORM + 1)
        document = configuration(version, [OTHER_KEY], N_MORE_ROUTES)
        case.record("storm begins", n_versions=n_storm)
        begin_s = time.monotonic()
        for n, (_, other) in enumerate(storm):
            await asyncio.sleep(max(0.0, begin_s + n * STORM_GAP_S - time.monotonic()))
            await store.put("keyed.op", "config", other)
        end_s = begin_s + N_STORM * STORM_GAP_S
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        ack_s = await store.put("keyed.op", "config", document)
        case.record("key taken away", version=version, n_bytes=len(document))
        bound_s = ack_s + CONFIG_APPLY_S
        sent = {}

        async def send(attempt, name):
            sent[attempt] = time.monotonic()
            status = await case.call(name, "GET", "/stock/1", attempt)
            after_s = sent[attempt] - ack_s
            case.record(
                "answered",
                attempt=attempt,
                machine=name,
                sent_after_ack=f"{after_s:.3f}",
                status=status,
            )

        await asyncio.sleep(bound_s + 0.01 - time.monotonic())
        async with asyncio.TaskGroup() as group:
            for n in range(round(WATCH_S / SEND_INTERVAL_S)):
                name = MACHINES[n % len(MACHINES)]
                group.create_task(send(f"late-{n}", name))
                await asyncio.sleep(SEND_INTERVAL_S)
        for name in MACHINES:
            status = await case.call(name, "GET", "/stock/1", "other", OTHER_KEY)
            case.record("with the key that was kept", machine=name, status=status)
            if status != 200:
                raise RuntimeError(
                    f"{name} answers {status} with the key that was kept"
                )
        late = [
            (attempt, sent[attempt] - ack_s)
            for _, attempt, _ in engine.runs
            if attempt in sent and sent[attempt] > bound_s
        ]
        for attempt, after_s in late:
            case.record("RUN", attempt=attempt, sent_after_ack=f"{after_s:.3f}")
        n_revoked = sum(after_s > REVOKE_S for _, after_s in late)
        latest = max((after_s for _, after_s in late), default=0.0)
        case.record(
            "result",
            sent=len(sent),
            run_after_config_apply_ms=len(late),
            run_after_revoke_ms=n_revoked,
        )
        print(
            f"of {len(sent)} requests with the key, {len(late)} sent over "
            f"{CONFIG_APPLY_S} s after its removal ran, {n_revoked} over {REVOKE_S} s, "
            f"the last {latest:.2f} s"
        )
        return not late


if __name__ == "__main__":
    main(run)
