"""Exchange of suspect records with the other daemons, directly and through the store.

Each daemon sends its own losses to its peers by gossip. Records with losses of several
rounds go to all daemons and are also kept in the store, for daemons that start later or
that the others cannot reach. The records in the store are compared with those held
whenever either changes, so that what an outage or an older copy of the store has lost
is written again. After its start a daemon reads the store only if it is the first of
its domain; the others hear of the records by gossip.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from cassiaspread_core.base import LogUnavailable
from cassiaspread_core.quarantine import (
    Fingerprint,
    SuspectKind,
    SuspectRecord,
)
from cassiaspread_core.routing import StateAge
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._feed_sharing import FeedSharing, ReaderRole
from cassiaspread_daemon.gateway._job import now, unix_time_s
from cassiaspread_daemon.gateway._protocols import SuspectChange, SuspectTopic
from cassiaspread_daemon.gateway._quarantine import (
    Quarantine,
    Source,
    is_record_expired,
)
from cassiaspread_daemon.gateway._routing_state import FeedFollower
from cassiaspread_daemon.mesh import DeltaTopic, Mesh, Sender

TOPIC = "suspects"
# How long the store waits for a change before it returns an empty page, in seconds.
# Peers that reach each other do not depend on the store.
STORE_WAIT_S = 20.0
# Interval between two checks whether this daemon has to read, in seconds.
ROLE_CHECK_INTERVAL_S = 1.0
# Pause between two reads while records change, in seconds.
READ_INTERVAL_S = 0.5
# Number of rounds from which a record is sent to peers at once and kept in the store.
# Each engine that ends leaves records with one round, most of which are cleared by the
# next attempt; they go with the gossip of every second.
MIN_SHARED_ROUNDS = 2
# A part of a prompt is kept in the store from the first round on, since each daemon may
# see it only once. Most are cleared within this time, in seconds.
PART_DELAY_S = 1.0
# Delay before a record of another daemon is written, in seconds; by then that daemon
# has written it if it can.
OTHERS_DELAY_S = (1.0, 2.5)
WRITE_INTERVAL_S = 0.1
WRITE_RETRY_S = 0.7
MAX_RECORDS_PER_WRITE = 64


class _SuspectFollower(FeedFollower[SuspectChange]):
    """Reads the records in the store while this daemon is the first of its domain."""

    def __init__(
        self, is_reader: Callable[[], bool], *arguments: Any, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._is_reader = is_reader

    async def _wait_until_due(self) -> None:
        if self._position is None or self._is_reader():
            return
        while not self._is_reader():
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
        # The records heard of meanwhile are compared with all that the store holds.
        self._position = None


class SuspectSharing:
    """Keeps the records of this daemon, its peers and the store in agreement.

    :param quarantine: holds the records.
    :param mesh: messages between daemons; ``None`` if they do not communicate.
    :param feed_sharing: selects the daemon that reads the records in the store.
    :param topic: records in the store.
    :param supervisor: runs the tasks.
    :param log: receives a line when the store becomes unavailable or available again.
    :param random_state: spreads the writes of many daemons.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        mesh: Mesh | None,
        feed_sharing: FeedSharing,
        topic: SuspectTopic,
        supervisor: Supervisor,
        log: DecisionLog,
        random_state: random.Random,
    ) -> None:
        self._quarantine = quarantine
        self._mesh = mesh
        self._feed_sharing = feed_sharing
        self._store_topic = topic
        self._supervisor = supervisor
        self._log = log
        self._random_state = random_state
        # Records in the store as far as they were read.
        self._stored: dict[Fingerprint, SuspectRecord] = {}
        # Times at which fingerprints are compared with the store.
        self._due_s: dict[Fingerprint, float] = {}
        self.age = StateAge(float("inf"))
        self._follower = _SuspectFollower(
            self._is_reader,
            TOPIC,
            topic,
            self._apply,
            self._replace,
            self.age,
            log,
            STORE_WAIT_S,
            READ_INTERVAL_S,
            random_state,
        )
        self._peers_topic = DeltaTopic(SuspectRecord, None, self._receive)
        if mesh is not None:
            mesh.add_delta_topic(TOPIC, self._peers_topic)
        quarantine.change_callbacks.append(self._handle_change)
        quarantine.expiry_callbacks.append(self._handle_expiry)

    def start(self) -> None:
        """Start the tasks."""
        self._supervisor.start("suspects-read", self._follower.run)
        self._supervisor.start("suspects-write", self._write)

    def _is_reader(self) -> bool:
        return self._feed_sharing.role(TOPIC, now()) is not ReaderRole.NONE

    def _handle_change(self, record: SuspectRecord, source: Source) -> None:
        if self._mesh is not None:
            self._publish(record, source, self._mesh)
        if source is not Source.OWN and not self._is_reader():
            return
        delay_s = 0.0
        if source is not Source.OWN:
            delay_s = self._random_state.uniform(*OTHERS_DELAY_S)
        elif _is_part(record) and record.n_rounds < MIN_SHARED_ROUNDS:
            delay_s = PART_DELAY_S
        self._due_s.setdefault(record.fingerprint, now() + delay_s)

    def _publish(self, record: SuspectRecord, source: Source, mesh: Mesh) -> None:
        n_rounds = len({loss.round for loss in record.losses})
        # Peers that share a part with others must know that it is cleared.
        is_cleared = not record.is_suspect and not _is_part(record)
        if n_rounds < MIN_SHARED_ROUNDS and is_cleared:
            self._peers_topic.discard(record.fingerprint)
        elif n_rounds >= MIN_SHARED_ROUNDS or source is Source.OWN:
            # Peers do not pass on the many records with one round.
            self._peers_topic.put(record.fingerprint, record)
            self._peers_topic.put(record.fingerprint, record, is_cross_domain=True)
        if record.n_rounds >= MIN_SHARED_ROUNDS:
            mesh.gossip_now()

    def _handle_expiry(self, fingerprint: Fingerprint) -> None:
        if self._mesh is not None:
            self._peers_topic.discard(fingerprint)
        if not self._is_reader():
            return
        delay_s = self._random_state.uniform(*OTHERS_DELAY_S)
        self._due_s.setdefault(fingerprint, now() + delay_s)

    def _receive(self, record: SuspectRecord, sender: Sender) -> None:
        self._quarantine.merge(record, Source.PEER, unix_time_s())

    def _apply(self, change: SuspectChange) -> None:
        if change.record is None:
            self._stored.pop(change.fingerprint, None)
        else:
            self._stored[change.fingerprint] = change.record
            self._quarantine.merge(change.record, Source.STORE, unix_time_s())
        delay_s = self._random_state.uniform(*OTHERS_DELAY_S)
        self._due_s.setdefault(change.fingerprint, now() + delay_s)

    def _replace(self, changes: tuple[SuspectChange, ...]) -> None:
        self._stored = {}
        for change in changes:
            self._apply(change)
        for record in self._quarantine.records():
            delay_s = self._random_state.uniform(*OTHERS_DELAY_S)
            self._due_s.setdefault(record.fingerprint, now() + delay_s)

    async def _write(self) -> None:
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            now_s = now()
            due = [f for f, due_s in self._due_s.items() if due_s <= now_s]
            changes = []
            for fingerprint in due:
                del self._due_s[fingerprint]
                change = self._find_change(fingerprint)
                if change is not None:
                    changes.append(change)
            for begin in range(0, len(changes), MAX_RECORDS_PER_WRITE):
                await self._append(changes[begin : begin + MAX_RECORDS_PER_WRITE])

    def _find_change(self, fingerprint: Fingerprint) -> SuspectChange | None:
        """Return what has to be written to the store for a fingerprint, if anything."""
        record = self._quarantine.find(fingerprint)
        stored = self._stored.get(fingerprint)
        if record is None:
            is_kept = stored is None or not is_record_expired(stored, unix_time_s())
            return None if is_kept else SuspectChange(fingerprint, None)
        if record == stored:
            return None
        if stored is None and not _is_stored(record):
            return None
        return SuspectChange(fingerprint, record)

    async def _append(self, changes: list[SuspectChange]) -> None:
        try:
            await self._store_topic.write(changes)
        except LogUnavailable as error:
            self._log.record(
                "suspects.not_written", n_records=len(changes), reason=str(error)
            )
            retry_s = now() + WRITE_RETRY_S * self._random_state.uniform(1.0, 2.0)
            for change in changes:
                self._due_s.setdefault(change.fingerprint, retry_s)
            return
        self._log.record(
            "suspects.written", fingerprints=[c.fingerprint for c in changes]
        )
        # Until the page with the records is read; another daemon may have written
        # others in between.
        for change in changes:
            if change.record is None:
                self._stored.pop(change.fingerprint, None)
            else:
                self._stored[change.fingerprint] = change.record


def _is_part(record: SuspectRecord) -> bool:
    return record.kind is SuspectKind.PROMPT_PART


def _is_stored(record: SuspectRecord) -> bool:
    """Return whether a record that the store does not hold is written to it."""
    if _is_part(record):
        return record.is_suspect
    return record.n_rounds >= MIN_SHARED_ROUNDS
