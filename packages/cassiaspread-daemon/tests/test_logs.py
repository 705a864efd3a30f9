"""Log lines in JSON."""

import json
import logging
import sys

from cassiaspread_daemon._logs import JsonFormatter


def test_line_is_one_json_object_with_its_exception():
    try:
        raise ValueError("planned\nfault")
    except ValueError:
        record = logging.LogRecord(
            "n", logging.ERROR, "m.py", 1, "lost %s", ("e1",), sys.exc_info()
        )
    line = JsonFormatter("d1").format(record)
    fields = json.loads(line)
    assert "\n" not in line
    assert (fields["process"], fields["message"]) == ("d1", "lost e1")
    assert "ValueError" in fields["exception"]
