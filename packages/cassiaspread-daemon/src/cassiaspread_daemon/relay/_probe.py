"""Probes of the state of a request at engines, over new connections."""

import asyncio

from cassiaspread_core.base import MalformedDocument, RequestId
from cassiaspread_core.pipeline import Plan, StageState, States
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon.adapters import EngineClient


async def probe_stage(
    engines: EngineClient, address: str, request: RequestId, timeout_s: float
) -> StageState | None:
    """Read the state of a request at one engine.

    :param engines: client of the engines.
    :param address: ``host:port`` of the engine.
    :param request: identity of the request.
    :param timeout_s: longest wait in seconds.
    :returns: the state, ``None`` without a valid answer.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await engines.request_state(address, request, timeout_s)
    except (ConnectFailed, ExchangeBroken, MalformedDocument, TimeoutError):
        return None


async def probe_plan(
    engines: EngineClient,
    plan: Plan,
    request: RequestId,
    timeout_s: float,
    wait_after_loss_s: float,
) -> States:
    """Probe all stages of a plan concurrently.

    :param engines: client of the engines.
    :param plan: stages in order.
    :param request: identity of the request.
    :param timeout_s: longest wait in seconds.
    :param wait_after_loss_s: longest wait in seconds once a stage has failed to answer.
    """
    tasks = {
        stage.engine: asyncio.create_task(
            probe_stage(engines, stage.address, request, timeout_s)
        )
        for stage in plan
    }
    try:
        await asyncio.wait(tasks.values(), timeout=min(wait_after_loss_s, timeout_s))
        done = [task for task in tasks.values() if task.done()]
        if all(task.result() is not None for task in done):
            await asyncio.wait(tasks.values(), timeout=timeout_s)
        return {
            engine: task.result() if task.done() else None
            for engine, task in tasks.items()
        }
    finally:
        for task in tasks.values():
            task.cancel()
