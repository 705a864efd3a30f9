"""Format, age and fingerprint of idempotency keys; lifecycle of tickets."""

import uuid

import pytest

from cassiaspread_core.claims import (
    N_PARTITIONS,
    CallResult,
    InvalidKey,
    KeyAge,
    ScopedKey,
    TicketState,
    TicketTable,
    check_key,
    classify_age,
    compute_fingerprint,
    compute_partition,
    create_ticket_key,
    key_created_s,
    ticket_incarnation,
)

KEY = "01a23e07-47d4-7b3f-8055-4254dc1ba464"
WINDOW_S = 100.0


@pytest.mark.parametrize(
    "text",
    ["", "x", KEY.upper(), KEY.replace("-", ""), str(uuid.UUID(int=7)), f"x.{KEY}"],
)
def test_invalid_keys_are_rejected(text):
    with pytest.raises(InvalidKey):
        check_key(text)


@pytest.mark.parametrize(
    ("age_s", "expected"),
    [
        (-61, KeyAge.FUTURE),
        (-59, KeyAge.VALID),
        (99, KeyAge.VALID),
        (101, KeyAge.EXPIRED),
    ],
)
@pytest.mark.parametrize("key", [KEY, f"{uuid.UUID(int=0)}.{KEY}"])
def test_age(key, age_s, expected):
    assert classify_age(key, key_created_s(KEY) + age_s, WINDOW_S) is expected


def test_ticket_names_its_incarnation():
    ticket = create_ticket_key(KEY, uuid.UUID(KEY))
    assert check_key(ticket) == ticket
    assert (ticket_incarnation(ticket), ticket_incarnation(KEY)) == (KEY, None)


def test_fingerprint_depends_on_every_part_of_the_call():
    calls = [
        ("o", "s", "POST", "/a", b"b"),
        ("os", "", "POST", "/a", b"b"),
        ("o", "s", "PUT", "/a", b"b"),
        ("o", "s", "POST", "/ab", b""),
        ("o", "s", "POST", "/a", b"c"),
    ]
    assert len({compute_fingerprint(*call) for call in calls}) == len(calls)


def test_equal_keys_of_organisations_spread_over_partitions():
    partitions = {compute_partition(ScopedKey(f"o{i}", KEY)) for i in range(200)}
    assert len(partitions) == N_PARTITIONS


def test_ticket_runs_once_and_keeps_its_result():
    table, key = TicketTable(), ScopedKey("o", KEY)
    table.add(key)
    assert table.begin(key, "f", "c1")
    table.release(key)
    assert table.begin(key, "f", "c2")
    assert not table.begin(key, "f", "c3")
    assert table.retire_unused() == []
    table.finish(key, CallResult(200))
    assert (table.find(key).state, table.find(key).claim) == (TicketState.DONE, "c2")
    table.remove_expired(key_created_s(KEY) + 2 * WINDOW_S, WINDOW_S)
    assert len(table) == 0


def test_retired_ticket_never_runs():
    table, key = TicketTable(), ScopedKey("o", KEY)
    table.add(key)
    assert table.retire_unused() == [key]
    assert not table.begin(key, "f", "c")
