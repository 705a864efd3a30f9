"""Runs one ``cassiaspreadd``."""

import asyncio
import os
import random
import signal
import sys

from absl import logging
from tornado.httpserver import HTTPServer

from cassiaspread_core.base import FindingsError
from cassiaspread_daemon._allocator import return_large_blocks
from cassiaspread_daemon._caller_connections import (
    HEAD_BUFFER_BYTES,
    FollowedApplication,
)
from cassiaspread_daemon._caller_stream import READ_BLOCK_BYTES
from cassiaspread_daemon._listener import Listener
from cassiaspread_daemon._logs import configure_logs
from cassiaspread_daemon._node import MILLISECONDS_PER_SECOND, Node
from cassiaspread_daemon._settings import (
    EXIT_BAD_SETTINGS,
    Settings,
    read_settings,
)
from cassiaspread_daemon.handlers import build_application
from cassiaspread_daemon.reload_signal import ReloadSignal

# Heads above this size close the connection; those that only exceed the configured
# limit get a 4xx response.
MAX_READ_HEADER_BYTES = 131_072
# Tornado's own bound, which would answer without a reason; the handlers have theirs.
MAX_READ_BODY_BYTES = 2**63


async def serve(settings: Settings, reload_signal: ReloadSignal) -> None:
    """Run a daemon until SIGTERM or SIGINT, then shut it down gracefully.

    :param settings: validated settings.
    :param reload_signal: SIGHUP of this process.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    with reload_signal.passed_to(lambda: loop.call_soon_threadsafe(_handle_reload)):
        await _serve_until(stop, settings)


async def _serve_until(stop: asyncio.Event, settings: Settings) -> None:
    async with Node(settings, random.Random()) as node:
        server = HTTPServer(
            FollowedApplication(build_application(node), node.callers),
            chunk_size=READ_BLOCK_BYTES,
            max_header_size=MAX_READ_HEADER_BYTES,
            max_body_size=MAX_READ_BODY_BYTES,
        )
        with Listener(
            server, *settings.listen, HEAD_BUFFER_BYTES, node.callers.count_free
        ) as listener:
            logging.info("listening on %s", settings.listen)
            await stop.wait()
            await shut_down(node, listener)
        await server.close_all_connections()


async def shut_down(node: Node, listener: Listener) -> None:
    """Leave the mesh, drain the requests in progress and settle pending work.

    :param node: the daemon.
    :param listener: its listening sockets.
    """
    node.leave()
    listener.announce_close()
    await asyncio.sleep(node.settings.balancer_lag_ms / MILLISECONDS_PER_SECOND)
    listener.stop()
    await node.drain()
    await node.settle()
    logging.info("shutdown complete")


def _handle_reload() -> None:
    logging.info("SIGHUP: settings are only read at the start, nothing changes")


def run(reload_signal: ReloadSignal) -> None:
    """Read the settings and run the daemon; exit with status 2 if one is invalid.

    :param reload_signal: SIGHUP of this process.
    """
    try:
        settings = read_settings(sys.argv[1:], os.environ)
    except FindingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    configure_logs(settings.log_format, settings.vm)
    return_large_blocks()
    asyncio.run(serve(settings, reload_signal))
