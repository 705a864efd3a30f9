"""Settings: flags, variables, findings and the generated reference."""

from pathlib import Path

import pytest

from cassiaspread_core.base import FindingsError
from cassiaspread_daemon._settings import OPTIONS, Address, read_settings
from cassiaspread_daemon.settings_reference import render_reference

ROOT = Path(__file__).resolve().parents[3]
VALID = {
    "--vm": "vm-1",
    "--domain": "celje",
    "--listen": "127.0.0.1:8080",
    "--peer-listen": "127.0.0.1:8081",
    "--log": "127.0.0.1:9000",
    "--vm-list": "127.0.0.1:9001",
}


def to_argv(flags):
    return [f"{flag}={value}" for flag, value in flags.items()]


def read_findings(flags, environment):
    with pytest.raises(FindingsError) as caught:
        read_settings(to_argv(flags), environment)
    return caught.value.findings


def test_flag_takes_precedence_over_variable():
    environment = {"CASSIASPREAD_DOMAIN": "zalec", "CASSIASPREAD_REGION": "si"}
    settings = read_settings(to_argv(VALID), environment)
    assert (settings.domain, settings.region) == ("celje", "si")
    assert settings.listen == Address("127.0.0.1", 8080)


def test_all_missing_settings_are_reported_together():
    required = {option.flag for option in OPTIONS if option.default is None}
    findings = read_findings({}, {})
    assert {finding.place.split()[0] for finding in findings} == required


@pytest.mark.parametrize(
    ("flag", "value"),
    [
        ("--listen", "8080"),
        ("--listen", "127.0.0.1:http"),
        ("--log", "127.0.0.1:70000"),
        ("--seeds", "127.0.0.1:1,x"),
        ("--log-format", "xml"),
        ("--poll-interval-ms", "-1"),
        ("--vm", ""),
    ],
)
def test_bad_value_names_its_flag(flag, value):
    (finding,) = read_findings(VALID | {flag: value}, {})
    assert finding.place == flag


def test_bad_variable_names_the_variable():
    (finding,) = read_findings(VALID, {"CASSIASPREAD_N_EVENTS": "many"})
    assert finding.place == "CASSIASPREAD_N_EVENTS"


def test_reference_is_current():
    page = (ROOT / "docs/operators/settings.md").read_text()
    assert page == render_reference(), "run `make docs`"
