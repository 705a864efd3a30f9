"""Short soak tests with fixed seeds; runs over many seeds are started by hand."""

import pytest

from tests.users_platform.soak import run_seed

# Seeds that once violated a guarantee stay here, each with its cause.
SEEDS = [
    1,
    # On a copy that retries calls after a lost answer and accepts keys under a
    # configuration of any age, calls ran twice and after the revocation of their key.
    105,
    # A crashing request ran 11 times: losses of restarted engines were taken for known
    # ones, and old renewals for a proof that engines lived.
    200,
    # Streams were cut because their sound engines were silent for a second, and
    # connections were closed after an idle timeout that had been raised.
    607,
    # A notice of leaving was taken as that of the process before a restart.
    6124,
    # On a copy whose bound on late streams comes 0.15 s late, streams were accepted
    # after the third second of a stop and cut.
    9004,
]


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_random_faults(tmp_path, seed):
    assert run_seed(seed, length_s=8.0, folder=tmp_path) == []


def test_guarantees_hold_while_those_that_pass_updates_on_are_killed(tmp_path):
    # On a copy whose updates leave out what the reader has heard otherwise, gateways of
    # the other zone knew 0.16 and 0.33 s too late that an engine leaves, once in eight
    # seeds of 20 s, this one among them.
    findings = run_seed(9507, length_s=10.0, folder=tmp_path, n_gateways=5)
    assert findings == []
