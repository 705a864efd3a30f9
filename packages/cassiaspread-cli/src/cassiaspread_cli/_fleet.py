"""Requests to daemons."""

from collections.abc import Sequence
from urllib.parse import urlencode

import msgspec
from cassiaspread_core.base import CassiaspreadError
from cassiaspread_core.timeline import Event
from tornado.httpclient import HTTPClient, HTTPError

TIMEOUT_S = 3.0


class FleetUnreachable(CassiaspreadError):
    """No daemon answered."""


def read_events(daemons: Sequence[str], token: str, request: str | None) -> list[Event]:
    """Read and merge the events of all daemons that answer.

    :param daemons: ``host:port`` of each daemon.
    :param token: operator's bearer token.
    :param request: only the events of this request.
    :returns: events in causal order.
    :raises FleetUnreachable: no daemon answered.
    """
    query = f"?{urlencode({'request': request})}" if request else ""
    events: list[Event] = []
    failures: list[str] = []
    for daemon in daemons:
        try:
            body = _get(daemon, "/operators/events" + query, token)
        except (HTTPError, OSError) as error:
            failures.append(f"{daemon}: {error}")
            continue
        events += msgspec.json.decode(body, type=list[Event])
    if len(failures) == len(daemons):
        raise FleetUnreachable("no daemon answered: " + "; ".join(failures))
    return sorted(events, key=lambda event: (event.timestamp, event.process))


def _get(daemon: str, path: str, token: str) -> bytes:
    client = HTTPClient()
    try:
        return client.fetch(
            f"http://{daemon}{path}",
            headers={"Authorization": f"Bearer {token}"},
            connect_timeout=TIMEOUT_S,
            request_timeout=TIMEOUT_S,
        ).body
    finally:
        client.close()
