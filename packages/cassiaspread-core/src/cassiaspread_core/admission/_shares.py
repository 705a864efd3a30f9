"""Weighted fair shares of a domain's capacity, divided over its daemons by demand.

Capacity is counted in requests in progress. A daemon tells its peers the demand of
its most demanding organisations by name and that of all others as one sum, so that
the message stays small whatever the number of organisations.
"""

import heapq
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from cassiaspread_core.base import OrganisationId
from cassiaspread_core.pipeline import EngineReport

N_NAMED = 16

# Unclaimed capacity is handed out this many times over: demand at one daemon may grow
# before the others hear of it, but not everywhere at once.
SPARE_OVERCOMMIT = 2.0


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one class that one daemon has in progress or waiting.

    :param named: the most demanding organisations.
    :param others: all other requests.
    """

    named: dict[OrganisationId, int] = {}
    others: int = 0

    @property
    def total(self) -> int:
        """All requests."""
        return sum(self.named.values()) + self.others


class Share(msgspec.Struct, frozen=True):
    """What one daemon may use of a domain's capacity.

    :param quota: requests in progress.
    :param weights: factor on the weight of each organisation that wants more than its
        share: the part of its demand that is here. The others get all they want.
    """

    quota: float
    weights: dict[OrganisationId, float] = {}


def count_demand(
    requests: Mapping[OrganisationId, int], n_named: int = N_NAMED
) -> Demand:
    """Sum up the demand at one daemon.

    :param requests: requests in progress or waiting, by organisation.
    :param n_named: organisations told by name.

    >>> count_demand({"a": 5, "b": 1, "c": 2}, n_named=1)
    Demand(named={'a': 5}, others=3)
    """
    named = dict(heapq.nlargest(n_named, requests.items(), key=lambda item: item[1]))
    return Demand(named, sum(requests.values()) - sum(named.values()))


def fair_level(demands: Iterable[tuple[float, float]], capacity: float) -> float:
    """Return the share per weight at which the capacity is used up.

    Whoever wants less than its share gets all it wants; the rest is divided among
    the others in proportion to their weights (max-min fairness).

    :param demands: demand and weight of each organisation.
    :param capacity: what there is to divide.

    >>> fair_level([(100, 1.0), (2, 1.0), (100, 2.0)], 32)
    10.0
    >>> fair_level([(1, 1.0)], 32)
    inf
    """
    ordered = sorted(demands, key=lambda d: d[0] / d[1])
    weight = sum(w for _, w in ordered)
    for demand, own in ordered:
        if demand / own * weight >= capacity:
            return max(0.0, capacity / weight)
        capacity -= demand
        weight -= own
    return float("inf")


def divide_capacity(
    capacity: float,
    local: Demand,
    peers: Sequence[Demand],
    weight_of: Callable[[OrganisationId], float],
) -> Share:
    """Compute what one daemon may use.

    :param capacity: requests that the domain can have in progress.
    :param local: demand at this daemon.
    :param peers: demand at each other live daemon of the domain.
    :param weight_of: returns the weight of an organisation.
    """
    everyone = [local, *peers]
    wanted: dict[OrganisationId, float] = {}
    for demand in everyone:
        for organisation, count in demand.named.items():
            wanted[organisation] = wanted.get(organisation, 0) + count
    unnamed = sum(demand.others for demand in everyone)
    level = fair_level(
        [(count, weight_of(o)) for o, count in wanted.items() if count],
        max(0.0, capacity - unnamed),
    )
    parts = {o: n / wanted[o] for o, n in local.named.items() if n}
    quota = local.others + sum(
        part * min(wanted[o], level * weight_of(o)) for o, part in parts.items()
    )
    spare = max(0.0, capacity - unnamed - sum(wanted.values()))
    quota += spare * min(1.0, SPARE_OVERCOMMIT / len(everyone))
    limited = {o: p for o, p in parts.items() if wanted[o] > level * weight_of(o)}
    return Share(max(1.0, quota), limited)


def domain_capacity(
    engines: Iterable[EngineReport], n_layers: int, slot_ratio: float
) -> float:
    """Return how many requests may be in progress on the engines of a model.

    :param engines: engines of the model.
    :param n_layers: layers of the model.
    :param slot_ratio: requests per slot of the layer that has the fewest.
    :returns: requests; 0 when a layer has no engine.

    >>> engine = EngineReport(
    ...     target="e", address="", link="", domain="d", model="m",
    ...     begin=0, end=8, n_slots=8,
    ... )
    >>> domain_capacity([engine], 8, slot_ratio=1.25)
    10.0
    """
    n_slots = [0] * n_layers
    for engine in engines:
        for layer in range(engine.begin, min(engine.end, n_layers)):
            n_slots[layer] += engine.n_slots
    return slot_ratio * min(n_slots)
