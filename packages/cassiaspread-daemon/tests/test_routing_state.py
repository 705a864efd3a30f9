"""An unexpected error in a callback of the configuration or the list of targets."""

import asyncio
import random
from contextlib import suppress

from cassiaspread_core.base import LogUnavailable
from cassiaspread_core.placement import Engine, LayerRange
from cassiaspread_core.routing import ClientLimits, RouteTable
from cassiaspread_daemon.gateway._protocols import EngineChange, FeedPage
from cassiaspread_daemon.gateway._routing_state import FeedFollower, RoutingState


class RecordingLog:
    def __init__(self):
        self.rows = []

    def record(self, event, **fields):
        self.rows.append({"event": event, **fields})

    def of(self, event):
        return [row for row in self.rows if row["event"] == event]


def table(version):
    return RouteTable(version, [], [], None, ClientLimits())


def engine(name):
    return Engine(
        target=name,
        service="pool",
        address=f"{name}:1",
        domain="d",
        accelerator="card",
        layers=LayerRange(0, 8),
        n_slots=8,
    )


def fail(*args):
    raise KeyError("layers")


def test_failed_callback_leaves_a_configuration_in_force_everywhere():
    log, applied = RecordingLog(), []
    state = RoutingState(log, 5.0, 5.0)
    state.table_callbacks += [fail, lambda t: applied.append(t.version)]
    for version in (3, 4):
        with suppress(KeyError):
            state.apply_table(table(version))
    assert applied == [3, 4]
    assert [row["version"] for row in log.of("configuration.in_force")] == [3, 4]
    failed = log.of("callback.failed")
    assert [row["error"] for row in failed] == ["KeyError"] * 2
    assert failed[0]["frames"][-1].endswith(" fail")


def test_failed_callback_of_a_target_concerns_no_other_callback():
    log, seen, renewed = RecordingLog(), [], []
    state = RoutingState(log, 5.0, 5.0)
    state.engine_callbacks += [fail, lambda before, after: seen.append(after.target)]
    state.renewal_callbacks += [fail, renewed.append]
    for _ in range(2):
        with suppress(KeyError):
            state.apply_change(EngineChange("a", engine("a")))
    assert seen == ["a"]
    assert renewed == ["a", "a"]
    assert len(log.of("callback.failed")) == 3


def test_feed_is_followed_past_a_target_whose_callback_fails():
    log = RecordingLog()
    state = RoutingState(log, 5.0, 5.0)
    state.renewal_callbacks.append(lambda name: fail() if name == "a" else None)

    class Feed:
        async def snapshot(self):
            return FeedPage((), 1)

        async def changes(self, position, wait_s):
            await asyncio.sleep(0)
            changes = [EngineChange(name, engine(name)) for name in ("a", "b")]
            return FeedPage(tuple(changes), position + 1)

    follower = FeedFollower(
        "f",
        Feed(),
        state.apply_change,
        lambda items: None,
        state.engines_age,
        log,
        0.0,
        0.01,
        random.Random(1),
    )

    async def run():
        task = asyncio.create_task(follower.run())
        done, _ = await asyncio.wait({task}, timeout=0.2)
        task.cancel()
        # Its supervisor would start it again, at the same change.
        assert not done

    asyncio.run(run())
    assert set(state.engines) == {"a", "b"}


class PagedFeed:
    """Returns given pages, then cancels the follower."""

    def __init__(self, *pages):
        self.pages = list(pages)
        self.calls = []

    async def snapshot(self):
        self.calls.append("snapshot")
        return self._next_page()

    async def changes(self, position, wait_s):
        self.calls.append(position)
        if not self.pages:
            raise asyncio.CancelledError
        return self._next_page()

    def _next_page(self):
        page = self.pages.pop(0)
        if isinstance(page, Exception):
            raise page
        return page


def follow_configuration(*pages, feed=None, **options):
    """Return the state and its age after each page."""
    state, ages = RoutingState(RecordingLog(), 5.0, 5.0), []
    feed = PagedFeed(*pages) if feed is None else feed

    class Follower(FeedFollower):
        def _on_page(self, start, page):
            ages.append(state.configuration_age.current_at_s)

    follower = Follower(
        "configuration",
        feed,
        state.apply_table,
        lambda tables: [state.apply_table(t) for t in tables],
        state.configuration_age,
        RecordingLog(),
        0.0,
        0.0,
        random.Random(1),
        **options,
    )
    with suppress(asyncio.CancelledError):
        asyncio.run(follower.run())
    return state, ages


def test_copy_without_the_newest_version_gets_older():
    # Guards against a version that cannot be decoded and counts as read.
    state, ages = follow_configuration(
        FeedPage((table(1),), 1),
        FeedPage((), 1),
        FeedPage((table(2),), 3, is_complete=False),
        FeedPage((), 3),
        FeedPage((), 3),
        FeedPage((table(4),), 4),
        FeedPage((), 4),
    )
    assert state.table.version == 4
    assert ages[1] > ages[0]
    # The older version of the page is in force, but does not make the copy current.
    assert ages[2] == ages[3] == ages[4] == ages[1]
    assert ages[6] > ages[5] > ages[4]


def test_first_copy_without_a_readable_version_is_never_current():
    state, ages = follow_configuration(
        FeedPage((), 1, is_complete=False), FeedPage((), 1), FeedPage((), 1)
    )
    assert state.table is None
    assert ages == [None] * 3


def test_copy_that_could_not_be_applied_gets_older():
    broken = table(2)
    # Fails inside of the state, for a reason that no decoder checks.
    broken.version = "two"
    state, ages = follow_configuration(
        FeedPage((table(1),), 1),
        FeedPage((broken,), 2),
        FeedPage((), 2),
        FeedPage((table(3),), 3),
    )
    assert state.table.version == 3
    assert ages[2] == ages[1] == ages[0]
    assert ages[3] > ages[2]


def test_copy_behind_a_cut_page_gets_older_until_it_is_read_on():
    # Guards against a page that is cut off and counts as the whole.
    state, ages = follow_configuration(
        FeedPage((table(1),), 1),
        FeedPage((table(2),), 2, end_position=4),
        FeedPage((table(3),), 3, end_position=5),
        FeedPage((table(5),), 5, end_position=5),
    )
    assert state.table.version == 5
    assert ages[0] == ages[1] == ages[2] < ages[3]


def test_cut_page_is_followed_by_the_newest_item_if_that_replaces_the_others():
    feed = PagedFeed(
        FeedPage((table(1),), 1),
        FeedPage((table(2),), 2, end_position=9),
        LogUnavailable("no answer"),
        FeedPage((table(3),), 3, end_position=9),
        FeedPage((table(9),), 9),
    )
    state, ages = follow_configuration(feed=feed, is_superseding=True)
    assert state.table.version == 9
    # A snapshot that fails is followed by a page, so that the copy gets on.
    assert feed.calls == ["snapshot", 1, "snapshot", 2, "snapshot", 9]
    assert ages[0] == ages[1] == ages[2] < ages[3]


def test_record_that_fits_into_no_page_is_read_in_a_snapshot():
    feed = PagedFeed(
        FeedPage((table(1),), 1),
        FeedPage((), 1, end_position=2),
        FeedPage((table(2),), 2),
    )
    state, ages = follow_configuration(feed=feed)
    assert state.table.version == 2
    assert feed.calls == ["snapshot", 1, "snapshot", 2]
    assert ages[0] < ages[1]
