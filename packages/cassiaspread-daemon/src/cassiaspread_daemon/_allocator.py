"""Settings of the allocator of this process."""

import ctypes

from absl import logging

# Parameter of mallopt(3): blocks from this size on are returned to the system as soon
# as they are freed. glibc raises it up to 32 MiB unless it is set, and blocks below it
# are only returned from the end of the heap.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 64 * 1024


def return_large_blocks() -> None:
    """Return the memory of large bodies to the system once they are freed."""
    try:
        is_set = ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    except (AttributeError, OSError) as error:
        logging.info("allocator left as it is: %s", error)
        return
    if not is_set:
        logging.warning(
            "allocator left as it is: a threshold of %d bytes was not accepted",
            MMAP_THRESHOLD_BYTES,
        )
