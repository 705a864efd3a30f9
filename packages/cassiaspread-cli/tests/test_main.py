"""Tests of the options, errors and exit statuses of the command line."""

import io
import json

import pytest

from cassiaspread_cli import main
from cassiaspread_cli._context import read_context
from cassiaspread_cli._main import build_parser

UNREACHABLE = "127.0.0.1:9"
OPTIONS = [
    "--daemons",
    UNREACHABLE,
    "--log",
    UNREACHABLE,
    "--token",
    "t",
    "--timeout-s",
    "0.2",
]


@pytest.fixture
def run(capsys, monkeypatch):
    for name in ("DAEMONS", "LOG", "OPERATOR_TOKEN"):
        monkeypatch.delenv(f"CASSIASPREAD_{name}", raising=False)

    def run(*argv):
        with pytest.raises(SystemExit) as raised:
            main(argv)
        return raised.value.code, *capsys.readouterr()

    return run


def test_flags_override_variables_before_and_after_the_command():
    parser = build_parser()
    environment = {"CASSIASPREAD_DAEMONS": "a:1, b:2,", "CASSIASPREAD_LOG": "c:3"}
    before = parser.parse_args(["--log", "d:4", "--json", "status"])
    after = parser.parse_args(["status", "--log", "d:4", "--json"])
    for arguments in (before, after):
        context = read_context(arguments, environment)
        assert context.daemons == ("a:1", "b:2")
        assert (context.log, context.is_json, context.token) == ("d:4", True, "")


FAILURES = [
    (["status"], 2, "CASSIASPREAD_DAEMONS"),
    (["status", "--daemons", UNREACHABLE], 2, "CASSIASPREAD_OPERATOR_TOKEN"),
    (["policy", "diff", "FILE"], 2, "CASSIASPREAD_LOG"),
    (["policy", "check", "missing.toml"], 2, "missing.toml can't be read"),
    (["policy", "show", *OPTIONS], 1, "no daemon answered"),
    (["policy", "history", *OPTIONS], 1, "Check --log"),
    (["policy", "apply", "FILE", *OPTIONS], 1, "Nothing was published"),
    (["targets", *OPTIONS], 1, "Connection refused"),
    (["timeline", *OPTIONS], 1, "Check --daemons"),
]


@pytest.mark.parametrize(("argv", "status", "message"), FAILURES)
@pytest.mark.parametrize("is_json", [False, True])
def test_errors_include_advice(run, tmp_path, argv, status, message, is_json):
    path = tmp_path / "a.toml"
    path.write_text("[models.draft]\nn_layers = 8\n")
    argv = [str(path) if part == "FILE" else part for part in argv]
    actual, output, errors = run(*argv, *(["--json"] if is_json else []))
    assert actual == status
    assert message in (output if is_json else errors)
    if is_json:
        assert json.loads(output)["exit_status"] == status


def test_all_errors_in_a_file_are_printed(run, tmp_path):
    path = tmp_path / "a.toml"
    path.write_text("[models.draft]\nlayers = 8\n[fleet]\n")
    status, _, errors = run("policy", "check", str(path))
    assert status == 2
    assert errors.count(f"{path}: ") == 3


@pytest.mark.parametrize(
    ("text", "status", "output"),
    [("abc\n", 0, "ba7816bf"), ("", 2, ""), ("two words", 2, "")],
)
def test_token_is_hashed_and_never_printed(run, monkeypatch, text, status, output):
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    actual, printed, errors = run("hash-token")
    assert (actual, printed[:8]) == (status, output)
    assert "abc" not in errors
    assert "two" not in printed + errors
