import random
from functools import reduce

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.quarantine import (
    MAX_UNDELIVERED_TOKENS,
    Loss,
    SuspectRecord,
    SuspectTable,
    TrialClaim,
    TrialClaims,
    merge_records,
)
from cassiaspread_core.timeline import Timestamp

DISTANT_TOKENS = MAX_UNDELIVERED_TOKENS + 1

losses = st.builds(
    Loss,
    st.sampled_from(["e1", "e2", "e3"]),
    st.sampled_from(["i1", "i2"]),
    st.integers(0, 20),
    st.integers(1, 9).map(float),
    st.booleans(),
)
records = st.builds(
    lambda found, cleared_s: reduce(
        merge_records,
        [record_of(loss) for loss in found],
        record_of(cleared_s=cleared_s),
    ),
    st.lists(losses, max_size=3),
    st.integers(0, 9).map(float),
)


def record_of(*found, cleared_s=0.0):
    return SuspectRecord(
        fingerprint="f",
        organisation="osorno",
        subject="draft",
        losses=found,
        cleared_s=cleared_s,
    )


@settings(derandomize=True)
@given(records, records, records)
def test_merging_is_a_join(a, b, c):
    assert merge_records(a, b) == merge_records(b, a)
    assert merge_records(a, merge_records(b, c)) == merge_records(
        merge_records(a, b), c
    )
    assert merge_records(a, a) == a


LOSSES = [
    pytest.param([("e1", "i1", 0)], False, id="one-loss"),
    pytest.param([("e1", "i1", 0), ("e2", "i2", 0)], True, id="two-targets"),
    pytest.param([("e1", "i1", 0), ("e1", "i1", 3)], False, id="same-loss-twice"),
    pytest.param([("e1", "i1", 0), ("e1", "i9", 0)], True, id="restarted-target"),
    pytest.param(
        [("e1", "i1", 7), ("e2", "i2", 7 + MAX_UNDELIVERED_TOKENS)],
        True,
        id="same-point",
    ),
    pytest.param(
        [("e1", "i1", 7), ("e2", "i2", 7 + DISTANT_TOKENS)], False, id="coincidence"
    ),
    pytest.param(
        [("e1", "i1", 0), ("e2", "i2", DISTANT_TOKENS), ("e3", "i3", 99)],
        True,
        id="three",
    ),
]


@pytest.mark.parametrize(("found", "expected"), LOSSES)
def test_losses_that_lead_to_quarantine(found, expected):
    table = SuspectTable()
    for at_s, loss in enumerate(found, 1):
        table.record_loss("f", "osorno", "draft", Loss(*loss, at_s=float(at_s)))
    assert table.is_suspect("f")
    assert table.is_quarantined("f") is expected


def quarantined_table():
    table = SuspectTable()
    table.record_loss("f", "osorno", "draft", Loss("e1", "i1", 0, 1.0))
    table.record_loss("f", "osorno", "draft", Loss("e2", "i2", 0, 2.0))
    return table


def test_stale_record_does_not_undo_a_release():
    table = quarantined_table()
    stale = table.find("f")
    # The clock of the operator's daemon is behind that of the observer of the loss.
    table.clear("f", now_s=1.5)
    assert not table.merge(stale)
    assert not table.is_suspect("f")


def test_loss_of_a_target_that_is_alive_does_not_count():
    table = quarantined_table()
    table.refute([("e2", "i2")])
    assert table.is_suspect("f")
    assert not table.is_quarantined("f")
    assert table.targets_lost("f") == {"e1"}


def test_records_expire_and_are_bounded():
    table = SuspectTable(n_records=5)
    for number in range(10):
        loss = Loss("e1", f"i{number}", 0, float(number))
        table.record_loss(f"f{number}", "osorno", "draft", loss)
    assert {r.fingerprint for r in table.suspects()} == {f"f{n}" for n in range(5, 10)}
    assert [r.fingerprint for r in table.expire(10.0, lifetime_s=3.5)] == ["f5", "f6"]


def claim(stamp, owner, fingerprint, *targets):
    return TrialClaim(Timestamp(stamp, 0), owner, fingerprint, targets)


BLOCKED = [
    pytest.param(claim(2, "b", "g", "e1"), True, id="same-target"),
    pytest.param(claim(2, "b", "f", "e9"), True, id="same-suspect"),
    pytest.param(claim(2, "b", "g", "e9"), False, id="apart"),
    pytest.param(claim(0, "b", "g", "e1"), False, id="earlier"),
]


@pytest.mark.parametrize(("other", "is_blocked"), BLOCKED)
def test_pending_claim_blocks_later_ones(other, is_blocked):
    trials = TrialClaims()
    assert trials.propose(claim(1, "a", "f", "e1", "e2"))
    assert bool(trials.blockers(other)) is is_blocked


@pytest.mark.parametrize("seed", range(20))
def test_claims_in_conflict_never_run_together(seed):
    """Claims are delivered in random order and start unless a daemon blocks them."""
    random_state = random.Random(seed)
    owners = ["a", "b", "c"]
    tables = {owner: TrialClaims() for owner in owners}
    clocks = dict.fromkeys(owners, 0)
    deliveries = []
    claims = {}
    for owner in random_state.sample(owners, 3):
        clocks[owner] += random_state.randrange(1, 3)
        claims[owner] = claim(clocks[owner], owner, owner, "e1")
        tables[owner].propose(claims[owner])
        deliveries += [(owner, peer) for peer in owners if peer != owner]
    blocked = set()
    random_state.shuffle(deliveries)
    for owner, peer in deliveries:
        clocks[peer] = max(clocks[peer], clocks[owner]) + 1
        if tables[peer].blockers(claims[owner]):
            blocked.add(owner)
        if not any(
            o == owner for o, _ in deliveries[deliveries.index((owner, peer)) + 1 :]
        ):
            if owner in blocked:
                tables[owner].withdraw(claims[owner])
            else:
                tables[owner].start(claims[owner])
    assert sum(bool(table.running) for table in tables.values()) <= 1
