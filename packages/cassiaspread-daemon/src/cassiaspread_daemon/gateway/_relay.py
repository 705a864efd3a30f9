"""One daemon of each domain reads a feed of the store and tells the others.

Load pattern: many daemons that each read the store would use up its calls and be
charged for them, though all of a domain read the same.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.membership import rank_members
from cassiaspread_core.routing import KnowledgeAge, RouteTable
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

TELL_TIMEOUT_S = 0.5
# A daemon that heard nothing of a feed for this long reads it itself, in seconds: later
# than a sound reader's next news, and well within the time in which a configuration
# comes into force and a leaving target gets no more work.
SILENCE_S = 1.3
POLL_S = 0.1
# A snapshot may hold changes that come again behind its position. A reader that just
# read one tells all of its pages for this long, in seconds, not only what is new to it.
WHOLE_PAGES_S = 5.0

Item = TypeVar("Item")


class Relay:
    """Chooses who of a domain reads a feed, and carries its news.

    :param domain: failure domain of this daemon.
    :param mesh: messages between daemons; ``None`` if they do not talk.
    :param supervisor: runs the tasks that tell peers.
    :param log: gets a line for each peer that could not be told.
    """

    def __init__(
        self,
        domain: DomainId,
        mesh: Mesh | None,
        supervisor: Supervisor,
        log: DecisionLog,
    ) -> None:
        self._domain = domain
        self._mesh = mesh
        self._supervisor = supervisor
        self._log = log

    def register(self, kind: str, news_type: Any, hear: Callable[[Any], None]) -> None:
        """Take in news of one feed.

        :param kind: name of the feed.
        :param news_type: type of its news.
        :param hear: gets the news.
        """

        async def handle(news: Any, sender: Sender) -> Empty:
            hear(news)
            return Empty()

        if self._mesh is not None:
            self._mesh.register(kind, news_type, handle)

    def is_reader(self, kind: str) -> bool:
        """Return whether this daemon reads a feed for its domain.

        :param kind: name of the feed.
        """
        if self._mesh is None:
            return True
        near = [m for m in self._mesh.running() if m.domain == self._domain]
        first = rank_members(kind, near)[:1]
        return not first or first[0].incarnation == self._mesh.sender.incarnation

    def tell(self, kind: str, news: Any) -> None:
        """Tell news to the other daemons of the domain.

        :param kind: name of the feed.
        :param news: the news.
        """
        if self._mesh is None:
            return
        for peer in self._mesh.peers():
            if peer.sender.domain == self._domain:
                self._tell_one(peer.sender.address, kind, news)

    def _tell_one(self, address: str, kind: str, news: Any) -> None:
        assert self._mesh is not None
        mesh = self._mesh

        async def tell() -> None:
            try:
                await mesh.ask(address, kind, news, Empty, TELL_TIMEOUT_S)
            except PeerUnreachable as error:
                self._log.record("peer.not_told", peer=address, reason=str(error))

        self._supervisor.start_once(f"{kind}-{address}-{now()}", tell)


class RelayedFollower(FeedFollower[Item]):
    """Keeps a copy of a feed current, by reading or by what the reader tells.

    :param kind: name of the feed.
    :param relay: carries news within the domain.
    :param feed: the feed.
    :param apply: takes in one item.
    :param replace: takes in a snapshot.
    :param age: told when the copy was current.
    :param log: gets a line when the feed is lost or back.
    :param wait_s: how long the store may wait for changes, in seconds.
    :param interval_s: pause between two reads, in seconds.
    :param random_state: spreads the retries of many daemons.
    """

    def __init__(
        self,
        kind: str,
        relay: Relay,
        feed: Feed[Item],
        apply: Callable[[Item], object],
        replace: Callable[[tuple[Item, ...]], None],
        age: KnowledgeAge,
        log: DecisionLog,
        wait_s: float,
        interval_s: float,
        random_state: random.Random,
    ) -> None:
        super().__init__(
            kind, feed, apply, replace, age, log, wait_s, interval_s, random_state
        )
        self._relay = relay
        self._heard_s = float("-inf")
        self._is_behind = False

    async def _wait_turn(self) -> None:
        while not self._is_turn():
            await asyncio.sleep(POLL_S)
        self._is_behind = False
        # Whoever reads out of turn does so as seldom as it would hear news.
        self._heard_s = now()

    def _is_turn(self) -> bool:
        return (
            self._position is None
            or self._is_behind
            or now() - self._heard_s > SILENCE_S
            or self._relay.is_reader(self._name)
        )

    def _next_wait_s(self) -> float:
        # Whoever reads out of turn has waited already.
        return self._wait_s if self._relay.is_reader(self._name) else 0.0

    def _confirm(self) -> None:
        """Take note that the reader told that this copy is current."""
        # The reader tells within its time limit of reading.
        self._age.confirm(suspended_clock_s() - TELL_TIMEOUT_S)
        self._heard_s = now()


class ConfigurationNews(msgspec.Struct, frozen=True, array_like=True):
    """Up to where the reader has read.

    :param end: where the next part begins.
    """

    end: int


class ConfigurationFollower(RelayedFollower[RouteTable]):
    """Keeps the configuration current; a new one is read by each daemon itself.

    :param relay: carries news within the domain.
    :param feed: the configuration.
    :param apply: takes in one configuration.
    :param replace: takes in a snapshot.
    :param age: told when the copy was current.
    :param log: gets a line when the feed is lost or back.
    :param wait_s: how long the store may wait for changes, in seconds.
    :param random_state: spreads the retries of many daemons.
    """

    def __init__(
        self,
        relay: Relay,
        feed: Feed[RouteTable],
        apply: Callable[[RouteTable], None],
        replace: Callable[[tuple[RouteTable, ...]], None],
        age: KnowledgeAge,
        log: DecisionLog,
        wait_s: float,
        random_state: random.Random,
    ) -> None:
        super().__init__(
            "configuration",
            relay,
            feed,
            apply,
            replace,
            age,
            log,
            wait_s,
            0.0,
            random_state,
        )
        relay.register(self._name, ConfigurationNews, self._hear)

    def _note_page(self, start: int | None, page: FeedPage[RouteTable]) -> None:
        if self._relay.is_reader(self._name):
            self._relay.tell(self._name, ConfigurationNews(page.position))

    def _hear(self, news: ConfigurationNews) -> None:
        if self._position is None or news.end > self._position:
            self._is_behind = True
        elif news.end == self._position:
            self._confirm()


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


class EngineFollower(RelayedFollower[EngineChange]):
    """Keeps the list of targets current; its changes come with the news.

    :param relay: carries news within the domain.
    :param knowledge: where the targets go.
    :param feed: the list.
    :param replace: takes in a snapshot.
    :param log: gets a line when the feed is lost or back.
    :param interval_s: pause between two reads, in seconds.
    :param random_state: spreads the retries of many daemons.
    """

    def __init__(
        self,
        relay: Relay,
        knowledge: Knowledge,
        feed: Feed[EngineChange],
        replace: Callable[[tuple[EngineChange, ...]], None],
        log: DecisionLog,
        interval_s: float,
        random_state: random.Random,
    ) -> None:
        super().__init__(
            "engines",
            relay,
            feed,
            self._apply_change,
            self._apply_snapshot,
            knowledge.engines_age,
            log,
            0.0,
            interval_s,
            random_state,
        )
        self._knowledge = knowledge
        self._replace_all = replace
        self._snapshot_s = float("-inf")
        self._changed: set[TargetId] = set()
        relay.register(self._name, EngineNews, self._hear)

    def _apply_change(self, change: EngineChange) -> None:
        is_new = self._knowledge.apply_change(change)
        if is_new or now() - self._snapshot_s < WHOLE_PAGES_S:
            self._changed.add(change.target)

    def _apply_snapshot(self, changes: tuple[EngineChange, ...]) -> None:
        self._replace_all(changes)
        self._snapshot_s = now()

    def _note_page(self, start: int | None, page: FeedPage[EngineChange]) -> None:
        changed, self._changed = self._changed, set()
        if start is None or not self._relay.is_reader(self._name):
            return
        news = EngineNews(
            start,
            page.position,
            tuple(c for c in page.items if c.target in changed),
            tuple(c.target for c in page.items if c.engine is not None),
        )
        self._relay.tell(self._name, news)

    def _hear(self, news: EngineNews) -> None:
        if self._position == news.start:
            for change in news.changes:
                self._apply_change(change)
            for target in news.renewed:
                self._knowledge.note_renewed(target)
            self._changed.clear()
            self._position = news.end
        if self._position == news.end:
            # Anything else was read at another place: this daemon reads for itself.
            self._confirm()
