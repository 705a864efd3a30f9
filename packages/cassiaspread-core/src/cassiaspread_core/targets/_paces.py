"""The targets that are paced, and the requests that are unanswered at them."""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum

import msgspec

from cassiaspread_core.base import Count, ServiceId, TargetId
from cassiaspread_core.placement import Engine
from cassiaspread_core.targets._pace import (
    INITIAL_LIMIT,
    LATE_RATIO,
    MAX_LIMIT,
    UNPROVEN_LIMIT,
    Pace,
    count_places,
    timely_s,
)

# Predicted time at a target counts at least this often for a request beyond its limit:
# a request more in each place.
BEYOND_PACE_PENALTY = 2.0
# Bounds of the time from a failure, or from a probe, to the next probe, in seconds. The
# time doubles with each probe.
MIN_PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 8.0
# A daemon probes later than the one before it in rank by this time, in seconds, within
# which it would have heard that the target answers.
PROBE_STAGGER_S = 1.0
# Time for which a daemon reports a limit that it has changed, in seconds; a peer gets
# two or more reports within it.
REPORTED_S = 2.0
# Maximum number of limits in a report; those left out are learned from own answers.
MAX_REPORTED = 4
# Time for which the rank of this daemon is used, in seconds; daemons come and go.
RANK_LIFETIME_S = 1.0
# Numbers of resets above this one are taken as this one: it has room for own resets
# below the largest number that a report may hold.
MAX_REPORTED_RESETS = 2**32
# Weight of a new measurement in the mean time to an answer.
USUAL_WEIGHT = 0.1

# Limit of a target: incarnation of the target, number of resets, limit, and whether the
# target has answered since it started or failed.
PaceRow = tuple[Count, Count, Count, bool]


class PaceEvent(Enum):
    """What happened to the limit of a target."""

    BEGUN = "begun"
    WIDENED = "widened"
    NARROWED = "narrowed"
    ENDED = "ended"


class PaceChange(msgspec.Struct, frozen=True):
    """Change of the limit of a target.

    :param target: the target.
    :param event: what happened.
    :param limit: unanswered requests that it may have from now on.
    :param n_resets: number of times that the limit was reset.
    :param reason: cause of the change.
    """

    target: TargetId
    event: PaceEvent
    limit: int
    n_resets: int
    reason: str


class UnansweredRequest(msgspec.Struct):
    """A request that has no answer yet, and the targets that it depends on.

    :param service: its service.
    :param targets: the targets.
    :param begin_s: when it was sent, in seconds.
    :param probed: those of the targets that were suspect.
    :param is_open: whether it waits for its first answer.
    """

    service: ServiceId
    targets: tuple[TargetId, ...]
    begin_s: float
    probed: frozenset[TargetId] = frozenset()
    is_open: bool = True


class _Suspicion(msgspec.Struct):
    """A target that is suspect: it may get one request at a time as a probe."""

    engine: Engine
    since_s: float
    probe_s: float
    interval_s: float = MIN_PROBE_INTERVAL_S
    is_probed: bool = False
    # Whether a request that was sent before has ended well since.
    has_answered: bool = False


class _Rank(msgspec.Struct, frozen=True):
    rank: int
    n_daemons: int
    at_s: float


