"""Asks engines over new connections what they know of a request."""

import asyncio

import msgspec
from cassiaspread_core.base import RequestId
from cassiaspread_core.pipeline import Plan, Stage, StageState, States

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
    engines: EngineClient, plan: Plan, request: RequestId, timeout_s: float
) -> States:
    """Ask all stages of a plan at once.

    :param engines: client of the engines.
    :param plan: stages in order.
    :param request: the request.
    :param timeout_s: longest wait in seconds.
    """

    async def probe(stage: Stage) -> StageState | None:
        return await probe_stage(engines, stage.address, request, timeout_s)

    answers = await asyncio.gather(*(probe(stage) for stage in plan))
    return {stage.engine: answer for stage, answer in zip(plan, answers, strict=True)}
