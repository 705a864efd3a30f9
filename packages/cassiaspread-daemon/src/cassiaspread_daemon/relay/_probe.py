"""Asks engines over new connections what they know of a request."""

import asyncio

import msgspec

from cassiaspread_core.base import RequestId
from cassiaspread_core.pipeline import Plan, StageState, States
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon.adapters import EngineClient


async def probe_stage(
    engines: EngineClient, address: str, request: RequestId, timeout_s: float
) -> StageState | None:
    """Ask one engine.

    :param engines: client of the engines.
    :param address: ``host:port`` of the engine.
    :param request: the request.
    :param timeout_s: longest wait in seconds.
    :returns: its answer, ``None`` when none came.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await engines.request_state(address, request, timeout_s)
    except (ConnectFailed, ExchangeBroken, msgspec.MsgspecError, TimeoutError):
        return None


async def probe_plan(
    engines: EngineClient,
    plan: Plan,
    request: RequestId,
    timeout_s: float,
    enough_s: float,
) -> States:
    """Ask all stages of a plan at once.

    :param engines: client of the engines.
    :param plan: stages in order.
    :param request: the request.
    :param timeout_s: longest wait in seconds.
    :param enough_s: wait in seconds for the others once a stage is known to be lost.
    """
    tasks = {
        stage.engine: asyncio.create_task(
            probe_stage(engines, stage.address, request, timeout_s)
        )
        for stage in plan
    }
    try:
        await asyncio.wait(tasks.values(), timeout=min(enough_s, timeout_s))
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
