"""Selection of the target or chain of engines for a request, and load accounting."""

import random
from collections.abc import Callable, Iterable

import msgspec

from cassiaspread_core.base import DomainId, ServiceId, TargetId
from cassiaspread_core.chains import (
    Chain,
    LinkId,
    LoadLedger,
    RequestDemand,
    StageLoad,
    UnreportedStarts,
    choose_chain,
    link_between,
    stage_load,
)
from cassiaspread_core.placement import Engine
from cassiaspread_core.routing import Service
from cassiaspread_core.targets import (
    DomainReachability,
    TargetClosures,
    TargetHealth,
    TargetPaces,
    UnansweredRequest,
)
from cassiaspread_daemon.gateway._routing_state import RoutingState

PLAIN_LOAD = StageLoad(n_sequences=1, token_layers=0.0, n_heads=1)


class Assignment(msgspec.Struct, frozen=True):
    """Target or chain of engines selected for a request.

    :param head: target that the request is sent to.
    :param chain: engines that it passes through; empty for a plain service.
    :param loads: load that it adds to each target.
    :param unanswered: the request until its first answer, where targets are paced.
    """

    head: Engine
    chain: Chain
    loads: tuple[tuple[TargetId, StageLoad], ...]
    unanswered: UnansweredRequest | None = None

    @property
    def engines(self) -> tuple[Engine, ...]:
        """All targets that are at work for the request once it is sent."""
        return tuple(stage.engine for stage in self.chain) or (self.head,)

    @property
    def targets(self) -> tuple[TargetId, ...]:
        """All targets that the request depends on."""
        return tuple(target for target, _ in self.loads)


