"""Record of the times in which a stand-in's event loop ran nothing that was due."""

import asyncio
import time

CHECK_INTERVAL_S = 0.02
# Shorter delays belong to a machine that is not loaded, too.
MIN_DELAY_S = 0.02


async def watch_delays(record):
    """Call ``record`` with the time of day and the length of each delay, in seconds."""
    while True:
        due_s = time.monotonic() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        delay_s = time.monotonic() - due_s
        if delay_s > MIN_DELAY_S:
            record(time.time(), delay_s)
