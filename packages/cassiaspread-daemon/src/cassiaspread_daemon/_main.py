"""Entry point of ``cassiaspreadd``."""

import asyncio
import os
import random
import signal
import sys

from absl import logging
from cassiaspread_core.base import FindingsError
from tornado.httpserver import HTTPServer

from cassiaspread_daemon._logs import configure_logs
from cassiaspread_daemon._node import Node
from cassiaspread_daemon._settings import (
    EXIT_BAD_SETTINGS,
    Settings,
    read_settings,
)
from cassiaspread_daemon.handlers import build_application

BALANCER_LAG_S = 1.0

# Beyond these the connection is closed; smaller excess gets a 4xx answer.
MAX_READ_HEADER_BYTES = 1_048_576
MAX_READ_BODY_BYTES = 1_073_741_824


async def serve(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then finish what is in progress.

    :param settings: checked settings.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with Node(settings, random.Random()) as node:
        server = HTTPServer(
            build_application(node),
            max_header_size=MAX_READ_HEADER_BYTES,
            max_body_size=MAX_READ_BODY_BYTES,
        )
        server.listen(settings.listen.port, settings.listen.host)
        logging.info("listening on %s", settings.listen)
        await stop.wait()
        node.leave()
        await asyncio.sleep(BALANCER_LAG_S)
        await node.drain()
        server.stop()
        await node.claims.settle()
        await server.close_all_connections()


def main() -> None:
    """Read the settings and serve; exit 2 when a setting is bad."""
    try:
        settings = read_settings(sys.argv[1:], os.environ)
    except FindingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    configure_logs(settings.log_format, settings.vm)
    asyncio.run(serve(settings))
