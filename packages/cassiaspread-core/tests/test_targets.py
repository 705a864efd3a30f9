"""Health of targets and reachability of failure domains."""

from cassiaspread_core.targets import DomainReachability, TargetHealth


def test_unreachable_target_stays_suspect_until_it_renews_its_entry():
    health = TargetHealth()
    health.record_renewal("t", now_s=0.0)
    health.record_unreachable("t", now_s=1.0)
    assert health.is_suspect("t", now_s=4.0)
    # This renewal may have been written before the target became unreachable.
    health.record_renewal("t", now_s=1.9)
    assert health.is_suspect("t", now_s=4.0)
    health.record_renewal("t", now_s=2.3)
    assert not health.is_suspect("t", now_s=4.0)


def test_target_becomes_suspect_after_repeated_failures():
    health = TargetHealth()
    results = [health.record_failure("t", now_s=n / 10) for n in range(4)]
    assert results == [False, True, True, True]
    assert health.is_suspect("t", now_s=0.5)
    assert not health.is_suspect("u", now_s=0.5)


def test_single_failure_after_successes_does_not_make_target_suspect():
    health = TargetHealth()
    for n in range(20):
        health.record_success("t", now_s=n / 10)
    assert not health.record_failure("t", now_s=3.0)
    assert not health.is_suspect("t", now_s=3.0)


def test_own_success_takes_precedence_over_reports_of_other_daemons():
    health = TargetHealth()
    health.record_success("t", now_s=5.0)
    health.record_reported_unreachable("t", at_s=5.2, now_s=5.3)
    assert not health.is_suspect("t", now_s=5.4)
    health.record_reported_unreachable("t", at_s=6.5, now_s=6.6)
    assert health.is_suspect("t", now_s=6.7)


def test_only_recent_failures_are_reported():
    health = TargetHealth()
    health.record_unreachable("t", now_s=1.0)
    assert health.unreachable_ages_s(now_s=1.5) == {"t": 0.5}
    assert health.unreachable_ages_s(now_s=2.5) == {}


def test_restarted_target_is_not_suspect():
    health = TargetHealth()
    health.record_unreachable("t", now_s=1.0)
    health.forget("t")
    assert not health.is_suspect("t", now_s=1.1)


def test_domain_is_unreachable_only_while_none_of_its_targets_answers():
    reachability = DomainReachability()
    reachability.record_unreachable("d", "a", now_s=1.0)
    assert not reachability.is_unreachable("d", now_s=1.1)
    reachability.record_unreachable("d", "b", now_s=1.2)
    assert reachability.is_unreachable("d", now_s=1.3)
    assert not reachability.is_unreachable("e", now_s=1.3)
    reachability.record_success("d")
    assert not reachability.is_unreachable("d", now_s=1.3)


def test_slowness_expires():
    health = TargetHealth()
    health.record_slowness("t", 5.0, now_s=1.0)
    health.record_slowness("t", 5.0, now_s=2.0)
    assert health.slowness("t", now_s=3.0) == 4.0
    assert health.slowness("t", now_s=8.0) == 1.0
    assert health.slowness("u", now_s=3.0) == 1.0


def test_target_that_turns_requests_away_gets_none_for_growing_times():
    health = TargetHealth()
    assert not health.is_avoided("t", now_s=0.0)
    now_s, pauses_s = 0.0, []
    for _ in range(5):
        assert health.record_rejection("t", now_s)
        # Requests that were on their way do not count again.
        assert not health.record_rejection("t", now_s + 0.1)
        pause_s = 0.0
        while health.is_avoided("t", now_s + pause_s):
            pause_s += 0.25
        pauses_s.append(pause_s)
        now_s += pause_s
    assert pauses_s == [0.5, 1.0, 2.0, 4.0, 4.0]
    health.record_success("t", now_s)
    assert not health.is_avoided("t", now_s)


def test_other_daemons_avoid_it_as_long_and_do_not_pass_it_on():
    health, other = TargetHealth(), TargetHealth()
    health.record_rejection("t", now_s=10.0)
    [(target, duration_s)] = health.avoided_s(now_s=10.1).items()
    other.record_reported_avoidance(target, duration_s, now_s=50.0)
    assert other.is_avoided("t", now_s=50.3)
    assert not other.is_avoided("t", now_s=50.5)
    assert other.avoided_s(now_s=50.1) == {}


def test_target_that_has_just_answered_is_not_avoided_on_a_report():
    health = TargetHealth()
    health.record_success("t", now_s=9.5)
    health.record_reported_avoidance("t", 4.0, now_s=10.0)
    assert not health.is_avoided("t", now_s=10.1)
    health.record_reported_avoidance("t", 1000.0, now_s=12.0)
    assert health.is_avoided("t", now_s=15.9)
    assert not health.is_avoided("t", now_s=16.1)
