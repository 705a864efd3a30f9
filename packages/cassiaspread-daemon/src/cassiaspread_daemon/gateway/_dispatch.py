"""Which target or chain of engines takes a request, and what is in progress there."""

import random
from collections.abc import Callable, Iterable

import msgspec

from cassiaspread_core.base import DomainId, TargetId
from cassiaspread_core.chains import (
    Chain,
    Demand,
    LoadLedger,
    StageLoad,
    UnseenStarts,
    choose_chain,
    stage_load,
)
from cassiaspread_core.placement import Engine
from cassiaspread_core.routing import Service
from cassiaspread_core.targets import DomainReach, TargetHealth
from cassiaspread_daemon.gateway._knowledge import Knowledge

PLAIN_LOAD = StageLoad(n_sequences=1, token_layers=0.0, n_heads=1)


class Assignment(msgspec.Struct, frozen=True):
    """Where a request goes.

    :param head: target that it is sent to.
    :param chain: engines that it passes through; empty for a plain service.
    :param loads: work that it adds to each target.
    """

    head: Engine
    chain: Chain
    loads: tuple[tuple[TargetId, StageLoad], ...]

    @property
    def targets(self) -> tuple[TargetId, ...]:
        """All targets that it depends on."""
        return tuple(target for target, _ in self.loads)


class Dispatcher:
    """Chooses targets and counts the work in progress on them.

    :param domain: failure domain of this daemon.
    :param knowledge: the targets that are known.
    :param ledger: work in progress.
    :param health: verdicts on targets.
    :param random_state: breaks ties between equal targets.
    """

    def __init__(
        self,
        domain: DomainId,
        knowledge: Knowledge,
        ledger: LoadLedger,
        health: TargetHealth,
        random_state: random.Random,
    ) -> None:
        self.domain = domain
        self._knowledge = knowledge
        self._ledger = ledger
        self._health = health
        self._reach = DomainReach()
        self._random_state = random_state
        self._unseen = UnseenStarts(random_state)
        # Daemons of this domain that share its engines, this one included.
        self.count_near: Callable[[], int] = lambda: 1
        # Called with whether a request ended; otherwise targets have changed.
        self.freed_callbacks: list[Callable[[bool], None]] = []

    def assign(
        self,
        service: Service,
        demand: Demand,
        now_s: float,
        avoid: Iterable[TargetId] = (),
    ) -> Assignment | None:
        """Choose where a request goes and count it there.

        :param service: service that runs it.
        :param demand: what it asks of a chain.
        :param now_s: present time.
        :param avoid: targets that it must not go to.
        :returns: ``None`` when no target has room.
        """
        avoided = set(avoid)
        engines = [
            e
            for e in self._knowledge.engines_of(service.name)
            if e.target not in avoided
        ]
        sound = [
            e
            for e in engines
            if not self._health.is_suspect(e.target, now_s)
            and (e.domain == self.domain or not self._reach.is_cut(e.domain, now_s))
        ]
        for candidates in (sound, engines):
            assignment = self._choose(service, demand, candidates, now_s)
            if assignment is not None:
                for target, load in assignment.loads:
                    self._ledger.add(target, load)
                if assignment.chain:
                    self._unseen.note_start(now_s)
                return assignment
            if len(sound) == len(engines):
                break
        return None

    def release(self, assignment: Assignment) -> None:
        """Count a request as ended.

        :param assignment: where it went.
        """
        for target, load in assignment.loads:
            self._ledger.remove(target, load)
        self._note_freed(is_end=True)

    def note_unreachable(self, engine: Engine, now_s: float) -> None:
        """Take in a target that took no connection or fell silent.

        :param engine: the target.
        :param now_s: present time.
        """
        self._health.note_unreachable(engine.target, now_s)
        self._reach.note_unreachable(engine.domain, engine.target, now_s)

    def note_success(self, assignment: Assignment, now_s: float) -> None:
        """Take in a request that was answered.

        :param assignment: where it went.
        :param now_s: present time.
        """
        for target in assignment.targets:
            self._health.note_success(target, now_s)
        self._reach.note_success(assignment.head.domain)
        for stage in assignment.chain:
            self._reach.note_success(stage.engine.domain)

    def note_change(self) -> None:
        """Let waiting requests look again."""
        self._note_freed(is_end=False)

    def _note_freed(self, is_end: bool) -> None:
        for callback in self.freed_callbacks:
            callback(is_end)

    def _choose(
        self,
        service: Service,
        demand: Demand,
        engines: list[Engine],
        now_s: float,
    ) -> Assignment | None:
        if service.model is not None:
            chain = choose_chain(
                service.model,
                engines,
                demand,
                lambda e: self._ledger.total(e.target),
                lambda e: self._health.slowness(e.target, now_s),
                self._unseen.draw(self.count_near() - 1, now_s),
            )
            return None if chain is None else to_assignment(chain, demand)
        if not engines:
            return None
        head = min(engines, key=self._plain_rank(now_s))
        return Assignment(head, (), ((head.target, PLAIN_LOAD),))

    def _plain_rank(
        self, now_s: float
    ) -> Callable[[Engine], tuple[float, bool, float]]:
        def rank(engine: Engine) -> tuple[float, bool, float]:
            load = self._ledger.total(engine.target)
            busy = (load.n_sequences + 1) / max(1, engine.n_slots)
            slowness = self._health.slowness(engine.target, now_s)
            # Whole slots are free alike: only above them does load decide.
            cost = slowness * max(1.0, busy)
            return cost, engine.domain != self.domain, self._random_state.random()

        return rank


def to_assignment(chain: Chain, demand: Demand) -> Assignment:
    """Return the assignment of a request to a chain.

    :param chain: the chain.
    :param demand: the request.
    """
    loads: dict[TargetId, StageLoad] = {}
    for index, stage in enumerate(chain):
        loads[stage.engine.target] = stage_load(stage, demand, is_head=index == 0)
    return Assignment(chain[0].engine, chain, tuple(loads.items()))
