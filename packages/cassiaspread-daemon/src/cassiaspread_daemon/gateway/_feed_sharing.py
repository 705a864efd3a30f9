"""Sharing of store feeds: one daemon of the fleet reads for all others.

If every daemon read the store, the number of calls would grow with the fleet. The
reader sends what it has read to the daemons of its failure domain and to one daemon of
each other domain, which passes it on. A daemon that receives no update in time reads
the store itself, and sends on what it has read.

An update may wait in a socket while its receiver is paused, so that its arrival says
nothing about its age. The receiver's acknowledgement therefore carries the time of its
clock, and the next update returns it together with the time that has passed since.
"""

import asyncio
import random
import zlib
from collections.abc import Callable, Collection, Container, Iterable
from enum import Enum
from typing import Any, TypeVar

import msgspec

from cassiaspread_core.base import (
    DomainId,
    Incarnation,
    LogUnavailable,
    MalformedDocument,
    Seconds,
    SequenceNumber,
    TargetId,
    decode_with,
    parse_address,
)
from cassiaspread_core.membership import Member, rank_members
from cassiaspread_core.placement import Engine
from cassiaspread_core.routing import RouteTable, StateAge
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._decision_log import DecisionLog, describe_error
from cassiaspread_daemon.gateway._document_spread import Document, DocumentSpread
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._job import now
from cassiaspread_daemon.gateway._protocols import (
    ConfigurationFeed,
    EngineChange,
    Feed,
    FeedPage,
)
from cassiaspread_daemon.gateway._routing_state import (
    FeedFollower,
    FeedSource,
    RoutingState,
    suspended_clock_s,
)
from cassiaspread_daemon.mesh import Mesh, PeerUnreachable, Sender

SEND_TIMEOUT_S = 0.5
# Maximum time for a whole update, in seconds. A large one is sent in pieces, each with
# the timeout above, and waits for those of other messages. Receivers read the store
# after a similar time.
UPDATE_TIMEOUT_S = 1.0
# A daemon without updates reads the store after this time, in seconds, if it passes
# updates on to its domain, and after the longer time otherwise. The shortest bound for
# a new configuration in the users' deployments is two seconds.
CONFIGURATION_TIMEOUTS_S = (1.3, 1.6)
# The same for the list of targets, as fractions of the time within which a leaving
# target must get no more work.
ENGINE_TIMEOUT_SHARES = (0.6, 0.8)
TIMEOUT_SPREAD = (0.9, 1.1)
UPDATE_CHECK_INTERVAL_S = 0.1
# Time for which the choice of the reader is kept, in seconds. Meanwhile two daemons may
# read, or none before the timeout.
READER_LIFETIME_S = 0.5
# Up to this size a configuration is part of the updates, which go to all daemons of a
# domain at once. Larger ones are passed on from daemon to daemon.
MAX_UPDATE_BYTES = 2 * 1024
# Larger configurations are read from the store by each daemon.
MAX_DOCUMENT_BYTES = 256 * 1024
# Bound on what such a document may be once decompressed.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
# Daemons that are offered such a configuration again with each update, because they
# did not have it when they acknowledged the one before.
MAX_OFFERED_AGAIN = 2
# A daemon that heard of a configuration and did not get it reads the store after this
# time, in seconds.
DOCUMENT_TIMEOUT_S = 0.9

Item = TypeVar("Item")


class ReaderRole(Enum):
    """Task of a daemon in reading a feed.

    FLEET: it reads the store for all daemons.
    DOMAIN: it receives the updates for its failure domain and passes them on.
    NONE: it receives updates.
    """

    FLEET = "fleet"
    DOMAIN = "domain"
    NONE = "none"


class _Update(msgspec.Struct, frozen=True, array_like=True):
    """Update sent to one peer.

    :param content: the update.
    :param peer_clock_s: time on the peer's clock in its last acknowledgement; ``None``
        before the first one.
    :param confirmed_after_s: time from the arrival of that acknowledgement until the
        content was current, in seconds; may be negative.
    :param peer: process that sent the acknowledgement; another one at its address has
        another clock.
    """

    content: msgspec.Raw
    peer_clock_s: Seconds | None = None
    confirmed_after_s: Seconds = 0.0
    peer: Incarnation = Incarnation("")


