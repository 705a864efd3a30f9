"""Merging of the events of several processes into one causal order."""

from collections.abc import Iterable

from cassiaspread_core.timeline._ring import Event


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Sort events so that each comes after all events that may have caused it.

    The timestamp of a message's receipt is always later than that of its sending,
    whatever the clocks of the processes show. Events not connected by messages are
    sorted by time, then by process.

    :param events: events of any processes, in any order, possibly repeated.
    :returns: the unique events, in causal order.

    >>> from cassiaspread_core.timeline import Timestamp
    >>> late = Event(Timestamp(2, 0), "d1", "sent", "r", {})
    >>> early = Event(Timestamp(1, 0), "d2", "planned", "r", {})
    >>> [event.kind for event in merge_events([late, early, late])]
    ['planned', 'sent']
    """
    unique = {(event.timestamp, event.process): event for event in events}
    return [unique[key] for key in sorted(unique)]
