"""Appends batches to the log, directly or through the committer of a partition.

The committer of a partition is one of the live daemons; it combines the batches of
several daemons into one append. A batch that it does not append in time is appended by
the daemon that it came from: the log may then contain it twice, and the fold ignores
the second copy.
"""

import time
from collections.abc import Callable
from typing import Annotated

import msgspec

from cassiaspread_core.base import Incarnation, MalformedDocument
from cassiaspread_core.claims import (
    N_PARTITIONS,
    ClaimRecord,
    InvalidBatch,
    choose_committer,
    decode_batch,
    encode_batch,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.adapters import AppendAmbiguous, AppendNotSent, LogClient
from cassiaspread_daemon.claims._journal import Batch, PartitionJournal
from cassiaspread_daemon.mesh import Empty, Mesh, Peer, PeerUnreachable, Sender

COMMIT_KIND = "claims.commit"
APPEND_TIMEOUT_S = 1.0
HAND_OVER_TIMEOUT_S = 0.25
COMMIT_TIMEOUT_S = 0.5
COMMITTER_AVOIDANCE_S = 3.0

PartitionNumber = Annotated[int, msgspec.Meta(ge=0, lt=N_PARTITIONS)]


class CommitRequest(msgspec.Struct, frozen=True):
    """Request to the committer to append records.

    :param partition: number of the partition.
    :param batch: encoded records.
    """

    partition: PartitionNumber
    batch: bytes


class Committer:
    """Appends batches of this daemon and, as a committer, of other daemons.

    :param log: client of the log.
    :param mesh: sends messages to daemons.
    :param events: the time line.
    :param journals: journals by partition; filled by the owner.
    :param is_enabled: returns whether batches are sent through committers.
    """

    def __init__(
        self,
        log: LogClient,
        mesh: Mesh,
        events: EventRing,
        journals: dict[int, PartitionJournal],
        is_enabled: Callable[[], bool],
    ) -> None:
        self._log = log
        self._mesh = mesh
        self._events = events
        self._journals = journals
        self._is_enabled = is_enabled
        self._avoided_until_s: dict[Incarnation, float] = {}
        self._is_leaving = False
        mesh.register(COMMIT_KIND, CommitRequest, self._accept)

    def leave(self) -> None:
        """Stop passing batches to committers, as this daemon is leaving."""
        self._is_leaving = True

    def is_direct(self, partition: int) -> bool:
        """Return whether the next batch is appended to the log by this daemon.

        :param partition: number of the partition.
        """
        return self._choose_peer(partition) is None

    async def append(self, partition: int, batch: Batch) -> None:
        """Append a batch to a partition.

        :param partition: number of the partition.
        :param batch: the records.
        :raises AppendNotSent: none of the records is or will be in the log.
        :raises AppendAmbiguous: records may be in the log now or later.
        """
        peer = self._choose_peer(partition)
        if peer is None or batch.is_retry or self._has_foreign_records(batch):
            await self._append_directly(partition, batch)
        elif not await self._commit_by_peer(peer, partition, batch):
            self._avoid(peer)
            try:
                await self._append_directly(partition, batch)
            except AppendNotSent as error:
                raise AppendAmbiguous(str(error)) from None

    def _has_foreign_records(self, batch: Batch) -> bool:
        own = self._mesh.sender.incarnation
        return any(record.claim.holder != own for record in batch.records)

    def _choose_peer(self, partition: int) -> Peer | None:
        if not self._is_enabled() or self._is_leaving:
            return None
        now_s = time.monotonic()
        peers = {
            peer.sender.incarnation: peer
            for peer in self._mesh.peers()
            if self._avoided_until_s.get(peer.sender.incarnation, 0.0) < now_s
        }
        own = self._mesh.sender.incarnation
        return peers.get(choose_committer(partition, [own, *peers]))

    async def _commit_by_peer(self, peer: Peer, partition: int, batch: Batch) -> bool:
        request = CommitRequest(partition, encode_batch(batch.records))
        try:
            await self._mesh.ask(
                peer.sender.address, COMMIT_KIND, request, Empty, HAND_OVER_TIMEOUT_S
            )
        except PeerUnreachable:
            return False
        if not any(isinstance(record, ClaimRecord) for record in batch.records):
            raise AppendAmbiguous("sent to the committer; the append is not awaited")
        reader = self._journals[partition].reader
        return await reader.read_until(
            lambda: all(map(reader.has_read, batch.records)), COMMIT_TIMEOUT_S
        )

    def _avoid(self, peer: Peer) -> None:
        now_s = time.monotonic()
        self._avoided_until_s = {
            incarnation: until_s
            for incarnation, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[peer.sender.incarnation] = now_s + COMMITTER_AVOIDANCE_S
        self._events.record("claims.committer_avoided", committer=peer.sender.vm)

    async def _append_directly(self, partition: int, batch: Batch) -> None:
        value, begin_s = encode_batch(batch.records), time.monotonic()
        try:
            await self._log.append(f"claims-{partition}", value, APPEND_TIMEOUT_S)
        except (AppendNotSent, AppendAmbiguous) as error:
            self._record_failure(partition, begin_s, str(error))
            raise

    def _record_failure(self, partition: int, begin_s: float, error: str) -> None:
        self._events.record(
            "claims.append_failed",
            partition=partition,
            duration_ms=round(1000 * (time.monotonic() - begin_s)),
            error=error,
        )

    async def _accept(self, request: CommitRequest, sender: Sender) -> Empty:
        try:
            batch = decode_batch(request.batch)
        except InvalidBatch as error:
            raise MalformedDocument(
                f"no batch for partition {request.partition} from {sender.vm}: {error}"
            ) from None
        self._journals[request.partition].add(batch.records)
        return Empty()


class PartitionAppender:
    """Appends the batches of one partition.

    :param committer: committer of this daemon.
    :param partition: number of the partition.
    """

    def __init__(self, committer: Committer, partition: int) -> None:
        self._committer = committer
        self._partition = partition

    def is_direct(self) -> bool:
        """Return whether the next batch is appended to the log by this daemon."""
        return self._committer.is_direct(self._partition)

    async def append(self, batch: Batch) -> None:
        """Append a batch to the partition.

        :param batch: the records.
        :raises AppendNotSent: none of the records is or will be in the log.
        :raises AppendAmbiguous: records may be in the log now or later.
        """
        await self._committer.append(self._partition, batch)
