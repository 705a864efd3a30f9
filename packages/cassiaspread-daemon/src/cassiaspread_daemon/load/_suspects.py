"""Exchange of suspect records and trial claims with other daemons and the log."""

import asyncio
import time
from collections.abc import Callable, Sequence

import msgspec
from absl import logging

from cassiaspread_core.base import MalformedDocument, Offset, TargetId, decode_json
from cassiaspread_core.policy import Limits
from cassiaspread_core.quarantine import (
    Fingerprint,
    SuspectRecord,
    SuspectTable,
    TrialClaim,
    TrialClaims,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.adapters import (
    AppendAmbiguous,
    AppendNotSent,
    LogClient,
    LogPage,
    LogUnavailable,
    Truncated,
)
from cassiaspread_daemon.mesh import Mesh, PeerUnreachable, Sender

STREAM = "quarantine"
NOTICE_KIND = "suspects"
NOTICE_TIMEOUT_S = 0.3
LOG_LONG_POLL_S = 5.0
LOG_APPEND_TIMEOUT_S = 2.0
LOG_RETRY_DELAY_S = 0.5
MAX_GOSSIP_AGE_S = 60.0
MAX_GOSSIPED_RECORDS = 32
RESERVATION_S = 1.0
EXPIRY_INTERVAL_S = 1.0


class Notice(msgspec.Struct, frozen=True):
    """Message to a peer with changed suspect records and an optional trial claim.

    :param records: changed records.
    :param claim: claim that the peer is asked to check, if any.
    """

    records: tuple[SuspectRecord, ...]
    claim: TrialClaim | None = None


class NoticeReply(msgspec.Struct, frozen=True):
    """Reply of a peer to a notice.

    :param records: records of the peer for the same fingerprints.
    :param blockers: claims of the peer that take precedence over the one in the notice.
    """

    records: tuple[SuspectRecord, ...]
    blockers: tuple[TrialClaim, ...] = ()


class SuspectExchange:
    """Merges the suspect records of this daemon with those of all others.

    :param mesh: sends messages to daemons.
    :param log: client of the log.
    :param events: the time line.
    :param limits: returns the fleet-wide limits in force.
    """

    def __init__(
        self,
        mesh: Mesh,
        log: LogClient,
        events: EventRing,
        limits: Callable[[], Limits],
    ) -> None:
        self.suspect_table = SuspectTable()
        self.trials = TrialClaims()
        self._mesh = mesh
        self._log = log
        self._events = events
        self._limits = limits
        self._next_offset = Offset(0)
        self._unwritten: dict[Fingerprint, SuspectRecord] = {}
        self._has_unwritten = asyncio.Event()
        self._reserved_until_s: dict[TargetId, float] = {}
        mesh.register(NOTICE_KIND, Notice, self._handle_notice)
        mesh.add_topic(
            "suspects", self._produce, tuple[SuspectRecord, ...], self._consume
        )

    def reserved_targets(self) -> frozenset[TargetId]:
        """Return the targets that run suspects, which other requests should avoid."""
        now_s = time.monotonic()
        self._reserved_until_s = {
            t: end_s for t, end_s in self._reserved_until_s.items() if end_s > now_s
        }
        return self.trials.targets() | self._reserved_until_s.keys()

    async def notify_peers(
        self, records: Sequence[SuspectRecord], claim: TrialClaim | None = None
    ) -> list[TrialClaim]:
        """Send records to every peer that may be running and wait for the replies.

        The wait is short. The peers include those that joined recently or did not
        respond recently, since they may run the same request.

        :param records: changed records.
        :param claim: claim that the peers are asked to check, if any.
        :returns: claims of the peers that take precedence over it.
        """
        notice = Notice(tuple(records), claim)
        replies = await asyncio.gather(
            *(
                self._send_notice(peer.sender.address, notice)
                for peer in self._mesh.alive_or_suspect_peers()
            )
        )
        blockers = []
        for reply in replies:
            if reply is not None:
                self.merge(reply.records)
                blockers += reply.blockers
        return blockers

    def merge(self, records: Sequence[SuspectRecord]) -> None:
        """Merge records into those of this daemon.

        :param records: records of a peer or from the log.
        """
        for record in records:
            was_quarantined = self.suspect_table.is_quarantined(record.fingerprint)
            if self.suspect_table.merge(record):
                self._record_quarantine_change(record.fingerprint, was_quarantined)

    def write_verdict(self, record: SuspectRecord) -> None:
        """Queue a record for the log: a quarantine, its release or its refutation.

        The append is retried until it succeeds.

        :param record: the record.
        """
        self._unwritten[record.fingerprint] = record
        self._has_unwritten.set()

    async def run_writer(self) -> None:
        """Append queued records to the log until cancelled."""
        while True:
            await self._has_unwritten.wait()
            self._has_unwritten.clear()
            for record in list(self._unwritten.values()):
                await self._append(record)

    async def run_reader(self) -> None:
        """Read and merge records from the log until cancelled."""
        while True:
            try:
                page = await self._log.read(
                    STREAM, self._next_offset, wait_s=LOG_LONG_POLL_S
                )
            except Truncated as error:
                self._next_offset = error.earliest
                continue
            except LogUnavailable:
                await asyncio.sleep(LOG_RETRY_DELAY_S)
                continue
            self._read_page(page)

    async def run_expiry(self) -> None:
        """Remove expired records periodically until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            for record in self.suspect_table.expire(
                time.time(), self._limits().quarantine_s
            ):
                self._events.record("suspect.expired", fingerprint=record.fingerprint)

    async def _send_notice(self, address: str, notice: Notice) -> NoticeReply | None:
        try:
            return await self._mesh.ask(
                address, NOTICE_KIND, notice, NoticeReply, NOTICE_TIMEOUT_S
            )
        except PeerUnreachable:
            return None

    async def _handle_notice(self, notice: Notice, sender: Sender) -> NoticeReply:
        self.merge(notice.records)
        own_records = [
            self.suspect_table.find(record.fingerprint) for record in notice.records
        ]
        blockers: tuple[TrialClaim, ...] = ()
        if notice.claim is not None:
            blockers = self.trials.blockers(notice.claim)
            if not blockers:
                end_s = time.monotonic() + RESERVATION_S
                self._reserved_until_s.update(
                    dict.fromkeys(notice.claim.targets, end_s)
                )
        return NoticeReply(tuple(r for r in own_records if r is not None), blockers)

    def _produce(self) -> tuple[SuspectRecord, ...] | None:
        oldest_s = time.time() - MAX_GOSSIP_AGE_S
        recent = [r for r in self.suspect_table.suspects() if r.last_s > oldest_s]
        recent.sort(key=lambda record: record.last_s, reverse=True)
        return tuple(recent[:MAX_GOSSIPED_RECORDS]) or None

    def _consume(self, records: tuple[SuspectRecord, ...], sender: Sender) -> None:
        self.merge(records)

    def _record_quarantine_change(
        self, fingerprint: Fingerprint, was_quarantined: bool
    ) -> None:
        is_quarantined = self.suspect_table.is_quarantined(fingerprint)
        if is_quarantined != was_quarantined:
            kind = "quarantine.heard" if is_quarantined else "quarantine.lifted"
            self._events.record(kind, fingerprint=fingerprint)

    async def _append(self, record: SuspectRecord) -> None:
        try:
            await self._log.append(
                STREAM, msgspec.json.encode(record), LOG_APPEND_TIMEOUT_S
            )
        except (AppendNotSent, AppendAmbiguous) as error:
            # A record may be appended twice; merging it again has no effect.
            logging.log_every_n_seconds(
                logging.WARNING,
                "quarantine stream: append failed: %s",
                10,
                error,
            )
            self._has_unwritten.set()
            await asyncio.sleep(LOG_RETRY_DELAY_S)
            return
        if self._unwritten.get(record.fingerprint) == record:
            del self._unwritten[record.fingerprint]

    def _read_page(self, page: LogPage) -> None:
        for record in page.records:
            try:
                value = decode_json(record.value, SuspectRecord)
            except MalformedDocument as error:
                logging.error(
                    "quarantine stream: invalid record at offset %d: %s",
                    record.offset,
                    error,
                )
                continue
            self.merge((value,))
        if page.records:
            self._next_offset = Offset(page.records[-1].offset + 1)
