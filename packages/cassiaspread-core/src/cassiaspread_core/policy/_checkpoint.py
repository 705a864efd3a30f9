"""Checkpoints: the whole state on the stream, for readers that start blank."""

import random
from collections.abc import Iterator

import msgspec

from cassiaspread_core.base import Offset
from cassiaspread_core.policy._record import (
    BadRecord,
    CheckpointPart,
    Entry,
    decode_record,
)

MAX_PART_BYTES = 262_144
MAX_OPEN_CHECKPOINTS = 16
DUE_SHARE = 0.5
JITTER_SHARE = 1 / 16


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The whole state of a reader.

    :param covered: offset up to which, exclusively, the state is complete.
    :param rules: version of the rules in force there.
    :param entries: accepted entries, removed ones too.
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
    :param max_part_bytes: size at which a part is closed, in bytes.
    """
    groups = list(_group(snapshot.entries, max_part_bytes)) or [()]
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


def _group(
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
    """Puts the parts of checkpoints together, in any order and repeated.

    >>> snapshot = Snapshot(covered=7, rules=1, entries=())
    >>> assembler = CheckpointAssembler()
    >>> [assembler.add(part) for part in split_snapshot(snapshot, "c")]
    [Snapshot(covered=7, rules=1, entries=())]
    """

    def __init__(self) -> None:
        self._open: dict[tuple, dict[int, CheckpointPart]] = {}

    def add(self, part: CheckpointPart) -> Snapshot | None:
        """Take in a part.

        :param part: the part.
        :returns: the whole state once its last part came.
        """
        key = (part.checkpoint, part.covered, part.rules, part.n_parts)
        parts = self._open.setdefault(key, {})
        parts[part.index] = part
        if len(self._open) > MAX_OPEN_CHECKPOINTS:
            del self._open[next(iter(self._open))]
        if any(index not in parts for index in range(part.n_parts)):
            return None
        self._open.pop(key, None)
        entries = [e for index in range(part.n_parts) for e in parts[index].entries]
        return Snapshot(covered=part.covered, rules=part.rules, entries=tuple(entries))

    def add_record(self, offset: Offset, value: bytes) -> Snapshot | None:
        """Take in any record of the stream.

        :param offset: position of the record.
        :param value: the record as it lies in the log.
        :returns: the whole state once the last part of a checkpoint came.
        """
        try:
            record = decode_record(value)
        except BadRecord:
            return None
        if not isinstance(record, CheckpointPart) or record.covered > offset:
            return None
        return self.add(record)


class CheckpointSchedule:
    """Says when the next checkpoint has to be appended.

    Every daemon waits half of the retention after the last checkpoint and then a
    random time, so that as a rule one of them appends and the others see it.

    :param retention_s: how long the log keeps a record, in seconds.
    :param random_state: generator of the random time.
    """

    def __init__(self, retention_s: float, random_state: random.Random) -> None:
        self._retention_s = retention_s
        self._random_state = random_state
        self._checkpoint_s: float | None = None
        self._due_s: float | None = None

    @property
    def checkpoint_s(self) -> float | None:
        """When the last known checkpoint was appended, in seconds since the epoch."""
        return self._checkpoint_s

    def note_record(self, time_s: float) -> None:
        """Take in a record; the first one counts as long as there is no checkpoint.

        :param time_s: when it was appended, in seconds since the epoch.
        """
        if self._due_s is None:
            self._due_s = self._draw_due(time_s)

    def note_checkpoint(self, time_s: float) -> None:
        """Take in that a whole checkpoint lies in the stream.

        :param time_s: when it was appended, in seconds since the epoch.
        """
        if self._checkpoint_s is None or time_s > self._checkpoint_s:
            self._checkpoint_s = time_s
            self._due_s = self._draw_due(time_s)

    def _draw_due(self, time_s: float) -> float:
        wait_s = self._retention_s * DUE_SHARE
        jitter_s = self._random_state.uniform(0, self._retention_s * JITTER_SHARE)
        return time_s + wait_s + jitter_s

    def is_due(self, now_s: float) -> bool:
        """Tell whether to append a checkpoint now.

        :param now_s: present time in seconds since the epoch.
        """
        return self._due_s is not None and now_s >= self._due_s
