import math
import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.admission import (
    AdmissionGate,
    AdmissionTicket,
    DaemonDemand,
    Decision,
    FairQueue,
    Share,
    divide_capacity,
    domain_capacity,
    fair_level,
)
from cassiaspread_core.pipeline import EngineReport

NOW_S = 100.0


def ticket(number, organisation="a", cost=10.0, left_s=30.0):
    return AdmissionTicket(
        number=number,
        organisation=organisation,
        cost=cost,
        deadline_s=NOW_S + left_s,
    )


def gate_with(quota, s_per_token=0.1, weights=None):
    gate = AdmissionGate(lambda organisation: (weights or {}).get(organisation, 1.0))
    gate.set_share(Share(quota), NOW_S)
    if s_per_token:
        gate.forecast.record(max_tokens=10, n_tokens=10, elapsed_s=10 * s_per_token)
    return gate


@pytest.mark.parametrize("weight", [1.0, 2.0, 5.0])
def test_queue_serves_by_weight(weight):
    queue = FairQueue(lambda o: weight if o == "heavy" else 1.0)
    for number in range(600):
        queue.push(ticket(number, "heavy" if number % 2 else "light"))
    served = Counter(queue.pop().organisation for _ in range(120))
    assert served["heavy"] == pytest.approx(120 * weight / (weight + 1), abs=2)


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=60))
def test_queue_returns_each_request_at_most_once(operations):
    queue = FairQueue(lambda o: 1.0)
    waiting, served = {}, []
    for number, (organisation, is_push) in enumerate(operations):
        if is_push or not waiting:
            waiting[number] = ticket(number, str(organisation))
            queue.push(waiting[number])
        elif organisation:
            popped = queue.pop()
            served.append(popped.number)
            del waiting[popped.number]
        else:
            queue.remove(waiting.pop(next(iter(waiting))))
        assert len(queue) == len(waiting)
    assert len(set(served)) == len(served)
    assert {t.number for t in queue} == set(waiting)


@settings(derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(1, 200), st.floats(0.1, 10)), min_size=1, max_size=8
    ),
    st.floats(1, 300),
)
def test_fair_level_uses_all_capacity_or_meets_all_demand(demands, capacity):
    level = fair_level(demands, capacity)
    allocated = sum(min(demand, level * weight) for demand, weight in demands)
    demanded = sum(demand for demand, _ in demands)
    assert allocated == pytest.approx(min(capacity, demanded), rel=1e-6)


DIVISIONS = [
    pytest.param(DaemonDemand({"a": 5}), [], 100, 100.0, id="alone"),
    pytest.param(
        DaemonDemand({"a": 90}), [DaemonDemand({"a": 90})], 60, 30.0, id="halves"
    ),
    pytest.param(
        DaemonDemand({"a": 30}), [DaemonDemand({"a": 90})], 60, 15.0, id="by-demand"
    ),
    pytest.param(
        DaemonDemand({"a": 500}),
        [DaemonDemand({"b": 20}, 10)],
        60,
        30.0,
        id="heavy-one-is-capped",
    ),
    pytest.param(DaemonDemand(), [DaemonDemand({"b": 90})], 60, 1.0, id="at-least-one"),
    pytest.param(DaemonDemand(), [DaemonDemand()] * 3, 60, 30.0, id="idle-overcommits"),
]


@pytest.mark.parametrize(("local", "peers", "capacity", "quota"), DIVISIONS)
def test_capacity_is_divided_by_demand(local, peers, capacity, quota):
    share = divide_capacity(capacity, local, peers, lambda o: 1.0)
    assert share.quota == pytest.approx(quota)


def test_quotas_of_busy_daemons_sum_to_the_capacity():
    random_state = random.Random(3)
    demands = [
        DaemonDemand({o: random_state.randrange(10, 90) for o in "abcd"}, 5)
        for _ in range(9)
    ]
    quotas = [
        divide_capacity(
            200, demand, demands[:i] + demands[i + 1 :], lambda o: 1.0
        ).quota
        for i, demand in enumerate(demands)
    ]
    assert sum(quotas) == pytest.approx(200)


