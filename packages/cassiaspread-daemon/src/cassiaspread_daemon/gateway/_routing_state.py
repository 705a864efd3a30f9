"""Local copies of the configuration and the list of targets, and their age."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Generic, TypeVar

import msgspec

from cassiaspread_core.base import LogUnavailable, ServiceId, TargetId, Truncated
from cassiaspread_core.placement import Engine
from cassiaspread_core.routing import RouteTable, StateAge
from cassiaspread_daemon.gateway._decision_log import DecisionLog, describe_error
from cassiaspread_daemon.gateway._protocols import EngineChange, Feed, FeedPage

Item = TypeVar("Item")

# Targets that left are remembered, since their entries may come back.
MAX_LEFT = 10_000
# Number of findings in a configuration that a log line states.
MAX_FINDINGS_LOGGED = 8
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8


def suspended_clock_s() -> float:
    """Return the time in seconds of a clock that also counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FeedSource(Enum):
    """Where a daemon has an item of a feed from."""

    STORE = "store"
    PEER = "peer"


class RoutingState:
    """The configuration in force and the current list of targets.

    :param log: receives a line for each change.
    :param max_configuration_age_s: longest time in seconds that a configuration may be
        used after it was last confirmed to be current.
    :param max_engines_age_s: the same for the list of targets, in seconds.
    :param max_behind_age_s: the same for a configuration that is known to have been
        replaced by a newer one, in seconds.
    """

    def __init__(
        self,
        log: DecisionLog,
        max_configuration_age_s: float,
        max_engines_age_s: float,
        max_behind_age_s: float = float("inf"),
    ) -> None:
        self._log = log
        self.table: RouteTable | None = None
        self.configuration_age = StateAge(
            max_configuration_age_s, behind_bound_s=max_behind_age_s
        )
        self.engines: dict[TargetId, Engine] = {}
        self.engines_age = StateAge(max_engines_age_s)
        # Targets that left, with their incarnation, oldest first.
        self._left: dict[tuple[TargetId, int], None] = {}
        self.engine_callbacks: list[Callable[[Engine | None, Engine | None], None]] = []
        self.renewal_callbacks: list[Callable[[TargetId], None]] = []
        self.table_callbacks: list[Callable[[RouteTable], None]] = []

    def apply_table(
        self, table: RouteTable, source: FeedSource = FeedSource.STORE
    ) -> None:
        """Put a configuration into force unless it is outdated.

        :param table: the configuration.
        :param source: where this daemon has it from.
        """
        if self.table is not None and table.version <= self.table.version:
            return
        before = None if self.table is None else self.table.version
        started_s = time.monotonic()
        self.table = table
        for engine in self.engines.values():
            self._record_unfit(engine)
        self._notify(self.table_callbacks, table)
        self._log.record(
            "configuration.in_force",
            version=table.version,
            before=before,
            source=source.value,
            n_routes=table.n_routes,
            n_bytes=len(table.document),
            apply_ms=round((time.monotonic() - started_s) * 1000, 1),
        )
        if table.findings:
            self._log.record(
                "configuration.partly_usable",
                version=table.version,
                n_findings=len(table.findings),
                findings=[str(f) for f in table.findings[:MAX_FINDINGS_LOGGED]],
            )

    def apply_change(self, change: EngineChange) -> bool:
        """Apply a change of a target's entry.

        :param change: the change.
        :returns: whether the entry differs from the one held.
        """
        before = self.engines.get(change.target)
        after = change.engine
        if after is not None and after.is_leaving:
            self.record_left(after.target, after.incarnation)
        elif after is not None and self.has_left(after.target, after.incarnation):
            # An older copy of the list, or a late record, does not bring it back.
            after = msgspec.structs.replace(after, is_leaving=True)
        if before == after:
            if after is not None:
                self.record_renewed(change.target)
            return False
        if after is None:
            del self.engines[change.target]
        else:
            self.engines[change.target] = after
        self._log_change(change.target, before, after)
        if after is not None:
            self._record_unfit(after)
        self._notify(self.engine_callbacks, before, after)
        if after is not None:
            self.record_renewed(change.target)
        return True

    def has_left(self, target: TargetId, incarnation: int) -> bool:
        """Return whether a target said that it leaves.

        :param target: the target.
        :param incarnation: its process.
        """
        return (target, incarnation) in self._left

    def record_left(self, target: TargetId, incarnation: int) -> None:
        """Record that a target leaves; it takes no more work until its next start.

        :param target: the target.
        :param incarnation: its process.
        """
        process = target, incarnation
        self._left.pop(process, None)
        self._left[process] = None
        if len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]

    def record_renewed(self, target: TargetId) -> None:
        """Record that a target renewed its entry, which is on the list already.

        :param target: the target.
        """
        self._notify(self.renewal_callbacks, target)

    def retain(self, targets: set[TargetId]) -> None:
        """Remove the targets that a snapshot does not contain.

        :param targets: targets in the snapshot.
        """
        for target in self.engines.keys() - targets:
            self.apply_change(EngineChange(target, None))

    def engines_of(self, service: ServiceId) -> list[Engine]:
        """List the targets of a service that accept requests.

        One that claims layers which the model does not have is of no use.

        :param service: name of the service.
        """
        n_layers = self._n_layers(service)
        return [
            engine
            for engine in self.engines.values()
            if engine.service == service
            and not engine.is_leaving
            and engine.layers.end <= n_layers
        ]

    def _n_layers(self, service: ServiceId) -> float:
        found = None if self.table is None else self.table.services.get(service)
        if found is None or found.model is None:
            return float("inf")
        return found.model.n_layers

    def _record_unfit(self, engine: Engine) -> None:
        n_layers = self._n_layers(engine.service)
        if engine.layers.end > n_layers:
            self._log.record(
                "engine.unfit",
                target=engine.target,
                layers=[engine.layers.begin, engine.layers.end],
                n_layers=n_layers,
            )

    def _notify(
        self, callbacks: Sequence[Callable[..., None]], *changed: object
    ) -> None:
        for callback in callbacks:
            try:
                callback(*changed)
            except Exception as error:
                # What has changed is in force already, and the other callbacks and the
                # rest of the feed must not lack it.
                self._log.record("callback.failed", **describe_error(error))

    def _log_change(
        self, target: TargetId, before: Engine | None, after: Engine | None
    ) -> None:
        if after is None:
            self._log.record("engine.gone", target=target)
        elif before is None or before.incarnation != after.incarnation:
            self._log.record(
                "engine.seen",
                target=target,
                address=after.address,
                domain=after.domain,
                layers=[after.layers.begin, after.layers.end],
                is_leaving=after.is_leaving,
            )
        elif after.is_leaving != before.is_leaving or after.layers != before.layers:
            self._log.record(
                "engine.changed",
                target=target,
                layers=[after.layers.begin, after.layers.end],
                is_leaving=after.is_leaving,
            )


