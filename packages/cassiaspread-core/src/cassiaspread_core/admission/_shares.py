"""Weighted fair shares of a domain's capacity, divided among its daemons by demand.

Capacity is counted in requests in progress. A daemon reports the demand of the
organisations with the highest demand by name and the demand of all others as one sum,
so that the size of the message doesn't depend on the number of organisations.
"""

import heapq
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from cassiaspread_core.base import OrganisationId
from cassiaspread_core.pipeline import EngineReport

# Number of organisations whose demand is reported by name.
N_NAMED = 16

# Factor by which unclaimed capacity is overcommitted: demand may grow at one daemon
# before the others receive its report, but not at all daemons at the same time.
SPARE_OVERCOMMIT = 2.0


class DaemonDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one class that one daemon has in progress or waiting.

    :param named: requests of the organisations with the highest demand.
    :param others: requests of all other organisations.
    """

    named: dict[OrganisationId, int] = {}
    others: int = 0

    @property
    def total(self) -> int:
        """Total number of requests."""
        return sum(self.named.values()) + self.others


class Share(msgspec.Struct, frozen=True):
    """Share of a domain's capacity that one daemon may use.

    :param quota: number of requests in progress.
    :param weight_factors: for each organisation whose demand exceeds its share, a
        factor on its weight: the fraction of its demand at this daemon. The demand of
        the other organisations is met in full.
    """

    quota: float
    weight_factors: dict[OrganisationId, float] = {}


def count_demand(
    requests: Mapping[OrganisationId, int], n_named: int = N_NAMED
) -> DaemonDemand:
    """Summarise the demand at one daemon.

    :param requests: number of requests in progress or waiting, by organisation.
    :param n_named: number of organisations to report by name.

    >>> count_demand({"a": 5, "b": 1, "c": 2}, n_named=1)
    DaemonDemand(named={'a': 5}, others=3)
    """
    named = dict(heapq.nlargest(n_named, requests.items(), key=lambda item: item[1]))
    return DaemonDemand(named, sum(requests.values()) - sum(named.values()))


def fair_level(demands: Iterable[tuple[float, float]], capacity: float) -> float:
    """Return the share per unit of weight at which the capacity is used up.

    Weighted max-min fairness: an organisation that demands less than its share gets
    all of its demand; the rest is divided among the others in proportion to their
    weights.

    :param demands: demand and weight of each organisation.
    :param capacity: capacity to divide.
    :returns: the share; infinite if the capacity exceeds the total demand.

    >>> fair_level([(100, 1.0), (2, 1.0), (100, 2.0)], 32)
    10.0
    >>> fair_level([(1, 1.0)], 32)
    inf
    """
    ordered = sorted(demands, key=lambda d: d[0] / d[1])
    total_weight = sum(w for _, w in ordered)
    for demand, own_weight in ordered:
        if demand / own_weight * total_weight >= capacity:
            return max(0.0, capacity / total_weight)
        capacity -= demand
        total_weight -= own_weight
    return float("inf")


def divide_capacity(
    capacity: float,
    local: DaemonDemand,
    peers: Sequence[DaemonDemand],
    weight_of: Callable[[OrganisationId], float],
) -> Share:
    """Compute the share of a domain's capacity that one daemon may use.

    :param capacity: number of requests that the domain can have in progress.
    :param local: demand at this daemon.
    :param peers: demand at each other live daemon of the domain.
    :param weight_of: returns the weight of an organisation.
    """
    all_demands = [local, *peers]
    total_demand: dict[OrganisationId, float] = {}
    for demand in all_demands:
        for organisation, count in demand.named.items():
            total_demand[organisation] = total_demand.get(organisation, 0) + count
    unnamed_demand = sum(demand.others for demand in all_demands)
    level = fair_level(
        [(count, weight_of(o)) for o, count in total_demand.items() if count],
        max(0.0, capacity - unnamed_demand),
    )
    local_ratios = {o: n / total_demand[o] for o, n in local.named.items() if n}
    quota = local.others + sum(
        ratio * min(total_demand[o], level * weight_of(o))
        for o, ratio in local_ratios.items()
    )
    unclaimed = max(0.0, capacity - unnamed_demand - sum(total_demand.values()))
    quota += unclaimed * min(1.0, SPARE_OVERCOMMIT / len(all_demands))
    over_share = {
        o: r for o, r in local_ratios.items() if total_demand[o] > level * weight_of(o)
    }
    return Share(max(1.0, quota), over_share)


def domain_capacity(
    engines: Iterable[EngineReport], n_layers: int, slot_ratio: float
) -> float:
    """Return the number of requests that the engines of a model can have in progress.

    :param engines: engines of the model.
    :param n_layers: number of layers of the model.
    :param slot_ratio: requests per slot, for the layer with the fewest slots.
    :returns: number of requests; 0 if a layer has no engine.

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