class TargetPaces:
    """Paces targets that have just started or recovered.

    :param rank_of: returns this daemon's rank among the daemons that share the limit of
        a key, and their number.
    :param n_in_use: returns the requests in progress at the usual target of the service
        of an engine; above it a limit has no effect.
    :param on_change: called with each change of a limit.

    >>> engine = Engine(target="t", service="s", address="t:1", domain="d")
    >>> paces = TargetPaces(lambda key: (0, 1), lambda engine: 16.0)
    >>> paces.begin(engine, now_s=0.0)
    >>> for _ in range(INITIAL_LIMIT):
    ...     request = paces.open("s", ["t"], now_s=0.1)
    >>> paces.penalties([engine], may_repeat=True, now_s=0.1)
    {'t': 2.5}
    >>> paces.penalties([engine], may_repeat=True, now_s=9.5)
    {}
    """

    def __init__(
        self,
        rank_of: Callable[[str], tuple[int, int]],
        n_in_use: Callable[[Engine], float],
        on_change: Callable[[PaceChange], None] = lambda change: None,
    ) -> None:
        self._rank_of = rank_of
        self._n_in_use = n_in_use
        self._on_change = on_change
        self._paces: dict[TargetId, Pace] = {}
        # Targets whose limit has not ended.
        self._active: set[TargetId] = set()
        self._engines: dict[TargetId, Engine] = {}
        self._n_unanswered: dict[TargetId, int] = {}
        self._suspicions: dict[TargetId, _Suspicion] = {}
        self._ranks: dict[TargetId, _Rank] = {}
        self._reported_until_s: dict[TargetId, float] = {}
        self._usual_s: dict[ServiceId, float] = {}

    @property
    def n_paced(self) -> int:
        """Number of targets that have a limit."""
        return len(self._active)

    def record_change(
        self, before: Engine | None, after: Engine | None, is_news: bool, now_s: float
    ) -> None:
        """Begin to pace a target that has just started or loaded its layers.

        :param before: its entry before the change; ``None`` if it was not listed.
        :param after: its entry; ``None`` if it was removed.
        :param is_news: whether the change just happened; a daemon that has just started
            learns of targets that have been at work for long.
        :param now_s: current time, in seconds.
        """
        is_same = (
            before is not None
            and after is not None
            and before.incarnation == after.incarnation
        )
        if before is not None and not is_same:
            self.forget(before.target)
        if after is None or not _can_serve(after):
            return
        if is_news and not (is_same and _can_serve(before)):
            self.begin(after, now_s)

    def begin(self, engine: Engine, now_s: float) -> None:
        """Begin to pace a target that has just started.

        :param engine: the target.
        :param now_s: current time, in seconds.
        """
        self.forget(engine.target)
        self._start(engine, INITIAL_LIMIT, 0, "it has just started", now_s)

    def forget(self, target: TargetId) -> None:
        """Delete what is known of a target that was removed or restarted.

        :param target: the target.
        """
        for table in (
            self._paces,
            self._engines,
            self._suspicions,
            self._ranks,
            self._reported_until_s,
        ):
            table.pop(target, None)
        self._active.discard(target)

    def update_suspects(
        self, engines: Iterable[Engine], suspects: set[TargetId], now_s: float
    ) -> None:
        """Note which targets are suspect, and pace those that no longer are.

        :param engines: targets whose state is known.
        :param suspects: those of them that are suspect.
        :param now_s: current time, in seconds.
        """
        if not suspects and not self._suspicions:
            return
        for engine in engines:
            target = engine.target
            if target in suspects:
                if target not in self._suspicions:
                    self._suspicions[target] = _Suspicion(
                        engine, now_s, now_s + MIN_PROBE_INTERVAL_S
                    )
            elif target in self._suspicions:
                suspicion = self._suspicions.pop(target)
                limit = INITIAL_LIMIT if suspicion.has_answered else UNPROVEN_LIMIT
                self._restart(engine, limit, "it is no longer suspect", now_s)

    def is_probe_due(self, engine: Engine, now_s: float) -> bool:
        """Return whether a suspect target may get a request to see if it answers.

        :param engine: the target.
        :param now_s: current time, in seconds.
        """
        suspicion = self._suspicions.get(engine.target)
        if suspicion is None or suspicion.is_probed or now_s < suspicion.probe_s:
            return False
        rank, _ = self._find_rank(engine, now_s)
        return now_s >= suspicion.probe_s + rank * PROBE_STAGGER_S

    def penalties(
        self, engines: Iterable[Engine], may_repeat: bool, now_s: float
    ) -> dict[TargetId, float]:
        """Return a factor on the predicted time at targets that are at their limit.

        :param engines: targets among which a request chooses.
        :param may_repeat: whether the request may be sent again if its target fails.
        :param now_s: current time, in seconds.
        :returns: factor by target; the request is within the limit of the others.
        """
        if not self._active:
            return {}
        factors = {
            engine.target: self._penalty(engine, may_repeat, now_s)
            for engine in engines
            if engine.target in self._active
        }
        return {target: factor for target, factor in factors.items() if factor > 1.0}

    def open(
        self, service: ServiceId, targets: Iterable[TargetId], now_s: float
    ) -> UnansweredRequest:
        """Add a request to those that are unanswered at its targets.

        :param service: its service.
        :param targets: the targets that it depends on.
        :param now_s: current time, in seconds.
        """
        targets = tuple(targets)
        for target in targets:
            self._n_unanswered[target] = self._n_unanswered.get(target, 0) + 1
        probed = self._suspicions.keys() & targets
        for target in probed:
            suspicion = self._suspicions[target]
            suspicion.is_probed = True
            suspicion.probe_s = now_s + suspicion.interval_s
            suspicion.interval_s = min(MAX_PROBE_INTERVAL_S, 2 * suspicion.interval_s)
        return UnansweredRequest(service, targets, now_s, frozenset(probed))

    def close(self, request: UnansweredRequest) -> None:
        """Remove a request from those that are unanswered.

        :param request: the request; may have been removed before.
        """
        if not request.is_open:
            return
        request.is_open = False
        for target in request.targets:
            self._n_unanswered[target] -= 1
            if not self._n_unanswered[target]:
                del self._n_unanswered[target]
        for target in request.probed & self._suspicions.keys():
            self._suspicions[target].is_probed = False

    def record_answer(
        self, request: UnansweredRequest, objective_s: float, now_s: float
    ) -> list[TargetId]:
        """Record the first answer to a request.

        :param request: the request; further answers to it change nothing.
        :param objective_s: objective of its route, in seconds.
        :param now_s: current time, in seconds.
        :returns: targets that were suspect and have answered.
        """
        if not request.is_open:
            return []
        self.close(request)
        elapsed_s = now_s - request.begin_s
        usual_s = self._usual_s.get(request.service, 0.0)
        allowed_s = timely_s(objective_s, usual_s)
        recovered = []
        is_paced = False
        for target in request.targets:
            if target in self._suspicions:
                is_paced = True
                if self._record_recovery(target, request.begin_s, now_s):
                    recovered.append(target)
                continue
            pace = self._paces.get(target)
            if pace is None or pace.is_ended:
                continue
            is_paced = True
            if elapsed_s <= allowed_s:
                self._record_timely(pace, target, request.begin_s, now_s)
            elif elapsed_s > LATE_RATIO * allowed_s and pace.record_late(
                request.begin_s, now_s
            ):
                reason = f"first answer after {elapsed_s:.2f} s"
                self._record_narrowed(pace, target, reason, now_s)
        if not is_paced:
            weight = USUAL_WEIGHT if usual_s else 1.0
            self._usual_s[request.service] = usual_s + weight * (elapsed_s - usual_s)
        return recovered

    def record_success(self, target: TargetId) -> None:
        """Record that a target has completed a request.

        :param target: the target.
        """
        suspicion = self._suspicions.get(target)
        if suspicion is not None:
            suspicion.has_answered = True

    def record_failure(self, target: TargetId, now_s: float) -> None:
        """Record that a target failed a request or could not be reached.

        :param target: the target.
        :param now_s: current time, in seconds.
        """
        suspicion = self._suspicions.get(target)
        if suspicion is not None:
            suspicion.since_s = now_s
            suspicion.has_answered = False
        pace = self._paces.get(target)
        if pace is None or pace.is_ended:
            return
        if pace.record_failure(now_s):
            self._record_narrowed(pace, target, "it failed", now_s)

    def rows(self, now_s: float) -> dict[TargetId, PaceRow]:
        """Return the limits to report to the other daemons.

        :param now_s: current time, in seconds.
        :returns: those that changed last because of answers to this daemon.
        """
        reported = self._reported_until_s
        for target in [t for t, until_s in reported.items() if until_s < now_s]:
            del reported[target]
        latest = sorted(reported, key=lambda t: reported[t], reverse=True)
        paces = {target: self._paces[target] for target in latest[:MAX_REPORTED]}
        return {
            target: (pace.incarnation, pace.n_resets, pace.limit, pace.is_answering)
            for target, pace in paces.items()
        }

    def record_report(
        self, rows: Mapping[TargetId, PaceRow], now_s: float
    ) -> list[TargetId]:
        """Take over newer limits of another daemon.

        :param rows: limits by target, as that daemon reports them.
        :param now_s: current time, in seconds.
        :returns: targets that are suspect here and have answered the other daemon.
        """
        recovered = []
        for target, (incarnation, n_resets, limit, is_answering) in rows.items():
            n_resets = min(n_resets, MAX_REPORTED_RESETS)
            pace = self._paces.get(target)
            suspicion = self._suspicions.get(target)
            if suspicion is not None:
                is_newer = n_resets > (0 if pace is None else pace.n_resets)
                is_same = suspicion.engine.incarnation == incarnation
                if not (is_same and is_newer and is_answering):
                    continue
                del self._suspicions[target]
                recovered.append(target)
                reason = "it answers another daemon"
                self._start(suspicion.engine, limit, n_resets, reason, now_s)
                self._end_if_wide(self._paces[target], target)
            elif pace is not None and pace.incarnation == incarnation:
                before = pace.limit
                if pace.merge(limit, n_resets, now_s):
                    is_wider = pace.limit > before
                    event = PaceEvent.WIDENED if is_wider else PaceEvent.NARROWED
                    self._notify(pace, target, event, "another daemon reports")
                    self._end_if_wide(pace, target)
        return recovered

    def _penalty(self, engine: Engine, may_repeat: bool, now_s: float) -> float:
        pace = self._paces[engine.target]
        self._advance(pace, engine, now_s)
        if pace.is_ended:
            return 1.0
        rank, n_daemons = self._find_rank(engine, now_s)
        n_unanswered = self._n_unanswered.get(engine.target, 0)
        n_places = count_places(pace.limit, rank, n_daemons)
        is_proven = pace.limit >= INITIAL_LIMIT
        if n_unanswered < n_places and (may_repeat or is_proven):
            return 1.0
        # If every daemon sends as this one does, the target has this many times what it
        # answers in time.
        n_expected = (n_unanswered + 1) * max(1, n_daemons)
        return BEYOND_PACE_PENALTY * max(1.0, n_expected / pace.limit)

    def _start(
        self, engine: Engine, limit: int, n_resets: int, reason: str, now_s: float
    ) -> None:
        limit = max(UNPROVEN_LIMIT, min(MAX_LIMIT, limit))
        # One that has just started or is no longer suspect may be unable to answer.
        is_answering = n_resets > 0 and limit >= INITIAL_LIMIT
        pace = Pace(engine.incarnation, limit, n_resets, now_s, is_answering)
        self._paces[engine.target] = pace
        self._engines[engine.target] = engine
        self._notify(pace, engine.target, PaceEvent.BEGUN, reason)

    def _restart(self, engine: Engine, limit: int, reason: str, now_s: float) -> None:
        before = self._paces.get(engine.target)
        is_known = before is not None and before.incarnation == engine.incarnation
        n_resets = before.n_resets if is_known else 0
        self._start(engine, limit, n_resets + 1, reason, now_s)

    def _record_recovery(self, target: TargetId, begin_s: float, now_s: float) -> bool:
        suspicion = self._suspicions[target]
        if begin_s < suspicion.since_s:
            return False
        del self._suspicions[target]
        self._restart(suspicion.engine, INITIAL_LIMIT, "it answers again", now_s)
        self._reported_until_s[target] = now_s + REPORTED_S
        return True

    def _record_timely(
        self, pace: Pace, target: TargetId, begin_s: float, now_s: float
    ) -> None:
        rank, n_daemons = self._find_rank(self._engines[target], now_s)
        n_places = count_places(pace.limit, rank, n_daemons)
        if pace.record_timely(begin_s, n_places, now_s):
            self._reported_until_s[target] = now_s + REPORTED_S
            self._notify(pace, target, PaceEvent.WIDENED, "answers in time")
            self._end_if_wide(pace, target)

    def _record_narrowed(
        self, pace: Pace, target: TargetId, reason: str, now_s: float
    ) -> None:
        self._reported_until_s[target] = now_s + REPORTED_S
        self._notify(pace, target, PaceEvent.NARROWED, reason)

    def _advance(self, pace: Pace, engine: Engine, now_s: float) -> None:
        if pace.advance(now_s):
            reason = "the limit has not changed for long"
            self._notify(pace, engine.target, PaceEvent.WIDENED, reason)
            self._end_if_wide(pace, engine.target)

    def _end_if_wide(self, pace: Pace, target: TargetId) -> None:
        n_in_use = self._n_in_use(self._engines[target])
        if pace.limit > max(INITIAL_LIMIT, n_in_use) or pace.limit >= MAX_LIMIT:
            pace.is_ended = True
            reason = f"targets of its service have {n_in_use:.1f} requests each"
            self._notify(pace, target, PaceEvent.ENDED, reason)

    def _find_rank(self, engine: Engine, now_s: float) -> tuple[int, int]:
        rank = self._ranks.get(engine.target)
        if rank is None or now_s >= rank.at_s + RANK_LIFETIME_S:
            key = f"{engine.target}|{engine.incarnation}"
            rank = _Rank(*self._rank_of(key), now_s)
            self._ranks[engine.target] = rank
        return rank.rank, rank.n_daemons

    def _notify(
        self, pace: Pace, target: TargetId, event: PaceEvent, reason: str
    ) -> None:
        if pace.is_ended:
            self._active.discard(target)
        else:
            self._active.add(target)
        self._on_change(PaceChange(target, event, pace.limit, pace.n_resets, reason))


def _can_serve(engine: Engine) -> bool:
    return not engine.accelerator or len(engine.layers) > 0
