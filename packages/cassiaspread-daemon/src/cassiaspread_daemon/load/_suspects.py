"""Suspect records and trial claims between daemons and on the log."""

import asyncio
import time
from collections.abc import Callable, Sequence

import msgspec
from absl import logging

from cassiaspread_core.base import Offset, TargetId
from cassiaspread_core.policy import Limits
from cassiaspread_core.quarantine import (
    Fingerprint,
    SuspectBook,
    SuspectRecord,
    TrialBook,
    TrialClaim,
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
LOG_WAIT_S = 5.0
LOG_TIMEOUT_S = 2.0
LOG_RETRY_DELAY_S = 0.5
GOSSIP_AGE_S = 60.0
N_GOSSIPED = 32
CROWDED_S = 1.0
EXPIRY_INTERVAL_S = 1.0


class Notice(msgspec.Struct, frozen=True):
    """Tells a peer what is suspected and asks whether a claim may run.

    :param records: records that changed.
    :param claim: the claim, if one is asked for.
    """

    records: tuple[SuspectRecord, ...]
    claim: TrialClaim | None = None


class NoticeReply(msgspec.Struct, frozen=True):
    """A peer's answer.

    :param records: what the peer knows of the same fingerprints.
    :param blockers: claims of the peer that go before the one asked for.
    """

    records: tuple[SuspectRecord, ...]
    blockers: tuple[TrialClaim, ...] = ()


class SuspectExchange:
    """Keeps the suspect records of this daemon joined with those of all others.

    :param mesh: messages between daemons.
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
        self.book = SuspectBook()
        self.trials = TrialBook()
        self._mesh = mesh
        self._log = log
        self._events = events
        self._limits = limits
        self._next = Offset(0)
        self._unwritten: dict[Fingerprint, SuspectRecord] = {}
        self._has_unwritten = asyncio.Event()
        self._crowded: dict[TargetId, float] = {}
        mesh.register(NOTICE_KIND, Notice, self._answer)
        mesh.add_topic(
            "suspects", self._produce, tuple[SuspectRecord, ...], self._consume
        )

    def crowded_targets(self) -> frozenset[TargetId]:
        """Return the targets on which suspects run, best left to them."""
        now_s = time.monotonic()
        self._crowded = {
            t: end_s for t, end_s in self._crowded.items() if end_s > now_s
        }
        return self.trials.targets() | self._crowded.keys()

    async def share(
        self, records: Sequence[SuspectRecord], claim: TrialClaim | None = None
    ) -> list[TrialClaim]:
        """Tell every peer that may be at work and wait a short time for the answers.

        A peer that joined just now, or that could not be asked lately, may run the
        same request.

        :param records: records that changed.
        :param claim: claim to ask for, if any.
        :returns: the peers' claims that go before it.
        """
        notice = Notice(tuple(records), claim)
        replies = await asyncio.gather(
            *(self._ask(peer.sender.address, notice) for peer in self._mesh.audience())
        )
        blockers = []
        for reply in replies:
            if reply is not None:
                self.take_in(reply.records)
                blockers += reply.blockers
        return blockers

    def take_in(self, records: Sequence[SuspectRecord]) -> None:
        """Join records with the own ones.

        :param records: what a peer or the log says.
        """
        for record in records:
            was_quarantined = self.book.is_quarantined(record.fingerprint)
            if self.book.merge(record):
                self._note_verdict(record.fingerprint, was_quarantined)

    def write_verdict(self, record: SuspectRecord) -> None:
        """Append a verdict or its release to the log as soon as that is possible.

        :param record: the record.
        """
        self._unwritten[record.fingerprint] = record
        self._has_unwritten.set()

    async def run_writer(self) -> None:
        """Append verdicts until cancelled."""
        while True:
            await self._has_unwritten.wait()
            self._has_unwritten.clear()
            for record in list(self._unwritten.values()):
                await self._append(record)

    async def run_reader(self) -> None:
        """Follow the verdicts on the log until cancelled."""
        while True:
            try:
                page = await self._log.read(STREAM, self._next, wait_s=LOG_WAIT_S)
            except Truncated as error:
                self._next = error.earliest
                continue
            except LogUnavailable:
                await asyncio.sleep(LOG_RETRY_DELAY_S)
                continue
            self._read_page(page)

    async def run_expiry(self) -> None:
        """Forget old records until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            for record in self.book.expire(time.time(), self._limits().quarantine_s):
                self._events.record("suspect.expired", fingerprint=record.fingerprint)

    async def _ask(self, address: str, notice: Notice) -> NoticeReply | None:
        try:
            return await self._mesh.ask(
                address, NOTICE_KIND, notice, NoticeReply, NOTICE_TIMEOUT_S
            )
        except PeerUnreachable:
            return None

    async def _answer(self, notice: Notice, sender: Sender) -> NoticeReply:
        self.take_in(notice.records)
        known = [self.book.find(record.fingerprint) for record in notice.records]
        blockers: tuple[TrialClaim, ...] = ()
        if notice.claim is not None:
            blockers = self.trials.blockers(notice.claim)
            if not blockers:
                end_s = time.monotonic() + CROWDED_S
                self._crowded.update(dict.fromkeys(notice.claim.targets, end_s))
        return NoticeReply(tuple(r for r in known if r is not None), blockers)

    def _produce(self) -> tuple[SuspectRecord, ...] | None:
        oldest_s = time.time() - GOSSIP_AGE_S
        recent = [r for r in self.book.suspects() if r.last_s > oldest_s]
        recent.sort(key=lambda record: record.last_s, reverse=True)
        return tuple(recent[:N_GOSSIPED]) or None

    def _consume(self, records: tuple[SuspectRecord, ...], sender: Sender) -> None:
        self.take_in(records)

    def _note_verdict(self, fingerprint: Fingerprint, was_quarantined: bool) -> None:
        is_quarantined = self.book.is_quarantined(fingerprint)
        if is_quarantined != was_quarantined:
            kind = "quarantine.heard" if is_quarantined else "quarantine.lifted"
            self._events.record(kind, fingerprint=fingerprint)

    async def _append(self, record: SuspectRecord) -> None:
        try:
            await self._log.append(STREAM, msgspec.json.encode(record), LOG_TIMEOUT_S)
        except (AppendNotSent, AppendAmbiguous) as error:
            # A record that stands twice in the stream does no harm.
            logging.log_every_n_seconds(
                logging.WARNING, "quarantine stream: %s", 10, error
            )
            self._has_unwritten.set()
            await asyncio.sleep(LOG_RETRY_DELAY_S)
            return
        if self._unwritten.get(record.fingerprint) == record:
            del self._unwritten[record.fingerprint]

    def _read_page(self, page: LogPage) -> None:
        for record in page.records:
            try:
                value = msgspec.json.decode(record.value, type=SuspectRecord)
            except msgspec.MsgspecError as error:
                logging.error("quarantine stream at %d: %s", record.offset, error)
                continue
            self.take_in((value,))
        if page.records:
            self._next = Offset(page.records[-1].offset + 1)
