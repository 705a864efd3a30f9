"""Runs a gateway of a build that cannot decode documents with a field ``newer``.

Its value says how decoding fails: ``checked``, or with an unexpected error.
"""

import runpy

from cassiaspread_core.base import MalformedDocument
from cassiaspread_platform import _configuration

decode = _configuration.decode_configuration


def decode_older(data):
    if b'"newer": "checked"' in data:
        raise MalformedDocument("newer")
    if b'"newer"' in data:
        raise KeyError("newer")
    return decode(data)


if __name__ == "__main__":
    _configuration.decode_configuration = decode_older
    runpy.run_module("cassiaspread_platform", run_name="__main__", alter_sys=True)
