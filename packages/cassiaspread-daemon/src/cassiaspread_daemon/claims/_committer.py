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
    Record,
    choose_committer,
    decode_batch,
    encode_batch,
)
from cassiaspread_core.timeline import EventRing

from cassiaspread_daemon.adapters import AppendAmbiguous, AppendNotSent, LogClient
from cassiaspread_daemon.claims._journal import PartitionJournal
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

    async def append(self, partition: int, batch: tuple[Record, ...]) -> None:
        """Bring a batch into a partition.

        :param partition: number of the partition.
        :param batch: the records.
        :raises AppendNotSent: no record of it is in the log or ever will be.
        :raises AppendAmbiguous: records may be in the log, now or later.
        """
        peer = self._choose_peer(partition)
        own = self._mesh.sender.incarnation
        if peer is None or any(record.claim.holder != own for record in batch):
            await self._append_directly(partition, batch)
            return
        if await self._commit_through(peer, partition, batch):
            return
        self._avoid(peer)
        try:
            await self._append_directly(partition, batch)
        except AppendNotSent as error:
            raise AppendAmbiguous(str(error)) from None

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

    async def _commit_through(
        self, peer: Peer, partition: int, batch: tuple[Record, ...]
    ) -> bool:
        try:
            await self._mesh.ask(
                peer.sender.address,
                COMMIT_KIND,
                CommitRequest(partition, encode_batch(batch)),
                Empty,
                HAND_OVER_TIMEOUT_S,
            )
        except PeerUnreachable:
            return False
        reader = self._journals[partition].reader
        return await reader.wait(
            lambda: all(map(reader.has_seen, batch)), COMMIT_TIMEOUT_S
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

    async def _append_directly(self, partition: int, batch: tuple[Record, ...]) -> None:
        await self._log.append(
            f"claims-{partition}", encode_batch(batch), APPEND_TIMEOUT_S
        )

    async def _accept(self, request: CommitRequest, sender: Sender) -> Empty:
        self._journals[request.partition].add(decode_batch(request.batch))
        return Empty()
