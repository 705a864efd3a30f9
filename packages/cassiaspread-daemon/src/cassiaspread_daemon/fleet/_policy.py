"""Follows the policy stream of the log."""

import asyncio
import time
from collections import deque

from absl import logging

from cassiaspread_core.base import Offset
from cassiaspread_core.policy import (
    CheckpointAssembler,
    CheckpointPart,
    CheckpointSchedule,
    EntryKey,
    EntryRecord,
    Folded,
    InvalidEntry,
    Policy,
    PolicyState,
    PolicyStatus,
    RejectedRecord,
    Snapshot,
    Verdict,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.adapters import (
    LogClient,
    LogPage,
    LogRecord,
    LogUnavailable,
    Truncated,
)
from cassiaspread_daemon.fleet._find_checkpoint import POLICY_STREAM, find_checkpoint
from cassiaspread_daemon.fleet._recent_records import RecentRecords

WAIT_S = 3.0
RETRY_DELAY_S = 0.2
RECOVERY_DELAY_S = 1.0
N_REJECTED_KEPT = 20

# A daemon that lags for longer than records take to spread is not ready.
MAX_LAG_S = 5.0


class PolicyFollower:
    """Keeps the configuration in force up to date.

    The log is the first source; :class:`PolicyPeers` feeds it what peers have.

    :param log: client of the log.
    :param events: the time line.
    :param schedule: when the next checkpoint is due.
    """

    def __init__(
        self, log: LogClient, events: EventRing, schedule: CheckpointSchedule
    ) -> None:
        self._log = log
        self._events = events
        self._schedule = schedule
        self._state = PolicyState()
        self._recent = RecentRecords()
        self._assembler = CheckpointAssembler()
        self._is_current = False
        self._known = Offset(0)
        self._behind_since_s: float | None = None
        self._log_error = "the log was not read yet"
        self._source = ""
        self._counts = dict.fromkeys(Verdict, 0)
        self._rejected: deque[RejectedRecord] = deque(maxlen=N_REJECTED_KEPT)

    @property
    def policy(self) -> Policy:
        """The configuration in force."""
        return self._state.policy

    @property
    def state(self) -> PolicyState:
        """The accepted entries."""
        return self._state

    @property
    def recent(self) -> RecentRecords:
        """The latest records, for peers."""
        return self._recent

    @property
    def is_current(self) -> bool:
        """Whether all that was published was once in force here."""
        return self._is_current

    @property
    def log_error(self) -> str:
        """Why the log could not be read last; empty while it can."""
        return self._log_error

    @property
    def known_offset(self) -> Offset:
        """Highest offset up to which a daemon is known to have the stream."""
        return max(self._known, self._state.next_offset)

    def lag_s(self) -> float:
        """Return for how long a peer has been known to have more, in seconds."""
        if self._behind_since_s is None:
            return 0.0
        return time.monotonic() - self._behind_since_s

    def not_ready_reasons(self) -> list[str]:
        """List why this configuration should not be served."""
        reasons = []
        if self._state.halt is not None:
            reasons.append(self._state.halt)
        if not self._is_current:
            reasons.append(f"the configuration was not read yet ({self._progress()})")
        if self.lag_s() > MAX_LAG_S and self._state.halt is None:
            reasons.append(
                f"the configuration is at offset {self._state.next_offset}, a peer "
                f"has it up to {self._known}"
            )
        return reasons

    def _progress(self) -> str:
        log = self._log_error or "the log is being read"
        if self._known > self._state.next_offset:
            return f"{log}; a peer has it up to offset {self._known}"
        return f"{log}; no peer has it"

    def status(self) -> PolicyStatus:
        """Report the state of the configuration."""
        return PolicyStatus(
            next_offset=self._state.next_offset,
            known_offset=self.known_offset,
            last_accepted=self._state.last_accepted,
            digest=self._state.digest,
            rules=self._state.rules,
            known_rules=self._state.latest_rules,
            is_current=self._is_current,
            source=self._source,
            log_error=self._log_error,
            reasons=tuple(self.not_ready_reasons()),
            n_accepted=self._counts[Verdict.ACCEPTED],
            n_rejected=self._counts[Verdict.REJECTED],
            n_skipped=self._counts[Verdict.SKIPPED],
            rejected=tuple(self._rejected),
        )

    def note_peer(self, next_offset: Offset, is_current: bool) -> None:
        """Take in how far a peer has the stream.

        :param next_offset: offset up to which, exclusively, it has all records.
        :param is_current: whether it once had all that was published.
        """
        self._known = max(self._known, next_offset)
        if is_current and next_offset <= self._state.next_offset:
            self._note_current()
        self._note_progress()

    def take_in(
        self, start: Offset, records: tuple[LogRecord, ...], source: str
    ) -> None:
        """Take in consecutive records.

        :param start: offset at which they begin.
        :param records: the records.
        :param source: where they came from.
        """
        times = {record.offset: record.time_s for record in records}
        folded = self._state.fold(start, ((r.offset, r.value) for r in records))
        new = {result.offset for result in folded}
        self._recent.extend(
            self._state.next_offset, [r for r in records if r.offset in new]
        )
        for result in folded:
            self._source = source
            self._counts[result.verdict] += 1
            self._record(result, source)
            self._schedule.note_record(times[result.offset])
            if result.verdict is Verdict.CHECKPOINT:
                assert isinstance(result.record, CheckpointPart)
                self._check_checkpoint(result.record, times[result.offset])
        self._note_progress()

    def take_over(self, snapshot: Snapshot, source: str) -> bool:
        """Replace the state by one that covers more, if it does.

        :param snapshot: the state of a checkpoint or a peer.
        :param source: where it came from.
        :returns: whether it was taken over.
        """
        try:
            is_taken = self._state.take_over(snapshot)
        except InvalidEntry as error:
            self._events.record("policy.bad_snapshot", source=source, reason=str(error))
            return False
        if is_taken:
            self._source = source
            self._recent.clear(self._state.next_offset)
            self._events.record(
                "policy.taken_over",
                source=source,
                next_offset=self._state.next_offset,
                digest=self._state.digest,
            )
        self._note_progress()
        return is_taken

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            if self._state.halt is not None:
                await asyncio.sleep(RECOVERY_DELAY_S)
                continue
            start = self._state.next_offset
            try:
                page = await self._log.read(POLICY_STREAM, start, wait_s=WAIT_S)
            except Truncated as error:
                await self._recover(error.earliest)
            except LogUnavailable as error:
                self._note_log_error(str(error))
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                self._take_in_page(start, page)

    def _take_in_page(self, start: Offset, page: LogPage) -> None:
        self.take_in(start, page.records, "log")
        if page.end < start:
            self._note_log_error(f"the log ends at {page.end}, {start} was read before")
            return
        self._log_error = ""
        if max(page.end, self._known) <= self._state.next_offset:
            self._note_current()

    async def _recover(self, earliest: Offset) -> None:
        start = self._state.next_offset
        error = (
            f"the log lost offsets {start} to {earliest - 1} and has no "
            "checkpoint that covers them"
        )
        try:
            snapshot = await find_checkpoint(self._log, earliest)
            if snapshot is not None:
                self.take_over(snapshot, "checkpoint")
        except (LogUnavailable, Truncated) as failure:
            error = str(failure)
        if self._state.next_offset < earliest:
            self._note_log_error(error)
            await asyncio.sleep(RECOVERY_DELAY_S)

    def _check_checkpoint(self, part: CheckpointPart, time_s: float) -> None:
        snapshot = self._assembler.add(part)
        if snapshot is None:
            return
        if self._state.contradicts(snapshot):
            self._events.record("policy.checkpoint_differs", covered=snapshot.covered)
            logging.error("a checkpoint of offset %d differs", snapshot.covered)
            return
        self._schedule.note_checkpoint(time_s)
        self._events.record("policy.checkpoint", covered=snapshot.covered)

    def _record(self, result: Folded, source: str) -> None:
        if result.verdict is Verdict.CHECKPOINT:
            return
        fields: dict[str, str | int] = {"offset": result.offset, "source": source}
        if isinstance(result.record, EntryRecord):
            fields["entry"] = str(EntryKey(result.record.kind, result.record.name))
            fields["author"] = result.record.author
            fields["change"] = result.record.change
        if result.verdict is not Verdict.ACCEPTED:
            fields["reason"] = result.reason
            self._rejected.append(RejectedRecord(result.offset, result.reason))
        self._events.record(f"policy.{result.verdict.value}", **fields)

    def _note_log_error(self, error: str) -> None:
        self._log_error = error
        logging.log_every_n_seconds(logging.WARNING, "policy stream: %s", 10, error)

    def _note_current(self) -> None:
        if not self._is_current:
            self._is_current = True
            self._events.record(
                "policy.current",
                next_offset=self._state.next_offset,
                source=self._source,
            )

    def _note_progress(self) -> None:
        if self._known <= self._state.next_offset:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = time.monotonic()
