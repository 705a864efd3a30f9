"""Requests and replies over pynng.

A daemon listens on one reply socket, served by several contexts, and keeps one
request socket for each address. A request that times out closes its socket, so that
the next one opens a new connection and no unresponsive connection is reused.
"""

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self, TypeVar

import pynng

from cassiaspread_core.base import CassiaspreadError, MalformedDocument, parse_address
from cassiaspread_daemon._supervisor import Supervisor

# Handlers may block on other systems; enough contexts must stay free for gossip.
N_REPLY_CONTEXTS = 64
IDLE_SOCKET_S = 60.0
# Bounds on one message; a connection that brings a larger one is closed. Large requests
# come in pieces, but earlier releases send documents of up to 256 KB whole.
MAX_REQUEST_BYTES = 272 * 1024
MAX_REPLY_BYTES = 4 * 1024 * 1024

Result = TypeVar("Result")


class PeerUnreachable(CassiaspreadError):
    """A peer did not answer; the request may have reached it."""


class Traffic:
    """Number of requests and bytes of all messages since the start."""

    def __init__(self) -> None:
        self.n_messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def add(self, sent_bytes: int, received_bytes: int) -> None:
        """Count one request with its reply.

        :param sent_bytes: bytes sent.
        :param received_bytes: bytes received.
        """
        self.n_messages += 1
        self.sent_bytes += sent_bytes
        self.received_bytes += received_bytes


class _Requester:
    def __init__(self, address: str, now_s: float) -> None:
        self.socket = pynng.Req0(resend_time=-1, recv_max_size=MAX_REPLY_BYTES)
        self.socket.dial(f"tcp://{address}", block=False)
        self.used_s = now_s


class Transport:
    """Owns the sockets; an asynchronous context manager.

    :param listen: ``host:port`` to listen on.
    :param answer: handles a request and returns the reply.
    :param supervisor: runs the tasks.
    """

    def __init__(
        self,
        listen: str,
        answer: Callable[[bytes], Awaitable[bytes]],
        supervisor: Supervisor,
    ) -> None:
        self._listen = listen
        self._answer = answer
        self._supervisor = supervisor
        self._requesters: dict[str, _Requester] = {}
        self._traffic = Traffic()

    async def __aenter__(self) -> Self:
        self._replier = pynng.Rep0(recv_max_size=MAX_REQUEST_BYTES)
        self._replier.listen(f"tcp://{self._listen}")
        for index in range(N_REPLY_CONTEXTS):
            self._supervisor.start(f"reply-{index}", self._reply)
        self._supervisor.start("close-idle", self._close_idle)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._supervisor.stop()
        for requester in self._requesters.values():
            requester.socket.close()
        self._replier.close()

    @property
    def traffic(self) -> Traffic:
        """Messages and bytes sent and received."""
        return self._traffic

    async def exchange(self, address: str, request: bytes, timeout_s: float) -> bytes:
        """Send a request and return the reply.

        :param address: ``host:port`` of the peer.
        :param request: the request.
        :param timeout_s: maximum wait, in seconds.
        :raises PeerUnreachable: no reply arrived in time.
        """
        try:
            parse_address(address)
        except MalformedDocument as error:
            raise PeerUnreachable(str(error)) from None
        requester = self._requester(address)
        try:
            with requester.socket.new_context() as context:
                async with asyncio.timeout(timeout_s):
                    await complete(context.asend(request))
                    reply = await complete(context.arecv())
        except (TimeoutError, pynng.NNGException) as error:
            self._drop(address, requester)
            reason = str(error) or "no reply in time"
            raise PeerUnreachable(f"{address}: {reason}") from None
        self._traffic.add(len(request), len(reply))
        return reply

    def _requester(self, address: str) -> _Requester:
        now_s = asyncio.get_running_loop().time()
        requester = self._requesters.get(address)
        if requester is None:
            requester = self._requesters[address] = _Requester(address, now_s)
        requester.used_s = now_s
        return requester

    def _drop(self, address: str, requester: _Requester) -> None:
        if self._requesters.get(address) is requester:
            del self._requesters[address]
        requester.socket.close()

    async def _close_idle(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SOCKET_S)
            limit_s = asyncio.get_running_loop().time() - IDLE_SOCKET_S
            for address, requester in list(self._requesters.items()):
                if requester.used_s < limit_s:
                    self._drop(address, requester)

    async def _reply(self) -> None:
        with self._replier.new_context() as context:
            while True:
                request = await complete(context.arecv())
                reply = await self._answer(request)
                await complete(context.asend(reply))
                self._traffic.add(len(reply), len(request))


async def complete(operation: Awaitable[Result]) -> Result:
    """Return the result of an operation of pynng.

    An operation that ends as its task is cancelled does not pass the cancellation on.

    :param operation: the operation.
    :raises asyncio.CancelledError: the task was cancelled meanwhile.
    """
    task = asyncio.current_task()
    assert task is not None
    n_before = task.cancelling()
    result = await operation
    if task.cancelling() > n_before:
        raise asyncio.CancelledError
    return result
