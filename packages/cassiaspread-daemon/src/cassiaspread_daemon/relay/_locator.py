"""Location of running requests, for callers that repeat one at another daemon.

A daemon sends the head of each of its requests as a hint to a hint holder: the daemon
of its failure domain that ranks first by rendezvous hashing. A daemon that receives a
repeated request asks the hint holders that rank highest and, if none has a hint, the
engines that can be the head.
"""

import asyncio
from collections.abc import Iterable
from contextlib import suppress

import msgspec

from cassiaspread_core.base import DomainId, RequestId
from cassiaspread_core.pipeline import StageState, rank_trace_holders
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.adapters import EngineClient
from cassiaspread_daemon.fleet import TargetRegistry
from cassiaspread_daemon.mesh import Mesh, PeerUnreachable, Sender
from cassiaspread_daemon.relay._probe import probe_stage
from cassiaspread_daemon.relay._request import GenerationRequest

HINT_INTERVAL_S = 0.2
ASK_TIMEOUT_S = 0.3
HINT_WAIT_S = 0.05
FIND_TIMEOUT_S = 1.0
FIND_POLL_S = 0.05
N_HINT_HOLDERS_ASKED = 3
MAX_CONCURRENT_PROBES = 16
MAX_HINTS = 50_000
HINTS_KIND = "streams.hints"
FIND_KIND = "streams.find"


class Hint(msgspec.Struct, frozen=True, array_like=True):
    """Location of a request, or a query for it if the head is empty.

    :param request: identity of the request.
    :param head: ``host:port`` of the head of its plan, empty when unknown.
    """

    request: RequestId
    head: str = ""


class LocatedRequest(msgspec.Struct, frozen=True):
    """A request found at an engine.

    :param head: ``host:port`` of the head of its plan.
    :param state: state reported by the head.
    """

    head: str
    state: StageState


class HintTable:
    """The latest hints; the oldest are dropped first.

    :param n_hints: maximum number of hints.

    >>> table = HintTable(n_hints=1)
    >>> table.add([Hint("r1", "h1"), Hint("r2", "h2")])
    >>> table.find("r1").head, table.find("r2").head
    ('', 'h2')
    """

    def __init__(self, n_hints: int) -> None:
        self._n_hints = n_hints
        self._heads: dict[RequestId, str] = {}

    def __len__(self) -> int:
        return len(self._heads)

    def add(self, hints: Iterable[Hint]) -> None:
        """Store hints; a later one for the same request replaces the earlier.

        :param hints: hints to store.
        """
        for hint in hints:
            self._heads.pop(hint.request, None)
            self._heads[hint.request] = hint.head
        while len(self._heads) > self._n_hints:
            del self._heads[next(iter(self._heads))]

    def find(self, request: RequestId) -> Hint:
        """Return the hint for a request, with an empty head when there is none.

        :param request: identity of the request.
        """
        return Hint(request, self._heads.get(request, ""))


