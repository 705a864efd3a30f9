"""Load of engines, estimated from delayed reports and the requests sent since."""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from cassiaspread_core.base import TargetId
from cassiaspread_core.pipeline import EngineReport

# Longest delay of a report for which the estimate compensates.
MAX_LAG_S = 5.0


class _LoadChange(msgspec.Struct):
    at_s: float
    delta: int


class _Load(msgspec.Struct):
    """Load of one engine.

    :param n_reported: sequences in its last report.
    :param taken_s: time at which that report was taken, in seconds.
    :param n_own: sequences of this daemon that it has now.
    :param changes: recent starts (+1) and ends (-1) of sequences of this daemon.
    """

    n_reported: int = 0
    taken_s: float = float("-inf")
    n_own: int = 0
    changes: deque[_LoadChange] = msgspec.field(default_factory=deque)


class LoadTracker:
    """Estimates the current number of sequences on each engine.

    The last report gives the sequences of all daemons at an earlier time. Those that
    this daemon started and ended since then are counted exactly; the other daemons are
    assumed to have done the same, as they plan from the same reports.

    :param n_daemons: returns the number of daemons that send to these engines.

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
        """Record a report; one that is not newer than the last is ignored.

        :param target: the engine.
        :param n_sequences: reported sequences, including queued ones.
        :param taken_s: time at which the report was taken, in seconds.
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
        """Count a new sequence of this daemon on its engines.

        :param targets: engines of its plan.
        :param now_s: current time, in seconds.
        """
        for target in targets:
            self._record_change(target, 1, now_s)

    def end(self, targets: Iterable[TargetId], now_s: float) -> None:
        """Count a sequence of this daemon as ended.

        :param targets: engines of its plan.
        :param now_s: current time, in seconds.
        """
        for target in targets:
            self._record_change(target, -1, now_s)

    def load(self, target: TargetId) -> float:
        """Estimate the current number of sequences on an engine.

        :param target: the engine.
        """
        load = self._loads.get(target)
        if load is None:
            return 0.0
        n_since = sum(change.delta for change in load.changes)
        estimate = load.n_reported + n_since * max(1, self._n_daemons())
        return float(max(load.n_own, estimate, 0))

    def forget(self, targets: Iterable[TargetId]) -> None:
        """Remove engines that are no longer in use.

        :param targets: the engines.
        """
        for target in targets:
            self._loads.pop(target, None)

    def _record_change(self, target: TargetId, delta: int, now_s: float) -> None:
        load = self._loads.setdefault(target, _Load())
        load.n_own += delta
        load.changes.append(_LoadChange(now_s, delta))
        while load.changes[0].at_s < now_s - MAX_LAG_S:
            load.changes.popleft()


def n_sequences(report: EngineReport) -> int:
    """Return the number of sequences in a report, including queued ones.

    :param report: report of an engine.
    """
    return report.n_running + report.n_queued
