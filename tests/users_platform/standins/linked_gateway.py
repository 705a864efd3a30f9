"""Runs one gateway that dials its peers through a stand-in for the link of its VM.

The environment variable ``PEER_LINKS`` contains a JSON object with the ``host:port`` to
dial for each peer's ``host:port``.
"""

import json
import os
import runpy

import pynng


def patch_dial(links):
    """Make request sockets dial ``links[address]`` instead of each address."""
    dial = pynng.Req0.dial

    def dial_link(self, address, **options):
        peer = address.removeprefix("tcp://")
        return dial(self, f"tcp://{links[peer]}", **options)

    pynng.Req0.dial = dial_link


if __name__ == "__main__":
    patch_dial(json.loads(os.environ["PEER_LINKS"]))
    runpy.run_module("cassiaspread_platform", run_name="__main__", alter_sys=True)
