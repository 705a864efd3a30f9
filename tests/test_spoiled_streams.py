"""Streams of engines whose events are malformed or do not follow each other."""

import json

import pytest

from tests.fleet import Fleet
from tests.streams import StreamCaller, read_events, start_ready_daemons, start_stages

N_TOKENS = 12
N_BEFORE = 5
STEP_MS = 5
KIND = "stream.interrupted"


def token(position, attempt="{attempt}", text="x"):
    return (
        f'data: {{"attempt": {attempt}, "position": {position}, "text": "{text}"}}\n\n'
    )


FAILURE = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed\n\n"
# Texts before the event of a position, or in its place.
ADDED = {
    "doubled token": token("{last_position}"),
    "token of the attempt before": token("{position}", "{last_attempt}"),
    "token of a later attempt": token("{position}", "{next_attempt}"),
    "token of a later position": token("{next_position}"),
    "head and text of a failure": FAILURE,
    "failure as an event": "event: error\ndata: failed\n\n",
    "other field": "id: 7\n" + token("{position}"),
    "no position": 'data: {"attempt": {attempt}, "text": "x"}\n\n',
    "no number": token('"{position}"'),
    "number without bounds": token("{position}", "9" * 400),
    "no object": "data: []\n\n",
    "no JSON": "data: {\n\n",
    "no text": "data:\n\n",
    "error of the attempt before": (
        'data: {"attempt": {last_attempt}, "error": "failed", "engine": "h0"}\n\n'
    ),
    "stale attempt that is not higher": (
        'data: {"attempt": {last_attempt}, "error": "stale-attempt"}\n\n'
    ),
    "superseded by the same attempt": (
        'data: {"attempt": {attempt}, "error": "superseded"}\n\n'
    ),
    "end of another attempt": (
        'data: {"attempt": {last_attempt}, "position": {position}, '
        '"finish_reason": "length"}\n\n'
    ),
    "end at another position": (
        'data: {"attempt": {attempt}, "position": {next_position}, '
        '"finish_reason": "length"}\n\n'
    ),
}
MISPLACED = {f"{kind}, added": (text, True) for kind, text in ADDED.items()} | {
    "superseded by the same attempt": (ADDED["superseded by the same attempt"], False),
    "error of the attempt before": (ADDED["error of the attempt before"], False),
    "gap": ("", False),
    "failure in place": (FAILURE, False),
}
# Texts that belong to no event.
HARMLESS = {"comment": ": ping\n\n", "comments": ": ping\r\n\r\n:\n\n", "blank": "\n\n"}


@pytest.fixture(scope="module")
def module_fleet(tmp_path_factory):
    """Three stages of two engines each, and one daemon."""
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        start_stages(fleet, step_ms=STEP_MS)
        start_ready_daemons(fleet, "d0")
        yield fleet


@pytest.fixture
def fleet(module_fleet):
    yield module_fleet
    control_heads(module_fleet, spoil=None, conflict=None)


def control_heads(fleet, **fields):
    for name in ("h0", "h1"):
        fleet.processes[name].control(**fields)


def interruptions_during(fleet, call):
    """Return how the attempts of a call ended that were interrupted."""
    daemon = fleet.processes["d0"]

    def read():
        rows = [row for row in read_events(daemon) if row["kind"] == KIND]
        # A slow attempt goes on.
        return [row["fields"] for row in rows if row["fields"]["verdict"] != "slow"]

    n_before = len(read())
    call()
    return read()[n_before:]


def log_of(fleet):
    return (fleet.directory / "d0.log").read_text()


def spoil_stream(fleet, prompt, text, is_added, position=N_BEFORE):
    spoil = {"position": position, "text": text, "is_added": is_added}
    control_heads(fleet, spoil=spoil)
    StreamCaller(fleet.processes["d0"], prompt, N_TOKENS).check_complete()


@pytest.mark.parametrize("kind", MISPLACED)
def test_event_that_does_not_follow_ends_its_attempt_at_once(fleet, kind):
    rows = interruptions_during(
        fleet, lambda: spoil_stream(fleet, f"spoiled {kind}", *MISPLACED[kind])
    )
    # Both heads may send it.
    assert {row["end"] for row in rows} == {"failed"}
    assert "follows" in rows[0]["reason"]
    assert "Traceback" not in log_of(fleet)


def test_token_beyond_the_largest_number_is_not_delivered(fleet):
    rows = interruptions_during(
        fleet,
        lambda: spoil_stream(fleet, "too many", token("{position}"), True, N_TOKENS),
    )
    assert {row["end"] for row in rows} == {"failed"}


@pytest.mark.parametrize("kind", HARMLESS)
def test_stream_with_texts_between_its_events_is_not_interrupted(fleet, kind):
    assert not interruptions_during(
        fleet, lambda: spoil_stream(fleet, f"harmless {kind}", HARMLESS[kind], True)
    )


def test_events_whose_lines_end_with_carriage_returns_are_delivered(fleet):
    text = token("{position}", text="token").replace("\n", "\r\n")
    daemon = fleet.processes["d0"]
    spoil = {"position": N_BEFORE, "text": text, "is_added": False}
    control_heads(fleet, spoil=spoil)
    caller = StreamCaller(daemon, "carriage returns", N_TOKENS)
    assert not interruptions_during(fleet, caller.finish)
    assert caller.is_complete
    assert caller.tokens[N_BEFORE] == (N_BEFORE, "token")


@pytest.mark.parametrize(
    "body", ["", "no JSON", "[]", "{}", '{"attempt": "x"}', '{"attempt": 1}', "9" * 400]
)
def test_conflict_without_an_attempt_does_not_end_the_stream(fleet, body):
    control_heads(fleet, conflict=body)
    prompt = f"conflict {body[:9]}"
    rows = interruptions_during(
        fleet,
        lambda: StreamCaller(fleet.processes["d0"], prompt, N_TOKENS).check_complete(),
    )
    # Both heads may send it.
    assert {row["end"] for row in rows} == {"failed"}
    assert "Traceback" not in log_of(fleet)


def test_conflict_with_an_attempt_without_bounds_does_not_end_the_stream(fleet):
    control_heads(fleet, conflict=json.dumps({"attempt": 2**63}))
    daemon = fleet.processes["d0"]
    StreamCaller(daemon, "highest attempt", N_TOKENS).check_complete()
    assert "Traceback" not in log_of(fleet)
