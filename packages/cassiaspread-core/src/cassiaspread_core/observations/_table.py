"""Latest observation of each target by each poller."""

from collections.abc import Collection

from cassiaspread_core.base import TargetId, VmId
from cassiaspread_core.observations._leaving import LeavingMark, LeavingMarks
from cassiaspread_core.observations._observation import (
    LoadUpdate,
    Observation,
    merge_observations,
)
from cassiaspread_core.observations._selection import Failure, select_observation
from cassiaspread_core.timeline import Timestamp


class ObservationTable:
    """Observations, failures and leaving marks of targets as recorded by one daemon.

    :param own: VM of this daemon.
    """

    def __init__(self, own: VmId) -> None:
        self._own = own
        self._observations: dict[TargetId, dict[VmId, Observation]] = {}
        self._targets_by_slot: dict[tuple[VmId, int], TargetId] = {}
        self._failures: dict[TargetId, Failure] = {}
        self._marks = LeavingMarks()

    @property
    def marks(self) -> LeavingMarks:
        """Marks of targets that take no new work."""
        return self._marks

    def targets(self) -> list[TargetId]:
        """List all targets with an observation."""
        return list(self._observations)

    def add(self, observation: Observation) -> bool:
        """Record an observation of any daemon, unless a newer one is present.

        :param observation: the observation.
        :returns: whether the stored observation changed.
        """
        by_poller = self._observations.setdefault(observation.target, {})
        current = by_poller.get(observation.poller)
        merged = merge_observations(current, observation)
        if merged is None or merged == current:
            return False
        by_poller[observation.poller] = merged
        self._targets_by_slot[observation.poller, observation.slot] = observation.target
        return True

    def add_load(self, poller: VmId, update: LoadUpdate) -> Observation | None:
        """Apply a load update of an engine.

        :param poller: VM of the daemon that polled.
        :param update: the update.
        :returns: the updated observation, ``None`` if nothing changed.
        """
        target = self._targets_by_slot.get((poller, update.slot))
        current = None if target is None else self.find(target, poller)
        observation = None if current is None else update.apply(current)
        if observation is None or not self.add(observation):
            return None
        return observation

    def mark_leaving(self, mark: LeavingMark) -> bool:
        """Record a leaving mark.

        :param mark: the mark.
        :returns: whether it was new.
        """
        return self._marks.add(mark)

    def record_failure(self, target: TargetId, stamp: Timestamp) -> None:
        """Record that this daemon saw a target fail.

        :param target: the target.
        :param stamp: time of the failure, on the hybrid logical clock.
        """
        self._failures[target] = Failure(stamp)

    def failure(self, target: TargetId) -> Failure | None:
        """Return the last failure seen by this daemon if no own poll succeeded since.

        :param target: the target.
        """
        failure = self._failures.get(target)
        if failure is None:
            return None
        poll = self.find(target, self._own)
        if poll is not None and poll.is_up and poll.stamp > failure.stamp:
            del self._failures[target]
            return None
        return failure

    def find(self, target: TargetId, poller: VmId) -> Observation | None:
        """Return the latest observation of a target by one poller, if any.

        :param target: the target.
        :param poller: VM of the poller.
        """
        return self._observations.get(target, {}).get(poller)

    def select(self, target: TargetId, pollers: Collection[VmId]) -> Observation | None:
        """Select the observation on which the use of a target is based.

        :param target: the target.
        :param pollers: VMs of the daemons that poll it now.
        :returns: ``None`` if the target must not be used.
        """
        observations = self._observations.get(target, {}).values()
        return select_observation(
            self._own, observations, pollers, self.failure(target)
        )

    def is_observed(self, target: TargetId) -> bool:
        """Return whether a target has an observation, up or not, or a recorded failure.

        :param target: the target.
        """
        return target in self._observations or target in self._failures

    def last_incarnation(self, target: TargetId) -> str:
        """Return the latest observed incarnation of a target, empty if there is none.

        :param target: the target.
        """
        up = [o for o in self._observations.get(target, {}).values() if o.is_up]
        latest = max(up, key=lambda o: o.stamp, default=None)
        return "" if latest is None else latest.incarnation

    def is_leaving(self, seen: Observation, listed_vm: VmId | None) -> bool:
        """Return whether a target takes no new work.

        :param seen: the observation on which its use would be based.
        :param listed_vm: VM of the target in the VM list, if it is listed.
        """
        return self._marks.is_leaving(seen.target, seen.incarnation, listed_vm)

    def drop_poller(self, poller: VmId) -> list[TargetId]:
        """Drop the observations of a poller for targets that others have observed too.

        :param poller: VM of a daemon that no longer polls.
        :returns: the affected targets.
        """
        dropped = []
        for target, by_poller in self._observations.items():
            if poller in by_poller and len(by_poller) > 1:
                self._targets_by_slot.pop((poller, by_poller.pop(poller).slot), None)
                dropped.append(target)
        return dropped

    def forget(self, target: TargetId) -> None:
        """Drop a target that is neither listed nor up.

        :param target: the target.
        """
        for poller, observation in self._observations.pop(target, {}).items():
            self._targets_by_slot.pop((poller, observation.slot), None)
        self._failures.pop(target, None)
