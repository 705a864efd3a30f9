"""The latest observation of each target by each poller."""

from collections.abc import Collection

from cassiaspread_core.base import TargetId, VmId
from cassiaspread_core.observations._judge import Failure, judge_target
from cassiaspread_core.observations._leaving import LeavingMark, LeavingMarks
from cassiaspread_core.observations._observation import (
    LoadUpdate,
    Observation,
    merge_observations,
)
from cassiaspread_core.timeline import Timestamp


class ObservationBoard:
    """All that one daemon knows of targets.

    :param own: VM of this daemon.
    """

    def __init__(self, own: VmId) -> None:
        self._own = own
        self._seen: dict[TargetId, dict[VmId, Observation]] = {}
        self._slots: dict[tuple[VmId, int], TargetId] = {}
        self._failures: dict[TargetId, Failure] = {}
        self._marks = LeavingMarks()

    @property
    def marks(self) -> LeavingMarks:
        """Marks of leaving targets."""
        return self._marks

    def targets(self) -> list[TargetId]:
        """List the targets that were ever observed and not forgotten."""
        return list(self._seen)

    def add(self, observation: Observation) -> bool:
        """Take in an observation, own or heard, unless a newer one is known.

        :param observation: the observation.
        :returns: whether it was news.
        """
        by_poller = self._seen.setdefault(observation.target, {})
        present = by_poller.get(observation.poller)
        merged = merge_observations(present, observation)
        if merged is None or merged == present:
            return False
        by_poller[observation.poller] = merged
        self._slots[observation.poller, observation.slot] = observation.target
        return True

    def add_load(self, poller: VmId, update: LoadUpdate) -> Observation | None:
        """Take in an update of an engine's load.

        :param poller: VM of the daemon that polled.
        :param update: the update.
        :returns: the observation that it made, if it was news.
        """
        target = self._slots.get((poller, update.slot))
        present = None if target is None else self.seen_by(target, poller)
        observation = None if present is None else update.apply(present)
        if observation is None or not self.add(observation):
            return None
        return observation

    def mark_leaving(self, mark: LeavingMark) -> bool:
        """Take in a mark.

        :param mark: the mark.
        :returns: whether it was news.
        """
        return self._marks.add(mark)

    def fail(self, target: TargetId, stamp: Timestamp) -> None:
        """Note that this daemon saw a target fail.

        :param target: the target.
        :param stamp: when, on the hybrid logical clock.
        """
        self._failures[target] = Failure(stamp)

    def failure(self, target: TargetId) -> Failure | None:
        """Return the failure that this daemon saw and that no own poll has ended.

        :param target: the target.
        """
        failure = self._failures.get(target)
        if failure is None:
            return None
        own = self.seen_by(target, self._own)
        if own is not None and own.is_up and own.stamp > failure.stamp:
            del self._failures[target]
            return None
        return failure

    def seen_by(self, target: TargetId, poller: VmId) -> Observation | None:
        """Return the latest observation of a target by one poller, if any.

        :param target: the target.
        :param poller: VM of the poller.
        """
        return self._seen.get(target, {}).get(poller)

    def judge(self, target: TargetId, pollers: Collection[VmId]) -> Observation | None:
        """Choose the observation by which a target is used.

        :param target: the target.
        :param pollers: VMs of those who poll it.
        :returns: ``None`` if it is not to be used.
        """
        observations = self._seen.get(target, {}).values()
        return judge_target(self._own, observations, pollers, self.failure(target))

    def is_observed(self, target: TargetId) -> bool:
        """Return whether anyone has seen a target, up or not.

        :param target: the target.
        """
        return target in self._seen or target in self._failures

    def last_incarnation(self, target: TargetId) -> str:
        """Return the latest start of a target that anyone saw, empty for none.

        :param target: the target.
        """
        up = [o for o in self._seen.get(target, {}).values() if o.is_up]
        latest = max(up, key=lambda o: o.stamp, default=None)
        return "" if latest is None else latest.incarnation

    def is_leaving(self, seen: Observation, listed_vm: VmId | None) -> bool:
        """Return whether a target takes no new work.

        :param seen: the observation by which it would be used.
        :param listed_vm: VM on which the list shows it, if it does.
        """
        return self._marks.is_leaving(seen.target, seen.incarnation, listed_vm)

    def drop_poller(self, poller: VmId) -> list[TargetId]:
        """Forget what a poller saw, where another one has seen the target too.

        :param poller: VM of a daemon that polls no more.
        :returns: the targets concerned.
        """
        dropped = []
        for target, by_poller in self._seen.items():
            if poller in by_poller and len(by_poller) > 1:
                self._slots.pop((poller, by_poller.pop(poller).slot), None)
                dropped.append(target)
        return dropped

    def forget(self, target: TargetId) -> None:
        """Forget a target that is neither listed nor up.

        :param target: the target.
        """
        for poller, observation in self._seen.pop(target, {}).items():
            self._slots.pop((poller, observation.slot), None)
        self._failures.pop(target, None)