class _Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Reply to an update.

    :param receiver: process that received the update.
    :param clock_s: time on its clock, in seconds.
    :param position: position up to which the receiver has the feed, if it has any.
    """

    receiver: Incarnation
    clock_s: Seconds
    position: SequenceNumber | None


class _PeerClock(msgspec.Struct, frozen=True):
    acknowledgement: _Acknowledgement
    received_s: float


class FeedSharing:
    """Selects the reader of a feed and distributes its updates.

    :param domain: failure domain of this daemon.
    :param mesh: messages between daemons; ``None`` if they do not communicate.
    :param fleet: the daemons among which the reader is selected.
    :param supervisor: runs the tasks that send updates to peers.
    :param log: receives a line for each peer that could not be notified.
    """

    def __init__(
        self,
        domain: DomainId,
        mesh: Mesh | None,
        fleet: FleetView,
        supervisor: Supervisor,
        log: DecisionLog,
    ) -> None:
        self._domain = domain
        self._mesh = mesh
        self._supervisor = supervisor
        self._log = log
        self._fleet = fleet
        self._roles: dict[str, ReaderRole] = {}
        self._roles_expire_s = float("-inf")
        self._peer_clocks: dict[tuple[str, str], _PeerClock] = {}

    def subscribe(
        self,
        kind: str,
        update_type: Any,
        receive: Callable[[Any, float | None], None],
        forward: Callable[[Any], None],
        read_position: Callable[[], int | None],
    ) -> None:
        """Register the receiver of the updates of one feed.

        :param kind: name of the feed.
        :param update_type: type of its updates.
        :param receive: called with each update, and the time at which its content was
            current, if that is known.
        :param forward: called with an update to pass on to the own domain.
        :param read_position: returns up to which position this daemon has the feed.
        """
        if self._mesh is None:
            return
        decoder = msgspec.msgpack.Decoder(update_type)
        own = self._mesh.sender.incarnation

        async def handle(update: _Update, sender: Sender) -> _Acknowledgement:
            try:
                content = decode_with(decoder, update.content)
            except MalformedDocument as error:
                self._log.record(
                    "update.unreadable",
                    feed=kind,
                    peer=sender.address,
                    reason=str(error),
                )
                return _Acknowledgement(own, suspended_clock_s(), read_position())
            current_s = None
            if update.peer_clock_s is not None and update.peer == own:
                stated_s = update.peer_clock_s + update.confirmed_after_s
                # Nothing is known to be current at a later time than now.
                current_s = min(stated_s, suspended_clock_s())
            receive(content, current_s)
            if sender.domain != self._domain:
                forward(content)
            return _Acknowledgement(own, suspended_clock_s(), read_position())

        self._mesh.register(f"feed-{kind}", _Update, handle)

    def role(self, kind: str, now_s: float) -> ReaderRole:
        """Return the task of this daemon in reading a feed.

        :param kind: name of the feed.
        :param now_s: current time, in seconds.
        """
        if self._mesh is None:
            return ReaderRole.FLEET
        if now_s >= self._roles_expire_s:
            self._roles.clear()
            self._roles_expire_s = now_s + READER_LIFETIME_S
        if kind not in self._roles:
            self._roles[kind] = self._find_role(self._mesh, kind, now_s)
        return self._roles[kind]

    def _find_role(self, mesh: Mesh, kind: str, now_s: float) -> ReaderRole:
        ranked = rank_members(kind, self._fleet.members(now_s))
        if not ranked:
            return ReaderRole.NONE
        own = mesh.sender.incarnation
        if ranked[0].incarnation == own:
            return ReaderRole.FLEET
        first = next((m for m in ranked if m.domain == self._domain), None)
        is_first = first is not None and first.incarnation == own
        return ReaderRole.DOMAIN if is_first else ReaderRole.NONE

    def publish(
        self,
        kind: str,
        build: Callable[[int | None], Any],
        confirmed_s: float | None,
        is_forwarded: bool = False,
    ) -> None:
        """Send an update to the other daemons of the domain, and to other domains.

        :param kind: name of the feed.
        :param build: returns the update for a peer that has the feed up to a position.
        :param confirmed_s: time at which the update was current, if it is known, on a
            clock that also counts suspended time.
        :param is_forwarded: whether it came from another domain. It goes only to the
            own one then, as do the updates of a daemon without a task.
        """
        if self._mesh is None:
            return
        for address in self._receivers(self._mesh, kind, is_forwarded):
            self._send_to_peer(self._mesh, address, kind, build, confirmed_s)

    def spread(
        self,
        kind: str,
        newest: Callable[[], tuple[int, bytes] | None],
        receive: Callable[[Document, Sender], bool],
    ) -> DocumentSpread | None:
        """Return what passes the large documents of a feed on, if there are peers.

        :param kind: name of the feed.
        :param newest: see :class:`DocumentSpread`.
        :param receive: see :class:`DocumentSpread`.
        """
        if self._mesh is None:
            return None
        return DocumentSpread(
            kind,
            self._domain,
            self._mesh,
            lambda: self._fleet.members(now()),
            self._supervisor,
            self._log,
            newest,
            receive,
        )

    def is_own_domain(self, sender: Sender) -> bool:
        """Return whether a daemon belongs to the failure domain of this one.

        :param sender: the daemon.
        """
        return sender.domain == self._domain

    def heads(self, kind: str, is_forwarded: bool) -> list[Member]:
        """Return the daemons of other domains that this daemon sends updates to.

        :param kind: name of the feed.
        :param is_forwarded: whether the update came from another domain.
        """
        if is_forwarded or self.role(kind, now()) is ReaderRole.NONE:
            return []
        firsts: dict[DomainId, Member] = {}
        for member in rank_members(kind, self._fleet.members(now())):
            firsts.setdefault(member.domain, member)
        return [m for domain, m in firsts.items() if domain != self._domain]

    def behind(self, kind: str, end: int, is_forwarded: bool) -> list[Member]:
        """Return the daemons that acknowledged an update and lacked its content.

        :param kind: name of the feed.
        :param end: position up to which the others have the feed.
        :param is_forwarded: whether the update came from another domain.
        """
        members = self._fleet.members(now())
        own = [m for m in members if m.domain == self._domain]
        found = []
        for member in own + self.heads(kind, is_forwarded):
            clock = self._peer_clocks.get((kind, member.address))
            if clock is not None:
                position = clock.acknowledgement.position
                if position is None or position < end:
                    found.append(member)
        return found

    def _receivers(self, mesh: Mesh, kind: str, is_forwarded: bool) -> list[str]:
        peers = [peer.sender for peer in mesh.peers()]
        addresses = [p.address for p in peers if p.domain == self._domain]
        return addresses + [m.address for m in self.heads(kind, is_forwarded)]

    def _send_to_peer(
        self,
        mesh: Mesh,
        address: str,
        kind: str,
        build: Callable[[int | None], Any],
        confirmed_s: float | None,
    ) -> None:
        async def send() -> None:
            # The first update to a peer does not confirm anything, but the next one.
            is_first = (kind, address) not in self._peer_clocks
            for _ in range(1 + is_first):
                update = self._build_update(kind, address, build, confirmed_s)
                try:
                    async with asyncio.timeout(UPDATE_TIMEOUT_S):
                        reply = await mesh.ask(
                            address,
                            f"feed-{kind}",
                            update,
                            _Acknowledgement,
                            SEND_TIMEOUT_S,
                        )
                except (PeerUnreachable, TimeoutError) as error:
                    self._peer_clocks.pop((kind, address), None)
                    self._log.record(
                        "peer.not_told",
                        peer=address,
                        feed=kind,
                        n_bytes=len(update.content),
                        reason=str(error) or "not sent in time",
                    )
                    return
                self._peer_clocks[kind, address] = _PeerClock(
                    reply, suspended_clock_s()
                )

        self._supervisor.start_once(f"{kind}-{address}-{now()}", send)

    def _build_update(
        self,
        kind: str,
        address: str,
        build: Callable[[int | None], Any],
        confirmed_s: float | None,
    ) -> _Update:
        clock = self._peer_clocks.get((kind, address))
        last = None if clock is None else clock.acknowledgement
        content = build(None if last is None else last.position)
        raw = msgspec.Raw(msgspec.msgpack.encode(content))
        if clock is None or last is None or confirmed_s is None:
            return _Update(raw)
        after_s = confirmed_s - clock.received_s
        return _Update(raw, last.clock_s, after_s, last.receiver)


class SharedFeedFollower(FeedFollower[Item]):
    """Keeps a copy of a feed current from its own reads or from the reader's updates.

    :param kind: name of the feed.
    :param feed_sharing: distributes updates.
    :param feed: the feed.
    :param apply: applies one item.
    :param replace: applies a snapshot.
    :param age: records when the copy was current.
    :param log: receives a line when the feed becomes unavailable or available again.
    :param wait_s: how long the store may wait for changes, in seconds.
    :param interval_s: pause between two reads, in seconds.
    :param timeouts_s: time without updates after which this daemon reads the store, in
        seconds: if it passes updates on, and otherwise.
    :param random_state: spreads the retries of many daemons.
    :param is_superseding: whether each item replaces all items before it.
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
        timeouts_s: tuple[float, float],
        random_state: random.Random,
        is_superseding: bool = False,
    ) -> None:
        super().__init__(
            kind,
            feed,
            apply,
            replace,
            age,
            log,
            wait_s,
            interval_s,
            random_state,
            is_superseding,
        )
        self._feed_sharing = feed_sharing
        self._domain_timeout_s, self._timeout_s = timeouts_s
        # Of several daemons without updates, one reads before the others.
        self._timeout_factor = 1.0
        self._updated_s = float("-inf")
        self._must_read = False

    @property
    def _role(self) -> ReaderRole:
        return self._feed_sharing.role(self._name, now())

    async def _wait_until_due(self) -> None:
        while not self._is_due():
            await asyncio.sleep(UPDATE_CHECK_INTERVAL_S)
        if self._position is not None and self._role is not ReaderRole.FLEET:
            self._log.record(
                "feed.not_updated",
                feed=self._name,
                role=self._role.value,
                position=self._position,
                known_end=self._known_end,
                age_s=round(self._age.age_s(suspended_clock_s()), 2),
                without_update_s=round(now() - self._updated_s, 2),
            )
        self._must_read = False
        # A daemon that is not the reader does not read continuously while updates are
        # missing.
        self._restart_timeout()

    def _restart_timeout(self) -> None:
        self._updated_s = now()
        self._timeout_factor = self._random_state.uniform(*TIMEOUT_SPREAD)

    def _is_due(self) -> bool:
        role = self._role
        if self._position is None or self._must_read or self._is_cut:
            return True
        if role is ReaderRole.FLEET and not self._is_unavailable:
            return True
        is_none = role is ReaderRole.NONE
        timeout_s = self._timeout_s if is_none else self._domain_timeout_s
        return now() - self._updated_s > timeout_s * self._timeout_factor

    def _next_wait_s(self) -> float:
        # A daemon that is not the reader has already waited for an update.
        return self._wait_s if self._role is ReaderRole.FLEET else 0.0

    def _confirm_current(self, current_s: float | None) -> None:
        """Record that this copy is current according to the reader."""
        if current_s is None or not self._has_newest:
            return
        before_s = self._age.current_at_s
        self._age.confirm(current_s)
        # While the reader is behind, its updates do not make this copy younger. They
        # are no reason to wait for the next one.
        if self._age.current_at_s != before_s:
            self._restart_timeout()


class ConfigurationUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A configuration, and the position up to which the reader has read.

    :param end: position of the next page.
    :param document: the compressed configuration; empty if the receiver has it, or
        gets it in another way.
    :param is_coming: whether it is passed on from daemon to daemon; otherwise a
        receiver that lacks it reads the store.
    """

    end: SequenceNumber
    document: bytes = b""
    is_coming: bool = False


class ConfigurationFollower(SharedFeedFollower[RouteTable]):
    """Keeps the configuration current.

    :param feed_sharing: distributes updates.
    :param feed: the configuration.
    :param routing_state: holds the configuration.
    :param log: receives a line when the feed becomes unavailable or available again.
    :param wait_s: how long the store may wait for changes, in seconds.
    :param random_state: spreads the retries of many daemons.
    """

    def __init__(
        self,
        feed_sharing: FeedSharing,
        feed: ConfigurationFeed,
        routing_state: RoutingState,
        log: DecisionLog,
        wait_s: float,
        random_state: random.Random,
    ) -> None:
        super().__init__(
            "configuration",
            feed_sharing,
            feed,
            routing_state.apply_table,
            self._apply_snapshot,
            routing_state.configuration_age,
            log,
            wait_s,
            0.0,
            CONFIGURATION_TIMEOUTS_S,
            random_state,
            is_superseding=True,
        )
        self._routing_state = routing_state
        self._configurations = feed
        self._compressed: tuple[RouteTable | None, bytes] = (None, b"")
        # Position of the document that was passed on last.
        self._spread_end: int | None = None
        # Position of the last update to other daemons.
        self._published_end: int | None = None
        # Since when documents that are passed on are awaited, by their positions.
        self._awaited_since_s: dict[int, float] = {}
        # Times at which the reader's copy was current, by positions that this one has
        # not reached. A document may come after the next update.
        self._unreached_s: dict[int, float] = {}
        self._spread = feed_sharing.spread(
            self._name, self._newest_document, self._receive_document
        )
        feed_sharing.subscribe(
            self._name,
            ConfigurationUpdate,
            self._receive,
            self._forward,
            lambda: self._position,
        )

    def _apply_snapshot(self, tables: tuple[RouteTable, ...]) -> None:
        if not tables and self._routing_state.table is not None:
            raise LogUnavailable("the store holds no configuration any more")
        for table in tables:
            self._routing_state.apply_table(table)

    def _on_page(self, start: int | None, page: FeedPage[RouteTable]) -> None:
        # Each daemon reads a snapshot at its start, which the others do not need.
        if start is not None or self._published_end is not None:
            self._publish(is_forwarded=False)

    def _publish(self, is_forwarded: bool) -> None:
        if self._position is None or not self._has_newest:
            # Others may be able to decode what this daemon could not.
            return
        end, document = self._position, self._compress()
        is_spread = len(document) > MAX_UPDATE_BYTES

        def build(position: int | None) -> ConfigurationUpdate:
            if position == end or is_spread:
                return ConfigurationUpdate(end, is_coming=is_spread)
            return ConfigurationUpdate(end, document)

        self._feed_sharing.publish(
            self._name, build, self._age.current_at_s, is_forwarded
        )
        if self._spread is not None and is_spread and self._spread_end != end:
            self._spread_end = end
            self._spread.publish(self._feed_sharing.heads(self._name, is_forwarded))
        elif self._spread is not None and is_spread and self._published_end == end:
            # They may be unable to read the store.
            behind = self._feed_sharing.behind(self._name, end, is_forwarded)
            n = min(len(behind), MAX_OFFERED_AGAIN)
            self._spread.send_to(self._random_state.sample(behind, n))
        self._published_end = end

    def _newest_document(self) -> tuple[int, bytes] | None:
        document = self._compress()
        if self._position is None or not self._has_newest or not document:
            return None
        return self._position, document

    def _compress(self) -> bytes:
        table = self._routing_state.table
        if self._compressed[0] is not table:
            document = b"" if table is None else zlib.compress(table.document)
            if len(document) > MAX_DOCUMENT_BYTES:
                document = b""
            self._compressed = table, document
        return self._compressed[1]

    def _receive(self, update: ConfigurationUpdate, current_s: float | None) -> None:
        is_newer = self._position is None or update.end > self._position
        self._record_end(update.end)
        if is_newer and update.document:
            self._apply_document(update.end, update.document)
        if self._position is not None and self._position >= update.end:
            self._confirm_current(current_s)
        elif current_s is not None:
            self._unreached_s[update.end] = current_s
        if not is_newer or self._position == update.end:
            return
        if update.is_coming:
            self._awaited_since_s.setdefault(update.end, now())
        else:
            self._must_read = True

    def _receive_document(self, document: Document, sender: Sender) -> bool:
        if self._position is not None and document.end <= self._position:
            return False
        self._record_end(document.end)
        if not self._apply_document(document.end, document.data):
            self._must_read = True
            return False
        self._spread_end = document.end
        # Its reader is at work, so that a confirmation follows.
        self._restart_timeout()
        if not self._feed_sharing.is_own_domain(sender):
            self._publish(is_forwarded=True)
        return True

    def _apply_document(self, end: int, document: bytes) -> bool:
        table = self._decode(document)
        if table is None:
            return False
        self._compressed = table, document
        self._routing_state.apply_table(table, FeedSource.PEER)
        self._position = end
        self._has_newest = True
        self._update_behind()
        for reached in [n for n in self._unreached_s if n <= end]:
            self._confirm_current(self._unreached_s.pop(reached))
        return True

    async def _wait_until_due(self) -> None:
        await super()._wait_until_due()
        self._awaited_since_s.clear()
        self._unreached_s.clear()

    def _is_due(self) -> bool:
        position = self._position or 0
        awaited = [s for end, s in self._awaited_since_s.items() if end > position]
        timeout_s = DOCUMENT_TIMEOUT_S * self._timeout_factor
        is_late = bool(awaited) and now() - min(awaited) > timeout_s
        return is_late or super()._is_due()

    def _restart_timeout(self) -> None:
        super()._restart_timeout()
        # What confirms an older document, or contains it, is not what is awaited.
        position = self._position or 0
        self._awaited_since_s = {
            end: since_s
            for end, since_s in self._awaited_since_s.items()
            if end > position
        }

    def _decode(self, document: bytes) -> RouteTable | None:
        try:
            return self._configurations.decode(_decompress(document))
        except Exception as error:
            # The store has it as well.
            self._log.record("configuration.unreadable", **describe_error(error))
            return None

    def _forward(self, update: ConfigurationUpdate) -> None:
        if self._position == update.end:
            self._publish(is_forwarded=True)


def _decompress(document: bytes) -> bytes:
    """Decompress a document of another daemon, up to a maximum size."""
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(document, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise MalformedDocument(
            f"cut off, or over {MAX_DECOMPRESSED_BYTES} bytes when decompressed"
        )
    return data


class EngineUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes to the list of targets between two positions of its feed.

    :param start: position of the page.
    :param end: position of the next page.
    :param changes: targets that changed.
    :param renewed: targets that renewed their entry, if they are few.
    :param not_renewed: otherwise those that did not.
    """

    start: SequenceNumber
    end: SequenceNumber
    changes: tuple[EngineChange, ...]
    renewed: tuple[TargetId, ...] = ()
    not_renewed: tuple[TargetId, ...] | None = None

    def find_renewed(self, listed: Iterable[TargetId]) -> list[TargetId]:
        """Return the targets that renewed their entry.

        :param listed: all targets on the list.
        """
        if self.not_renewed is None:
            return list(self.renewed)
        others = set(self.not_renewed)
        return [target for target in listed if target not in others]