class RequestLocator:
    """Publishes hints for this daemon's requests and locates those of others.

    :param engines: client of the engines.
    :param targets: registry of the targets.
    :param mesh: messages to other daemons.
    :param domain: failure domain of this daemon.
    :param events: the time line.
    """

    def __init__(
        self,
        engines: EngineClient,
        targets: TargetRegistry,
        mesh: Mesh,
        domain: DomainId,
        events: EventRing,
    ) -> None:
        self._engines = engines
        self._targets = targets
        self._mesh = mesh
        self._domain = domain
        self._events = events
        self._hints = HintTable(MAX_HINTS)
        self._unsent: dict[RequestId, Hint] = {}
        mesh.register(HINTS_KIND, tuple[Hint, ...], self._store_hints)
        mesh.register(FIND_KIND, Hint, self._answer_lookup)

    def record_head(self, request: RequestId, head: str) -> None:
        """Store the location of a request and queue the hint for its hint holder.

        :param request: identity of the request.
        :param head: ``host:port`` of the head of its plan.
        """
        hint = Hint(request, head)
        self._hints.add([hint])
        self._unsent[request] = hint
        if len(self._unsent) > MAX_HINTS:
            del self._unsent[next(iter(self._unsent))]

    async def run(self) -> None:
        """Send the hints in batches until cancelled."""
        while True:
            await asyncio.sleep(HINT_INTERVAL_S)
            addresses = self._domain_peers()
            if not addresses:
                continue
            hints, self._unsent = list(self._unsent.values()), {}
            batches: dict[str, list[Hint]] = {}
            for hint in hints:
                hint_holder = rank_trace_holders(hint.request, addresses)[0]
                batches.setdefault(hint_holder, []).append(hint)
            await asyncio.gather(*(self._send(a, h) for a, h in batches.items()))

    async def find(self, request: GenerationRequest) -> LocatedRequest | None:
        """Locate a running or ended request.

        :param request: the repeated request.
        :returns: the located request, ``None`` when no engine has it.
        """
        identity = request.request
        head = self._hints.find(identity).head or await self._ask_hint_holders(identity)
        state = await self._probe_head(head, identity) if head else None
        if state is not None and state.plan:
            return self._found(request, head, state, "hint")
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FIND_TIMEOUT_S
        while True:
            located, is_conclusive = await self._probe_engines(request)
            if located is not None or is_conclusive or loop.time() > end_s:
                return located
            await asyncio.sleep(FIND_POLL_S)

    def _found(
        self, request: GenerationRequest, head: str, state: StageState, way: str
    ) -> LocatedRequest:
        self._events.record("stream.found", request.request, head=head, way=way)
        return LocatedRequest(head, state)

    def _domain_peers(self) -> list[str]:
        return [
            peer.sender.address
            for peer in self._mesh.peers()
            if peer.sender.domain == self._domain
        ]

    async def _ask_hint_holders(self, request: RequestId) -> str:
        """Return the first head reported by a hint holder, empty if none reports one.

        The daemon that failed may be among those asked. The wait is short, since the
        engines can be asked instead.
        """
        hint_holders = rank_trace_holders(request, self._domain_peers())[
            :N_HINT_HOLDERS_ASKED
        ]
        asked = [
            asyncio.create_task(self._ask_hint_holder(h, request)) for h in hint_holders
        ]
        try:
            with suppress(TimeoutError):
                for found in asyncio.as_completed(asked, timeout=HINT_WAIT_S):
                    if head := await found:
                        return head
            return ""
        finally:
            for task in asked:
                task.cancel()

    async def _ask_hint_holder(self, address: str, request: RequestId) -> str:
        try:
            hint = await self._mesh.ask(
                address, FIND_KIND, Hint(request), Hint, ASK_TIMEOUT_S
            )
        except PeerUnreachable:
            return ""
        return hint.head

    async def _probe_head(self, head: str, request: RequestId) -> StageState | None:
        return await probe_stage(self._engines, head, request, ASK_TIMEOUT_S)

    async def _probe_engines(
        self, request: GenerationRequest
    ) -> tuple[LocatedRequest | None, bool]:
        """Probe all engines that can be the head.

        A negative result is conclusive only if all have answered and there is at least
        one: a daemon that has just started has no record of any engine.
        """
        heads = [e.address for e in self._targets.engines(request.model) if not e.begin]
        limit = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

        async def probe(head: str) -> tuple[str, StageState | None]:
            async with limit:
                return head, await self._probe_head(head, request.request)

        answers = await asyncio.gather(*(probe(head) for head in heads))
        is_conclusive = bool(answers) and all(state is not None for _, state in answers)
        found = [(h, state) for h, state in answers if state is not None and state.plan]
        if not found:
            return None, is_conclusive
        head, state = max(found, key=lambda answer: answer[1].attempt)
        return self._found(request, head, state, "engines"), True

    async def _send(self, address: str, hints: list[Hint]) -> None:
        with suppress(PeerUnreachable):
            await self._mesh.ask(address, HINTS_KIND, tuple(hints), int, ASK_TIMEOUT_S)

    async def _store_hints(self, hints: tuple[Hint, ...], sender: Sender) -> int:
        self._hints.add(hints)
        return len(hints)

    async def _answer_lookup(self, query: Hint, sender: Sender) -> Hint:
        return self._hints.find(query.request)
