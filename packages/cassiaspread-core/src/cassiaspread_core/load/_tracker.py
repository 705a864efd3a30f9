"""Load of engines from reports that lag and from what was sent since."""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from cassiaspread_core.base import TargetId
from cassiaspread_core.pipeline import EngineReport

# Longest lag of a report that is made up for.
MAX_LAG_S = 5.0


class _Change(msgspec.Struct):
    at_s: float
    n: int


class _Load(msgspec.Struct):
    """State of one engine.

    :param n_reported: sequences that it had when it reported.
    :param taken_s: when that was.
    :param n_own: sequences that this daemon has on it now.
    :param changes: recent starts (+1) and ends (-1) of own sequences.
    """

    n_reported: int = 0
    taken_s: float = float("-inf")
    n_own: int = 0
    changes: deque[_Change] = msgspec.field(default_factory=deque)


class LoadTracker:
    """Estimates how many sequences each engine has at present.

    The last report tells the sequences of all daemons some time ago. What this daemon
    started and ended since then is counted exactly; the other daemons are assumed to
    have done the same, as they plan from the same reports.

    :param n_daemons: returns how many daemons send to these engines.

    >>> tracker = LoadTracker(lambda: 1)
    >>> tracker.start(["e1"], now_s=9.0)
    >>> tracker.report("e1", n_sequences=3, taken_s=8.0, now_s=10.0)
    >>> tracker.load("e1")
    4.0
    """

    def __init__(self, n_daemons: Callable[[], int]) -> None:
        self._n_daemons = n_daemons
        self._loads: dict[TargetId, _Load] = {}

    def report(
        self, target: TargetId, n_sequences: int, taken_s: float, now_s: float
    ) -> None:
        """Take in a report; an older one than the last is ignored.

        :param target: the engine.
        :param n_sequences: sequences that it had, waiting ones too.
        :param taken_s: when it had them.
        :param now_s: current time on the same clock, in seconds.
        """
        load = self._loads.setdefault(target, _Load())
        if taken_s <= load.taken_s:
            return
        load.n_reported = n_sequences
        load.taken_s = taken_s
        oldest_s = max(taken_s, now_s - MAX_LAG_S)
        while load.changes and load.changes[0].at_s <= oldest_s:
            load.changes.popleft()

    def start(self, targets: Iterable[TargetId], now_s: float) -> None:
        """Count a sequence of this daemon on engines.

        :param targets: engines of its plan.
        :param now_s: current time, in seconds.
        """
        for target in targets:
            self._change(target, 1, now_s)

    def end(self, targets: Iterable[TargetId], now_s: float) -> None:
        """Count a sequence of this daemon as ended.

        :param targets: engines of its plan.
        :param now_s: current time, in seconds.
        """
        for target in targets:
            self._change(target, -1, now_s)

    def load(self, target: TargetId) -> float:
        """Estimate the sequences that an engine has now.

        :param target: the engine.
        """
        load = self._loads.get(target)
        if load is None:
            return 0.0
        n_since = sum(change.n for change in load.changes)
        estimate = load.n_reported + n_since * max(1, self._n_daemons())
        return float(max(load.n_own, estimate, 0))

    def forget(self, targets: Iterable[TargetId]) -> None:
        """Drop engines that are gone.

        :param targets: the engines.
        """
        for target in targets:
            self._loads.pop(target, None)

    def _change(self, target: TargetId, n: int, now_s: float) -> None:
        load = self._loads.setdefault(target, _Load())
        load.n_own += n
        load.changes.append(_Change(now_s, n))
        while load.changes[0].at_s < now_s - MAX_LAG_S:
            load.changes.popleft()


def n_sequences(report: EngineReport) -> int:
    """Return the sequences of a report, waiting ones too.

    :param report: what an engine said.
    """
    return report.n_running + report.n_queued
