"""Tells peers what this daemon sees of targets, and takes in what they tell."""

from itertools import count

import msgspec

from cassiaspread_core.base import TargetId, VmId
from cassiaspread_core.membership import Member, MemberState, Transition
from cassiaspread_core.observations import (
    LeavingMark,
    LoadUpdate,
    Observation,
    is_load_change,
    is_worth_telling,
    to_load_update,
)
from cassiaspread_daemon.fleet._targets import TargetRegistry
from cassiaspread_daemon.mesh import DeltaTopic, Mesh, Sender


class ObservationSpread:
    """Connects the registry of targets with the mesh.

    Daemons of the own domain hear what this daemon polled and what daemons of other
    domains told it; those hear the judgement on the own domain's targets, but for
    the load, which would exceed the budget between domains.

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
        self._told: dict[TargetId, Observation] = {}
        self._told_far: dict[TargetId, Observation] = {}
        self._observations = DeltaTopic(Observation, LoadUpdate, self._consume)
        self._marks = DeltaTopic(LeavingMark, None, self._consume_mark)
        mesh.add_delta_topic("targets", self._observations)
        mesh.add_delta_topic("leaving", self._marks)
        mesh.transition_callbacks.append(self._note_transition)
        targets.change_callbacks.append(self._tell_far)
        targets.mark_callbacks.append(self._tell_mark)

    def tell(self, observation: Observation) -> None:
        """Tell the own domain what this daemon saw, if it is worth it.

        :param observation: what it saw.
        """
        told = self._told.get(observation.target)
        slot = self._slots.get(observation.target)
        if slot is None:
            slot = self._slots[observation.target] = next(self._next_slot)
        observation = msgspec.structs.replace(observation, slot=slot)
        if not is_worth_telling(told, observation):
            return
        self._told[observation.target] = observation
        partial = None
        if told is not None and is_load_change(told, observation):
            partial = to_load_update(observation)
        self._observations.put(_key(observation), observation, partial)
        if told is not None and told.is_up and not observation.is_up:
            self._mesh.hurry()

    def stop_telling(self, target: TargetId) -> None:
        """Stop telling of a target that this daemon polls no more.

        :param target: the target.
        """
        self._slots.pop(target, None)
        observation = self._told.pop(target, None)
        if observation is not None:
            self._observations.discard(_key(observation))

    def _consume(self, heard: Observation | LoadUpdate, sender: Sender) -> None:
        if isinstance(heard, LoadUpdate):
            self._targets.observe_load(sender.vm, heard)
            return
        if heard.poller == self._own.vm:
            return
        self._targets.observe(heard)
        if sender.domain != self._own.domain:
            self._observations.put(_key(heard), heard)

    def _consume_mark(self, mark: LeavingMark, sender: Sender) -> None:
        self._targets.mark_leaving(mark)

    def _tell_mark(self, mark: LeavingMark) -> None:
        self._marks.put(mark, mark)
        self._marks.put(mark, mark, is_cross_domain=True)
        self._mesh.hurry()

    def _tell_far(self, target: TargetId) -> None:
        known = self._targets.find(target)
        if known is None or known.domain != self._own.domain:
            return
        seen = self._targets.usable(target)
        told = self._told_far.get(target)
        if seen is None:
            if told is None or not told.is_up:
                return
            seen = Observation(target, self._own.vm, self._targets.stamp())
        elif told is not None and is_load_change(told, seen):
            return
        self._told_far[target] = seen
        rekeyed = Observation(
            target, self._own.vm, seen.stamp, seen.incarnation, seen.report
        )
        self._observations.put(_key(rekeyed), rekeyed, is_cross_domain=True)

    def _note_transition(self, transition: Transition) -> None:
        if transition.state is not MemberState.LOST:
            return
        vm = transition.member.vm
        if any(member.vm == vm for member in self._mesh.running()):
            return
        for target in self._targets.board.drop_poller(vm):
            self._targets.refresh(target)


def _key(observation: Observation) -> tuple[TargetId, VmId]:
    return observation.target, observation.poller
