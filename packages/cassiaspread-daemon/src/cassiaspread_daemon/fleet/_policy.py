"""Follows the policy stream of the log."""

import asyncio

from absl import logging
from cassiaspread_core.policy import Policy, PolicyState
from cassiaspread_core.timeline import EventRing

from cassiaspread_daemon.adapters import LogClient, LogUnavailable

POLICY_STREAM = "policy"
WAIT_S = 1.0
RETRY_DELAY_S = 0.2


class PolicyFollower:
    """Keeps the configuration in force up to date.

    :param log: client of the log.
    :param events: the time line.
    """

    def __init__(self, log: LogClient, events: EventRing) -> None:
        self._log = log
        self._events = events
        self._state = PolicyState()
        self._is_current = False

    @property
    def policy(self) -> Policy:
        """The configuration in force."""
        return self._state.policy

    @property
    def state(self) -> PolicyState:
        """The accepted entries."""
        return self._state

    @property
    def is_current(self) -> bool:
        """Whether the stream was once read to its end."""
        return self._is_current

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                page = await self._log.read(
                    POLICY_STREAM, self._state.next_offset, wait_s=WAIT_S
                )
            except LogUnavailable as error:
                logging.log_every_n_seconds(
                    logging.WARNING, "policy stream: %s", 10, error
                )
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for record in page.records:
                if self._state.apply(record.offset, record.value):
                    self._events.record("policy.accepted", offset=record.offset)
                else:
                    self._events.record("policy.rejected", offset=record.offset)
            if self._state.next_offset >= page.end:
                self._is_current = True
