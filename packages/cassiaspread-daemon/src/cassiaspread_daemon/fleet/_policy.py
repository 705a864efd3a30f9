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
    FoldedRecord,
    FoldVerdict,
    InvalidEntry,
    Policy,
    PolicyState,
    PolicyStatus,
    RejectedRecord,
    Snapshot,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.adapters import (
    LogClient,
    LogPage,
    LogRecord,
    LogUnavailable,
    Truncated,
)
from cassiaspread_daemon.fleet._checkpoint_search import POLICY_STREAM, find_checkpoint
from cassiaspread_daemon.fleet._recent_records import RecentRecords

READ_WAIT_S = 3.0
RETRY_DELAY_S = 0.2
RECOVERY_DELAY_S = 1.0
MAX_REJECTED_RECORDS = 20

# Longer than records take to reach all daemons; a daemon that lags for longer is not
# ready.
MAX_LAG_S = 5.0


class PolicyFollower:
    """Keeps the configuration in force up to date.

    The log is the primary source; :class:`PolicyPeers` adds records and snapshots from
    peers.

    :param log: client of the log.
    :param events: the time line.
    :param schedule: determines when the next checkpoint is due.
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
        self._peer_offset = Offset(0)
        # End of the stream by the last page, which may have been cut off before it.
        self._log_end = Offset(0)
        self._lagging_since_s: float | None = None
        self._log_error = "the log was not read yet"
        self._source = ""
        self._counts = dict.fromkeys(FoldVerdict, 0)
        self._rejected: deque[RejectedRecord] = deque(maxlen=MAX_REJECTED_RECORDS)

    @property
    def policy(self) -> Policy:
        """The configuration in force."""
        return self._state.policy

    @property
    def state(self) -> PolicyState:
        """State folded from the stream, with the accepted entries."""
        return self._state

    @property
    def recent(self) -> RecentRecords:
        """The latest records, served to peers."""
        return self._recent

    @property
    def is_current(self) -> bool:
        """Whether this daemon has once had every published record in force."""
        return self._is_current

    @property
    def log_error(self) -> str:
        """Why the last read of the log failed, empty if it succeeded."""
        return self._log_error

    @property
    def known_offset(self) -> Offset:
        """Highest offset up to which this daemon, a peer or the log has the stream."""
        return max(self._peer_offset, self._log_end, self._state.next_offset)

    def lag_s(self) -> float:
        """Return for how long this daemon has been behind, in seconds."""
        if self._lagging_since_s is None:
            return 0.0
        return time.monotonic() - self._lagging_since_s

    def not_ready_reasons(self) -> list[str]:
        """List the reasons why this configuration should not be served."""
        reasons = []
        if self._state.halt_reason is not None:
            reasons.append(self._state.halt_reason)
        if not self._is_current:
            reasons.append(f"the configuration was not read yet ({self._progress()})")
        if self.lag_s() > MAX_LAG_S and self._state.halt_reason is None:
            is_peer_ahead = self._peer_offset >= self._log_end
            reasons.append(
                f"the configuration is at offset {self._state.next_offset}, "
                f"{'a peer' if is_peer_ahead else 'the log'} has it up to "
                f"{self.known_offset}"
            )
        return reasons

    def _progress(self) -> str:
        log = self._log_error or "the log is being read"
        if self._peer_offset > self._state.next_offset:
            return f"{log}; a peer has it up to offset {self._peer_offset}"
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
            n_accepted=self._counts[FoldVerdict.ACCEPTED],
            n_rejected=self._counts[FoldVerdict.REJECTED],
            n_skipped=self._counts[FoldVerdict.SKIPPED],
            rejected=tuple(self._rejected),
        )

    def record_peer_progress(self, next_offset: Offset, is_current: bool) -> None:
        """Record how far a peer has read the stream.

        :param next_offset: offset up to which, exclusively, it has all records.
        :param is_current: whether it has once had every published record.
        """
        self._peer_offset = max(self._peer_offset, next_offset)
        if is_current and next_offset <= self._state.next_offset:
            self._record_current()
        self._update_lag()

    def apply_records(
        self, start: Offset, records: tuple[LogRecord, ...], source: str
    ) -> None:
        """Fold consecutive records into the state.

        :param start: offset of the first record.
        :param records: the records.
        :param source: source of the records, for the time line.
        """
        times_s = {record.offset: record.time_s for record in records}
        folded = self._state.fold(start, ((r.offset, r.value) for r in records))
        new = {result.offset for result in folded}
        self._recent.extend(
            self._state.next_offset, [r for r in records if r.offset in new]
        )
        for result in folded:
            self._source = source
            self._counts[result.verdict] += 1
            self._record_event(result, source)
            self._schedule.schedule_after_record(times_s[result.offset])
            if result.verdict is FoldVerdict.CHECKPOINT:
                assert isinstance(result.record, CheckpointPart)
                self._verify_checkpoint(result.record, times_s[result.offset])
        self._update_lag()

    def apply_snapshot(self, snapshot: Snapshot, source: str) -> bool:
        """Replace the state by a snapshot if that covers more records.

        :param snapshot: state from a checkpoint or a peer.
        :param source: source of the snapshot, for the time line.
        :returns: whether the state was replaced.
        """
        try:
            is_applied = self._state.replace_by(snapshot)
        except InvalidEntry as error:
            self._events.record("policy.bad_snapshot", source=source, reason=str(error))
            return False
        if is_applied:
            self._source = source
            self._recent.clear(self._state.next_offset)
            self._events.record(
                "policy.taken_over",
                source=source,
                next_offset=self._state.next_offset,
                digest=self._state.digest,
            )
        self._update_lag()
        return is_applied

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            if self._state.halt_reason is not None:
                await asyncio.sleep(RECOVERY_DELAY_S)
                continue
            start = self._state.next_offset
            try:
                page = await self._log.read(POLICY_STREAM, start, wait_s=READ_WAIT_S)
            except Truncated as error:
                await self._recover_from_checkpoint(error.earliest)
            except LogUnavailable as error:
                self._record_log_error(str(error))
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                self._apply_page(start, page)

    def _apply_page(self, start: Offset, page: LogPage) -> None:
        self._log_end = page.end
        self.apply_records(start, page.records, "log")
        if page.end < start:
            self._record_log_error(
                f"the log ends at {page.end}, {start} was read before"
            )
            return
        self._log_error = ""
        if self.known_offset <= self._state.next_offset:
            self._record_current()

    async def _recover_from_checkpoint(self, earliest: Offset) -> None:
        start = self._state.next_offset
        error = (
            f"the log lost offsets {start} to {earliest - 1} and has no "
            "checkpoint that covers them"
        )
        try:
            snapshot = await find_checkpoint(self._log, earliest)
            if snapshot is not None:
                self.apply_snapshot(snapshot, "checkpoint")
        except (LogUnavailable, Truncated) as failure:
            error = str(failure)
        if self._state.next_offset < earliest:
            self._record_log_error(error)
            await asyncio.sleep(RECOVERY_DELAY_S)

    def _verify_checkpoint(self, part: CheckpointPart, time_s: float) -> None:
        snapshot = self._assembler.add(part)
        if snapshot is None:
            return
        if self._state.is_inconsistent_with(snapshot):
            self._events.record("policy.checkpoint_differs", covered=snapshot.covered)
            logging.error(
                "a checkpoint of offset %d differs from the folded state",
                snapshot.covered,
            )
            return
        self._schedule.schedule_after_checkpoint(time_s)
        self._events.record("policy.checkpoint", covered=snapshot.covered)

    def _record_event(self, result: FoldedRecord, source: str) -> None:
        if result.verdict is FoldVerdict.CHECKPOINT:
            return
        fields: dict[str, str | int] = {"offset": result.offset, "source": source}
        if isinstance(result.record, EntryRecord):
            fields["entry"] = str(EntryKey(result.record.kind, result.record.name))
            fields["author"] = result.record.author
            fields["change"] = result.record.change
        if result.verdict is not FoldVerdict.ACCEPTED:
            fields["reason"] = result.reason
            self._rejected.append(RejectedRecord(result.offset, result.reason))
        self._events.record(f"policy.{result.verdict.value}", **fields)

    def _record_log_error(self, error: str) -> None:
        self._log_error = error
        logging.log_every_n_seconds(
            logging.WARNING, "error following the policy stream: %s", 10, error
        )

    def _record_current(self) -> None:
        if not self._is_current:
            self._is_current = True
            self._events.record(
                "policy.current",
                next_offset=self._state.next_offset,
                source=self._source,
            )

    def _update_lag(self) -> None:
        if self.known_offset <= self._state.next_offset:
            self._lagging_since_s = None
        elif self._lagging_since_s is None:
            self._lagging_since_s = time.monotonic()
