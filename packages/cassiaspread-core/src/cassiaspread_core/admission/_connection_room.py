"""Which connections make way for new ones, or for others that are to be read."""

from collections.abc import Hashable, Iterable
from enum import Enum
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)

# Ended at a time, so that most idle callers keep their connections.
MAX_ENDED = 8


class ConnectionUse(Enum):
    """What a connection is used for, in the order in which they make way.

    REFUSED: its request was refused; the rest of the body is read and dropped.
    BODY: a body is being received.
    WAITING: no request or not all of its head has arrived.
    BUSY: a request is in progress; it never makes way.
    """

    REFUSED = "refused"
    BODY = "body"
    WAITING = "waiting"
    BUSY = "busy"


# Time after which a connection makes way, in seconds: the caller of a refused request
# has had time to read its answer, a sender has fallen behind (see `RequestMemory`),
# and the next request of a caller that sends them one after the other has arrived.
PATIENCE_S = {
    ConnectionUse.REFUSED: 0.5,
    ConnectionUse.BODY: 3.0,
    ConnectionUse.WAITING: 1.0,
}

# Senders of many small chunks that are always read together.
MAX_COMPETING = 2


def connections_to_end(
    uses: Iterable[tuple[Key, ConnectionUse, float]],
) -> list[Key]:
    """Return the connections to end now, the first one first.

    :param uses: each connection with its use and for how long, in seconds: since it was
        refused, by how much its sender has fallen behind, or how long it has waited.

    >>> connections_to_end(
    ...     [
    ...         ("busy", ConnectionUse.BUSY, 60.0),
    ...         ("kept", ConnectionUse.WAITING, 0.4),
    ...         ("idle", ConnectionUse.WAITING, 9.0),
    ...         ("stalled", ConnectionUse.BODY, 3.5),
    ...         ("steady", ConnectionUse.BODY, 0.0),
    ...     ]
    ... )
    ['stalled', 'idle']
    """
    rank = list(ConnectionUse)
    overdue = [
        (rank.index(use), -time_s, key)
        for key, use, time_s in uses
        if use in PATIENCE_S and time_s >= PATIENCE_S[use]
    ]
    overdue.sort(key=lambda row: row[:2])
    return [key for _, _, key in overdue[:MAX_ENDED]]


def senders_to_end(senders: Iterable[tuple[Key, float]]) -> list[Key]:
    """Return which senders end now whose small chunks are read at a limited rate.

    Small chunks take far more time than memory. A few such bodies are read for as long
    as they take; a crowd would be read for minutes, also after it has left.

    :param senders: each sender with how far it has fallen behind, in seconds.

    >>> senders_to_end([("a", 9.0), ("b", 0.1), ("c", 4.0), ("d", 5.0)])
    ['a', 'd']
    >>> senders_to_end([("a", 9.0), ("b", 8.0)])
    []
    """
    by_lag = sorted(senders, key=lambda row: -row[1])
    n_too_many = max(0, len(by_lag) - MAX_COMPETING)
    patience_s = PATIENCE_S[ConnectionUse.BODY]
    return [key for key, lag_s in by_lag[:n_too_many] if lag_s >= patience_s]
