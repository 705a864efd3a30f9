"""Hybrid logical clock: physical time, never behind a received timestamp."""

from typing import NamedTuple

MILLISECONDS_PER_SECOND = 1000


class Timestamp(NamedTuple):
    """A point in causal order.

    :param wall_ms: largest physical time seen so far, in milliseconds since the epoch.
    :param counter: orders events with equal ``wall_ms``.
    """

    wall_ms: int
    counter: int

    def __str__(self) -> str:
        return f"{self.wall_ms}.{self.counter}"

    @classmethod
    def parse(cls, text: str) -> "Timestamp":
        """Parse the format that ``str`` returns.

        :param text: ``<wall_ms>.<counter>``.
        :raises ValueError: the text has a different format.

        >>> Timestamp.parse("17.2")
        Timestamp(wall_ms=17, counter=2)
        """
        wall_ms, counter = text.split(".")
        return cls(int(wall_ms), int(counter))


class HybridClock:
    """Issues timestamps that are consistent with the order of messages.

    >>> clock = HybridClock()
    >>> sent = clock.tick(now_s=1.0)
    >>> clock.tick(now_s=0.5) > sent
    True
    >>> clock.receive(Timestamp(9000, 4), now_s=1.0)
    Timestamp(wall_ms=9000, counter=5)
    """

    def __init__(self) -> None:
        self._last = Timestamp(0, 0)

    @property
    def last(self) -> Timestamp:
        """The latest timestamp issued."""
        return self._last

    def tick(self, now_s: float) -> Timestamp:
        """Issue the timestamp of a local event or an outgoing message.

        :param now_s: current time, in seconds since the epoch.
        """
        wall_ms = int(now_s * MILLISECONDS_PER_SECOND)
        if wall_ms > self._last.wall_ms:
            self._last = Timestamp(wall_ms, 0)
        else:
            self._last = Timestamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def receive(self, remote: Timestamp, now_s: float) -> Timestamp:
        """Issue the timestamp for the receipt of a message.

        :param remote: timestamp in the message.
        :param now_s: current time, in seconds since the epoch.
        """
        if remote > self._last:
            self._last = remote
        return self.tick(now_s)