def build_engine_update(
    start: int,
    page: FeedPage[EngineChange],
    changed: Container[TargetId],
    listed: Collection[TargetId],
) -> EngineUpdate:
    """Return the update with a page of the list of targets.

    :param start: position of the page.
    :param page: the page, which was applied.
    :param changed: targets whose entry at some time within the page differed from that
        at its position.
    :param listed: all targets on the list.
    """
    changes = tuple(c for c in page.items if c.target in changed)
    # A target may renew its entry several times within a page.
    renewed = {c.target: None for c in page.items if c.engine is not None}
    if 2 * len(renewed) <= len(listed):
        return EngineUpdate(start, page.position, changes, tuple(renewed))
    others = tuple(target for target in listed if target not in renewed)
    return EngineUpdate(start, page.position, changes, not_renewed=others)


class EngineFollower(SharedFeedFollower[EngineChange]):
    """Keeps the list of targets current; updates contain its changes.

    What targets say of themselves changes the routing state, but not the content of an
    update: its receivers take what it leaves out as unchanged on the list.

    :param feed_sharing: distributes updates.
    :param routing_state: holds the targets.
    :param feed: the list.
    :param replace: applies a snapshot.
    :param log: receives a line when the feed becomes unavailable or available again.
    :param interval_s: pause between two reads, in seconds.
    :param leaving_timeout_s: time within which a leaving target must get no more work,
        in seconds.
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
        leaving_timeout_s: float,
        random_state: random.Random,
    ) -> None:
        domain_share, share = ENGINE_TIMEOUT_SHARES
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
            (domain_share * leaving_timeout_s, share * leaving_timeout_s),
            random_state,
        )
        self._routing_state = routing_state
        self._replace_all = replace
        # Entries as the store has them at the position of the feed.
        self._listed: dict[TargetId, Engine] = {}
        # A snapshot may contain changes that follow its position, up to this one.
        self._latest_position = 0
        self._changed_targets: set[TargetId] = set()
        feed_sharing.subscribe(
            self._name,
            EngineUpdate,
            self._receive,
            self._forward,
            lambda: self._position,
        )

    def _apply_change(self, change: EngineChange) -> None:
        if change.has_varied or self._listed.get(change.target) != change.engine:
            self._changed_targets.add(change.target)
        if change.engine is None:
            self._listed.pop(change.target, None)
        else:
            self._listed[change.target] = change.engine
        self._routing_state.apply_change(change)

    def _apply_snapshot(self, changes: tuple[EngineChange, ...]) -> None:
        self._listed = {c.target: c.engine for c in changes if c.engine is not None}
        self._replace_all(changes)

    def _on_page(self, start: int | None, page: FeedPage[EngineChange]) -> None:
        changed_targets, self._changed_targets = self._changed_targets, set()
        if start is None:
            self._latest_position = page.latest_position
            return
        if start < self._latest_position:
            # This daemon may have known some changes before those that it informs.
            changed_targets = {change.target for change in page.items}
        update = build_engine_update(start, page, changed_targets, self._listed)
        self._publish(update, is_forwarded=False)

    def _publish(self, update: EngineUpdate, is_forwarded: bool) -> None:
        self._feed_sharing.publish(
            self._name, lambda position: update, self._age.current_at_s, is_forwarded
        )

    def _receive(self, update: EngineUpdate, current_s: float | None) -> None:
        position = self._position
        self._record_end(update.end)
        # Each change has the newest entry, so that a part of them may be known already.
        if position is not None and update.start <= position <= update.end:
            for change in update.changes:
                self._apply_change(self._checked(change))
            for target in update.find_renewed(self._listed):
                self._routing_state.record_renewed(target)
            self._changed_targets.clear()
            self._position = update.end
            self._update_behind()
        if self._position == update.end:
            # An update that ends at another position confirms nothing; without a
            # confirmation this daemon reads the feed itself.
            self._confirm_current(current_s)

    def _checked(self, change: EngineChange) -> EngineChange:
        """Return a change of another daemon, without an engine if it has no address."""
        try:
            if change.engine is not None:
                parse_address(change.engine.address)
        except MalformedDocument as error:
            self._log.record(
                "engine.unreadable", target=change.target, reason=str(error)
            )
            return EngineChange(change.target, None)
        return change

    def _forward(self, update: EngineUpdate) -> None:
        if self._position == update.end:
            self._publish(update, is_forwarded=True)
