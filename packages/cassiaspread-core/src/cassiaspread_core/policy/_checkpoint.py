"""Checkpoints: the complete state in the stream, for readers without any state."""

import random
from collections.abc import Iterator

import msgspec

from cassiaspread_core.base import Offset
from cassiaspread_core.policy._record import (
    CheckpointPart,
    Entry,
    InvalidRecord,
    decode_record,
)

MAX_PART_BYTES = 262_144
MAX_INCOMPLETE_CHECKPOINTS = 16
# Fractions of the retention of the log.
INTERVAL_RATIO = 0.5
JITTER_RATIO = 1 / 16


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The complete state of a reader.

    :param covered: offset after the last record that the state includes.
    :param rules: version of the rules in force at that offset.
    :param entries: accepted entries, including removed ones.
    """

    covered: Offset
    rules: int
    entries: tuple[Entry, ...]


def split_snapshot(
    snapshot: Snapshot, checkpoint: str, max_part_bytes: int = MAX_PART_BYTES
) -> list[CheckpointPart]:
    """Split a state into records of bounded size.

    :param snapshot: the state.
    :param checkpoint: identifier of the checkpoint.
    :param max_part_bytes: size at which a part ends, in bytes; its last entry may
        exceed it.
    """
    groups = list(_group_entries(snapshot.entries, max_part_bytes)) or [()]
    return [
        CheckpointPart(
            checkpoint=checkpoint,
            index=index,
            n_parts=len(groups),
            covered=snapshot.covered,
            rules=snapshot.rules,
            entries=group,
        )
        for index, group in enumerate(groups)
    ]


def _group_entries(
    entries: tuple[Entry, ...], max_part_bytes: int
) -> Iterator[tuple[Entry, ...]]:
    group: list[Entry] = []
    n_bytes = 0
    for entry in entries:
        group.append(entry)
        n_bytes += len(msgspec.json.encode(entry))
        if n_bytes >= max_part_bytes:
            yield tuple(group)
            group, n_bytes = [], 0
    if group:
        yield tuple(group)


class CheckpointAssembler:
    """Assembles checkpoints from parts, which may be out of order or repeated.

    >>> snapshot = Snapshot(covered=7, rules=1, entries=())
    >>> assembler = CheckpointAssembler()
    >>> [assembler.add(part) for part in split_snapshot(snapshot, "c")]
    [Snapshot(covered=7, rules=1, entries=())]
    """

    def __init__(self) -> None:
        self._incomplete: dict[tuple, dict[int, CheckpointPart]] = {}

    def add(self, part: CheckpointPart) -> Snapshot | None:
        """Add a part.

        :param part: the part.
        :returns: the complete state if no part is missing, else ``None``.
        """
        key = (part.checkpoint, part.covered, part.rules, part.n_parts)
        parts = self._incomplete.setdefault(key, {})
        parts[part.index] = part
        if len(self._incomplete) > MAX_INCOMPLETE_CHECKPOINTS:
            del self._incomplete[next(iter(self._incomplete))]
        if any(index not in parts for index in range(part.n_parts)):
            return None
        self._incomplete.pop(key, None)
        entries = [e for index in range(part.n_parts) for e in parts[index].entries]
        return Snapshot(covered=part.covered, rules=part.rules, entries=tuple(entries))

    def add_record(self, offset: Offset, value: bytes) -> Snapshot | None:
        """Add a record of the stream; records other than checkpoint parts are ignored.

        :param offset: offset of the record.
        :param value: bytes of the record in the log.
        :returns: the complete state if no part of its checkpoint is missing, else
            ``None``.
        """
        try:
            record = decode_record(value)
        except InvalidRecord:
            return None
        if not isinstance(record, CheckpointPart) or record.covered > offset:
            return None
        return self.add(record)


class CheckpointSchedule:
    """Determines when to append the next checkpoint.

    After the last checkpoint, every daemon waits for half of the retention plus a
    random time, so that usually one daemon appends and the others read its
    checkpoint before their own is due.

    :param retention_s: retention of the log, in seconds.
    :param random_state: generator of the random time.
    """

    def __init__(self, retention_s: float, random_state: random.Random) -> None:
        self._retention_s = retention_s
        self._random_state = random_state
        self._checkpoint_s: float | None = None
        self._due_s: float | None = None

    @property
    def checkpoint_s(self) -> float | None:
        """Append time of the latest known checkpoint, in seconds since the epoch."""
        return self._checkpoint_s

    def schedule_after_record(self, time_s: float) -> None:
        """Schedule a checkpoint after the first record if none is scheduled yet.

        :param time_s: time at which it was appended, in seconds since the epoch.
        """
        if self._due_s is None:
            self._due_s = self._draw_due_time(time_s)

    def schedule_after_checkpoint(self, time_s: float) -> None:
        """Reschedule after a complete checkpoint; older checkpoints are ignored.

        :param time_s: time at which it was appended, in seconds since the epoch.
        """
        if self._checkpoint_s is None or time_s > self._checkpoint_s:
            self._checkpoint_s = time_s
            self._due_s = self._draw_due_time(time_s)

    def _draw_due_time(self, time_s: float) -> float:
        wait_s = self._retention_s * INTERVAL_RATIO
        jitter_s = self._random_state.uniform(0, self._retention_s * JITTER_RATIO)
        return time_s + wait_s + jitter_s

    def is_due(self, now_s: float) -> bool:
        """Return whether a checkpoint is due.

        :param now_s: current time, in seconds since the epoch.
        """
        return self._due_s is not None and now_s >= self._due_s
