"""Which suspects may run where, so that each runs without another suspect.

Daemons agree as in Ricart and Agrawala's mutual exclusion: a daemon announces a claim
with its clock's stamp and asks the others; of two claims in conflict the one with the
lower stamp goes first. The clock travels with every message, so a claim made after
another was heard has the higher stamp.
"""

from collections.abc import Iterable

import msgspec

from cassiaspread_core.base import Incarnation, TargetId
from cassiaspread_core.quarantine._record import Fingerprint
from cassiaspread_core.timeline import Timestamp


class TrialClaim(msgspec.Struct, frozen=True):
    """A daemon's wish to run a suspect on targets without another suspect.

    :param stamp: when the claim was made, by the daemon's hybrid logical clock.
    :param owner: the daemon that made it.
    :param fingerprint: the suspect.
    :param targets: the targets of its plan.
    """

    stamp: Timestamp
    owner: Incarnation
    fingerprint: Fingerprint
    targets: tuple[TargetId, ...]

    def conflicts_with(self, other: "TrialClaim") -> bool:
        """Return whether two claims can't run side by side.

        :param other: another claim.
        """
        if self.fingerprint == other.fingerprint:
            return True
        return not set(self.targets).isdisjoint(other.targets)

    def precedes(self, other: "TrialClaim") -> bool:
        """Return whether this claim goes first of two in conflict.

        :param other: another claim.
        """
        return (self.stamp, self.owner, self.fingerprint) < (
            other.stamp,
            other.owner,
            other.fingerprint,
        )


class TrialBook:
    """The claims of one daemon, and the targets that peers have claimed."""

    def __init__(self) -> None:
        self._pending: list[TrialClaim] = []
        self._running: list[TrialClaim] = []

    @property
    def running(self) -> tuple[TrialClaim, ...]:
        """Claims whose suspects run now."""
        return tuple(self._running)

    def targets(self) -> frozenset[TargetId]:
        """Return the targets that this daemon has claimed."""
        claims = self._pending + self._running
        return frozenset(target for claim in claims for target in claim.targets)

    def propose(self, claim: TrialClaim) -> bool:
        """Add a claim of this daemon, to be asked of the others.

        :param claim: the claim.
        :returns: ``False``, and nothing is added, when an own claim stands against it.
        """
        if _conflicts(claim, self._pending + self._running):
            return False
        self._pending.append(claim)
        return True

    def withdraw(self, claim: TrialClaim) -> None:
        """Drop a claim that was proposed or that runs; an unknown one is ignored.

        :param claim: the claim.
        """
        self._pending = [c for c in self._pending if c != claim]
        self._running = [c for c in self._running if c != claim]

    def start(self, claim: TrialClaim) -> None:
        """Turn a proposed claim into a running one: no daemon stood against it.

        :param claim: the claim.
        """
        self._pending = [c for c in self._pending if c != claim]
        self._running.append(claim)

    def blockers(self, claim: TrialClaim) -> tuple[TrialClaim, ...]:
        """Return the own claims that go before a peer's; none lets it run.

        :param claim: the peer's claim.
        """
        earlier = [c for c in self._pending if c.precedes(claim)]
        return _conflicts(claim, earlier + self._running)


def _conflicts(
    claim: TrialClaim, others: Iterable[TrialClaim]
) -> tuple[TrialClaim, ...]:
    return tuple(other for other in others if other.conflicts_with(claim))
