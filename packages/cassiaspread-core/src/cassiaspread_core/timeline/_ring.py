"""Ring buffer of typed events."""

from collections import deque
from collections.abc import Callable

import msgspec

from cassiaspread_core.timeline._clock import HybridClock, Timestamp


class Event(msgspec.Struct, frozen=True):
    """An event in a process.

    :param timestamp: position in causal order.
    :param process: name of the process that recorded it.
    :param kind: type of the event, such as ``stream.replanned``.
    :param request: identifier of the related request, empty for none.
    :param fields: further values; must not contain a token or a body.
    """

    timestamp: Timestamp
    process: str
    kind: str
    request: str
    fields: dict[str, str | int | float | bool | None]


class EventRing:
    """Keeps the latest events of one process.

    :param process: name of the process.
    :param n_events: maximum number of events kept.
    :param now: returns the current time, in seconds since the epoch.

    >>> ring = EventRing("d1", n_events=2, now=lambda: 1.0)
    >>> for kind in ("a", "b", "c"):
    ...     _ = ring.record(kind)
    >>> [event.kind for event in ring.events()]
    ['b', 'c']
    """

    def __init__(self, process: str, n_events: int, now: Callable[[], float]) -> None:
        self._process = process
        self._events: deque[Event] = deque(maxlen=n_events)
        self._now = now
        self._clock = HybridClock()

    @property
    def clock(self) -> HybridClock:
        """The clock that issues the timestamps of events and messages."""
        return self._clock

    def issue_timestamp(self) -> str:
        """Issue the timestamp of an outgoing message."""
        return str(self._clock.tick(self._now()))

    def receive_timestamp(self, stamp: str) -> None:
        """Advance the clock by a received message; a malformed timestamp is ignored.

        :param stamp: timestamp in the message, as text.
        """
        try:
            self._clock.receive(Timestamp.parse(stamp), self._now())
        except ValueError:
            return

    def record(
        self, kind: str, request: str = "", **fields: str | int | float | bool | None
    ) -> Event:
        """Add an event.

        :param kind: type of the event.
        :param request: identifier of the related request, empty for none.
        :param fields: further values.
        """
        timestamp = self._clock.tick(self._now())
        event = Event(timestamp, self._process, kind, request, fields)
        self._events.append(event)
        return event

    def events(self, request: str | None = None) -> list[Event]:
        """Return the events in the buffer, oldest first.

        :param request: return only the events of this request, if given.
        """
        return [e for e in self._events if request is None or e.request == request]
