"""Load on each engine: this daemon's own and the load reported by other daemons."""

from collections.abc import Mapping

import msgspec

from cassiaspread_core.base import TargetId


class StageLoad(msgspec.Struct):
    """Work in progress on one engine.

    :param n_sequences: requests that pass through the engine.
    :param token_layers: upper bound of the KV cache that they need on the engine, in
        tokens times layers.
    :param n_heads: requests whose first stage is the engine.
    """

    n_sequences: int = 0
    token_layers: float = 0.0
    n_heads: int = 0

    def add(self, other: "StageLoad", sign: int = 1) -> None:
        """Add other work in place.

        :param other: the work.
        :param sign: 1 to add the work, -1 to subtract it.
        """
        self.n_sequences += sign * other.n_sequences
        self.token_layers += sign * other.token_layers
        self.n_heads += sign * other.n_heads


NO_LOAD = StageLoad()


class LoadLedger:
    """Sums the work in progress on engines over this and the other daemons."""

    def __init__(self) -> None:
        self._own: dict[TargetId, StageLoad] = {}
        # Computed when it is needed: reports of peers come more often than requests.
        self._others: dict[TargetId, StageLoad] | None = None
        self._by_peer: dict[str, tuple[float, Mapping[TargetId, StageLoad]]] = {}

    @property
    def own(self) -> Mapping[TargetId, StageLoad]:
        """Work in progress of this daemon, by engine."""
        return self._own

    @property
    def n_peers(self) -> int:
        """Number of other daemons whose load is recorded."""
        return len(self._by_peer)

    def add(self, target: TargetId, load: StageLoad) -> None:
        """Add work that starts.

        :param target: the engine.
        :param load: the work.
        """
        self._own.setdefault(target, StageLoad()).add(load)

    def remove(self, target: TargetId, load: StageLoad) -> None:
        """Subtract work that ended.

        :param target: the engine.
        :param load: the work, with the values that were added.
        """
        remaining = self._own[target]
        remaining.add(load, -1)
        if not remaining.n_sequences:
            del self._own[target]

    def record_peer_load(
        self, peer: str, loads: Mapping[TargetId, StageLoad], now_s: float
    ) -> None:
        """Replace the recorded load of another daemon.

        :param peer: name of the daemon.
        :param loads: work in progress of that daemon, by engine.
        :param now_s: current time, in seconds.
        """
        self._by_peer[peer] = (now_s, loads)
        self._others = None

    def remove_expired(self, now_s: float, max_age_s: float) -> list[str]:
        """Remove the load of daemons that have not reported for some time.

        :param now_s: current time, in seconds.
        :param max_age_s: maximum age of a report, in seconds.
        :returns: names of the removed daemons.
        """
        expired = [p for p, (at, _) in self._by_peer.items() if now_s - at > max_age_s]
        for peer in expired:
            del self._by_peer[peer]
        if expired:
            self._others = None
        return expired

    def total(self, target: TargetId) -> StageLoad:
        """Return the work in progress on an engine, over all daemons.

        :param target: the engine.
        """
        own = self._own.get(target, NO_LOAD)
        others = self._sum_others().get(target)
        if others is None:
            return own
        total = StageLoad()
        total.add(own)
        total.add(others)
        return total

    def targets(self) -> set[TargetId]:
        """Return the engines on which other daemons have work in progress."""
        return set(self._sum_others())

    def _sum_others(self) -> dict[TargetId, StageLoad]:
        if self._others is None:
            self._others = {}
            for _, loads in self._by_peer.values():
                for target, load in loads.items():
                    self._others.setdefault(target, StageLoad()).add(load)
        return self._others
