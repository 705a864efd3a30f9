"""Policy follower with records, peer progress and snapshots, without processes."""

import random

import msgspec
import pytest

from cassiaspread_core.base import LogPage, LogRecord
from cassiaspread_core.policy import (
    CheckpointSchedule,
    EntryKind,
    EntryRecord,
    Snapshot,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.adapters import LogUnavailable
from cassiaspread_daemon.fleet import PolicyFollower
from cassiaspread_daemon.fleet._policy import MAX_LAG_S
from cassiaspread_daemon.fleet._recent_records import (
    MAX_KEPT_BYTES,
    MAX_REPLY_BYTES,
    RecentRecords,
)


class UnavailableLog:
    async def read(self, *arguments, **options):
        raise LogUnavailable("unavailable")


@pytest.fixture
def now(monkeypatch):
    times_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: times_s[0])
    return times_s


@pytest.fixture
def follower(now):
    events = EventRing("d1", 100, lambda: 1.0)
    return PolicyFollower(
        UnavailableLog(), events, CheckpointSchedule(60, random.Random(1))
    )


def model_record(offset, replaces=None):
    record = EntryRecord(
        kind=EntryKind.MODEL,
        name="draft",
        replaces=replaces,
        value={"n_layers": 8},
        author="ana",
    )
    return LogRecord(offset, 1.0, msgspec.json.encode(record))


def test_only_a_current_peer_makes_a_new_daemon_ready(follower):
    assert "was not read yet" in follower.not_ready_reasons()[0]
    follower.record_peer_progress(1, is_current=True)
    assert not follower.is_current
    follower.apply_records(0, (model_record(0),), "peer")
    follower.record_peer_progress(1, is_current=False)
    assert not follower.is_current
    follower.record_peer_progress(1, is_current=True)
    assert follower.not_ready_reasons() == []


def test_lag_behind_a_peer_is_reported(follower, now):
    follower.apply_records(0, (model_record(0),), "log")
    follower.record_peer_progress(1, is_current=True)
    follower.record_peer_progress(3, is_current=True)
    now[0] += MAX_LAG_S / 2
    assert follower.not_ready_reasons() == []
    now[0] += MAX_LAG_S
    follower.record_peer_progress(2, is_current=True)
    (reason,) = follower.not_ready_reasons()
    assert reason == "the configuration is at offset 1, a peer has it up to 3"
    follower.apply_records(1, (model_record(1, 0), model_record(2)), "peer")
    assert follower.not_ready_reasons() == []
    status = follower.status()
    assert (status.n_accepted, status.n_rejected) == (2, 1)
    assert status.rejected[0].reason == "ana changed model draft at offset 1"


def test_lag_behind_pages_that_are_cut_off_is_reported(follower, now):
    # Guards against a daemon that reads page after page, never reaches the end of the
    # stream and stays ready with an old configuration.
    follower._apply_page(0, LogPage(0, 1, (model_record(0),)))
    assert follower.not_ready_reasons() == []
    follower._apply_page(1, LogPage(0, 9, (model_record(1, 0),)))
    now[0] += MAX_LAG_S + 1.0
    follower._apply_page(2, LogPage(0, 9, (model_record(2, 1),)))
    (reason,) = follower.not_ready_reasons()
    assert reason == "the configuration is at offset 3, the log has it up to 9"
    follower._apply_page(3, LogPage(0, 4, (model_record(3, 2),)))
    assert follower.not_ready_reasons() == []


def test_older_or_invalid_snapshots_are_not_applied(follower):
    follower.apply_records(0, (model_record(0), model_record(1, 0)), "log")
    older = Snapshot(covered=1, rules=1, entries=())
    assert not follower.apply_snapshot(older, "peer")
    (entry,) = follower.state.snapshot().entries
    invalid = msgspec.structs.replace(entry, value={"n_layers": "8"})
    newer = Snapshot(covered=9, rules=1, entries=(invalid,))
    assert not follower.apply_snapshot(newer, "checkpoint")
    assert (follower.state.next_offset, len(follower.policy.models)) == (2, 1)


def test_recent_records_are_consecutive_or_unavailable():
    recent = RecentRecords()
    assert recent.read(0).records == ()
    size = MAX_REPLY_BYTES // 2
    for offset in range(12):
        recent.extend(offset + 1, [LogRecord(offset, 1.0, bytes(size))])
    n_kept = MAX_KEPT_BYTES // size
    first = 12 - n_kept
    assert recent.read(first - 1).records is None
    assert [r.offset for r in recent.read(first).records] == [first, first + 1]
    assert recent.read(12).records == ()
    assert recent.read(13).records is None
    recent.clear(40)
    assert (recent.read(12).records, recent.read(40).records) == (None, ())
