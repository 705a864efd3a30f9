"""Searches the log for a checkpoint when the next record is no longer retained."""

from cassiaspread_core.base import Offset
from cassiaspread_core.policy import CheckpointAssembler, Snapshot
from cassiaspread_daemon.adapters import LogClient

POLICY_STREAM = "policy"


async def find_checkpoint(log: LogClient, earliest: Offset) -> Snapshot | None:
    """Read the stream up to the first checkpoint from which a reader can resume.

    :param log: client of the log.
    :param earliest: offset of the earliest record that is retained.
    :returns: the first complete state whose next record is retained, ``None`` if there
        is none.
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
