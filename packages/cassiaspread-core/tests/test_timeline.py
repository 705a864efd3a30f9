"""Hybrid logical clock and event ring."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaspread_core.timeline import EventRing, HybridClock, Timestamp

ACTIONS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 2), st.floats(-5, 5, allow_nan=False)),
    max_size=40,
)


@settings(derandomize=True)
@given(ACTIONS)
def test_receipt_follows_sending_despite_clock_skew(actions):
    clocks = [HybridClock() for _ in range(3)]
    for sender, receiver, skew_s in actions:
        sent = clocks[sender].tick(now_s=100 + skew_s)
        received = clocks[receiver].receive(sent, now_s=100 - skew_s)
        assert received > sent


def test_malformed_stamp_is_ignored():
    ring = EventRing("d1", n_events=2, now=lambda: 1.0)
    before = ring.clock.last
    for stamp in ("", "x", "1", "1.2.3"):
        ring.receive_timestamp(stamp)
    assert ring.clock.last == before


def test_ring_filters_by_request():
    ring = EventRing("d1", n_events=10, now=lambda: 1.0)
    ring.record("a", "r1", target="e1")
    ring.record("b", "r2")
    (event,) = ring.events("r1")
    assert (event.kind, event.fields, event.timestamp) == (
        "a",
        {"target": "e1"},
        Timestamp(1000, 0),
    )
