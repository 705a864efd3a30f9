"""Mutual exclusion of trials: retries of suspect requests without another on a target.

Daemons use the algorithm of Ricart and Agrawala: a daemon sends a claim with a
timestamp of its clock to all others; of two conflicting claims, the one with the lower
timestamp takes precedence. Every message carries the clock, so a claim made after the
receipt of another has a higher timestamp.
"""

from collections.abc import Iterable

import msgspec

from cassiaspread_core.base import Incarnation, TargetId
from cassiaspread_core.quarantine._record import Fingerprint
from cassiaspread_core.timeline import Timestamp


class TrialClaim(msgspec.Struct, frozen=True):
    """Claim of a daemon to run a suspect on targets without any other suspect.

    :param stamp: time of the claim, on the daemon's hybrid logical clock.
    :param owner: the daemon that made the claim.
    :param fingerprint: fingerprint of the suspect.
    :param targets: targets of its plan.
    """

    stamp: Timestamp
    owner: Incarnation
    fingerprint: Fingerprint
    targets: tuple[TargetId, ...]

    def conflicts_with(self, other: "TrialClaim") -> bool:
        """Return whether two claims must not run concurrently.

        :param other: another claim.
        """
        if self.fingerprint == other.fingerprint:
            return True
        return not set(self.targets).isdisjoint(other.targets)

    def precedes(self, other: "TrialClaim") -> bool:
        """Return whether this claim takes precedence over a conflicting one.

        :param other: another claim.
        """
        return (self.stamp, self.owner, self.fingerprint) < (
            other.stamp,
            other.owner,
            other.fingerprint,
        )


class TrialClaims:
    """Pending and running claims of one daemon."""

    def __init__(self) -> None:
        self._pending: list[TrialClaim] = []
        self._running: list[TrialClaim] = []

    @property
    def running(self) -> tuple[TrialClaim, ...]:
        """Claims whose suspects are running."""
        return tuple(self._running)

    def targets(self) -> frozenset[TargetId]:
        """Return the targets claimed by this daemon."""
        claims = self._pending + self._running
        return frozenset(target for claim in claims for target in claim.targets)

    def propose(self, claim: TrialClaim) -> bool:
        """Add a pending claim of this daemon, for which the others are to be asked.

        :param claim: the claim.
        :returns: ``False`` if it conflicts with an own claim and is not added.
        """
        if _conflicts(claim, self._pending + self._running):
            return False
        self._pending.append(claim)
        return True

    def withdraw(self, claim: TrialClaim) -> None:
        """Remove a pending or running claim; an unknown one is ignored.

        :param claim: the claim.
        """
        self._pending = [c for c in self._pending if c != claim]
        self._running = [c for c in self._running if c != claim]

    def start(self, claim: TrialClaim) -> None:
        """Change a pending claim to running, after no daemon reported a conflict.

        :param claim: the claim.
        """
        self._pending = [c for c in self._pending if c != claim]
        self._running.append(claim)

    def blockers(self, claim: TrialClaim) -> tuple[TrialClaim, ...]:
        """Return the own claims that block a peer's claim; empty if it may run.

        :param claim: the peer's claim.
        """
        earlier = [c for c in self._pending if c.precedes(claim)]
        return _conflicts(claim, earlier + self._running)


def _conflicts(
    claim: TrialClaim, others: Iterable[TrialClaim]
) -> tuple[TrialClaim, ...]:
    return tuple(other for other in others if other.conflicts_with(claim))
