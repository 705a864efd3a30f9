import random
from itertools import pairwise

import pytest

from cassiaspread_core.load import (
    InterTokenMeter,
    LinkTable,
    LoadTracker,
    make_stage_cost,
    sample_candidates,
)
from cassiaspread_core.pipeline import EngineReport

FAST_MS, SLOW_MS = 0.1, 10.0


def engine(target, begin=0, end=4, step_ms=10.0):
    return EngineReport(
        target=target,
        address="",
        link="",
        domain="cautin",
        model="draft",
        begin=begin,
        end=end,
        step_ms=step_ms,
        n_slots=8,
    )


@pytest.mark.parametrize("seed", range(5))
def test_links_that_differ_a_hundredfold_are_distinguished(seed):
    random_state = random.Random(seed)
    stages = [[f"{stage}{n}" for n in range(3)] for stage in "abc"]
    slow = ("a0", "b1")
    links = LinkTable()
    for _ in range(200):
        plan = [random_state.choice(group) for group in stages]
        pairs = list(pairwise(plan))
        round_ms = sum(SLOW_MS if pair == slow else FAST_MS for pair in pairs)
        links.observe(pairs, ["cautin"] * 3, round_ms)
    estimates_ms = {
        (a, b): links.pair_ms(a, b, "cautin", "cautin")
        for a in stages[0]
        for b in stages[1]
    }
    assert max(estimates_ms, key=estimates_ms.get) == slow
    assert estimates_ms[slow] > 5.0
    assert max(ms for pair, ms in estimates_ms.items() if pair != slow) < 2.0


def test_load_counts_what_was_sent_since_the_report_for_all_daemons():
    tracker = LoadTracker(lambda: 8)
    tracker.start(["e1"], now_s=1.0)
    tracker.start(["e1"], now_s=9.5)
    tracker.report("e1", 5, taken_s=8.0, now_s=10.0)
    assert tracker.load("e1") == 5 + 8
    tracker.report("e1", 50, taken_s=7.0, now_s=10.0)
    assert tracker.load("e1") == 5 + 8
    tracker.end(["e1"], now_s=10.5)
    assert tracker.load("e1") == 5


def test_cost_prefers_the_engine_with_less_load():
    tracker = LoadTracker(lambda: 1)
    cost = make_stage_cost(tracker, random.Random(1), jitter=0.0)
    tracker.report("e1", 20, taken_s=0.0, now_s=0.0)
    assert cost(engine("e1")) > cost(engine("e2"))
    assert cost(engine("e1", step_ms=1.0)) < cost(engine("e2"))


def test_sample_keeps_every_layer_range():
    engines = [engine(f"h{n}") for n in range(50)] + [engine("t", 4, 8)]
    sample = sample_candidates(engines, random.Random(1), n_candidates=5)
    assert len(sample) == 6
    assert engines[-1] in sample


def test_inter_token_time_is_that_of_the_fastest_window():
    meter, now_s = InterTokenMeter(), 0.0
    for position in range(40):
        meter.record(position, now_s)
        now_s += 0.1 if position < 20 else 0.01
    assert meter.min_ms == pytest.approx(10.0)
