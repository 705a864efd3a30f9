"""One daemon of each domain reads the list of targets and tells the others.

Load pattern: many daemons that each read the store would use up its calls and be
charged for them, though all of a domain read the same.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.membership import rank_members
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._knowledge import (
    FeedFollower,
    Knowledge,
    suspended_clock_s,
)
from cassiaspread_daemon.gateway._terms import EngineChange, Feed, FeedPage
from cassiaspread_daemon.mesh import Empty, Mesh, PeerUnreachable, Sender

KIND = "engine-news"
TELL_TIMEOUT_S = 0.5
# A daemon that heard nothing for this long reads for itself, in seconds: one read later
# than the reader's interval, and well within the bound for leaving targets.
SILENCE_S = 1.2
POLL_S = 0.1
# A snapshot may hold changes that come again behind its position. A reader that just
# read one tells all of its pages for this long, in seconds, not only what is new to it.
WHOLE_PAGES_S = 5.0


class EngineNews(msgspec.Struct, frozen=True, array_like=True):
    """A part of the list of targets.

    :param start: where the part begins.
    :param end: where the next part begins.
    :param changes: targets that changed.
    :param renewed: targets that renewed their entry.
    """

    start: int
    end: int
    changes: tuple[EngineChange, ...]
    renewed: tuple[TargetId, ...]


class EngineFollower(FeedFollower[EngineChange]):
    """Keeps the list of targets current, by reading or by what peers tell.

    :param domain: failure domain of this daemon.
    :param mesh: messages between daemons; ``None`` if they do not talk.
    :param knowledge: where the targets go.
    :param feed: the list.
    :param replace: takes in a snapshot.
    :param log: gets a line when the feed is lost or back.
    :param interval_s: pause between two reads, in seconds.
    :param supervisor: runs the tasks that tell peers.
    :param random_state: spreads the retries of many daemons.
    """

    def __init__(
        self,
        domain: DomainId,
        mesh: Mesh | None,
        knowledge: Knowledge,
        feed: Feed[EngineChange],
        replace: Callable[[tuple[EngineChange, ...]], None],
        log: DecisionLog,
        interval_s: float,
        supervisor: Supervisor,
        random_state: random.Random,
    ) -> None:
        super().__init__(
            "engines",
            feed,
            self._apply_change,
            self._apply_snapshot,
            knowledge.engines_age,
            log,
            0.0,
            interval_s,
            random_state,
        )
        self._domain = domain
        self._mesh = mesh
        self._knowledge = knowledge
        self._supervisor = supervisor
        self._replace_all = replace
        self._heard_s = float("-inf")
        self._snapshot_s = float("-inf")
        self._changed: set[TargetId] = set()
        if mesh is not None:
            mesh.register(KIND, EngineNews, self._hear)

    async def _wait_turn(self) -> None:
        while self._position is not None and not self._is_reader():
            if now() - self._heard_s > SILENCE_S:
                return
            await asyncio.sleep(POLL_S)

    def _is_reader(self) -> bool:
        if self._mesh is None:
            return True
        near = [m for m in self._mesh.running() if m.domain == self._domain]
        first = rank_members(KIND, near)[:1]
        return not first or first[0].incarnation == self._mesh.sender.incarnation

    def _apply_change(self, change: EngineChange) -> None:
        is_new = self._knowledge.apply_change(change)
        if is_new or now() - self._snapshot_s < WHOLE_PAGES_S:
            self._changed.add(change.target)

    def _apply_snapshot(self, changes: tuple[EngineChange, ...]) -> None:
        self._replace_all(changes)
        self._snapshot_s = now()

    def _note_page(self, start: int | None, page: FeedPage[EngineChange]) -> None:
        changed, self._changed = self._changed, set()
        if self._mesh is None or start is None or not self._is_reader():
            return
        news = EngineNews(
            start,
            page.position,
            tuple(c for c in page.items if c.target in changed),
            tuple(c.target for c in page.items if c.engine is not None),
        )
        for peer in self._mesh.peers():
            if peer.sender.domain == self._domain:
                self._tell(peer.sender.address, news)

    def _tell(self, address: str, news: EngineNews) -> None:
        assert self._mesh is not None
        mesh = self._mesh

        async def tell() -> None:
            try:
                await mesh.ask(address, KIND, news, Empty, TELL_TIMEOUT_S)
            except PeerUnreachable as error:
                self._log.record("peer.not_told", peer=address, reason=str(error))

        self._supervisor.start_once(f"tell-{address}-{news.end}", tell)

    async def _hear(self, news: EngineNews, sender: Sender) -> Empty:
        if self._position == news.start:
            for change in news.changes:
                self._apply_change(change)
            for target in news.renewed:
                self._knowledge.note_renewed(target)
            self._changed.clear()
            self._position = news.end
        if self._position == news.end:
            # Anything else was read at another place: this daemon reads for itself.
            # The reader tells within its time limit of reading.
            read_s = suspended_clock_s() - TELL_TIMEOUT_S
            self._knowledge.engines_age.confirm(read_s)
            self._heard_s = now()
        return Empty()
