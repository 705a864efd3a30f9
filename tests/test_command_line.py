"""The operators' command line with real daemons."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from uuid6 import uuid7

from tests.fleet import Fleet, bearer, request, wait_for

PROGRAM = str(Path(sys.executable).parent / "cassiaspread")
CALLER = bearer("osorno-token")
UNUSED_ADDRESS = "127.0.0.1:9"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.publish_base_configuration()
        fleet.start_service("booking-1", "cautin")
        fleet.start_engine("e1", "cautin", 0, 8)
        for index in range(2):
            fleet.wait_ready(fleet.start_daemon(f"d{index}", "cautin"))
        wait_for(lambda: "alive" in run(fleet, "members")[1])
        yield fleet


def run(fleet, *argv, daemons=("d0", "d1"), token="operator-token"):
    addresses = ",".join(
        fleet.processes[d].address if d else UNUSED_ADDRESS for d in daemons
    )
    options = ["--daemons", addresses, "--log", fleet.log.address, "--token", token]
    completed = subprocess.run(
        [PROGRAM, *options, *argv], capture_output=True, text=True, timeout=30
    )
    return completed.returncode, completed.stdout, completed.stderr


@pytest.mark.parametrize(
    ("argv", "expected"),
    [
        (["status"], "ready"),
        (["targets"], "e1"),
        (["members"], "alive"),
        (["quarantine", "list"], "fingerprint"),
        (["policy", "show"], "draft"),
        (["timeline"], "policy.accepted"),
    ],
)
def test_command_works_when_a_daemon_is_unreachable(fleet, argv, expected):
    status, output, errors = run(fleet, *argv, daemons=("d0", ""))
    assert expected in output
    assert (status == 5) == (UNUSED_ADDRESS in errors)


@pytest.mark.parametrize("argv", [["status"], ["drain", "e1"], ["key", "osorno", "x"]])
def test_token_of_an_organisation_is_rejected(fleet, argv):
    status, output, errors = run(fleet, *argv, token="osorno-token")
    assert (status, output) == (1, "")
    assert "no operator's" in errors
    assert "osorno-token" not in errors


def test_key_shows_the_outcome_of_a_booking(fleet):
    key = str(uuid7())
    headers = CALLER | {"Idempotency-Key": key}
    path = "/v1/services/booking/slots"
    address = fleet.processes["d0"].address
    wait_for(lambda: request("POST", address, path, b"{}", headers)[0] == 200)
    wait_for(lambda: "answered" in run(fleet, "key", "osorno", key)[1])
    status, output, _ = run(fleet, "--json", "key", "savinja", key)
    assert (status, json.loads(output)["value"]["state"]) == (0, "free")
    assert run(fleet, "key", "osorno", "no-key")[0] == 2


def test_drain_reaches_all_daemons(fleet):
    assert run(fleet, "drain", "unknown")[0] == 2
    fleet.start_engine("e2", "cautin", 0, 8)
    wait_for(lambda: "e2" in usable(fleet, "d0") & usable(fleet, "d1"))
    status, output, _ = run(fleet, "drain", "e2")
    assert (status, output.split()[0]) == (0, "e2")
    wait_for(lambda: "e2" not in usable(fleet, "d0") | usable(fleet, "d1"))


def usable(fleet, daemon):
    answer = request(
        "GET",
        fleet.processes[daemon].address,
        "/operators/targets",
        headers=bearer("operator-token"),
    )
    return {t["target"] for t in json.loads(answer[2]) if t["is_usable"]}


def test_release_of_an_unknown_fingerprint_is_refused(fleet):
    status, _, errors = run(fleet, "quarantine", "release", "none")
    assert status == 2
    assert "not under suspicion" in errors


def test_timeline_page_is_written(fleet, tmp_path):
    page = tmp_path / "page.html"
    assert run(fleet, "timeline", "--html", str(page))[0] == 0
    assert "policy.accepted" in page.read_text()
    assert run(fleet, "timeline", "--html", str(tmp_path / "no" / "x"))[0] == 2
