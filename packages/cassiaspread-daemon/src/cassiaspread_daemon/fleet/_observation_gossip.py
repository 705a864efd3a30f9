"""Publishes observations of targets to peers and applies theirs."""

from itertools import count

import msgspec

from cassiaspread_core.base import TargetId, VmId
from cassiaspread_core.membership import Member, MemberState, MemberTransition
from cassiaspread_core.observations import (
    LeavingMark,
    LoadUpdate,
    Observation,
    check_observation,
    differs_only_in_load,
    needs_publishing,
    to_load_update,
)
from cassiaspread_daemon.fleet._targets import TargetRegistry
from cassiaspread_daemon.mesh import DeltaTopic, Mesh, Sender


class ObservationGossip:
    """Connects the registry of targets with the mesh.

    Daemons of the own domain receive the observations of this daemon and those that it
    received from other domains. Daemons of other domains receive the resulting state of
    the own domain's targets; mere load changes are omitted, since they would exceed the
    traffic budget between domains.

    :param own: this daemon.
    :param targets: the registry.
    :param mesh: messages between daemons.
    """

    def __init__(self, own: Member, targets: TargetRegistry, mesh: Mesh) -> None:
        self._own = own
        self._targets = targets
        self._mesh = mesh
        self._slots: dict[TargetId, int] = {}
        self._next_slot = count(1)
        self._published: dict[TargetId, Observation] = {}
        self._published_cross_domain: dict[TargetId, Observation] = {}
        self._observations = DeltaTopic(Observation, LoadUpdate, self._consume)
        self._marks = DeltaTopic(LeavingMark, None, self._consume_mark)
        mesh.add_delta_topic("targets", self._observations)
        mesh.add_delta_topic("leaving", self._marks)
        mesh.transition_callbacks.append(self._record_transition)
        targets.change_callbacks.append(self._publish_cross_domain)
        targets.mark_callbacks.append(self._publish_mark)

    def publish(self, observation: Observation) -> None:
        """Publish an observation to the own domain if it has changed enough.

        :param observation: observation of this daemon.
        """
        published = self._published.get(observation.target)
        slot = self._slots.get(observation.target)
        if slot is None:
            slot = self._slots[observation.target] = next(self._next_slot)
        observation = msgspec.structs.replace(observation, slot=slot)
        if not needs_publishing(published, observation):
            return
        self._published[observation.target] = observation
        partial = None
        if published is not None and differs_only_in_load(published, observation):
            partial = to_load_update(observation)
        self._observations.put(_key(observation), observation, partial)
        if published is not None and published.is_up and not observation.is_up:
            self._mesh.gossip_now()

    def withdraw(self, target: TargetId) -> None:
        """Stop publishing a target that this daemon no longer polls.

        :param target: the target.
        """
        self._slots.pop(target, None)
        observation = self._published.pop(target, None)
        if observation is not None:
            self._observations.discard(_key(observation))

    def _consume(self, received: Observation | LoadUpdate, sender: Sender) -> None:
        if isinstance(received, LoadUpdate):
            self._targets.observe_load(sender.vm, received)
            return
        check_observation(received)
        if received.poller == self._own.vm:
            return
        self._targets.observe(received)
        if sender.domain != self._own.domain:
            self._observations.put(_key(received), received)

    def _consume_mark(self, mark: LeavingMark, sender: Sender) -> None:
        self._targets.mark_leaving(mark)

    def _publish_mark(self, mark: LeavingMark) -> None:
        self._marks.put(mark, mark)
        self._marks.put(mark, mark, is_cross_domain=True)
        self._mesh.gossip_now()

    def _publish_cross_domain(self, target: TargetId) -> None:
        location = self._targets.find(target)
        if location is None or location.domain != self._own.domain:
            return
        observation = self._targets.usable_observation(target)
        published = self._published_cross_domain.get(target)
        if observation is None:
            if published is None or not published.is_up:
                return
            observation = Observation(target, self._own.vm, self._targets.stamp())
        elif published is not None and differs_only_in_load(published, observation):
            return
        self._published_cross_domain[target] = observation
        republished = Observation(
            target,
            self._own.vm,
            observation.stamp,
            observation.incarnation,
            observation.report,
        )
        self._observations.put(_key(republished), republished, is_cross_domain=True)

    def _record_transition(self, transition: MemberTransition) -> None:
        if transition.state is not MemberState.LOST:
            return
        vm = transition.member.vm
        if any(member.vm == vm for member in self._mesh.active_members()):
            return
        for target in self._targets.table.drop_poller(vm):
            self._targets.refresh(target)


def _key(observation: Observation) -> tuple[TargetId, VmId]:
    return observation.target, observation.poller