class Dispatcher:
    """Selects targets and tracks the load in progress on them.

    :param domain: failure domain of this daemon.
    :param routing_state: targets in the current list.
    :param ledger: load in progress.
    :param health: health of the targets.
    :param closures: targets that want no requests.
    :param random_state: breaks ties between equal targets.
    """

    def __init__(
        self,
        domain: DomainId,
        routing_state: RoutingState,
        ledger: LoadLedger,
        health: TargetHealth,
        closures: TargetClosures,
        random_state: random.Random,
    ) -> None:
        self.domain = domain
        self._routing_state = routing_state
        self._ledger = ledger
        self._health = health
        self._closures = closures
        self._reachability = DomainReachability()
        self._random_state = random_state
        self._unreported = UnreportedStarts(random_state)
        # Times until which no chain crosses links that are in use.
        self._closed_links: dict[LinkId, float] = {}
        # Number of daemons of this domain, which share its engines; includes this one.
        self.count_domain_daemons: Callable[[], int] = lambda: 1
        # Pace of targets that have just started or recovered; None without a limit.
        self.paces: TargetPaces | None = None
        # Requests that were assigned while a target was at its limit: to another one,
        # or beyond the limit.
        self.n_by_pace = {"elsewhere": 0, "beyond": 0}
        # Called when a target is avoided that was not before.
        self.on_avoided: Callable[[], None] = lambda: None
        # Called when capacity may have become free: with the service of a request that
        # ended, or with None.
        self.capacity_callbacks: list[Callable[[ServiceId | None], None]] = []

    def assign(
        self,
        service: Service,
        demand: RequestDemand,
        now_s: float,
        avoid: Iterable[TargetId] = (),
        defer: Iterable[TargetId] = (),
    ) -> Assignment | None:
        """Select a target or chain for a request and add the request to its load.

        :param service: service that runs the request.
        :param demand: tokens that the request needs of a chain.
        :param now_s: current time, in seconds.
        :param avoid: targets to exclude.
        :param defer: targets to select only if no other one is healthy.
        :returns: ``None`` when no target has capacity.
        """
        avoided, deferred = set(avoid), set(defer)
        engines = [
            e
            for e in self._routing_state.engines_of(service.name)
            if e.target not in avoided and not self._closures.is_closed(e, now_s)
        ]
        suspects = {
            e.target for e in engines if self._health.is_suspect(e.target, now_s)
        }
        healthy = [
            e
            for e in engines
            if e.target not in suspects
            and (
                e.domain == self.domain
                or not self._reachability.is_unreachable(e.domain, now_s)
            )
        ]
        preferred = [e for e in healthy if e.target not in deferred]
        if self.paces is not None:
            self.paces.update_suspects(engines, suspects, now_s)
            if suspects and demand.may_repeat and not avoided and not deferred:
                preferred += self._find_due_probe(engines, now_s)
        # A suspect target may be well; one that turns requests away is of no use.
        possible = [e for e in engines if not self._health.is_avoided(e.target, now_s)]
        before: list[Engine] | None = None
        for candidates in (preferred, healthy, possible):
            if candidates == before:
                continue
            before = candidates
            assignment = self._choose(service, demand, candidates, now_s)
            if assignment is not None:
                for target, load in assignment.loads:
                    self._ledger.add(target, load)
                if assignment.chain:
                    self._unreported.record_start(now_s)
                return self._open(assignment, service, now_s)
        return None

    def record_sent(self, assignment: Assignment, now_s: float) -> None:
        """Record that a request is sent now.

        :param assignment: assignment of the request.
        :param now_s: current time, in seconds.
        """
        if assignment.unanswered is not None:
            assignment.unanswered.begin_s = now_s

    def record_first_answer(
        self, assignment: Assignment, objective_s: float, now_s: float
    ) -> None:
        """Record that the answer to a request has begun.

        :param assignment: assignment of the request.
        :param objective_s: objective of its route, in seconds.
        :param now_s: current time, in seconds.
        """
        if self.paces is None or assignment.unanswered is None:
            return
        for target in self.paces.record_answer(
            assignment.unanswered, objective_s, now_s
        ):
            self._health.record_recovery(target, now_s)

    def mean_in_use(self, engine: Engine) -> float:
        """Return the mean number of requests in progress at targets of a service.

        :param engine: one of them.
        """
        loads = [
            self._ledger.total(other.target).n_sequences
            for other in self._routing_state.engines_of(engine.service)
            if other.domain == engine.domain
        ]
        return sum(loads) / max(1, len(loads))

    def close_link(self, link: LinkId, until_s: float) -> None:
        """Avoid chains that cross a link.

        :param link: the link.
        :param until_s: time until which to avoid it, in seconds.
        """
        self._closed_links[link] = until_s

    def opens_in_s(self, service: Service, now_s: float) -> float:
        """Return the time until a target of a service takes requests, in seconds.

        :param service: the service.
        :param now_s: current time, in seconds.
        :returns: 0 if one does, or if there is none.
        """
        engines = self._routing_state.engines_of(service.name)
        times_s = (self._closures.opens_in_s(engine, now_s) for engine in engines)
        return min(times_s, default=0.0)

    def has_room(self, service: Service, demand: RequestDemand, now_s: float) -> bool:
        """Return whether a request could be assigned to targets that are well.

        :param service: service that runs the request.
        :param demand: tokens that the request needs of a chain.
        :param now_s: current time, in seconds.
        """
        engines = [
            e
            for e in self._routing_state.engines_of(service.name)
            if not self._closures.is_closed(e, now_s)
            and not self._health.is_suspect(e.target, now_s)
        ]
        return self._choose(service, demand, engines, now_s) is not None

    def release(self, assignment: Assignment, is_end: bool = True) -> None:
        """Remove a request from the load.

        :param assignment: assignment of the request.
        :param is_end: whether the request has ended; otherwise it was not sent.
        """
        for target, load in assignment.loads:
            self._ledger.remove(target, load)
        if self.paces is not None and assignment.unanswered is not None:
            self.paces.close(assignment.unanswered)
        self._notify_capacity(assignment.head.service if is_end else None)

    def record_unreachable(self, engine: Engine, now_s: float) -> None:
        """Record a target that refused a connection or stopped responding.

        :param engine: the target.
        :param now_s: current time, in seconds.
        """
        self._health.record_unreachable(engine.target, now_s)
        self._reachability.record_unreachable(engine.domain, engine.target, now_s)

    def record_rejection(self, target: TargetId, now_s: float) -> None:
        """Record that a request did not run since a target can't take it.

        :param target: the target.
        :param now_s: current time, in seconds.
        """
        self._health.record_unreachable(target, now_s)
        if self._health.record_rejection(target, now_s):
            self.on_avoided()

    def is_domain_unreachable(self, engine: Engine, now_s: float) -> bool:
        """Return whether the failure domain of a target seems to be cut off.

        :param engine: the target.
        :param now_s: current time, in seconds.
        """
        return self._reachability.is_unreachable(engine.domain, now_s)

    def record_success(self, assignment: Assignment, now_s: float) -> None:
        """Record a request that was answered.

        :param assignment: assignment of the request.
        :param now_s: current time, in seconds.
        """
        for target in assignment.targets:
            self._health.record_success(target, now_s)
            if self.paces is not None:
                self.paces.record_success(target)
        self._reachability.record_success(assignment.head.domain)
        for stage in assignment.chain:
            self._reachability.record_success(stage.engine.domain)

    def record_targets_changed(self) -> None:
        """Retry queued requests after a change of targets."""
        self._notify_capacity(None)

    def _notify_capacity(self, ended: ServiceId | None) -> None:
        for callback in self.capacity_callbacks:
            callback(ended)

    def _open(
        self, assignment: Assignment, service: Service, now_s: float
    ) -> Assignment:
        if self.paces is None:
            return assignment
        unanswered = self.paces.open(service.name, assignment.targets, now_s)
        return msgspec.structs.replace(assignment, unanswered=unanswered)

    def _find_due_probe(self, engines: Iterable[Engine], now_s: float) -> list[Engine]:
        """Return a suspect target that may get this request, if there is one."""
        paces = self.paces
        if paces is None:
            return []
        due = [
            engine
            for engine in engines
            if paces.is_probe_due(engine, now_s)
            and not self._health.is_avoided(engine.target, now_s)
            and not self._reachability.is_unreachable(engine.domain, now_s)
        ]
        # The same one each time might never be the cheapest.
        return [self._random_state.choice(due)] if due else []

    def _choose(
        self,
        service: Service,
        demand: RequestDemand,
        engines: list[Engine],
        now_s: float,
    ) -> Assignment | None:
        penalties: dict[TargetId, float] = {}
        if self.paces is not None:
            penalties = self.paces.penalties(engines, demand.may_repeat, now_s)

        def slowness_of(engine: Engine) -> float:
            penalty = penalties.get(engine.target, 1.0)
            return penalty * self._health.slowness(engine.target, now_s)

        assignment = self._choose_fastest(service, demand, engines, slowness_of, now_s)
        if penalties and assignment is not None:
            is_beyond = not penalties.keys().isdisjoint(assignment.targets)
            self.n_by_pace["beyond" if is_beyond else "elsewhere"] += 1
        return assignment

    def _choose_fastest(
        self,
        service: Service,
        demand: RequestDemand,
        engines: list[Engine],
        slowness_of: Callable[[Engine], float],
        now_s: float,
    ) -> Assignment | None:
        if service.model is not None:
            chain = choose_chain(
                service.model,
                engines,
                demand,
                lambda e: self._ledger.total(e.target),
                slowness_of,
                self._unreported.draw(self.count_domain_daemons() - 1, now_s),
                lambda a, b: self._is_link_open(link_between(a, b), now_s),
            )
            return None if chain is None else to_assignment(chain, demand)
        if not engines:
            return None
        head = min(engines, key=self._plain_sort_key(slowness_of))
        return Assignment(head, (), ((head.target, PLAIN_LOAD),))

    def _is_link_open(self, link: LinkId, now_s: float) -> bool:
        return now_s >= self._closed_links.get(link, float("-inf"))

    def _plain_sort_key(
        self, slowness_of: Callable[[Engine], float]
    ) -> Callable[[Engine], tuple[float, bool, float]]:
        def sort_key(engine: Engine) -> tuple[float, bool, float]:
            load = self._ledger.total(engine.target)
            utilization = (load.n_sequences + 1) / max(1, engine.n_slots)
            # Up to its number of slots a target serves all requests at full speed, so
            # load affects the cost only above that.
            cost = slowness_of(engine) * max(1.0, utilization)
            return cost, engine.domain != self.domain, self._random_state.random()

        return sort_key


def to_assignment(chain: Chain, demand: RequestDemand) -> Assignment:
    """Return the assignment of a request to a chain.

    :param chain: the chain.
    :param demand: tokens that the request needs.
    """
    loads: dict[TargetId, StageLoad] = {}
    for index, stage in enumerate(chain):
        loads[stage.engine.target] = stage_load(stage, demand, is_head=index == 0)
    return Assignment(chain[0].engine, chain, tuple(loads.items()))
