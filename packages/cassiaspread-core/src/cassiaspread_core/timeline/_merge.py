"""Merges the events of several processes into one causal order."""

from collections.abc import Iterable

from cassiaspread_core.timeline._ring import Event


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Order events so that each comes after all that can have caused it.

    Hybrid timestamps never decrease along a message, whatever the processes' clocks
    say; events that no message connects are ordered by time, then by process.

    :param events: events of any processes, in any order.
    :returns: each event once, in causal order.

    >>> from cassiaspread_core.timeline import Timestamp
    >>> late = Event(Timestamp(2, 0), "d1", "sent", "r", {})
    >>> early = Event(Timestamp(1, 0), "d2", "planned", "r", {})
    >>> [event.kind for event in merge_events([late, early, late])]
    ['planned', 'sent']
    """
    unique = {(event.timestamp, event.process): event for event in events}
    return [unique[key] for key in sorted(unique)]
