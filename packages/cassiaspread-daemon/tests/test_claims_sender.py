"""Checks immediately before a call is sent, and its result after the send."""

import asyncio
import random
import time

import pytest

from cassiaspread_core.base import Outcome, Refusal
from cassiaspread_core.claims import CallResult, ClaimId, ScopedKey
from cassiaspread_core.policy import Limits
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon.adapters import ListedVm
from cassiaspread_daemon.claims import Call
from cassiaspread_daemon.claims._sender import CallContext, CallSender

CALL = Call(
    organisation="osorno",
    service="booking",
    method="POST",
    path="/slots",
    headers={},
    body=b"{}",
    key=ScopedKey("osorno", "01a23e07-47d4-7b3f-8055-4254dc1ba464"),
)
ANSWER = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"


class Target:
    """Target that records what it receives.

    :param answer: bytes that it sends, ``None`` to close without an answer.
    :param delay_s: seconds between the request and the answer.
    """

    def __init__(self, answer: bytes | None, delay_s: float) -> None:
        self._answer, self._delay_s = answer, delay_s
        self.received = b""

    def services(self, service):
        return [
            ListedVm(
                vm="b",
                role="service",
                name=service,
                address=self._address,
                domain="d",
                state="live",
            )
        ]

    async def _accept(self, reader, writer) -> None:
        try:
            self.received += await reader.read(65_536)
            await asyncio.sleep(self._delay_s)
            if self._answer is not None:
                writer.write(self._answer)
        finally:
            writer.close()

    async def run(self, deadline_s: float, is_caller_waiting) -> tuple:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self._address = f"{host}:{port}"
        events = EventRing("d1", 100, time.time)
        sender = CallSender(self, random.Random(0), events)
        results: list[CallResult] = []
        context = CallContext(
            CALL,
            ClaimId("i", 1),
            Limits(),
            time.monotonic() + deadline_s,
            is_caller_waiting,
        )
        try:
            outcome = await sender.send(context, results.append)
        except Refusal as refusal:
            outcome = refusal
        while sender.n_in_flight:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        server.close()
        return outcome, results


def freeze_past_deadline() -> bool:
    """Block the process as SIGSTOP would, between the connection and the send."""
    time.sleep(0.4)
    return True


@pytest.mark.parametrize(
    ("is_caller_waiting", "code"),
    [(freeze_past_deadline, "deadline"), (lambda: False, "caller-gone")],
)
def test_nothing_is_sent_after_the_deadline_or_without_caller(is_caller_waiting, code):
    target = Target(ANSWER, 0)
    refusal, results = asyncio.run(target.run(0.3, is_caller_waiting))
    assert (refusal.code, refusal.outcome) == (code, Outcome.NOT_RUN)
    assert (target.received, results) == (b"", [])


@pytest.mark.parametrize(
    ("answer", "delay_s", "code", "status"),
    [
        (ANSWER, 0, None, 201),
        (ANSWER, 0.5, "target-silent", 201),
        (None, 0, "target-lost", None),
        (ANSWER[:30], 0, "target-lost", None),
    ],
)
def test_sent_call_is_answered_or_has_unknown_outcome(answer, delay_s, code, status):
    target = Target(answer, delay_s)
    outcome, results = asyncio.run(target.run(0.3, lambda: True))
    assert [result.status for result in results] == [status]
    assert b"cassiaspread-claim: i/1" in target.received.lower()
    if code is None:
        assert (outcome.result.body, outcome.is_replayed) == (b"ok", False)
    else:
        assert (outcome.code, outcome.outcome) == (code, Outcome.UNKNOWN)
