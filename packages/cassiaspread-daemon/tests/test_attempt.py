"""End of an attempt, as reported by the events of the engines."""

import asyncio

import pytest

from cassiaspread_core.base import TargetId
from cassiaspread_core.pipeline import Stage, TokenSequence
from cassiaspread_core.policy import Limits
from cassiaspread_daemon.adapters import EngineClient, ResumeOrder, StreamEvent
from cassiaspread_daemon.relay._attempt import Attempt, AttemptEnd, EndKind
from cassiaspread_daemon.relay._planner import PlannedChain
from tests.fleet import free_port

HEAD = Stage(TargetId("h"), f"127.0.0.1:{free_port()}", "", 0, 8)


def run_attempt(events: list[StreamEvent]) -> AttemptEnd:
    """Process events or, without any, send an order to a head that does not exist."""

    async def main() -> AttemptEnd:
        chain = PlannedChain((HEAD,), {}, 0.01)
        sequence = TokenSequence(attempt=0)
        with Attempt(EngineClient(), chain, sequence, Limits(), print) as attempt:
            if events:
                attempt._handle_events(events)
            else:
                attempt.start(ResumeOrder(request="r", attempt=1, start=0))
            return await attempt.wait()

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("events", "kind", "was_reached"),
    [
        ([], EndKind.CLOSED, False),
        ([StreamEvent(error="unreachable", engine="t")], EndKind.FAILED, False),
        ([StreamEvent(error="link-lost", engine="t")], EndKind.FAILED, True),
    ],
)
def test_unreached_engine_is_distinguished_from_failed_engine(
    events, kind, was_reached
):
    end = run_attempt(events)
    assert (end.kind, end.was_reached) == (kind, was_reached)
    assert end.engine == (events[0].engine if events else "h")
