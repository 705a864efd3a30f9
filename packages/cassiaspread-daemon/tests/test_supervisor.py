"""Supervision of background tasks."""

import asyncio

from cassiaspread_daemon._supervisor import Supervisor


def test_failed_task_is_restarted():
    starts = []

    async def run() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise RuntimeError("planned")
        done.set()

    async def main() -> None:
        nonlocal done
        done = asyncio.Event()
        async with Supervisor("test") as supervisor:
            supervisor.start("task", run)
            await done.wait()

    done = None
    asyncio.run(main())
    assert len(starts) == 3


def test_children_stop_before_their_parent():
    ended = []

    async def record_end(name: str) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(name)

    async def main() -> None:
        async with Supervisor("parent") as parent:
            parent.start("a", lambda: record_end("parent"))
            parent.add_child("child").start("b", lambda: record_end("child"))
            await asyncio.sleep(0)

    asyncio.run(main())
    assert ended == ["child", "parent"]
