"""States of daemons, merging of records, rendezvous hashing and change logs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.membership import (
    ChangeCursor,
    ChangeLog,
    Member,
    MemberRecord,
    MembershipView,
    MemberState,
    choose_contacts,
    choose_delegates,
    merge_records,
    rank_members,
)


def member(name, domain="celje", address=None):
    return Member(f"i-{name}", f"entry-{name}", domain, address or f"{name}:1")


OWN = member("own")
PEER = member("peer")
REMOTE = member("far", "zalec")


def state_of(view, daemon, now_s):
    view.tick(now_s)
    return view.state(daemon.incarnation, now_s)


@pytest.mark.parametrize(
    ("calls", "now_s", "expected"),
    [
        ([], 0.0, MemberState.LOST),
        ([("reported", 0.0)], 1.0, MemberState.SUSPECT),
        ([("reported", 0.0)], 3.0, MemberState.LOST),
        ([("answer", 0.0)], 2.0, MemberState.ALIVE),
        ([("answer", 0.0)], 3.0, MemberState.LOST),
        ([("answer", 0.0), ("message", 4.0)], 5.0, MemberState.ALIVE),
        (
            [("answer", 0.0), ("unanswered", 3.0), ("message", 4.0)],
            5.0,
            MemberState.SUSPECT,
        ),
        (
            [("message", 4.0), ("unanswered", 4.0), ("answer", 5.0)],
            5.0,
            MemberState.ALIVE,
        ),
        ([("answer", 0.0), ("unanswered", 1.0)], 3.0, MemberState.LOST),
        ([("answer", 0.0), ("leave", 1.0)], 2.0, MemberState.LEAVING),
        ([("leave", 0.0), ("answer", 1.0)], 2.0, MemberState.LEAVING),
        ([("leave", 0.0)], 3.0, MemberState.LOST),
        ([("answer", 0.0), ("replaced", 1.0)], 1.0, MemberState.LOST),
    ],
)
def test_state_of_a_daemon(calls, now_s, expected):
    view = MembershipView(OWN)
    for call, at_s in calls:
        record = MemberRecord(PEER, is_leaving=call == "leave")
        if call == "reported":
            view.merge_record(record, at_s)
        elif call == "unanswered":
            view.record_no_answer(PEER.address)
        elif call == "answer":
            view.record_answer(PEER.address, record, at_s)
        elif call == "replaced":
            successor = MemberRecord(member("new", address=PEER.address))
            view.record_answer(PEER.address, successor, at_s)
        else:
            view.record_message(record, at_s)
    assert view.state(PEER.incarnation, now_s) is expected


def test_pause_of_this_process_does_not_make_peers_lost():
    view = MembershipView(OWN)
    view.tick(0.0)
    view.record_answer(PEER.address, MemberRecord(PEER), 0.0)
    assert state_of(view, PEER, 30.0) is MemberState.ALIVE
    for now_s in (31.0, 32.0, 33.0):
        state = state_of(view, PEER, now_s)
    assert state is MemberState.LOST


def test_daemons_of_other_domains_have_the_state_reported_by_their_domain():
    view = MembershipView(OWN)
    view.merge_record(MemberRecord(REMOTE, stamp_ms=1), 0.0)
    view.record_domain_contact("zalec", 0.0, now_s=0.0)
    assert view.state(REMOTE.incarnation, 4.0) is MemberState.ALIVE
    assert view.state(REMOTE.incarnation, 9.0) is MemberState.SUSPECT
    view.merge_record(MemberRecord(REMOTE, is_lost=True, stamp_ms=2), 9.0)
    assert view.state(REMOTE.incarnation, 9.0) is MemberState.LOST
    view.record_domain_contact("zalec", 0.0, now_s=10.0)
    view.merge_record(MemberRecord(REMOTE, stamp_ms=3), 10.0)
    assert view.state(REMOTE.incarnation, 10.0) is MemberState.ALIVE


def test_peer_cannot_declare_a_daemon_of_the_own_domain_lost():
    view = MembershipView(OWN)
    view.record_answer(PEER.address, MemberRecord(PEER), 0.0)
    view.merge_record(MemberRecord(PEER, is_lost=True, stamp_ms=9), 0.0)
    assert view.state(PEER.incarnation, 1.0) is MemberState.ALIVE


RECORDS = st.builds(
    MemberRecord, st.just(PEER), st.booleans(), st.booleans(), st.integers(0, 3)
)


@settings(derandomize=True)
@given(RECORDS, RECORDS, RECORDS)
def test_merge_of_records_is_a_semilattice(a, b, c):
    assert merge_records(a, a) == a
    assert merge_records(a, b) == merge_records(b, a)
    left = merge_records(merge_records(a, b), c)
    assert left == merge_records(a, merge_records(b, c))


def test_loss_of_one_changes_only_its_choices():
    members = [member(str(i)) for i in range(9)]
    removed = members[4]
    remaining = [m for m in members if m != removed]
    for key in map(str, range(200)):
        before, after = rank_members(key, members)[:2], rank_members(key, remaining)[:2]
        assert [m for m in before if m != removed] == [m for m in after if m in before]


def test_work_between_domains_is_spread_over_the_daemons():
    members = [member(f"{d}-{i}", f"d{d}") for d in range(14) for i in range(29)]
    counts = []
    for own in members[:29]:
        remote = choose_contacts(own, members, {}, 0).remote
        counts.append(len(remote))
        assert len(choose_contacts(own, members, {}, 0).local) == 28
    assert sum(counts) == 13 * 2 * 2
    assert max(counts) <= 8


@pytest.mark.parametrize("n_round", range(4))
def test_unknown_domains_are_probed_in_turn(n_round):
    seed_addresses = {f"h{i}:1": "zalec" for i in range(4)} | {"seed:1": None}
    plan = choose_contacts(OWN, [PEER], seed_addresses, n_round)
    assert OWN in choose_delegates([OWN, PEER], "celje", "zalec")
    first = 2 * n_round % 4
    assert plan.remote == {f"h{first}:1", f"h{first + 1}:1"}
    assert plan.local == {PEER.address, "seed:1"}


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["put", "partial", "send", "lose", "restart"]),
        st.integers(0, 3),
    ),
    max_size=40,
)


@settings(derandomize=True)
@given(OPERATIONS)
def test_peer_has_every_entry_after_one_message_that_arrives(operations):
    """Neither lost messages nor a restart of the receiver leave its copy incomplete."""
    log, sent, received, copy = ChangeLog(), ChangeCursor(), ChangeCursor(), {}
    for n, (operation, key) in enumerate([*operations, ("send", 0), ("send", 0)]):
        if operation in ("put", "partial"):
            log.put(key, (key, n), is_partial=operation == "partial")
        elif operation == "restart":
            received, copy = ChangeCursor(), {}
        else:
            changes = log.changes(sent.confirmed)
            if operation == "send":
                if received.accept(changes.since, changes.until):
                    assert all(value[0] in copy for value in changes.partial)
                    copy |= {v[0]: v for v in [*changes.full, *changes.partial]}
                sent.confirm(received.received)
    assert copy == {key: log.get(key) for key in copy}
    assert len(copy) == len(log)