def engine(begin, end, n_slots=8):
    return EngineReport(
        target=f"e{begin}",
        address="",
        link="",
        domain="d",
        model="m",
        begin=begin,
        end=end,
        n_slots=n_slots,
    )


CAPACITIES = [
    pytest.param([engine(0, 4), engine(4, 8)], 16.0, id="two-stages"),
    pytest.param([engine(0, 4), engine(4, 8, n_slots=4)], 8.0, id="scarce-layer"),
    pytest.param([engine(0, 4)], 0.0, id="missing-layers"),
    pytest.param([engine(0, 4), engine(0, 4), engine(4, 8)], 16.0, id="spare-head"),
    pytest.param([engine(0, 8), engine(4, 8)], 16.0, id="ranges-of-several-sizes"),
]


@pytest.mark.parametrize(("engines", "expected"), CAPACITIES)
def test_domain_capacity(engines, expected):
    assert domain_capacity(engines, 8, slot_ratio=2.0) == expected


def test_gate_admits_queues_and_refuses_at_once():
    gate = gate_with(quota=2)
    decisions = [gate.submit(ticket(n, left_s=3.5), NOW_S).decision for n in range(8)]
    # Each request takes 1 s and two run at once: five more can end within 3.5 s.
    assert decisions == [Decision.ADMITTED] * 2 + [Decision.QUEUED] * 5 + [
        Decision.REFUSED
    ]


def test_refusal_has_retry_time():
    gate = gate_with(quota=1)
    for number in range(10):
        gate.submit(ticket(number), NOW_S)
    result = gate.submit(ticket(99, left_s=4.0), NOW_S)
    assert result.decision is Decision.REFUSED
    # Nine requests wait, one runs and one is new: 11 s of work, 4 s to the deadline.
    assert result.retry_after_s == pytest.approx(7.0)


def test_refusal_marks_organisation_over_its_share():
    gate = gate_with(quota=2)
    gate.submit(ticket(1000, "small"), NOW_S)
    while gate.submit(ticket(0, "large", left_s=5.0), NOW_S).decision is not (
        Decision.REFUSED
    ):
        pass
    assert gate.submit(ticket(1, "large", left_s=5.0), NOW_S).is_over_share
    assert (
        gate.submit(ticket(2, "small", left_s=5.0), NOW_S).decision is Decision.QUEUED
    )


def test_waiting_request_is_admitted_when_another_ends():
    gate = gate_with(quota=1)
    first, second, third = (ticket(n) for n in range(3))
    for item in (first, second, third):
        gate.submit(item, NOW_S)
    gate.abandon(second)
    assert [(r.ticket, r.decision) for r in gate.finish(first, NOW_S)] == [
        (third, Decision.ADMITTED)
    ]
    assert (gate.n_running, gate.n_waiting) == (1, 0)


def test_waiting_request_is_refused_when_it_cannot_meet_its_deadline():
    gate = gate_with(quota=1, s_per_token=0.0)
    gate.submit(ticket(0), NOW_S)
    gate.submit(ticket(1, left_s=2.0), NOW_S)
    assert gate.expire(NOW_S + 1.0) == []
    [result] = gate.expire(NOW_S + 2.5)
    assert result.decision is Decision.REFUSED
    assert gate.n_waiting == 0


def test_requests_over_the_share_rank_below_others_of_the_same_priority():
    gate = AdmissionGate(lambda organisation: 1.0)
    gate.set_share(Share(10, {"large": 0.5}), NOW_S)
    calls = [("large", 0), ("small", 0), ("large", 1), ("small", 1)]
    priorities = [gate.engine_priority(*call) for call in calls]
    assert priorities == sorted(set(priorities))


def test_all_requests_are_admitted_before_a_share_is_set():
    gate = AdmissionGate(lambda organisation: 1.0)
    assert math.isinf(gate.share.quota)
    assert all(
        gate.submit(ticket(n), NOW_S).decision is Decision.ADMITTED for n in range(50)
    )
