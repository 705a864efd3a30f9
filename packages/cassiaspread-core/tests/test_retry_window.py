"""Retries of all daemons stay within the shared limit in every window."""

import random

import pytest

from cassiaspread_core.admission import PeakCount, RetryWindow


def test_all_streams_of_a_lost_engine_may_be_retried():
    # Nine daemons receive 43 requests per second; an engine with 60 streams is lost.
    windows = [RetryWindow(ratio=0.2, slack=202.0, window_s=10.0) for _ in range(9)]
    for n in range(430):
        windows[n % 9].record_request(now_s=n / 43)
    taken = [windows[n % 9].try_acquire(now_s=10.0, n_daemons=9) for n in range(60)]
    assert all(taken)


def test_no_window_exceeds_the_limit_over_all_daemons():
    random_state = random.Random(7)
    windows = [RetryWindow(ratio=0.2, slack=202.0, window_s=10.0) for _ in range(9)]
    requests, retries = [], []
    now_s = 0.0
    for _ in range(6000):
        now_s += random_state.expovariate(120.0)
        window = random_state.choice(windows)
        if random_state.random() < 0.35:
            window.record_request(now_s)
            requests.append(now_s)
        elif window.try_acquire(now_s, n_daemons=9):
            retries.append(now_s)
    for end_s in retries:
        n_retries = sum(end_s - 10.0 < at <= end_s for at in retries)
        n_requests = sum(end_s - 10.0 < at <= end_s for at in requests)
        assert n_retries <= 0.2 * n_requests + 202.0


@pytest.mark.parametrize("is_peak_counted", [True, False])
def test_daemons_on_both_sides_of_a_partition_keep_to_the_slack(is_peak_counted):
    # Each side counts only its own daemons a few seconds after the partition.
    n_daemons, slack = 64, 320.0
    windows = [RetryWindow(0.2, slack, window_s=10.0) for _ in range(n_daemons)]
    peaks = [PeakCount(window_s=300.0) for _ in range(n_daemons)]
    n_retries = 0
    for window, peak in zip(windows, peaks, strict=True):
        peak.record(n_daemons, now_s=0.0)
        n_counted = peak.record(n_daemons // 2, now_s=5.0)
        if not is_peak_counted:
            n_counted = n_daemons // 2
        n_retries += sum(window.try_acquire(6.0, n_counted) for _ in range(20))
    assert (n_retries <= slack) == is_peak_counted


def test_restarted_daemons_do_not_use_the_slack_twice():
    # Every daemon uses its share and is killed; its successor starts within the window.
    n_daemons, slack = 16, 320.0
    n_retries = 0
    for _ in range(n_daemons):
        window = RetryWindow(0.2, slack, window_s=10.0, started_s=-60.0)
        n_retries += sum(window.try_acquire(1.0, n_daemons) for _ in range(50))
        successor = RetryWindow(0.2, slack, window_s=10.0, started_s=3.0)
        n_retries += sum(successor.try_acquire(5.0, n_daemons) for _ in range(50))
    assert n_retries <= slack
    # Afterwards it has its whole share.
    assert sum(successor.try_acquire(15.0, n_daemons) for _ in range(50)) == 16


@pytest.mark.parametrize("n_lenders", [1, 3])
def test_loans_serve_one_daemon_and_keep_the_limit_over_all(n_lenders):
    # The streams of a lost engine belong to one of 22 daemons with ten requests each.
    n_daemons, slack = 22, 48.0
    windows = [RetryWindow(0.2, slack, window_s=10.0) for _ in range(n_daemons)]
    for window in windows:
        for _ in range(10):
            window.record_request(now_s=0.0)
    random_state = random.Random(3)
    own = sum(windows[0].try_acquire(1.0, n_daemons) for _ in range(100))
    n_lent = 0
    for _ in range(100):
        for lender in random_state.sample(windows[1:], n_lenders):
            n_lent += lender.lend(2, now_s=1.0, n_daemons=n_daemons)
    assert own + n_lent > 5 * own
    # Lenders keep some for themselves, and nobody may exceed the limit together.
    others = sum(
        window.try_acquire(1.0, n_daemons) for window in windows[1:] for _ in range(9)
    )
    assert others >= n_daemons - 1
    assert own + n_lent + others <= 0.2 * 10 * n_daemons + slack


def test_daemon_without_free_retries_lends_none():
    window = RetryWindow(0.2, 10.0, window_s=10.0)
    while window.try_acquire(0.0, n_daemons=2):
        pass
    assert window.lend(5, now_s=0.0, n_daemons=2) == 0
