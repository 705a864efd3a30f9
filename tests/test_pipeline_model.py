"""Loads replayed on the model of engines, with the product's decisions and without."""

from benchmarks.pipeline_model import Load, Policy, play

BURST = Load(length_s=4.0, burst=2.0)


def test_streams_of_a_burst_spread_when_daemons_tell_their_loads():
    told = play(BURST, Policy(), seed=1)
    alone = play(BURST, Policy(chooses="own-load"), seed=1)
    assert told.share_in_aim > alone.share_in_aim
    assert told.abandoned == 0
