"""Choice of the daemon that appends to a claims partition for all daemons."""

from collections.abc import Iterable

import xxhash

from cassiaspread_core.base import Incarnation


def choose_committer(
    partition: int, incarnations: Iterable[Incarnation]
) -> Incarnation:
    """Return the incarnation with the highest rendezvous hash for a partition.

    Daemons with different membership views may choose different committers. This
    causes additional appends but never changes the holder of a key.

    :param partition: number of the partition.
    :param incarnations: incarnations of the live daemons, at least one.

    >>> choose_committer(3, ["a", "b", "c"]) == choose_committer(3, ["c", "a", "b"])
    True
    """
    return max(
        incarnations,
        key=lambda incarnation: xxhash.xxh3_64_intdigest(
            f"{partition}\n{incarnation}".encode()
        ),
    )