class FeedFollower(Generic[Item]):
    """Keeps a copy of a feed current.

    :param name: name of the feed, for log lines.
    :param feed: the feed.
    :param apply: applies one item.
    :param replace: applies a snapshot.
    :param age: records when the copy was current.
    :param log: receives a line when the feed becomes unavailable or available again.
    :param wait_s: how long the store may wait for changes, in seconds.
    :param interval_s: pause between two reads, in seconds.
    :param random_state: spreads the retries of many daemons.
    :param is_superseding: whether each item replaces all items before it, so that a
        follower that is behind reads a snapshot and leaves the items between out.
    """

    def __init__(
        self,
        name: str,
        feed: Feed[Item],
        apply: Callable[[Item], object],
        replace: Callable[[tuple[Item, ...]], None],
        age: StateAge,
        log: DecisionLog,
        wait_s: float,
        interval_s: float,
        random_state: random.Random,
        is_superseding: bool = False,
    ) -> None:
        self._name = name
        self._feed = feed
        self._apply = apply
        self._replace = replace
        self._age = age
        self._log = log
        self._wait_s = wait_s
        self._interval_s = interval_s
        self._random_state = random_state
        self._is_superseding = is_superseding
        self._position: int | None = None
        # Whether the newest item up to the position is applied.
        self._has_newest = False
        # End of the feed according to the last page that was read here, and according
        # to all that is known.
        self._read_end = 0
        self._known_end = 0
        # The latter as far as it was heard since the last read began.
        self._heard_end = 0
        self._has_left_items_out = False
        self._is_unavailable = False

    @property
    def _is_cut(self) -> bool:
        """Whether the last page ended before the feed, and nothing came since."""
        return self._position is not None and self._position < self._read_end

    async def run(self) -> None:
        """Read until cancelled."""
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                await self._wait_until_due()
                await self._read()
            except Truncated as error:
                self._log.record("feed.truncated", feed=self._name, reason=str(error))
                self._position = None
                # Items that followed the position are gone.
                self._age.is_behind = True
                continue
            except LogUnavailable as error:
                self._record_unavailable(str(error))
                await asyncio.sleep(delay_s * self._random_state.uniform(0.5, 1.0))
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
                continue
            delay_s = MIN_RETRY_DELAY_S
            self._record_available()
            if self._interval_s and not self._is_cut:
                await asyncio.sleep(self._interval_s)

    async def _wait_until_due(self) -> None:
        """Wait until this daemon has to read; this class reads without waiting."""

    def _next_wait_s(self) -> float:
        """Return how long the store may wait for changes, in seconds."""
        return self._wait_s

    def _on_page(self, start: int | None, page: FeedPage[Item]) -> None:
        """Handle a page that was read and applied; a hook for subclasses."""

    async def _read(self) -> None:
        self._heard_end = 0
        requested_s = suspended_clock_s()
        # If the snapshot fails, the next read is one of a page again.
        self._has_left_items_out = (
            self._is_superseding and self._is_cut and not self._has_left_items_out
        )
        start = None if self._has_left_items_out else self._position
        if start is None:
            page: FeedPage[Item] = await self._feed.snapshot()
            confirmed_s = requested_s
        else:
            wait_s = self._next_wait_s()
            page = await self._feed.changes(start, wait_s)
            # The time at which a page was made is known only of one that the store
            # returned after the full wait, for lack of records.
            has_waited = (
                page.position == start and suspended_clock_s() >= requested_s + wait_s
            )
            confirmed_s = requested_s + wait_s if has_waited else requested_s
            self._log_cut(start, page)
            if page.position == start < page.end_position:
                # The next item does not fit into a page, but into a snapshot.
                self._position = None
                self._age.is_behind = True
                return
            if self._position is not None and self._position > start:
                # An update of another daemon came meanwhile. Changes that precede it
                # would undo it.
                start = self._position
                if page.position <= start:
                    page = FeedPage((), start, end_position=page.end_position)
        self._apply_page(start, page)
        self._position = max(page.position, self._position or 0)
        self._read_end = max(page.position, page.end_position)
        self._known_end = max(self._read_end, self._heard_end)
        self._update_behind()
        # A copy without the newest item gets older, whatever else is read.
        if self._has_newest and not self._is_cut:
            self._age.confirm(confirmed_s)
        self._on_page(start, page)

    def _log_cut(self, start: int, page: FeedPage[Item]) -> None:
        if page.position < page.end_position:
            self._log.record(
                "feed.cut",
                feed=self._name,
                start=start,
                position=page.position,
                end=page.end_position,
            )

    def _record_end(self, end: int) -> None:
        """Record that the feed has items up to a position.

        :param end: the position.
        """
        self._heard_end = max(self._heard_end, end)
        self._known_end = max(self._known_end, end)
        self._update_behind()

    def _update_behind(self) -> None:
        """Compare the position with the known end of the feed."""
        self._age.is_behind = (self._position or 0) < self._known_end

    def _apply_page(self, start: int | None, page: FeedPage[Item]) -> None:
        if start is None and page.is_complete:
            self._replace(page.items)
            self._has_newest = True
            return
        are_applied = [self._apply_item(item) for item in page.items]
        if page.items or not page.is_complete:
            self._has_newest = page.is_complete and all(are_applied)

    def _apply_item(self, item: Item) -> bool:
        """Apply an item; return whether that succeeded."""
        try:
            self._apply(item)
        except Exception as error:
            # The same item would be read again, and the items after it never.
            self._log.record(
                "feed.item_failed", feed=self._name, **describe_error(error)
            )
            return False
        return True

    def _record_unavailable(self, reason: str) -> None:
        if not self._is_unavailable:
            self._log.record("store.lost", feed=self._name, reason=reason)
        self._is_unavailable = True

    def _record_available(self) -> None:
        if self._is_unavailable:
            self._log.record("store.regained", feed=self._name)
        self._is_unavailable = False
