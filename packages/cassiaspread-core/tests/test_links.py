"""Links between failure domains that are asked for more than they transfer."""

import random

import pytest

from cassiaspread_core.base import DomainId
from cassiaspread_core.chains import (
    MAX_WAIT_RATIO,
    LinkSchedule,
    RequestDemand,
    StageLoad,
    choose_chain,
    link_between,
    links_of,
    transfer_s,
)
from cassiaspread_core.placement import Accelerator, Engine, LayerRange, ModelSpec

MODEL = ModelSpec(
    n_layers=80,
    layer_mb=100.0,
    cache_mb_per_token=0.59,
    accelerators={"card": Accelerator("card", 100_000.0)},
    activation_bytes=29_500.0,
    domain_link_mbps=1100.0,
)
OBJECTIVE_S, MAX_GAP_S, PATIENCE_S = 0.6, 0.3, 2.4
LOAD_S = 8.0
PER_S = 31.0


def demand(prompt_tokens=800, answer_tokens=170):
    return RequestDemand(prompt_tokens, answer_tokens, DomainId("a"))


def replay(has_permits, n_daemons, seed):
    """Send prompts from many daemons over one link.

    :returns: number of prompts that arrive within the objective, and number that still
        occupy the link when their callers have left.
    """
    random_state = random.Random(seed)
    schedule = LinkSchedule()
    closed_until_s = [0.0] * n_daemons
    link_free_s, now_s = 0.0, 0.0
    n_in_time = n_late = 0
    while now_s < LOAD_S:
        now_s += random_state.expovariate(PER_S)
        request = demand(random_state.randint(100, 1500))
        daemon = random_state.randrange(n_daemons)
        if has_permits:
            if now_s < closed_until_s[daemon]:
                continue
            max_wait_s = MAX_WAIT_RATIO * MAX_GAP_S
            work_s = transfer_s(MODEL, request)
            wait_s = schedule.try_acquire(work_s, max_wait_s, now_s)
            if wait_s:
                closed_until_s[daemon] = now_s + wait_s
                continue
        bits = request.prompt_tokens * MODEL.activation_bytes * 8
        link_free_s = max(link_free_s, now_s) + bits / (MODEL.domain_link_mbps * 1e6)
        n_in_time += link_free_s - now_s <= OBJECTIVE_S
        n_late += link_free_s - now_s > PATIENCE_S
    return n_in_time, n_late


@pytest.mark.parametrize("n_daemons", [20, 200])
@pytest.mark.parametrize("seed", range(5))
def test_permits_serve_what_the_link_transfers_while_it_is_overloaded(n_daemons, seed):
    n_in_time, n_late = replay(True, n_daemons, seed)
    n_in_time_without, n_late_without = replay(False, n_daemons, seed)
    assert n_late == 0
    assert n_late_without > 0.5 * LOAD_S * PER_S
    # Three in four of what a link without gaps transfers.
    limit = LOAD_S / transfer_s(MODEL, demand())
    assert n_in_time > 0.75 * limit
    assert n_in_time > 3 * n_in_time_without


def test_time_given_back_is_free_again():
    schedule = LinkSchedule()
    assert schedule.try_acquire(1.0, 0.1, now_s=0.0) == 0.0
    assert schedule.try_acquire(1.0, 0.1, now_s=0.0) == pytest.approx(0.9)
    schedule.give_back(1.0)
    assert schedule.try_acquire(1.0, 0.1, now_s=0.0) == 0.0


def test_request_larger_than_the_longest_wait_is_taken_by_a_free_link():
    schedule = LinkSchedule()
    assert schedule.try_acquire(60.0, 0.1, now_s=0.0) == 0.0


def engines(*rows):
    return [
        Engine(
            target=f"{domain}-{begin}",
            service="pool",
            address=f"{domain}:{begin}",
            domain=DomainId(domain),
            accelerator="card",
            layers=LayerRange(begin, end),
            n_slots=8,
        )
        for domain, begin, end in rows
    ]


def choose(rows, closed=()):
    return choose_chain(
        MODEL,
        engines(*rows),
        demand(),
        lambda engine: StageLoad(),
        is_link_open=lambda a, b: link_between(a, b) not in closed,
    )


def test_chain_avoids_links_that_are_closed():
    rows = [("a", 0, 40), ("a", 40, 80), ("b", 40, 80), ("c", 0, 80)]
    crossing = choose([("a", 0, 40), ("b", 40, 80), ("c", 40, 80)])
    [link] = links_of(crossing)
    other = choose([("a", 0, 40), ("b", 40, 80), ("c", 40, 80)], {link})
    assert links_of(other) != (link,)
    assert links_of(choose(rows)) == ()
    closed = {link_between("a", "b"), link_between("a", "c")}
    assert choose([("a", 0, 40), ("b", 40, 80), ("c", 40, 80)], closed) is None


def test_each_crossing_is_listed():
    chain = choose([("a", 0, 30), ("b", 30, 60), ("a", 60, 80)])
    assert links_of(chain) == (("a", "b"), ("a", "b"))


def test_link_without_a_known_bandwidth_is_not_limited():
    model = ModelSpec(n_layers=8, layer_mb=1.0, cache_mb_per_token=1.0, accelerators={})
    assert transfer_s(model, demand()) == 0.0
