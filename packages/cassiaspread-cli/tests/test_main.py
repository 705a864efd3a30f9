"""Tests of the options, errors and exit statuses of the command line."""

import io
import json
import threading
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

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
    (["policy", "history", *OPTIONS, "--log", "[::1"], 1, "Check --log"),
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


@contextmanager
def serve(body, status=200):
    """Answer each request on a port of its own with one body."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    with ThreadingHTTPServer(("127.0.0.1", 0), Handler) as server:
        threading.Thread(target=server.serve_forever).start()
        yield f"127.0.0.1:{server.server_port}"
        server.shutdown()


NESTED = b"[" * 100_000 + b"]" * 100_000
RECORD = b'{"offset":%d,"time_s":1.0,"value":"YQ=="}'
ODD_ANSWERS = [
    b'{"earliest":0,"end":0,"records":[],"extra":' + NESTED + b"}",
    b'{"earliest":0,"end":1' + b"0" * 30 + b',"records":[]}',
    b'{"earliest":-1,"end":0,"records":[]}',
    b'{"earliest":0,"end":9,"records":[' + RECORD % 2 + b"," + RECORD % 1 + b"]}",
    b'{"earliest":0,"end":1,"records":[' + RECORD % 5 + b"]}",
    b"\xff",
]


@pytest.mark.parametrize("body", ODD_ANSWERS, ids=range(len(ODD_ANSWERS)))
def test_odd_answer_of_the_log_is_an_error_and_no_traceback(run, body):
    with serve(body) as address:
        argv = ["policy", "history", *OPTIONS, "--log", address]
        status, out, err = run(*argv)
    assert (status, out) == (1, "")
    assert "Check --log" in err


def test_refused_offset_that_the_log_still_has_is_an_error_and_no_endless_loop(run):
    with serve(b'{"earliest":0,"end":0,"records":[]}', 410) as address:
        status, _, err = run("policy", "history", *OPTIONS, "--log", address)
    assert status == 1
    assert "offset 0 is refused" in err


@pytest.mark.parametrize("status", [200, 400, 500])
def test_odd_answer_of_a_daemon_is_an_error_and_no_traceback(run, status):
    nested = b'{"detail":"d","extra":' + NESTED + b"}"
    with serve(nested, status) as address:
        argv = ["targets", *OPTIONS, "--daemons", address]
        code, out, err = run(*argv)
    assert (code, out) == (1, "")
    assert "no daemon answered" in err


@pytest.mark.parametrize(
    "text",
    [
        "x = " + "[" * 100_000 + "]" * 100_000,
        "[limits]\nmax_tokens = 1" + "0" * 5000,
        "[limits]\nmax_tokens = 1" + "0" * 40,
        "[limits]\nslot_ratio = inf",
        "[models.m]\nn_layers = 9007199254740992",
    ],
    ids=range(5),
)
def test_odd_number_or_nesting_in_a_policy_file_is_a_finding(run, tmp_path, text):
    file = tmp_path / "policy.toml"
    file.write_text(text)
    status, _, err = run("policy", "check", str(file))
    assert status == 2
    assert str(file) in err
    assert len(err) < 2000
