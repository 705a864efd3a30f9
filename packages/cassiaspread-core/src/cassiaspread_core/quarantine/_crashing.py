"""Fingerprints that crash their targets, told from those that only ran beside them.

The losses of a request that crashes its targets follow each other: each run that begins
after a loss is known ends with another loss, which then has the next round. A mass
failure under copies of one request gives losses of one round, however many they are. A
request that was in flight beside a crashing one shares its losses.
"""

from collections.abc import Iterable, Mapping

from cassiaspread_core.base import TargetId
from cassiaspread_core.quarantine._record import Fingerprint, SuspectRecord

N_ROUNDS = 3
# With this many rounds a fingerprint is found crashing although another one may explain
# its losses as well, so that the number of lost targets is bounded in any case.
N_AMBIGUOUS_ROUNDS = 4

_LossKey = tuple[TargetId, str]


def find_crashing(records: Iterable[SuspectRecord]) -> frozenset[Fingerprint]:
    """Return the fingerprints whose requests crash their targets.

    A loss is explained by the crashing fingerprint with the most losses and does not
    count against others.

    :param records: records of all fingerprints.

    >>> from cassiaspread_core.quarantine import Loss
    >>> losses = [Loss(f"e{n}", "i", 0, at_s=n, round=n) for n in (1, 2, 3)]
    >>> crashing = SuspectRecord(
    ...     fingerprint="f", organisation="o", subject="", losses=tuple(losses)
    ... )
    >>> find_crashing([crashing])
    frozenset({'f'})
    >>> beside = SuspectRecord(
    ...     fingerprint="g", organisation="o", subject="", losses=tuple(losses)
    ... )
    >>> find_crashing([crashing, beside])
    frozenset()
    """
    losses: dict[Fingerprint, dict[_LossKey, int]] = {
        record.fingerprint: {loss.key: loss.round for loss in record.counted}
        for record in records
        if record.is_suspect
    }
    candidates = [f for f in losses if _n_rounds(losses[f]) >= N_ROUNDS]
    candidates.sort(key=lambda f: (-len(losses[f]), f))
    crashing: set[Fingerprint] = set()
    explained: set[_LossKey] = set()
    for fingerprint in candidates:
        unexplained = {
            key: round_
            for key, round_ in losses[fingerprint].items()
            if key not in explained
        }
        n_rounds = _n_rounds(unexplained)
        if n_rounds < N_ROUNDS or (
            n_rounds < N_AMBIGUOUS_ROUNDS
            and _is_ambiguous(fingerprint, unexplained, losses)
        ):
            continue
        crashing.add(fingerprint)
        explained |= unexplained.keys()
    return frozenset(crashing)


def _n_rounds(losses: Mapping[_LossKey, int]) -> int:
    return len(set(losses.values()))


def _is_ambiguous(
    fingerprint: Fingerprint,
    unexplained: Mapping[_LossKey, int],
    losses: Mapping[Fingerprint, Mapping[_LossKey, int]],
) -> bool:
    """Return whether another fingerprint may have caused the same losses."""
    return any(
        unexplained.keys() <= others.keys()
        for other, others in losses.items()
        if other != fingerprint
    )
