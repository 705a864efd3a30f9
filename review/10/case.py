"""Streams that a gateway accepts after SIGTERM although it ends before they do.

A gateway that got SIGTERM accepts streams for about three seconds. Those that are sent
later are refused, since they may last longer than the process. It decides that by a
clock of its own that is late: a stream that is sent on a kept connection just after
three seconds is still accepted, and cut off as the process ends.
"""

import asyncio
import signal
import time

from deployment import (
    HOST,
    KEY,
    ZONES,
    CannotRunError,
    Deployment,
    has_trouble,
    route,
    run_case,
)
from wire import Answer, Channel, Engine, Run, new_id

SERVICE = "lm-pool"
N_ENGINES = 3
N_GATEWAYS = 3
ACCEPTED_S = 3.0
# Pause between the return of one gateway and the stop of the next.
GAP_S = 4.0
# Times after SIGTERM at which the callers of kept connections send their next request.
FIRST_S, LAST_S, STEP_S = 2.8, 3.3, 0.005
# A stream of 60 events with the usual pause of a loaded engine.
N_EVENTS, EVENT_S = 60, 0.1
TIMEOUT_MS = 20_000


def headers_of(request_id: str) -> dict[str, str]:
    """Return the headers of a caller's request.

    :param request_id: identifier of the attempt.
    """
    return {
        "Host": HOST,
        "Attempt-Id": request_id,
        "Deadline-Ms": str(TIMEOUT_MS),
        "Authorization": f"Bearer {KEY}",
    }


async def send_at(
    deployment: Deployment, channel: Channel, at_s: float, began_s: float
) -> tuple[float, str, int, bool]:
    """Send a stream on a kept connection at a time, and read its answer.

    :param deployment: the deployment.
    :param channel: the connection.
    :param at_s: when, on the monotonic clock in seconds.
    :param began_s: time of SIGTERM.
    :returns: time since SIGTERM, identifier, status, and whether it is complete.
    """
    await asyncio.sleep(at_s - time.monotonic())
    request_id = new_id()
    sent_s = time.monotonic() - began_s
    deployment.record("sent", id=request_id, sent_after_s=round(sent_s, 4))
    channel.send(b"GET", b"/note/1", headers_of(request_id))
    answer, status = await channel.receive(TIMEOUT_MS / 1000)
    deployment.record(
        "answered",
        id=request_id,
        ended_after_s=round(time.monotonic() - began_s, 3),
        status=status,
        is_complete=answer is not None,
    )
    channel.close()
    return sent_s, request_id, status, answer is not None


async def open_channels(deployment: Deployment, name: str) -> list[Channel]:
    """Open the connections that callers keep, each after a first answer.

    :param deployment: the deployment.
    :param name: the gateway.
    """
    channels = []
    for _ in range(round((LAST_S - FIRST_S) / STEP_S)):
        channel = await Channel.open(deployment.gateways[name])
        channel.send(b"GET", b"/ping/1", headers_of(new_id()))
        answer, _ = await channel.receive(5.0)
        if answer is None or answer.status != 200:
            raise CannotRunError("a request before SIGTERM was not answered")
        channels.append(channel)
    return channels


async def stop_and_start(
    deployment: Deployment, name: str
) -> list[tuple[float, str, int, bool]]:
    """Stop a gateway, send streams around three seconds later, and start it again.

    :param deployment: the deployment.
    :param name: the gateway.
    """
    channels = await open_channels(deployment, name)
    if has_trouble():
        deployment.send_signal(name, signal.SIGTERM)
    # Not before: a time since SIGTERM must not be taken as longer than it is.
    began_s = time.monotonic()
    times_s = [began_s + FIRST_S + n * STEP_S for n in range(len(channels))]
    results = await asyncio.gather(
        *(
            send_at(deployment, channel, at_s, began_s)
            for channel, at_s in zip(channels, times_s, strict=True)
        )
    )
    if has_trouble():
        process = deployment.processes[name]
        await deployment.wait_for(lambda: process.poll() is not None)
        deployment.restart(name)
        await deployment.wait_for(lambda: deployment.is_ready(name))
    return results


async def play(deployment: Deployment) -> bool:
    """Send streams around three seconds after SIGTERM.

    :param deployment: the deployment.
    """
    runs: list[Run] = []
    for n in range(N_ENGINES):
        engine = Engine(f"i-{n}", SERVICE, ZONES[n], runs)
        engine.decide = lambda message: Answer(n_events=N_EVENTS, event_s=EVENT_S)
        await deployment.add_engine(engine)
    note = route("note", "streaming", SERVICE, timeout_ms=TIMEOUT_MS)
    ping = route("ping", "idempotent", "counter-app")
    await deployment.add_engine(Engine("j-0", "counter-app", ZONES[0], runs))
    await deployment.configure(3, [note | {"max_attempts": 1}, ping])
    await deployment.add_gateways(N_GATEWAYS)
    first = await Channel.open(deployment.gateways[next(iter(deployment.gateways))])
    _, _, status, is_complete = await send_at(deployment, first, 0.0, time.monotonic())
    if status != 200 or not is_complete:
        raise CannotRunError("a stream before SIGTERM was not answered")
    results = []
    for name in deployment.gateways:
        results += await stop_and_start(deployment, name)
        await asyncio.sleep(GAP_S)
    deployment.record_runs(runs)
    ran = {run.request_id for run in runs}
    lost = [
        request_id
        for sent_s, request_id, _, is_complete in results
        if sent_s > ACCEPTED_S and request_id in ran and not is_complete
    ]
    n_late = sum(sent_s > ACCEPTED_S for sent_s, *_ in results)
    deployment.record("judged", n_sent_late=n_late, lost=lost)
    print(f"{len(lost)} of {n_late} streams sent after 3 s were accepted and cut off")
    return bool(lost)


if __name__ == "__main__":
    run_case(play)
