"""Hybrid logical clock: physical time, never behind a received timestamp."""

from typing import NamedTuple

from cassiaspread_core.base import Count, parse_count, shorten

MILLISECONDS_PER_SECOND = 1000
# 20 November 2286, the last 13 digits.
MAX_WALL_MS = 9_999_999_999_999
# Far more events than a process has while its clock stands still; above it, the counter
# of a receiver has room up to the largest number that a message may contain.
MAX_RECEIVED_COUNTER = 2**32


class Timestamp(NamedTuple):
    """A point in causal order.

    :param wall_ms: largest physical time seen so far, in milliseconds since the epoch.
    :param counter: orders events with equal ``wall_ms``.
    """

    wall_ms: Count
    counter: Count

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
        wall_text, _, counter_text = text.partition(".")
        wall_ms = parse_count(wall_text, MAX_WALL_MS)
        counter = parse_count(counter_text)
        if wall_ms is None or counter is None:
            raise ValueError(f"expected <wall_ms>.<counter>, got {shorten(text)!r}")
        return cls(wall_ms, counter)


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

        A timestamp that no clock issues is ignored: the clock could not go on after it.

        :param remote: timestamp in the message.
        :param now_s: current time, in seconds since the epoch.
        """
        is_issued = remote.counter <= MAX_RECEIVED_COUNTER
        if is_issued and remote > self._last:
            self._last = remote
        return self.tick(now_s)
