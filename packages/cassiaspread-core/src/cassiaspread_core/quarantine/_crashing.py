"""Fingerprints that crash their targets, told from those that only ran beside them.

The losses of a request that crashes its targets follow each other: each run that begins
after a loss is known ends with another loss, which then has the next round. A mass
failure under copies of one request gives losses of one round, however many they are. A
request that was in flight beside a crashing one shares its losses. The same holds for
the parts of prompts, of which requests share several.
"""

import heapq
from collections.abc import Iterable, Mapping, Set

from cassiaspread_core.quarantine._record import (
    Fingerprint,
    LossKey,
    SuspectKind,
    SuspectRecord,
)

N_ROUNDS = 3
# With this many rounds a fingerprint is found crashing although another one may explain
# its losses as well, so that the number of lost targets is bounded in any case.
N_AMBIGUOUS_ROUNDS = 4

# Answers that went on are evidence for a part, unless it has begun to crash targets
# since.
PROVEN_WEIGHT = 0.5


def find_crashing(records: Iterable[SuspectRecord]) -> frozenset[Fingerprint]:
    """Return the fingerprints whose requests crash their targets.

    A loss is explained by the crashing fingerprint with the most losses and does not
    count against others. A request explains the same losses rather than a part of its
    prompt does.

    :param records: records of all fingerprints; those with fewer losses than
        ``N_ROUNDS`` have no effect.

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
    suspects = [_Suspect(record) for record in records if record.is_suspect]
    # Only suspects of one loss can explain all the losses that it is among.
    suspects_of: dict[LossKey, list[_Suspect]] = {}
    for suspect in suspects:
        for key in suspect.rounds:
            suspects_of.setdefault(key, []).append(suspect)
    explained: set[LossKey] = set()
    queues = _Queues(
        [s for s in suspects if _n_rounds(s.rounds) >= N_ROUNDS], explained
    )
    crashing: set[Fingerprint] = set()
    while (candidate := queues.pop()) is not None:
        unexplained = candidate.unexplained(explained)
        n_rounds = _n_rounds(unexplained)
        if n_rounds < N_ROUNDS or (
            n_rounds < N_AMBIGUOUS_ROUNDS
            and any(
                unexplained.keys() <= other.rounds.keys()
                for other in suspects_of[next(iter(unexplained))]
                if _may_explain(other, candidate)
            )
        ):
            continue
        crashing.add(candidate.fingerprint)
        explained |= unexplained.keys()
    return frozenset(crashing)


class _Suspect:
    """What the decision needs of one record.

    :param record: the record.
    """

    def __init__(self, record: SuspectRecord) -> None:
        self.fingerprint = record.fingerprint
        self.kind = record.kind
        self.is_proven = record.is_proven
        self.companions = record.companions
        self.rounds = {loss.key: loss.round for loss in record.counted}

    def unexplained(self, explained: Set[LossKey]) -> dict[LossKey, int]:
        """Return the rounds of the losses that no other fingerprint explains.

        :param explained: losses that others explain.
        """
        return {k: round_ for k, round_ in self.rounds.items() if k not in explained}


# Score, fingerprint, and the candidate.
_Entry = tuple[float, Fingerprint, _Suspect]


class _Queues:
    """Candidates, the one that explains most of the remaining losses first.

    A part of prompts has to explain more than a request does. Among parts, losses of
    those with which answers went on shortly before count less.

    :param candidates: the candidates.
    :param explained: losses that are explained; it grows meanwhile.
    """

    def __init__(self, candidates: list[_Suspect], explained: Set[LossKey]) -> None:
        self._explained = explained
        self._parts: list[_Entry] = []
        self._requests: list[_Entry] = []
        for candidate in candidates:
            self._push(candidate)

    def pop(self) -> _Suspect | None:
        """Remove and return the next candidate, if there is one."""
        part, request = self._first(self._parts), self._first(self._requests)
        if part is None or request is None:
            queue = self._parts or self._requests
        else:
            is_part = self._n_unexplained(part) > self._n_unexplained(request)
            queue = self._parts if is_part else self._requests
        return heapq.heappop(queue)[2] if queue else None

    def _first(self, queue: list[_Entry]) -> _Suspect | None:
        while queue:
            score, _, candidate = queue[0]
            if score == self._score(candidate):
                return candidate
            # Others explain some of its losses by now.
            heapq.heappop(queue)
            self._push(candidate)
        return None

    def _push(self, candidate: _Suspect) -> None:
        is_part = candidate.kind is SuspectKind.PROMPT_PART
        queue = self._parts if is_part else self._requests
        entry = (self._score(candidate), candidate.fingerprint, candidate)
        heapq.heappush(queue, entry)

    def _score(self, candidate: _Suspect) -> float:
        weight = PROVEN_WEIGHT if candidate.is_proven else 1.0
        return -weight * self._n_unexplained(candidate)

    def _n_unexplained(self, candidate: _Suspect) -> int:
        return sum(key not in self._explained for key in candidate.rounds)


def _n_rounds(losses: Mapping[LossKey, int]) -> int:
    return len(set(losses.values()))


def _may_explain(other: _Suspect, candidate: _Suspect) -> bool:
    """Return whether a suspect is an alternative to a candidate.

    Companions of a part are none: they are refused only together.
    """
    return (
        other is not candidate
        and other.kind is candidate.kind
        and other.is_proven <= candidate.is_proven
        and other.fingerprint not in candidate.companions
    )
