"""Histories that are read while stand-ins write them."""

import multiprocessing

import pytest

from tests.json_lines import decode_lines, decode_log
from tests.standins._server import History

N_LINES = 60_000
# The end of a history is read more often than all of it.
N_TAIL_BYTES = 300


def write_lines(path):
    history = History(path)
    for n in range(N_LINES):
        history.write(n=n, request="r" * 36)


def test_history_is_read_while_a_line_is_being_written(tmp_path):
    path = tmp_path / "engine.history"
    path.touch()
    writer = multiprocessing.get_context("spawn").Process(
        target=write_lines, args=(str(path),)
    )
    writer.start()
    n_before, is_running = 0, True
    while is_running:
        is_running = writer.is_alive()
        with path.open("rb") as file:
            file.seek(-min(path.stat().st_size, N_TAIL_BYTES), 2)
            data = file.read()
        rows = decode_lines(data[data.find(b"{") :])
        if rows:
            n_rows = rows[-1]["n"] + 1
            assert n_rows >= n_before
            n_before = n_rows
    assert n_before == N_LINES


def test_line_that_is_no_record_is_an_error_in_a_history():
    with pytest.raises(ValueError, match="Expecting"):
        decode_lines(b'{"n": 1}\n{"n": \n{"n": 3}\n')


def test_log_holds_other_lines_beside_its_records():
    assert decode_log(b'{"n": 1}\nTraceback:\n{"n": 2}\n{"n"') == [{"n": 1}, {"n": 2}]
