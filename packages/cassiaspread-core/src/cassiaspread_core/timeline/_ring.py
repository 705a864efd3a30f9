"""Bounded ring of typed events."""

from collections import deque
from collections.abc import Callable

import msgspec

from cassiaspread_core.timeline._clock import HybridClock, Timestamp


class Event(msgspec.Struct, frozen=True):
    """One event of one process.

    :param timestamp: position in causal order.
    :param process: name of the process that recorded it.
    :param kind: what happened, such as ``stream.replanned``.
    :param request: request that it belongs to, empty for none.
    :param fields: further values; never a token or a body.
    """

    timestamp: Timestamp
    process: str
    kind: str
    request: str
    fields: dict[str, str | int | float | bool | None]


class EventRing:
    """Keeps the latest events of one process.

    :param process: name of the process.
    :param n_events: how many events are kept.
    :param now: returns the present time in seconds since the epoch.

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
        """The clock whose timestamps go out with every message."""
        return self._clock

    def stamp(self) -> str:
        """Issue the timestamp that a message to be sent carries."""
        return str(self._clock.tick(self._now()))

    def receive(self, stamp: str) -> None:
        """Take over the timestamp of a received message; ignore a malformed one.

        :param stamp: the text that the message carried.
        """
        try:
            self._clock.receive(Timestamp.parse(stamp), self._now())
        except ValueError:
            return

    def record(
        self, kind: str, request: str = "", **fields: str | int | float | bool | None
    ) -> Event:
        """Add an event.

        :param kind: what happened.
        :param request: request that it belongs to.
        :param fields: further values.
        """
        timestamp = self._clock.tick(self._now())
        event = Event(timestamp, self._process, kind, request, fields)
        self._events.append(event)
        return event

    def events(self, request: str | None = None) -> list[Event]:
        """List the kept events, oldest first.

        :param request: only the events of this request.
        """
        return [e for e in self._events if request is None or e.request == request]
