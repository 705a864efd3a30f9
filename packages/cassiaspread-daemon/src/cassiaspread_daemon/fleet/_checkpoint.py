"""Appends checkpoints to the policy stream before retention removes the last one."""

import asyncio
import time

import msgspec
import uuid6
from absl import logging

from cassiaspread_core.policy import CheckpointSchedule, split_snapshot
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.adapters import AppendAmbiguous, AppendNotSent, LogClient
from cassiaspread_daemon.fleet._checkpoint_search import POLICY_STREAM
from cassiaspread_daemon.fleet._policy import PolicyFollower

APPEND_TIMEOUT_S = 5.0
CHECK_INTERVAL_S = 1.0


class PolicyCheckpointer:
    """Appends a checkpoint when one is due.

    :param log: client of the log.
    :param follower: holds the configuration.
    :param schedule: determines when the next checkpoint is due.
    :param events: the time line.
    """

    def __init__(
        self,
        log: LogClient,
        follower: PolicyFollower,
        schedule: CheckpointSchedule,
        events: EventRing,
    ) -> None:
        self._log = log
        self._follower = follower
        self._schedule = schedule
        self._events = events

    async def run(self) -> None:
        """Append a checkpoint whenever one is due, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._is_due():
                await self._append()

    def _is_due(self) -> bool:
        follower = self._follower
        if follower.state.next_offset and follower.is_current:
            self._schedule.schedule_after_record(time.time())
        is_readable = follower.state.halt_reason is None and not follower.log_error
        return is_readable and self._schedule.is_due(time.time())

    async def _append(self) -> None:
        snapshot = self._follower.state.snapshot()
        parts = split_snapshot(snapshot, str(uuid6.uuid7()))
        try:
            for part in parts:
                value = msgspec.json.encode(part)
                await self._log.append(POLICY_STREAM, value, APPEND_TIMEOUT_S)
        except (AppendNotSent, AppendAmbiguous) as error:
            logging.warning(
                "could not append checkpoint of offset %d: %s", snapshot.covered, error
            )
            return
        self._events.record(
            "policy.checkpoint_appended",
            covered=snapshot.covered,
            n_parts=len(parts),
        )
