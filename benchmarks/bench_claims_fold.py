"""CPU time and memory that a daemon spends on claims of other daemons.

Run: ``.venv/bin/python -m benchmarks.bench_claims_fold``
"""

import time
import tracemalloc

import uuid6

from cassiaspread_core.claims import (
    CallResult,
    ClaimId,
    ClaimRecord,
    OutcomeRecord,
    PartitionFold,
    ScopedKey,
    encode_batch,
)

N_KEYS = (2_000, 20_000)
BATCH_KEYS = 10
RESULT = CallResult(200, "application/json", b"x" * 100)


def build_batches(n_keys: int) -> list[bytes]:
    """Return batches of claims and their outcomes, encoded as in the log.

    :param n_keys: number of keys.
    """
    holder = str(uuid6.uuid7())
    batches = []
    for first in range(0, n_keys, BATCH_KEYS):
        records: list = []
        for sequence in range(first, first + BATCH_KEYS):
            key = ScopedKey("osorno", str(uuid6.uuid7()))
            claim, fingerprint = ClaimId(holder, sequence), f"{sequence:032x}"
            records.append(ClaimRecord(key, claim, fingerprint))
            records.append(OutcomeRecord(key, claim, fingerprint, RESULT))
        batches.append(encode_batch(tuple(records)))
    return batches


def fold_all(batches: list[bytes]) -> PartitionFold:
    """Fold a partition from its start.

    :param batches: records of the log.
    """
    fold = PartitionFold()
    for offset, batch in enumerate(batches):
        fold.apply(offset, batch)
    return fold


def measure(n_keys: int) -> tuple[float, float, float]:
    """Return microseconds, kept bytes and log bytes per key.

    :param n_keys: number of keys.
    """
    batches = build_batches(n_keys)
    started_s = time.process_time()
    fold_all(batches)
    spent_us = 1e6 * (time.process_time() - started_s)
    tracemalloc.start()
    fold = fold_all(batches)
    kept_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert fold.n_keys == n_keys
    return spent_us / n_keys, kept_bytes / n_keys, sum(map(len, batches)) / n_keys


def main() -> None:
    """Measure two sizes and print the ratio of their CPU time per key."""
    costs = []
    for n_keys in N_KEYS:
        spent_us, kept_bytes, log_bytes = measure(n_keys)
        costs.append(spent_us)
        print(
            f"{n_keys} keys: {spent_us:.1f} us of processor time, "
            f"{kept_bytes:.0f} bytes kept, {log_bytes:.0f} bytes in the log, each"
        )
    print(
        f"ratio time per key, {N_KEYS[1]} over {N_KEYS[0]}: {costs[1] / costs[0]:.2f}"
    )


if __name__ == "__main__":
    main()
