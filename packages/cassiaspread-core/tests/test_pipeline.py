"""Token order, verdicts on interruptions, KV cache restore and silence bounds."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.pipeline import (
    Interruption,
    Phase,
    RestoreMode,
    SilenceMonitor,
    Stage,
    StageState,
    TokenSequence,
    TokenStep,
    Verdict,
    adjust_verdict,
    choose_restore,
    diagnose_interruption,
    find_holders,
    needs_confirmation,
    next_attempt,
)

PLAN = tuple(Stage(n, f"{n}:1", "", i, i + 1) for i, n in enumerate("abc"))


@settings(derandomize=True)
@given(
    steps=st.lists(st.tuples(st.integers(1, 3), st.integers(0, 6))),
    switches=st.lists(st.integers(0, 30), max_size=2, unique=True),
)
def test_sequence_takes_each_position_once_in_order(steps, switches):
    sequence = TokenSequence(attempt=1)
    accepted = []
    for index, (attempt, position) in enumerate(steps):
        if index in switches:
            sequence.start_attempt(sequence.attempt + 1)
        if sequence.accept(TokenStep(attempt, position, "x")):
            assert attempt == sequence.attempt
            accepted.append(position)
    assert accepted == list(range(len(accepted)))


def test_sequence_takes_no_token_beyond_the_largest_number():
    sequence = TokenSequence(attempt=1, max_tokens=2)
    steps = [TokenStep(1, position, "x") for position in range(4)]
    assert [sequence.accept(step) for step in steps] == [True, True, False, False]
    assert sequence.accept(TokenStep(1, 2, finish_reason="length"))


@settings(derandomize=True)
@given(st.lists(st.integers(0, 2**16 - 1), min_size=2, max_size=8))
def test_attempts_grow_and_differ_between_daemons(owners):
    attempts = [0]
    for owner in owners:
        attempts.append(next_attempt(attempts[-1], owner))
    assert attempts == sorted(set(attempts))
    successors = {next_attempt(attempts[-1], owner) for owner in owners}
    assert len(successors) == len(set(owners))


def state(phase=Phase.WAITING, n_positions=4, attempt=7, n_tokens=0):
    return StageState(
        attempt=attempt, n_positions=n_positions, phase=phase, n_tokens=n_tokens
    )


WORKING = {"a": state(), "b": state(), "c": state(Phase.COMPUTING, 3)}
VERDICTS = [
    pytest.param({}, Verdict.SLOW, id="tail-computes"),
    pytest.param({"a": state(Phase.COMPUTING, 3)}, Verdict.SLOW, id="head-computes"),
    pytest.param({"a": state(n_tokens=4)}, Verdict.PATH_DEAD, id="token-undelivered"),
    pytest.param({"c": state(Phase.IDLE)}, Verdict.CHAIN_BROKEN, id="answer-lost"),
    pytest.param({"b": StageState()}, Verdict.CHAIN_BROKEN, id="stage-restarted"),
    pytest.param({"a": StageState()}, Verdict.CHAIN_BROKEN, id="head-restarted"),
    pytest.param({"a": state(Phase.ENDED)}, Verdict.CHAIN_BROKEN, id="head-ended"),
    pytest.param({"b": None}, Verdict.STAGE_LOST, id="stage-silent"),
    pytest.param(
        {"a": state(n_tokens=4), "c": None}, Verdict.STAGE_LOST, id="path-and-stage"
    ),
    pytest.param({"b": state(attempt=8)}, Verdict.SUPERSEDED, id="other-daemon"),
    pytest.param(
        {"a": None, "b": state(attempt=8)}, Verdict.SUPERSEDED, id="other-and-lost"
    ),
]


@pytest.mark.parametrize(("changes", "verdict"), VERDICTS)
def test_verdicts(changes, verdict):
    assert diagnose_interruption(PLAN, WORKING | changes, 7, 3) is verdict


@pytest.mark.parametrize("verdict", Verdict)
@pytest.mark.parametrize("interruption", Interruption)
def test_only_a_silent_stream_can_be_slow(interruption, verdict):
    adjusted = adjust_verdict(interruption, verdict)
    if interruption is Interruption.SILENT:
        assert adjusted is verdict
    else:
        assert adjusted is not Verdict.SLOW
    if verdict in (Verdict.SLOW, Verdict.SUPERSEDED):
        assert not needs_confirmation(interruption, verdict)


RESTORES = [
    pytest.param("abc", {}, "keep keep keep", id="all-survive"),
    pytest.param("xbc", {"a": None}, "prefill keep keep", id="head-lost"),
    pytest.param("axc", {"b": None}, "prefill prefill keep", id="middle-lost"),
    pytest.param("abx", {"c": None}, "prefill prefill prefill", id="tail-lost"),
    pytest.param("axc", {}, "keep import keep", id="export-exists"),
    pytest.param(
        "abc", {"b": state(n_positions=2)}, "prefill prefill keep", id="short"
    ),
]


@pytest.mark.parametrize(("engines", "changes", "modes"), RESTORES)
def test_restores(engines, changes, modes):
    plan = tuple(Stage(n, "", "", i, i + 1) for i, n in enumerate(engines))
    restore = choose_restore(plan, find_holders(PLAN, WORKING | changes, 3))
    assert " ".join(stage.mode.value for stage in restore) == modes
    sources = {stage.source for stage in restore if stage.mode is RestoreMode.IMPORT}
    assert sources <= {"b:1"}


@settings(derandomize=True)
@given(
    intervals=st.lists(st.floats(0.0, 5.0), min_size=1, max_size=50),
    expected_s=st.floats(0.0, 1.0),
)
def test_silence_bound_stays_between_its_limits(intervals, expected_s):
    monitor = SilenceMonitor(expected_s, 0.2, 1.0, now_s=0.0)
    now_s = 0.0
    for interval_s in intervals:
        now_s += interval_s
        monitor.record_tokens(1, now_s)
        assert 0.2 <= monitor.bound_s <= 1.0
        assert monitor.is_silent(now_s + 1.0)
        assert not monitor.is_silent(now_s + 0.19)


def test_first_token_shortens_the_bound_in_time():
    monitor = SilenceMonitor(0.03, 0.2, 1.0, now_s=0.0)
    assert monitor.next_check_s(0.0) == pytest.approx(0.2)
    monitor.record_tokens(1, 0.1)
    assert monitor.next_check_s(0.2) == pytest.approx(0.1)
    assert not monitor.is_silent(0.29)
    assert monitor.is_silent(0.31)


def test_slow_engine_is_probed_less_often():
    monitor = SilenceMonitor(0.03, 0.2, 1.0, now_s=0.0)
    monitor.record_tokens(1, 0.0)
    waits = []
    for _ in range(5):
        waits.append(monitor.bound_s)
        monitor.back_off(0.0)
    assert waits == pytest.approx([0.2, 0.4, 0.8, 1.6, 1.6])
    monitor.record_tokens(1, 0.03)
    assert monitor.bound_s == pytest.approx(0.2)
