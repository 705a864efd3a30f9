"""Checkpoints: when they are due and which of them a reader accepts."""

import random

import msgspec
import pytest

from cassiaspread_core.policy import (
    CheckpointAssembler,
    CheckpointPart,
    CheckpointSchedule,
    Entry,
    EntryKind,
    InvalidEntry,
    PolicyState,
    Snapshot,
)

RETENTION_S = 160.0
MODEL = Entry(
    kind=EntryKind.MODEL, name="draft", offset=3, value={"n_layers": 8}, author="ana"
)


def test_due_after_half_of_the_retention_with_jitter():
    schedules = [
        CheckpointSchedule(RETENTION_S, random.Random(seed)) for seed in range(20)
    ]
    assert not any(s.is_due(10**9) for s in schedules)
    for schedule in schedules:
        schedule.schedule_after_record(100.0)
        schedule.schedule_after_record(150.0)
    assert not any(s.is_due(180.0) for s in schedules)
    assert 0 < sum(s.is_due(185.0) for s in schedules) < 20
    assert all(s.is_due(190.0) for s in schedules)
    schedules[0].schedule_after_checkpoint(185.0)
    schedules[0].schedule_after_checkpoint(120.0)
    assert not schedules[0].is_due(260.0)
    assert schedules[0].is_due(280.0)


INVALID_PARTS = [
    b'{"type":"checkpoint","checkpoint":"c","index":0,"n_parts":0,"covered":1,'
    b'"rules":1,"entries":[]}',
    b'{"type":"checkpoint","checkpoint":"c","index":0,"n_parts":1,"covered":99,'
    b'"rules":1,"entries":[]}',
    b'{"type":"checkpoint"}',
    b"\xff",
]


@pytest.mark.parametrize("value", INVALID_PARTS)
def test_invalid_parts_are_ignored(value):
    assert CheckpointAssembler().add_record(5, value) is None


def test_parts_of_different_checkpoints_are_not_mixed():
    assembler = CheckpointAssembler()
    for index, covered in ((0, 4), (1, 5)):
        part = CheckpointPart(
            checkpoint="c",
            index=index,
            n_parts=2,
            covered=covered,
            rules=1,
            entries=(),
        )
        assert assembler.add(part) is None


@pytest.mark.parametrize(
    "changes", [{"offset": 9}, {"value": {"n_layers": -1}}], ids=["offset", "value"]
)
def test_invalid_snapshots_are_rejected(changes):
    entry = msgspec.structs.replace(MODEL, **changes)
    state = PolicyState()
    with pytest.raises(InvalidEntry):
        state.replace_by(Snapshot(covered=5, rules=1, entries=(entry,)))
    assert (state.next_offset, state.entries) == (0, {})


def test_inconsistent_snapshot_is_detected():
    state = PolicyState()
    state.replace_by(Snapshot(covered=5, rules=1, entries=(MODEL,)))
    other = msgspec.structs.replace(MODEL, value={"n_layers": 9})
    results = [
        state.is_inconsistent_with(Snapshot(covered=covered, rules=1, entries=entries))
        for covered, entries in ((5, (MODEL,)), (3, ()), (5, ()), (5, (other,)))
    ]
    assert results == [False, False, True, True]
