"""The state does not depend on how records, checkpoints and peers reach a reader."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.policy import (
    CheckpointAssembler,
    EntryKind,
    EntryRecord,
    FoldVerdict,
    Limits,
    LimitsException,
    Policy,
    PolicyState,
    RulesRecord,
    split_snapshot,
)

HASHES = [digit * 64 for digit in "abc"]
VALUES = {
    EntryKind.MODEL: [{"n_layers": 8}, {"n_layers": 9}, {"n_layers": 0}],
    EntryKind.ORGANISATION: [{"token_sha256": [token]} for token in HASHES],
    EntryKind.OPERATOR: [{"token_sha256": HASHES[:1]}],
    EntryKind.LIMITS: [{"max_tokens": 5}, {"max_tokens": "5"}],
    EntryKind.EXCEPTION: [
        {"reason": "fair", "author": "ana", "limits": {"max_tokens": 7}},
        {"reason": " ", "author": "ana", "limits": {"max_tokens": 7}},
    ],
}


def entry(kind, name, value, replaces=None, author="ana"):
    return EntryRecord(
        kind=kind, name=name, replaces=replaces, value=value, author=author
    )


def fold(*records, state=None):
    state = state or PolicyState()
    start = state.next_offset
    values = [r if isinstance(r, bytes) else msgspec.json.encode(r) for r in records]
    return state, state.fold(start, list(enumerate(values, start)))


CHOICES = st.tuples(st.sampled_from(range(4)), st.integers(0, 99), st.integers(0, 99))
MALFORMED = [b"", b"\xff", b"{}", b'{"type":"entry"}', b'{"type":"later"}', b"[" * 9]


def choose(choices, index):
    return choices[index % len(choices)]


def next_record(state, n_records, action, a, b):
    """Return an arbitrary entry, a replacement, a checkpoint or malformed bytes."""
    if action == 0:
        kind = choose(list(VALUES), a)
        name = "" if kind is EntryKind.LIMITS else choose(["a", "b"], a // 5)
        replaces = choose([None, b], b // 10)
        record = entry(kind, name, choose([*VALUES[kind], None], b), replaces)
    elif action == 1 and state.entries:
        key, existing = choose(sorted(state.entries.items(), key=str), a)
        record = entry(*key, choose([*VALUES[key.kind], None], b), existing.offset)
    elif action == 2:
        (record,) = split_snapshot(state.snapshot(), f"c{n_records}")
    else:
        return choose(MALFORMED, a)
    return msgspec.json.encode(record)


def build_stream(choices):
    """Return the records of a stream and the state at each of its offsets."""
    values, states = [], [PolicyState()]
    for choice in choices:
        values.append(next_record(states[-1], len(values), *choice))
        next_state = PolicyState()
        next_state.fold(0, list(enumerate(values)))
        states.append(next_state)
    return values, states


def apply_peer_snapshot(state, other, part_bytes, seed):
    parts = split_snapshot(other.snapshot(), "c", part_bytes)
    random.Random(seed).shuffle(parts)
    assembler = CheckpointAssembler()
    snapshot = next(s for s in map(assembler.add, parts * 2) if s is not None)
    before = state.next_offset
    assert state.replace_by(snapshot) is (snapshot.covered > before)


def assert_same(state, reference):
    assert state.next_offset == reference.next_offset
    assert state.entries == reference.entries
    assert state.policy == reference.policy
    assert state.digest == reference.digest


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(CHOICES, min_size=1, max_size=25), st.lists(CHOICES, max_size=20))
def test_every_path_yields_the_state_of_the_log(choices, path):
    values, states = build_stream(choices)
    end = len(values)
    state = PolicyState()
    for action, a, b in [*path, (0, 0, end)]:
        if action == 3:
            apply_peer_snapshot(state, choose(states, a), [1, 200, 10**6][b % 3], b)
        else:
            start = max(state.next_offset - a % 6, 0)
            stop = end if b == end else start + b % 12
            state.fold(start, list(enumerate(values[start:stop], start)))
        assert_same(state, states[state.next_offset])
    assert state.next_offset == end


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=40) | st.text(max_size=40).map(str.encode))
def test_arbitrary_bytes_are_skipped_or_rejected(value):
    state, (folded,) = fold(value)
    assert folded.verdict in (FoldVerdict.SKIPPED, FoldVerdict.REJECTED)
    assert state.next_offset == 1


def test_missing_records_are_an_error():
    with pytest.raises(ValueError, match="0 to 2 are missing"):
        PolicyState().fold(3, [(3, b"")])


MODEL = entry(EntryKind.MODEL, "draft", {"n_layers": 8})
ORGANISATION = entry(EntryKind.ORGANISATION, "osorno", {"token_sha256": HASHES[:1]})
NESTED = b'{"type":"entry","value":' + b'{"a":' * 100_000
REJECTED = [
    (entry(EntryKind.MODEL, "draft", {"n_layers": 9}), "ana changed model draft at"),
    (entry(EntryKind.MODEL, "other", {"n_layers": 9}, 0), "no model other to replace"),
    (entry(EntryKind.MODEL, "other", None), "there is no model other to remove"),
    (entry(EntryKind.MODEL, "other", {"layers": 9}), "unknown field"),
    (entry(EntryKind.MODEL, "", {"n_layers": 9}), "only the limits have no name"),
    (
        entry(EntryKind.OPERATOR, "ana", {"token_sha256": HASHES[:1]}),
        "a token of operator ana belongs to organisation osorno",
    ),
    (RulesRecord(version=1, author="ana"), "version 1 of the rules is in force"),
    (RulesRecord(version=3, author="ana"), "version 1 of the rules is in force"),
]


@pytest.mark.parametrize(("record", "reason"), REJECTED, ids=lambda v: str(v)[:40])
def test_rejection_has_a_reason(record, reason):
    state, folded = fold(MODEL, ORGANISATION, record)
    assert [f.verdict for f in folded[:2]] == [FoldVerdict.ACCEPTED] * 2
    assert folded[2].verdict is FoldVerdict.REJECTED
    assert reason in folded[2].reason
    assert len(state.entries) == 2


def test_deep_nesting_is_skipped():
    assert fold(NESTED)[1][0].verdict is FoldVerdict.SKIPPED


def test_removed_exception_keeps_its_reason():
    value = VALUES[EntryKind.EXCEPTION][0]
    record = entry(EntryKind.EXCEPTION, "fair", value)
    state, _ = fold(record, entry(EntryKind.EXCEPTION, "fair", None, 0, "bor"))
    (kept,) = state.entries.values()
    assert (kept.value["reason"], kept.author, kept.is_removed) == ("fair", "bor", True)
    assert not state.policy.exceptions


def test_unknown_rules_halt_the_fold_and_keep_the_configuration():
    later = entry(EntryKind.MODEL, "late", {"n_layers": 2})
    records = [MODEL, RulesRecord(version=2, author="ana"), later]
    old, _ = fold(*records)
    new, _ = fold(*records, state=PolicyState(latest_rules=2))
    assert (list(old.policy.models), list(new.policy.models)) == (
        ["draft"],
        ["draft", "late"],
    )
    assert "needs version 2" in old.halt_reason
    assert not old.replace_by(new.snapshot())
    blank = PolicyState()
    assert not blank.replace_by(new.snapshot())
    assert "needs version 2" in blank.halt_reason


def test_fields_of_later_rules_are_rejected_until_in_force(monkeypatch):
    added = {(EntryKind.LIMITS, "max_tokens"): 2}
    monkeypatch.setattr("cassiaspread_core.policy._rules.ADDED_FIELDS", added)
    limits = entry(EntryKind.LIMITS, "", {"max_tokens": 9})
    state, folded = fold(
        limits,
        RulesRecord(version=2, author="ana"),
        limits,
        state=PolicyState(latest_rules=2),
    )
    verdicts = [f.verdict for f in folded]
    assert verdicts == [
        FoldVerdict.REJECTED,
        FoldVerdict.ACCEPTED,
        FoldVerdict.ACCEPTED,
    ]
    assert state.policy.limits.max_tokens == 9


def exception(**fields):
    return LimitsException(reason="fair", author="ana", **fields)


def test_more_selectors_then_later_name_win():
    policy = Policy(
        limits=Limits(max_tokens=1),
        exceptions={
            "z": exception(limits={"max_tokens": 2, "priority": 2}, model="draft"),
            "a": exception(
                limits={"max_tokens": 3}, model="draft", organisation="osorno"
            ),
            "b": exception(limits={"n_attempts": 9}, service="booking"),
        },
    )
    found = [
        policy.limits_for("osorno", "draft", now_s=0),
        policy.limits_for("celje", "draft", now_s=0),
        policy.limits_for("osorno", None, "booking", now_s=0),
    ]
    assert [(x.max_tokens, x.priority) for x in found] == [(3, 2), (2, 2), (1, 0)]
    assert [x.n_attempts for x in found] == [3, 3, 9]
