"""Takes the configuration from peers while the log can't give it."""

import asyncio
import random

import msgspec
from absl import logging

from cassiaspread_core.base import Offset
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
TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 0.1

# The log gives a new record in less; peers are asked only after that.
LOG_HEAD_START_S = 0.5


class PolicyNews(msgspec.Struct, frozen=True, kw_only=True):
    """How far a daemon has the policy stream.

    :param next_offset: offset up to which, exclusively, it has all records.
    :param is_current: whether it once had all that was published.
    :param digest: digest of its state there.
    :param checkpoint_s: when the last known checkpoint was appended, in seconds
        since the epoch.
    """

    next_offset: Offset
    is_current: bool
    digest: str
    checkpoint_s: float | None


class RecordsRequest(msgspec.Struct, frozen=True):
    """Asks for records.

    :param start: offset of the first one wanted.
    """

    start: Offset


class SnapshotRequest(msgspec.Struct, frozen=True):
    """Asks for a part of the state.

    :param checkpoint: the state that earlier parts belong to, empty for the first.
    :param index: number of the part.
    """

    checkpoint: str
    index: int


class SnapshotReply(msgspec.Struct, frozen=True):
    """A part of the state.

    :param part: the part, ``None`` when that state is not kept any more.
    """

    part: CheckpointPart | None


class PolicyPeers:
    """Tells peers how far this daemon is, serves and takes records and states.

    :param follower: keeps the configuration.
    :param mesh: connection to the peers.
    :param schedule: when the next checkpoint is due.
    :param events: the time line.
    :param random_state: chooses whom to ask.
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
        self._offers: dict[str, Offset] = {}
        self._parts: tuple[str, list[CheckpointPart]] = ("", [])
        mesh.add_topic(TOPIC, self._produce, PolicyNews, self._consume)
        mesh.register(RECORDS_KIND, RecordsRequest, self._serve_records)
        mesh.register(SNAPSHOT_KIND, SnapshotRequest, self._serve_snapshot)

    async def run(self) -> None:
        """Catch up from peers whenever the log does not, until cancelled."""
        while True:
            if self._should_ask() and (address := self._choose_peer()) is not None:
                await self._catch_up(address)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _should_ask(self) -> bool:
        follower = self._follower
        if follower.state.halt is not None:
            return False
        if follower.state.next_offset >= follower.known_offset:
            return False
        is_log_away = bool(follower.log_error) or not follower.is_current
        return is_log_away or follower.lag_s() > LOG_HEAD_START_S

    def _choose_peer(self) -> str | None:
        next_offset = self._follower.state.next_offset
        live = {peer.sender.address for peer in self._mesh.peers()}
        ahead = [a for a, o in self._offers.items() if o > next_offset and a in live]
        return self._random_state.choice(sorted(ahead)) if ahead else None

    async def _catch_up(self, address: str) -> None:
        try:
            if not await self._ask_records(address):
                await self._ask_snapshot(address)
        except (PeerUnreachable, msgspec.MsgspecError) as error:
            self._offers.pop(address, None)
            logging.warning("configuration from peer: %s", error)

    async def _ask_records(self, address: str) -> bool:
        start = self._follower.state.next_offset
        reply = await self._mesh.ask(
            address, RECORDS_KIND, RecordsRequest(start), RecordsReply, TIMEOUT_S
        )
        if not reply.records:
            return False
        self._follower.take_in(start, reply.records, "peer")
        return True

    async def _ask_snapshot(self, address: str) -> None:
        assembler = CheckpointAssembler()
        checkpoint, index, snapshot = "", 0, None
        while snapshot is None:
            body = SnapshotRequest(checkpoint, index)
            reply = await self._mesh.ask(
                address, SNAPSHOT_KIND, body, SnapshotReply, TIMEOUT_S
            )
            if reply.part is None:
                return
            checkpoint, index = reply.part.checkpoint, index + 1
            snapshot = assembler.add(reply.part)
        self._follower.take_over(snapshot, "peer")

    async def _serve_records(
        self, request: RecordsRequest, sender: Sender
    ) -> RecordsReply:
        return self._follower.recent.read(request.start)

    async def _serve_snapshot(
        self, request: SnapshotRequest, sender: Sender
    ) -> SnapshotReply:
        checkpoint, parts = self._parts
        if not request.checkpoint:
            state = self._follower.state
            checkpoint = f"{state.next_offset}-{state.digest}"
            if checkpoint != self._parts[0]:
                parts = split_snapshot(state.snapshot(), checkpoint)
                self._parts = checkpoint, parts
        elif request.checkpoint != checkpoint:
            return SnapshotReply(None)
        if not 0 <= request.index < len(parts):
            return SnapshotReply(None)
        return SnapshotReply(parts[request.index])

    def _produce(self) -> PolicyNews:
        state = self._follower.state
        return PolicyNews(
            next_offset=state.next_offset,
            is_current=self._follower.is_current,
            digest=state.digest,
            checkpoint_s=self._schedule.checkpoint_s,
        )

    def _consume(self, news: PolicyNews, sender: Sender) -> None:
        self._offers[sender.address] = news.next_offset
        self._follower.note_peer(news.next_offset, news.is_current)
        if news.checkpoint_s is not None:
            self._schedule.note_checkpoint(news.checkpoint_s)
        state = self._follower.state
        if news.next_offset == state.next_offset and news.digest != state.digest:
            self._events.record(
                "policy.disagreement", peer=sender.vm, next_offset=state.next_offset
            )
            logging.error("%s has another configuration at one offset", sender.vm)
