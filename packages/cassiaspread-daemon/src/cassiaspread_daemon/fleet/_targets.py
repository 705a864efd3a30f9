"""Registry of targets, and of those that take new work."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from cassiaspread_core.base import (
    CassiaspreadError,
    DomainId,
    ModelId,
    ServiceId,
    TargetId,
    TargetKind,
    VmId,
    VmState,
)
from cassiaspread_core.observations import (
    LeavingMark,
    LoadUpdate,
    Observation,
    ObservationTable,
)
from cassiaspread_core.pipeline import EngineReport
from cassiaspread_core.timeline import EventRing, Timestamp
from cassiaspread_daemon.adapters import ListedVm
from cassiaspread_daemon.fleet._target_location import (
    TargetLocation,
    from_list,
    from_report,
)

TARGET_ROLES = tuple(kind.value for kind in TargetKind)


class UnknownTarget(CassiaspreadError):
    """No incarnation of the target has been observed."""


class TargetRegistry:
    """Combines observations, own and of peers, with the VM list.

    Also counts the requests in flight on each target.

    :param own: VM of this daemon.
    :param events: the time line.
    """

    def __init__(self, own: VmId, events: EventRing) -> None:
        self._events = events
        self._table = ObservationTable(own)
        self._listed: tuple[ListedVm, ...] = ()
        self._locations: dict[TargetId, TargetLocation] = {}
        self._usable: dict[TargetId, Observation] = {}
        self._in_flight: dict[TargetId, int] = {}
        self._version = 0
        self.pollers_of: Callable[[TargetLocation], Iterable[VmId]] = lambda _: ()
        self.change_callbacks: list[Callable[[TargetId], None]] = []
        self.mark_callbacks: list[Callable[[LeavingMark], None]] = []
        self.failure_callbacks: list[Callable[[TargetId], None]] = []

    @property
    def table(self) -> ObservationTable:
        """Observations, failures and leaving marks of the targets."""
        return self._table

    @property
    def version(self) -> int:
        """Increases when the set of targets or the failures recorded here change."""
        return self._version

    def engines(self, model: ModelId) -> list[EngineReport]:
        """List the engines of a model that take new work.

        :param model: the model.
        """
        return [
            observation.report
            for observation in self._usable.values()
            if observation.report is not None and observation.report.model == model
        ]

    def services(self, service: ServiceId) -> list[ListedVm]:
        """List the targets of a plain service that take new work.

        A target that is listed but not yet observed counts as usable.

        :param service: the service.
        """
        return [
            vm
            for vm in self._listed
            if vm.role == TargetKind.SERVICE.value
            and vm.name == service
            and self._is_service_usable(TargetId(vm.vm))
        ]

    def is_usable(self, target: TargetId) -> bool:
        """Return whether a target is up and takes new work.

        :param target: the target.
        """
        return target in self._usable

    def usable_observation(self, target: TargetId) -> Observation | None:
        """Return the observation in use for a target, ``None`` if it is not usable.

        :param target: the target.
        """
        return self._usable.get(target)

    def locations(self) -> list[TargetLocation]:
        """List all targets that are listed or up."""
        return list(self._locations.values())

    def find(self, target: TargetId) -> TargetLocation | None:
        """Return a target that is listed or up, ``None`` if it is neither.

        :param target: the target.
        """
        return self._locations.get(target)

    def daemon_addresses(self) -> dict[str, DomainId]:
        """Return ``host:port`` of the listed daemons, with their domains."""
        return {vm.address: vm.domain for vm in self._listed if vm.role == "daemon"}

    def n_in_flight(self, target: TargetId) -> int:
        """Return the number of requests that this daemon has in flight on a target.

        :param target: the target.
        """
        return self._in_flight.get(target, 0)

    @contextmanager
    def in_flight(self, targets: list[TargetId]) -> Iterator[None]:
        """Count a request on targets while the context lasts.

        :param targets: the targets that it uses.
        """
        for target in targets:
            self._in_flight[target] = self._in_flight.get(target, 0) + 1
        try:
            yield
        finally:
            for target in targets:
                self._in_flight[target] -= 1
                if not self._in_flight[target]:
                    del self._in_flight[target]

    def mark_failed(self, target: TargetId) -> None:
        """Stop using a target until this daemon has polled it again.

        :param target: a target that failed a request of this daemon.
        """
        self._table.record_failure(target, self.stamp())
        self._version += 1
        self._events.record("target.failed", target=target)
        self.refresh(target)
        for callback in self.failure_callbacks:
            callback(target)

    def stamp(self) -> Timestamp:
        """Return the current time of the hybrid logical clock."""
        return Timestamp.parse(self._events.issue_timestamp())

    def observe(self, observation: Observation) -> None:
        """Apply an observation of this daemon or a peer.

        :param observation: the observation.
        """
        report = observation.report
        if report is not None and observation.target not in self._locations:
            self._locations[observation.target] = from_report(report)
            self._version += 1
        was_failing = self._table.failure(observation.target) is not None
        if not self._table.add(observation):
            return
        if was_failing and self._table.failure(observation.target) is None:
            self._version += 1
        if report is not None and report.state is VmState.LEAVING:
            self.mark_leaving(LeavingMark(report.target, observation.incarnation))
        self.refresh(observation.target)

    def observe_load(self, poller: VmId, update: LoadUpdate) -> None:
        """Apply a peer's update of an engine's load.

        :param poller: VM of the peer.
        :param update: the update.
        """
        observation = self._table.add_load(poller, update)
        if observation is None:
            return
        target = observation.target
        current = self._usable.get(target)
        if current is not None and current.incarnation == observation.incarnation:
            if observation.stamp > current.stamp and self._accepts_load_from(
                poller, target
            ):
                self._usable[target] = observation
        else:
            self.refresh(target)

    def _accepts_load_from(self, poller: VmId, target: TargetId) -> bool:
        is_poller = poller in self.pollers_of(self._locations[target])
        return is_poller and self._table.failure(target) is None

    def drain(self, target: TargetId) -> LeavingMark:
        """Stop giving new work to a target, at the request of an operator.

        :param target: the target; its next incarnation gets work again.
        :returns: the mark sent to peers.
        :raises UnknownTarget: no daemon has observed the target.
        """
        incarnation = self._table.last_incarnation(target)
        if not incarnation:
            raise UnknownTarget(f"no daemon has seen target {target!r} yet")
        mark = LeavingMark(target, incarnation, source="operator")
        self.mark_leaving(mark)
        return mark

    def mark_leaving(self, mark: LeavingMark) -> None:
        """Apply a leaving mark from any source.

        :param mark: the mark.
        """
        if not self._table.mark_leaving(mark):
            return
        self._events.record("target.leaving", target=mark.target, source=mark.source)
        self.refresh(mark.target)
        for callback in self.mark_callbacks:
            callback(mark)

    def apply_list(self, listed: tuple[ListedVm, ...]) -> None:
        """Apply the platform's VM list.

        :param listed: the list, which may lag behind the actual state.
        """
        if listed == self._listed:
            return
        self._listed = listed
        self._version += 1
        targets = [from_list(vm) for vm in listed if vm.role in TARGET_ROLES]
        previous, self._locations = self._locations, {t.target: t for t in targets}
        for target, location in previous.items():
            if target not in self._locations and target in self._usable:
                self._locations[target] = location._replace(
                    vm=None, is_listed_leaving=False
                )
        for target in previous.keys() - self._locations.keys():
            self._drop(target)
        for target, location in list(self._locations.items()):
            if previous.get(target) != location:
                self.refresh(target)

    def refresh(self, target: TargetId) -> None:
        """Reevaluate whether a target is usable.

        :param target: the target.
        """
        location = self._locations.get(target)
        if location is None:
            self._set_usable(target, None)
            return
        self._apply_listed_leaving(location)
        observation = self._table.select(target, tuple(self.pollers_of(location)))
        if observation is not None and self._table.is_leaving(observation, location.vm):
            observation = None
        self._set_usable(target, observation)
        if (
            observation is None
            and location.vm is None
            and not self._must_keep(location)
        ):
            self._drop(target)

    def _must_keep(self, location: TargetLocation) -> bool:
        pollers = tuple(self.pollers_of(location))
        return (
            self._table.select(location.target, pollers) is not None
            or self._table.failure(location.target) is not None
        )

    def _set_usable(self, target: TargetId, observation: Observation | None) -> None:
        was_usable = target in self._usable
        if observation is None:
            self._usable.pop(target, None)
        else:
            self._usable[target] = observation
        if was_usable != (observation is not None):
            kind = "target.unusable" if was_usable else "target.usable"
            self._events.record(kind, target=target)
        for callback in self.change_callbacks:
            callback(target)

    def _apply_listed_leaving(self, location: TargetLocation) -> None:
        """Mark the incarnation that runs when its VM is first listed as leaving."""
        incarnation = self._table.last_incarnation(location.target)
        if location.kind is TargetKind.SERVICE:
            incarnation = str(location.target)
        if not location.is_listed_leaving or not incarnation:
            return
        if not self._table.marks.has_list_mark(location.target, location.vm):
            mark = LeavingMark(location.target, incarnation, location.vm, "list")
            self._table.mark_leaving(mark)
            self._events.record(
                "target.leaving", target=location.target, source=mark.source
            )
            for callback in self.mark_callbacks:
                callback(mark)

    def _drop(self, target: TargetId) -> None:
        self._locations.pop(target, None)
        self._version += 1
        self._set_usable(target, None)
        self._table.forget(target)

    def _is_service_usable(self, target: TargetId) -> bool:
        if target in self._usable:
            return True
        is_leaving = self._table.marks.is_leaving(target, str(target))
        return not is_leaving and not self._table.is_observed(target)
