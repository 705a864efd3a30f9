"""Few daemons apply for the placement duty, however large the fleet is."""

import pytest

from cassiaspread_core.membership import Member
from cassiaspread_core.placement import HOLDER_TIMEOUT_S, is_candidate


def make_members(n_domains, n_daemons):
    return [
        Member(f"i{d}-{n}", f"vm{d}-{n}", f"d{d}", f"10.{d}.0.{n}:1")
        for d in range(n_domains)
        for n in range(n_daemons)
    ]


@pytest.mark.parametrize(
    ("n_domains", "n_daemons", "n_candidates"),
    [(1, 30, 4), (2, 3, 4), (3, 30, 6), (5, 40, 5), (14, 30, 14), (1, 2, 2)],
)
def test_number_of_candidates_depends_on_domains(n_domains, n_daemons, n_candidates):
    members = make_members(n_domains, n_daemons)
    candidates = [m for m in members if is_candidate(m, members, holder_age_s=0.0)]
    assert len(candidates) == n_candidates
    assert len({m.domain for m in candidates}) == n_domains


def test_every_daemon_applies_when_nothing_is_heard_of_a_holder():
    members = make_members(2, 30)
    assert all(is_candidate(m, members, HOLDER_TIMEOUT_S + 0.1) for m in members)


def test_daemon_that_knows_no_fleet_yet_does_not_apply():
    [own] = make_members(1, 1)
    assert not is_candidate(own, [], holder_age_s=0.0)
