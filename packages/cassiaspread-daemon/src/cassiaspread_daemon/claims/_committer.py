"""Brings batches into the log, directly or through a partition's committer.

The committer of a partition is one of the live daemons; it appends the batches of
several daemons as one. A batch that it does not bring into the log in time is
appended by its own daemon: it may then stand there twice, which the fold takes as
once.
"""

import time
from collections.abc import Callable

import msgspec

from cassiaspread_core.base import Incarnation
from cassiaspread_core.claims import (
    ClaimRecord,
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
AVOID_S = 3.0


class CommitRequest(msgspec.Struct, frozen=True):
    """Asks the committer to append records.

    :param partition: number of the partition.
    :param batch: the encoded records.
    """

    partition: int
    batch: bytes


class Committer:
    """Appends for this daemon and, where it is chosen, for others.

    :param log: client of the log.
    :param mesh: sends messages to daemons.
    :param events: the time line.
    :param journals: the partitions, filled by the owner.
    :param is_enabled: tells whether batches go through committers.
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
        """Append nothing for other daemons any more."""
        self._is_leaving = True

    def is_direct(self, partition: int) -> bool:
        """Tell whether this daemon's next batch goes to the log itself.

        :param partition: number of the partition.
        """
        return self._choose_peer(partition) is None

    async def append(self, partition: int, batch: Batch) -> None:
        """Bring a batch into a partition.

        :param partition: number of the partition.
        :param batch: the records.
        :raises AppendNotSent: no record of it is in the log or ever will be.
        :raises AppendAmbiguous: records may be in the log, now or later.
        """
        peer = self._choose_peer(partition)
        if peer is None or batch.is_retry or self._has_foreign(batch):
            await self._append_directly(partition, batch)
        elif not await self._commit_through(peer, partition, batch):
            self._avoid(peer)
            try:
                await self._append_directly(partition, batch)
            except AppendNotSent as error:
                raise AppendAmbiguous(str(error)) from None

    def _has_foreign(self, batch: Batch) -> bool:
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

    async def _commit_through(self, peer: Peer, partition: int, batch: Batch) -> bool:
        request = CommitRequest(partition, encode_batch(batch.records))
        try:
            await self._mesh.ask(
                peer.sender.address, COMMIT_KIND, request, Empty, HAND_OVER_TIMEOUT_S
            )
        except PeerUnreachable:
            return False
        if not any(isinstance(record, ClaimRecord) for record in batch.records):
            raise AppendAmbiguous("handed over, nobody waits")
        reader = self._journals[partition].reader
        return await reader.wait(
            lambda: all(map(reader.has_seen, batch.records)), COMMIT_TIMEOUT_S
        )

    def _avoid(self, peer: Peer) -> None:
        now_s = time.monotonic()
        self._avoided_until_s = {
            incarnation: until_s
            for incarnation, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[peer.sender.incarnation] = now_s + AVOID_S
        self._events.record("claims.committer_avoided", committer=peer.sender.vm)

    async def _append_directly(self, partition: int, batch: Batch) -> None:
        value = encode_batch(batch.records)
        try:
            await self._log.append(f"claims-{partition}", value, APPEND_TIMEOUT_S)
        except msgspec.MsgspecError as error:
            raise AppendAmbiguous(f"answer of the log: {error}") from None

    async def _accept(self, request: CommitRequest, sender: Sender) -> Empty:
        self._journals[request.partition].add(decode_batch(request.batch).records)
        return Empty()


class PartitionAppender:
    """Brings the batches of one partition into the log.

    :param committer: of the daemon.
    :param partition: number of the partition.
    """

    def __init__(self, committer: Committer, partition: int) -> None:
        self._committer = committer
        self._partition = partition

    def is_direct(self) -> bool:
        """Tell whether the next batch goes to the log, not to another daemon."""
        return self._committer.is_direct(self._partition)

    async def append(self, batch: Batch) -> None:
        """Bring a batch into the partition.

        :param batch: the records.
        :raises AppendNotSent: no record of it is in the log or ever will be.
        :raises AppendAmbiguous: records may be in the log, now or later.
        """
        await self._committer.append(self._partition, batch)
