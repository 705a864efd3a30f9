"""Sharing of store feeds: one daemon of each failure domain reads for the others.

If every daemon read the store, identical reads of one domain would exhaust the store's
call quota and be charged for.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from cassiaspread_core.base import DomainId, Incarnation, TargetId
from cassiaspread_core.membership import rank_members
from cassiaspread_core.routing import RouteTable, StateAge
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._protocols import EngineChange, Feed, FeedPage
from cassiaspread_daemon.gateway._routing_state import (
    FeedFollower,
    RoutingState,
    suspended_clock_s,
)
from cassiaspread_daemon.mesh import Empty, Mesh, PeerUnreachable, Sender

SEND_TIMEOUT_S = 0.5
# A daemon that has received no update of a feed for this long reads it itself, in
# seconds. This is longer than the interval between updates of a working reader, and
# well within the time in which a configuration must come into force and a leaving
# target must get no more work.
READER_TIMEOUT_S = 1.3
READER_CHECK_INTERVAL_S = 0.1
# Time for which the choice of the reader is kept, in seconds. Meanwhile a daemon may
# read beside a new reader, or wait for the update of one that has left.
READER_LIFETIME_S = 0.5
# Changes contained in a snapshot may appear again after its position. After reading a
# snapshot, a reader publishes complete pages for this long, in seconds, instead of only
# the changes that are new to it.
FULL_PAGES_S = 5.0

Item = TypeVar("Item")


class FeedSharing:
    """Selects the reader of a feed in a domain and distributes the reader's updates.

    :param domain: failure domain of this daemon.
    :param mesh: messages between daemons; ``None`` if they do not communicate.
    :param supervisor: runs the tasks that send updates to peers.
    :param log: receives a line for each peer that could not be notified.
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
        self._readers: dict[str, Incarnation | None] = {}
        self._readers_expire_s = float("-inf")

    def subscribe(
        self, kind: str, update_type: Any, receive: Callable[[Any], None]
    ) -> None:
        """Register the receiver of the updates of one feed.

        :param kind: name of the feed.
        :param update_type: type of its updates.
        :param receive: called with each update.
        """

        async def handle(update: Any, sender: Sender) -> Empty:
            receive(update)
            return Empty()

        if self._mesh is not None:
            self._mesh.register(kind, update_type, handle)

    def is_reader(self, kind: str, now_s: float) -> bool:
        """Return whether this daemon reads a feed for its domain.

        :param kind: name of the feed.
        :param now_s: current time, in seconds.
        """
        if self._mesh is None:
            return True
        if now_s >= self._readers_expire_s:
            self._readers.clear()
            self._readers_expire_s = now_s + READER_LIFETIME_S
        if kind not in self._readers:
            self._readers[kind] = self._find_reader(self._mesh, kind)
        return self._readers[kind] in (None, self._mesh.sender.incarnation)

    def _find_reader(self, mesh: Mesh, kind: str) -> Incarnation | None:
        domain_members = [m for m in mesh.active_members() if m.domain == self._domain]
        ranked = rank_members(kind, domain_members)
        return ranked[0].incarnation if ranked else None

    def publish(self, kind: str, update: Any) -> None:
        """Send an update to the other daemons of the domain.

        :param kind: name of the feed.
        :param update: the update.
        """
        if self._mesh is None:
            return
        for peer in self._mesh.peers():
            if peer.sender.domain == self._domain:
                self._send_to_peer(peer.sender.address, kind, update)

    def _send_to_peer(self, address: str, kind: str, update: Any) -> None:
        assert self._mesh is not None
        mesh = self._mesh

        async def send() -> None:
            try:
                await mesh.ask(address, kind, update, Empty, SEND_TIMEOUT_S)
            except PeerUnreachable as error:
                self._log.record("peer.not_told", peer=address, reason=str(error))

        self._supervisor.start_once(f"{kind}-{address}-{now()}", send)


class SharedFeedFollower(FeedFollower[Item]):
    """Keeps a copy of a feed current from its own reads or from the reader's updates.

    :param kind: name of the feed.
    :param feed_sharing: distributes updates within the domain.
    :param feed: the feed.
    :param apply: applies one item.
    :param replace: applies a snapshot.
    :param age: records when the copy was current.
    :param log: receives a line when the feed becomes unavailable or available again.
    :param wait_s: how long the store may wait for changes, in seconds.
    :param interval_s: pause between two reads, in seconds.
    :param random_state: spreads the retries of many daemons.
    """

    def __init__(
        self,
        kind: str,
        feed_sharing: FeedSharing,
        feed: Feed[Item],
        apply: Callable[[Item], object],
        replace: Callable[[tuple[Item, ...]], None],
        age: StateAge,
        log: DecisionLog,
        wait_s: float,
        interval_s: float,
        random_state: random.Random,
    ) -> None:
        super().__init__(
            kind, feed, apply, replace, age, log, wait_s, interval_s, random_state
        )
        self._feed_sharing = feed_sharing
        self._updated_s = float("-inf")
        self._is_behind = False

    async def _wait_until_due(self) -> None:
        while not self._is_due():
            await asyncio.sleep(READER_CHECK_INTERVAL_S)
        self._is_behind = False
        # Restart the timeout, so that a daemon that is not the reader does not read
        # continuously while updates are missing.
        self._updated_s = now()

    def _is_due(self) -> bool:
        return (
            self._position is None
            or self._is_behind
            or now() - self._updated_s > READER_TIMEOUT_S
            or self._feed_sharing.is_reader(self._name, now())
        )

    def _next_wait_s(self) -> float:
        # A daemon that is not the reader has already waited for an update.
        return self._wait_s if self._feed_sharing.is_reader(self._name, now()) else 0.0

    def _confirm_current(self) -> None:
        """Record that this copy is current according to the reader."""
        # The reader's update arrives within the send timeout after its read.
        self._age.confirm(suspended_clock_s() - SEND_TIMEOUT_S)
        self._updated_s = now()


class ConfigurationUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Position up to which the reader has read.

    :param end: position of the next page.
    """

    end: int


class ConfigurationFollower(SharedFeedFollower[RouteTable]):
    """Keeps the configuration current; each daemon reads a new one itself.

    :param feed_sharing: distributes updates within the domain.
    :param feed: the configuration.
    :param apply: applies one configuration.
    :param replace: applies a snapshot.
    :param age: records when the copy was current.
    :param log: receives a line when the feed becomes unavailable or available again.
    :param wait_s: how long the store may wait for changes, in seconds.
    :param random_state: spreads the retries of many daemons.
    """

    def __init__(
        self,
        feed_sharing: FeedSharing,
        feed: Feed[RouteTable],
        apply: Callable[[RouteTable], None],
        replace: Callable[[tuple[RouteTable, ...]], None],
        age: StateAge,
        log: DecisionLog,
        wait_s: float,
        random_state: random.Random,
    ) -> None:
        super().__init__(
            "configuration",
            feed_sharing,
            feed,
            apply,
            replace,
            age,
            log,
            wait_s,
            0.0,
            random_state,
        )
        feed_sharing.subscribe(self._name, ConfigurationUpdate, self._receive)

    def _on_page(self, start: int | None, page: FeedPage[RouteTable]) -> None:
        if self._feed_sharing.is_reader(self._name, now()):
            self._feed_sharing.publish(self._name, ConfigurationUpdate(page.position))

    def _receive(self, update: ConfigurationUpdate) -> None:
        if self._position is None or update.end > self._position:
            self._is_behind = True
        elif update.end == self._position:
            self._confirm_current()


class EngineUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes to the list of targets between two positions of its feed.

    :param start: position of the page.
    :param end: position of the next page.
    :param changes: targets that changed.
    :param renewed: targets that renewed their entry.
    """

    start: int
    end: int
    changes: tuple[EngineChange, ...]
    renewed: tuple[TargetId, ...]


class EngineFollower(SharedFeedFollower[EngineChange]):
    """Keeps the list of targets current; updates contain its changes.

    :param feed_sharing: distributes updates within the domain.
    :param routing_state: holds the targets.
    :param feed: the list.
    :param replace: applies a snapshot.
    :param log: receives a line when the feed becomes unavailable or available again.
    :param interval_s: pause between two reads, in seconds.
    :param random_state: spreads the retries of many daemons.
    """

    def __init__(
        self,
        feed_sharing: FeedSharing,
        routing_state: RoutingState,
        feed: Feed[EngineChange],
        replace: Callable[[tuple[EngineChange, ...]], None],
        log: DecisionLog,
        interval_s: float,
        random_state: random.Random,
    ) -> None:
        super().__init__(
            "engines",
            feed_sharing,
            feed,
            self._apply_change,
            self._apply_snapshot,
            routing_state.engines_age,
            log,
            0.0,
            interval_s,
            random_state,
        )
        self._routing_state = routing_state
        self._replace_all = replace
        self._snapshot_s = float("-inf")
        self._changed_targets: set[TargetId] = set()
        feed_sharing.subscribe(self._name, EngineUpdate, self._receive)

    def _apply_change(self, change: EngineChange) -> None:
        is_new = self._routing_state.apply_change(change)
        if is_new or now() - self._snapshot_s < FULL_PAGES_S:
            self._changed_targets.add(change.target)

    def _apply_snapshot(self, changes: tuple[EngineChange, ...]) -> None:
        self._replace_all(changes)
        self._snapshot_s = now()

    def _on_page(self, start: int | None, page: FeedPage[EngineChange]) -> None:
        changed_targets, self._changed_targets = self._changed_targets, set()
        if start is None or not self._feed_sharing.is_reader(self._name, now()):
            return
        update = EngineUpdate(
            start,
            page.position,
            tuple(c for c in page.items if c.target in changed_targets),
            tuple(c.target for c in page.items if c.engine is not None),
        )
        self._feed_sharing.publish(self._name, update)

    def _receive(self, update: EngineUpdate) -> None:
        if self._position == update.start:
            for change in update.changes:
                self._apply_change(change)
            for target in update.renewed:
                self._routing_state.record_renewed(target)
            self._changed_targets.clear()
            self._position = update.end
        if self._position == update.end:
            # An update that ends at another position confirms nothing; without a
            # confirmation this daemon reads the feed itself.
            self._confirm_current()
