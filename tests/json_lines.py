"""Reading of JSON lines that another process may be writing."""

import json


def complete_lines(data: bytes) -> list[bytes]:
    r"""Return the lines of a file that have an end.

    A reader sees the beginning of a line whose writer has come to the end of a page.

    :param data: what was read, from the beginning of a line.

    >>> complete_lines(b'{"n": 1}\n{"n": 2')
    [b'{"n": 1}']
    """
    return data[: data.rfind(b"\n") + 1].splitlines()


def decode_lines(data: bytes) -> list[dict]:
    """Decode the records of a file, each of which has to be sound.

    :param data: what was read, from the beginning of a line.
    """
    return list(map(json.loads, complete_lines(data)))


def decode_log(data: bytes) -> list[dict]:
    """Decode the records of a log, which may also hold other lines.

    :param data: what was read, from the beginning of a line.
    """
    lines = complete_lines(data)
    return [json.loads(line) for line in lines if line.startswith(b"{")]
