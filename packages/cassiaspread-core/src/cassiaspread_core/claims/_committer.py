"""Chooses the daemon that appends for the others to a partition."""

from collections.abc import Iterable

import xxhash

from cassiaspread_core.base import Incarnation


def choose_committer(
    partition: int, incarnations: Iterable[Incarnation]
) -> Incarnation:
    """Return the incarnation with the highest rendezvous hash for a partition.

    Daemons that see different peers may choose differently; that costs appends and
    never changes who holds a key.

    :param partition: the partition.
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
