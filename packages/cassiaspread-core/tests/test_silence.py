"""When a silent target counts as gone."""

import pytest

from cassiaspread_core.targets import Silence, is_gone

SECOND_S = 1.2
LONG_S = 20.0


@pytest.mark.parametrize(
    ("silence", "expected"),
    [
        (Silence(duration_s=SECOND_S), False),
        (Silence(duration_s=LONG_S), False),
        (Silence(duration_s=SECOND_S, is_refused=True), False),
        (Silence(duration_s=SECOND_S, is_restarted=True), False),
        (Silence(duration_s=SECOND_S, is_leaving=True), False),
        (Silence(duration_s=SECOND_S, is_leaving=True, is_refused=True), False),
        (Silence(duration_s=SECOND_S, is_leaving=True, is_restarted=True), False),
        (Silence(duration_s=LONG_S, is_refused=True), True),
        (Silence(duration_s=LONG_S, is_restarted=True), True),
        (Silence(duration_s=LONG_S, is_leaving=True), True),
    ],
)
def test_silence_alone_does_not_prove_an_end(silence, expected):
    assert is_gone(silence) is expected
