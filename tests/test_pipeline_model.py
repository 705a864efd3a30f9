"""Loads simulated on the pipeline model, with the product's policy and without."""

from benchmarks.pipeline_model import Load, Policy, play

BURST = Load(length_s=4.0, burst=2.0)


def test_gossiped_loads_spread_the_streams_of_a_burst():
    with_gossip = play(BURST, Policy(), seed=1)
    own_load_only = play(BURST, Policy(chooses="own-load"), seed=1)
    assert with_gossip.share_in_aim > own_load_only.share_in_aim
    assert with_gossip.abandoned == 0
