"""Finds a checkpoint for a reader whose next record is no longer kept."""

from cassiaspread_core.base import Offset
from cassiaspread_core.policy import CheckpointAssembler, Snapshot
from cassiaspread_daemon.adapters import LogClient

POLICY_STREAM = "policy"


async def find_checkpoint(log: LogClient, earliest: Offset) -> Snapshot | None:
    """Read the stream until a whole checkpoint from which a reader can go on.

    :param log: client of the log.
    :param earliest: offset of the earliest record that is kept.
    :returns: the first state whose next record is kept, ``None`` without one.
    :raises Truncated: retention overtook the search.
    :raises LogUnavailable: the log could not be read.
    """
    assembler = CheckpointAssembler()
    offset = earliest
    while True:
        page = await log.read(POLICY_STREAM, offset)
        for record in page.records:
            snapshot = assembler.add_record(record.offset, record.value)
            if snapshot is not None and snapshot.covered >= page.earliest:
                return snapshot
        if not page.records:
            return None
        offset = Offset(page.records[-1].offset + 1)
