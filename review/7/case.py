"""An engine that leaves gets requests long after the store has acknowledged it.

The gateway that reads the list of engines for all others hears that an engine leaves
from the engine's own answers, before it reads the engine's entry. The entry is no
change to it then, and its updates to the other gateways leave it out. These hear of it
by gossip alone, which stops while the gateways that gossip between the zones are dead.
"""

import asyncio
import contextlib
import signal
import time

from deployment import BOUNDS, CannotRunError, Deployment, has_trouble, route, run_case
from wire import Answer, Engine, Message, Run, new_id

ZONES = ("celje", "velenje")
N_GATEWAYS = 10
# All of them are in one zone; otherwise a gateway prefers those of its own.
N_ENGINES = 4
ENGINE_ZONE = "celje"
SERVICE = "counter-app"
LIST_READS = "/-/log-read keyed.servers"
# Time after the first sign of a reader until all gateways know each other.
SETTLE_S = 4.0
# Requests of the callers in the reader's zone, one after the other.
BUSY_PAUSE_S = 0.02
DOWN_S = 2.0
DRAIN_S = BOUNDS["drain_ms"] / 1000
# The callers of the other zone are quiet until so long after the bound.
MARGIN_S = 0.15
# Bookings to each gateway of the other zone, and the pause between two of them.
N_LATE = 6
LATE_PAUSE_S = 0.025
# The engine goes on for a little longer than the bound, then it exits.
LONGER_S = 0.3
WORK_S = 0.1
N_ROUNDS = 8
# No round begins later than this, in seconds.
LAST_ROUND_S = 76.0


async def find_reader(deployment: Deployment) -> str:
    """Return the gateway that reads the list of engines for all others.

    :param deployment: the deployment.
    """
    names = list(deployment.gateways)

    async def count() -> dict[str, float]:
        return {n: await deployment.count_store_calls(n, LIST_READS) for n in names}

    async def find() -> str | None:
        before = await count()
        await asyncio.sleep(2.0)
        after = await count()
        reading = [n for n in names if after[n] > before[n]]
        return reading[0] if len(reading) == 1 else None

    return str(await deployment.wait_for(find))


async def send_steadily(deployment: Deployment, gateway: str) -> None:
    """Send requests to a gateway until cancelled.

    :param deployment: the deployment.
    :param gateway: the gateway.
    """
    while True:
        await deployment.call(gateway, b"/stock/1", new_id(), method=b"GET")
        await asyncio.sleep(BUSY_PAUSE_S)


async def stop_and_start(deployment: Deployment, name: str) -> None:
    """Stop a gateway as planned and start it again, so that another one may read.

    :param deployment: the deployment.
    :param name: the gateway.
    """
    deployment.send_signal(name, signal.SIGTERM)
    await deployment.wait_for(lambda: deployment.processes[name].poll() is not None)
    deployment.restart(name)
    await deployment.wait_for(lambda: deployment.is_ready(name))


