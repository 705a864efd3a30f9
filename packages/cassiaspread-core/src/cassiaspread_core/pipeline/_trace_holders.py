"""Choice of the daemons that store the trace of a request."""

from collections.abc import Iterable

import xxhash

from cassiaspread_core.base import RequestId


def rank_trace_holders(request: RequestId, daemons: Iterable[str]) -> list[str]:
    """Order daemons by rendezvous hash, so that all agree on the holders of a trace.

    :param request: the request.
    :param daemons: addresses of live daemons.

    >>> ranked = rank_trace_holders("r", ["a", "b", "c"])
    >>> ranked == rank_trace_holders("r", ["c", "b", "a"])
    True
    >>> [d for d in ranked if d != "b"] == rank_trace_holders("r", ["a", "c"])
    True
    """
    return sorted(
        daemons,
        key=lambda daemon: xxhash.xxh3_64_intdigest(f"{request}\n{daemon}".encode()),
        reverse=True,
    )
