"""Gets the configuration from peers while the log is unavailable or lags."""

import asyncio
import random
from typing import Annotated

import msgspec
from absl import logging

from cassiaspread_core.base import MalformedDocument, Offset, check_order
from cassiaspread_core.policy import (
    CheckpointAssembler,
    CheckpointPart,
    CheckpointSchedule,
    split_snapshot,
)
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.fleet._policy import PolicyFollower
from cassiaspread_daemon.fleet._recent_records import RecordsReply
from cassiaspread_daemon.mesh import Mesh, PeerUnreachable, Sender

TOPIC = "policy"
RECORDS_KIND = "policy.records"
SNAPSHOT_KIND = "policy.snapshot"
REQUEST_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 0.1

# The log normally delivers a new record sooner; peers are asked only after this time.
LOG_GRACE_S = 0.5

# 20 November 2286, the last ten digits.
MAX_TIME_S = 9_999_999_999.0


class PolicyProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a daemon in the policy stream.

    :param next_offset: offset up to which, exclusively, it has all records.
    :param is_current: whether it has once had every published record.
    :param digest: digest of its state at that offset.
    :param checkpoint_s: when the last known checkpoint was appended, in seconds
        since the epoch.
    """

    next_offset: Offset
    is_current: bool
    digest: str
    checkpoint_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_S)] | None


class RecordsRequest(msgspec.Struct, frozen=True):
    """Request for records.

    :param start: offset of the first requested record.
    """

    start: Offset


class SnapshotRequest(msgspec.Struct, frozen=True):
    """Request for one part of a snapshot.

    :param checkpoint: identifier of the snapshot of the earlier parts, empty in the
        first request.
    :param index: index of the part.
    """

    checkpoint: str
    index: int


class SnapshotReply(msgspec.Struct, frozen=True):
    """One part of a snapshot.

    :param part: the part, ``None`` when that snapshot is no longer held.
    """

    part: CheckpointPart | None


class PolicyPeers:
    """Exchanges progress, records and snapshots of the policy stream with peers.

    :param follower: holds the configuration.
    :param mesh: connection to the peers.
    :param schedule: determines when the next checkpoint is due.
    :param events: the time line.
    :param random_state: random generator that selects the peer to ask.
    """

    def __init__(
        self,
        follower: PolicyFollower,
        mesh: Mesh,
        schedule: CheckpointSchedule,
        events: EventRing,
        random_state: random.Random,
    ) -> None:
        self._follower = follower
        self._mesh = mesh
        self._schedule = schedule
        self._events = events
        self._random_state = random_state
        self._peer_offsets: dict[str, Offset] = {}
        self._served_parts: tuple[str, list[CheckpointPart]] = ("", [])
        mesh.add_topic(TOPIC, self._produce, PolicyProgress, self._consume)
        mesh.register(RECORDS_KIND, RecordsRequest, self._serve_records)
        mesh.register(SNAPSHOT_KIND, SnapshotRequest, self._serve_snapshot)

    async def run(self) -> None:
        """Catch up from peers whenever the log does not suffice, until cancelled."""
        while True:
            if self._should_catch_up() and (address := self._choose_peer()) is not None:
                await self._catch_up(address)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _should_catch_up(self) -> bool:
        follower = self._follower
        if follower.state.halt_reason is not None:
            return False
        if follower.state.next_offset >= follower.known_offset:
            return False
        is_log_unavailable = bool(follower.log_error) or not follower.is_current
        return is_log_unavailable or follower.lag_s() > LOG_GRACE_S

    def _choose_peer(self) -> str | None:
        next_offset = self._follower.state.next_offset
        live = {peer.sender.address for peer in self._mesh.peers()}
        ahead = [
            a for a, o in self._peer_offsets.items() if o > next_offset and a in live
        ]
        return self._random_state.choice(sorted(ahead)) if ahead else None

    async def _catch_up(self, address: str) -> None:
        try:
            if not await self._fetch_records(address):
                await self._fetch_snapshot(address)
        except (PeerUnreachable, MalformedDocument) as error:
            self._peer_offsets.pop(address, None)
            logging.warning("could not get the configuration from a peer: %s", error)

    async def _fetch_records(self, address: str) -> bool:
        start = self._follower.state.next_offset
        reply = await self._mesh.ask(
            address,
            RECORDS_KIND,
            RecordsRequest(start),
            RecordsReply,
            REQUEST_TIMEOUT_S,
        )
        if not reply.records:
            return False
        check_order(reply.records, start)
        self._follower.apply_records(start, reply.records, "peer")
        return True

    async def _fetch_snapshot(self, address: str) -> None:
        assembler = CheckpointAssembler()
        checkpoint, index, snapshot = "", 0, None
        while snapshot is None:
            body = SnapshotRequest(checkpoint, index)
            reply = await self._mesh.ask(
                address, SNAPSHOT_KIND, body, SnapshotReply, REQUEST_TIMEOUT_S
            )
            if reply.part is None:
                return
            checkpoint, index = reply.part.checkpoint, index + 1
            snapshot = assembler.add(reply.part)
        self._follower.apply_snapshot(snapshot, "peer")

    async def _serve_records(
        self, request: RecordsRequest, sender: Sender
    ) -> RecordsReply:
        return self._follower.recent.read(request.start)

    async def _serve_snapshot(
        self, request: SnapshotRequest, sender: Sender
    ) -> SnapshotReply:
        checkpoint, parts = self._served_parts
        if not request.checkpoint:
            state = self._follower.state
            checkpoint = f"{state.next_offset}-{state.digest}"
            if checkpoint != self._served_parts[0]:
                parts = split_snapshot(state.snapshot(), checkpoint)
                self._served_parts = checkpoint, parts
        elif request.checkpoint != checkpoint:
            return SnapshotReply(None)
        if not 0 <= request.index < len(parts):
            return SnapshotReply(None)
        return SnapshotReply(parts[request.index])

    def _produce(self) -> PolicyProgress:
        state = self._follower.state
        return PolicyProgress(
            next_offset=state.next_offset,
            is_current=self._follower.is_current,
            digest=state.digest,
            checkpoint_s=self._schedule.checkpoint_s,
        )

    def _consume(self, progress: PolicyProgress, sender: Sender) -> None:
        self._peer_offsets[sender.address] = progress.next_offset
        self._follower.record_peer_progress(progress.next_offset, progress.is_current)
        if progress.checkpoint_s is not None:
            self._schedule.schedule_after_checkpoint(progress.checkpoint_s)
        state = self._follower.state
        if (
            progress.next_offset == state.next_offset
            and progress.digest != state.digest
        ):
            self._events.record(
                "policy.disagreement", peer=sender.vm, next_offset=state.next_offset
            )
            logging.error(
                "%s has a different configuration at the same offset", sender.vm
            )
