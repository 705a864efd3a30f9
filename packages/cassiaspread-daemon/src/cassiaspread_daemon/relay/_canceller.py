"""Cancels requests at engines in the background."""

import asyncio
from contextlib import suppress

from cassiaspread_core.base import RequestId
from cassiaspread_daemon._exchange import ConnectFailed, ExchangeBroken
from cassiaspread_daemon.adapters import CancelOrder, EngineClient


class Canceller:
    """Sends cancel orders in the background.

    An order that is not delivered is not repeated: an engine ends a stream without
    a reader by itself.

    :param engines: client of the engines.
    """

    def __init__(self, engines: EngineClient) -> None:
        self._engines = engines
        self._orders: asyncio.Queue[tuple[str, CancelOrder]] = asyncio.Queue()

    def cancel(self, head: str, request: RequestId, attempt: int) -> None:
        """Queue a cancel order.

        :param head: ``host:port`` of the head of its plan.
        :param request: identity of the request.
        :param attempt: highest attempt to stop.
        """
        order = CancelOrder(request=request, attempt=attempt)
        self._orders.put_nowait((head, order))

    async def run(self) -> None:
        """Send orders until cancelled, concurrently: no engine delays the others."""
        async with asyncio.TaskGroup() as group:
            while True:
                head, order = await self._orders.get()
                group.create_task(self._send(head, order))

    async def _send(self, head: str, order: CancelOrder) -> None:
        with suppress(ConnectFailed, ExchangeBroken):
            await self._engines.cancel(head, order)
