"""Targets that want no requests from this daemon for some time."""

import msgspec

from cassiaspread_core.base import TargetId
from cassiaspread_core.placement import Engine

# Longest time for which a target is left alone, in seconds; a larger value that it
# sends is taken as this one.
MAX_CLOSED_S = 3600.0


class _Closure(msgspec.Struct, frozen=True):
    incarnation: int
    until_s: float


class TargetClosures:
    """Times until which targets want no requests.

    A target that was restarted is open.

    >>> from cassiaspread_core.placement import Engine
    >>> engine = Engine(target="t", service="s", address="t:1", domain="d")
    >>> closures = TargetClosures()
    >>> closures.close(engine, 2.0, now_s=1.0)
    >>> closures.is_closed(engine, now_s=2.5), closures.is_closed(engine, now_s=3.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._closures: dict[TargetId, _Closure] = {}

    def close(self, engine: Engine, duration_s: float, now_s: float) -> None:
        """Record that a target wants no requests; a shorter time changes nothing.

        :param engine: the target.
        :param duration_s: for how long, in seconds.
        :param now_s: current time, in seconds.
        """
        until_s = now_s + min(duration_s, MAX_CLOSED_S)
        closure = self._closures.get(engine.target)
        if closure is not None and closure.incarnation == engine.incarnation:
            until_s = max(until_s, closure.until_s)
        self._closures[engine.target] = _Closure(engine.incarnation, until_s)

    def is_closed(self, engine: Engine, now_s: float) -> bool:
        """Return whether a target wants no requests.

        :param engine: the target.
        :param now_s: current time, in seconds.
        """
        closure = self._closures.get(engine.target)
        if closure is None or closure.incarnation != engine.incarnation:
            return False
        return now_s < closure.until_s

    def opens_in_s(self, engine: Engine, now_s: float) -> float:
        """Return the time until a target is open again, in seconds; 0 if it is open.

        :param engine: the target.
        :param now_s: current time, in seconds.
        """
        if not self.is_closed(engine, now_s):
            return 0.0
        return self._closures[engine.target].until_s - now_s

    def record_removal(self, engine: Engine, now_s: float) -> None:
        """Record that the entry of a target was removed or names another process.

        The closure of the process is kept until it ends, since its entry may come back,
        unless the process can't be told from the next one.

        :param engine: the target before.
        :param now_s: current time, in seconds.
        """
        if not engine.incarnation:
            self._closures.pop(engine.target, None)
        self._closures = {
            target: closure
            for target, closure in self._closures.items()
            if now_s < closure.until_s
        }