async def play_round(
    deployment: Deployment, runs: list[Run], n: int, reader: str
) -> list[int]:
    """Let an engine leave; return the answers to bookings that reached it too late.

    :param deployment: the deployment.
    :param runs: receives each run.
    :param n: number of the round.
    :param reader: the gateway that reads the list of engines.
    """
    zone = reader.split("-")[1]
    own = [g for g in deployment.gateways if zone in g and g != reader]
    others = [g for g in deployment.gateways if zone not in g]
    engine = deployment.engines[f"i-{n}"]
    deployment.record("round", n=n, reader=reader, engine=engine.name)
    busy = asyncio.create_task(send_steadily(deployment, reader))
    await asyncio.sleep(0.5)
    killed_s = time.monotonic()
    if has_trouble():
        for name in own:
            deployment.send_signal(name, signal.SIGKILL)
    engine.state = "draining"
    leaving = {"Server-Leaving": "1"}
    engine.decide = lambda message: Answer(headers=leaving, delay_s=work_s(message))
    acked_s = await deployment.publish(engine)
    deployment.record("draining", engine=engine.name)
    exiting = asyncio.create_task(exit_at(deployment, engine, acked_s))
    restarting = asyncio.create_task(restart_later(deployment, own, killed_s))
    await asyncio.sleep(acked_s + DRAIN_S + MARGIN_S - time.monotonic())
    booking = []
    for _ in range(N_LATE):
        booking += [
            asyncio.create_task(book(deployment, gateway)) for gateway in others
        ]
        await asyncio.sleep(LATE_PAUSE_S)
    statuses = dict([await task for task in booking])
    await asyncio.gather(exiting, restarting)
    busy.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await busy
    if not any(run.request_id in statuses for run in runs):
        raise CannotRunError("no booking of a round ran")
    too_late = [
        run
        for run in runs
        if run.engine == engine.name
        and run.request_id in statuses
        and run.at_s > acked_s + DRAIN_S
    ]
    for run in too_late:
        deployment.record(
            "reached",
            id=run.request_id,
            after_ack_ms=round((run.at_s - acked_s) * 1000),
            status=statuses[run.request_id],
        )
    for name in own:
        await deployment.wait_for(lambda name=name: deployment.is_ready(name))
    return [statuses[run.request_id] for run in too_late]


def work_s(message: Message) -> float:
    """Return how long an engine works on a request, in seconds.

    :param message: the request.
    """
    return WORK_S if message.first[1].startswith(b"/book/") else 0.005


async def book(deployment: Deployment, gateway: str) -> tuple[str, int]:
    """Send a booking; return its identifier and the status of its answer.

    :param deployment: the deployment.
    :param gateway: the gateway.
    """
    request_id = new_id()
    answer = await deployment.call(gateway, b"/book/late", request_id, b"booking")
    return request_id, 0 if answer is None else answer.status


async def exit_at(deployment: Deployment, engine: Engine, acked_s: float) -> None:
    """End an engine that leaves a little later than the bound.

    :param deployment: the deployment.
    :param engine: the engine.
    :param acked_s: when its report was acknowledged, on the monotonic clock.
    """
    await asyncio.sleep(acked_s + DRAIN_S + LONGER_S - time.monotonic())
    engine.exit()
    deployment.record("exited", engine=engine.name)
    await deployment.remove_engine(engine)


async def restart_later(
    deployment: Deployment, names: list[str], killed_s: float
) -> None:
    """Start those processes again that were killed.

    :param deployment: the deployment.
    :param names: their names.
    :param killed_s: when they were killed, on the monotonic clock.
    """
    await asyncio.sleep(max(0.0, killed_s + DOWN_S - time.monotonic()))
    for name in names:
        if deployment.processes[name].poll() is not None:
            deployment.restart(name)


async def play(deployment: Deployment) -> bool:
    """Let engines leave, one in each round, until one gets a request too late.

    :param deployment: the deployment.
    """
    runs: list[Run] = []
    for n in range(N_ENGINES):
        await deployment.add_engine(Engine(f"i-{n}", SERVICE, ENGINE_ZONE, runs))
    routes = [route("stock", "idempotent", SERVICE)]
    routes += [route("book", "non_idempotent", SERVICE)]
    await deployment.configure(3, routes)
    await deployment.add_gateways(N_GATEWAYS, ZONES)
    late: list[int] = []
    began_s = time.monotonic()
    for n in range(N_ROUNDS):
        if time.monotonic() - began_s > LAST_ROUND_S:
            break
        await asyncio.sleep(SETTLE_S)
        reader = await find_reader(deployment)
        late = await play_round(deployment, runs, n, reader)
        deployment.record("round over", n=n, n_late=len(late))
        if late:
            break
        await stop_and_start(deployment, reader)
        new = Engine(f"i-{n + N_ENGINES}", SERVICE, ENGINE_ZONE, runs)
        await deployment.add_engine(new)
    deployment.record_runs(runs)
    n_lost = sum(status != 200 for status in late)
    print(f"round {n}: {len(late)} bookings reached an engine that leaves too late,")
    print(f"and {n_lost} of them were lost as it exited")
    return bool(late)


if __name__ == "__main__":
    run_case(play)
