import random

import pytest

from cassiaspread_core.quarantine import (
    Loss,
    SuspectRecord,
    SuspectTable,
    find_crashing,
    merge_records,
)


def record_of(fingerprint, rounds, cleared_s=0.0):
    """Return a record with losses given as target and round."""
    losses = tuple(
        Loss(target, "i", 0, float(n + 1), round=round_)
        for n, (target, round_) in enumerate(rounds)
    )
    return SuspectRecord(
        fingerprint=fingerprint,
        organisation="osorno",
        subject="draft",
        losses=losses,
        cleared_s=cleared_s,
    )


P = [("e1", 1), ("e2", 2), ("e3", 3)]


@pytest.mark.parametrize(
    ("rounds", "is_crashing"),
    [
        (P[:2], False),
        (P, True),
        # All engines of a domain end at once under copies of one request.
        ([("e1", 1), ("e2", 1), ("e3", 1), ("e4", 1)], False),
        # Copies sent at the same moment, then one more.
        ([("e1", 1), ("e2", 1), ("e3", 2), ("e4", 2)], False),
        ([("e1", 1), ("e2", 1), ("e3", 2), ("e4", 3)], True),
    ],
)
def test_three_losses_one_after_the_other_are_needed(rounds, is_crashing):
    assert bool(find_crashing([record_of("p", rounds)])) == is_crashing


def test_request_beside_a_crashing_one_is_not_taken_for_it():
    beside = record_of("innocent", P)
    # The losses do not tell which of the two it is; the next run does.
    assert find_crashing([record_of("p", P), beside]) == frozenset()
    crashing = record_of("p", [*P, ("e4", 4)])
    assert find_crashing([crashing, beside]) == {"p"}


def test_cleared_request_explains_no_losses():
    beside = record_of("innocent", P, cleared_s=9.0)
    assert find_crashing([record_of("p", P), beside]) == {"p"}


def test_four_rounds_are_enough_beside_another_request():
    rounds = [*P, ("e4", 4)]
    found = find_crashing([record_of("p", rounds), record_of("q", rounds)])
    assert len(found) == 1


def test_two_crashing_requests_are_both_found():
    other = [("e4", 1), ("e5", 2), ("e6", 3)]
    # One engine ended under both.
    both = [*P, ("e4", 1)]
    assert find_crashing([record_of("p", both), record_of("q", other)]) == {"p"}
    longer = [*other, ("e7", 4)]
    assert find_crashing([record_of("p", both), record_of("q", longer)]) == {"p", "q"}


def test_rounds_follow_from_the_losses_that_are_known():
    table = SuspectTable()
    assert table.next_round("p") == 1
    for n_known in range(1, 4):
        table.merge(record_of("p", P[:n_known]))
        assert table.next_round("p") == n_known + 1
    table.clear("p", now_s=10.0)
    assert table.next_round("p") == 1


def test_verdict_does_not_depend_on_the_order_in_which_records_arrive():
    random_state = random.Random(1)
    parts = [record_of("p", [loss]) for loss in P] + [record_of("p", P[1:])]
    parts += [record_of("innocent", [loss]) for loss in P[:2]]
    for _ in range(20):
        random_state.shuffle(parts)
        table = SuspectTable()
        for part in parts:
            table.merge(part)
        assert find_crashing(table.suspects()) == {"p"}


def test_daemons_that_disagree_on_a_round_take_the_lower_one():
    low, high = record_of("p", [("e1", 1)]), record_of("p", [("e1", 2)])
    for merged in (merge_records(low, high), merge_records(high, low)):
        assert [loss.round for loss in merged.losses] == [1]


def test_record_with_most_losses_is_evicted_last():
    table = SuspectTable(n_records=2)
    table.merge(record_of("p", P))
    for n in range(5):
        table.merge(record_of(f"f{n}", [("e9", 1)]))
    assert table.find("p") is not None
    assert len(table) == 2
