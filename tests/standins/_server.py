"""Flags, history file and HTTP server that the stand-ins share.

``POST /control`` sets ``second``, bytes that follow each answer on its connection, at
once and again after ``SECOND_AFTER_S``, and ``cut_head``, bytes after which services
and streams of engines close the connection instead of answering.
"""

import argparse
import asyncio
import json
import signal
from pathlib import Path

from tornado.web import Application, RequestHandler

SECOND_AFTER_S = 0.03


class History:
    """JSON lines file, flushed after each line so that a killed process loses none."""

    def __init__(self, path: str | None) -> None:
        self._file = Path(path).open("a", buffering=1) if path else None  # noqa: SIM115

    def write(self, **fields: object) -> None:
        if self._file is not None:
            self._file.write(json.dumps(fields) + "\n")


class JsonHandler(RequestHandler):
    def initialize(self, standin) -> None:
        self.standin = standin

    def prepare(self) -> None:
        if getattr(self.standin, "second", None):
            # The connection stays open for it, although the other end wants none.
            self.request.connection._disconnect_on_finish = False

    def on_finish(self) -> None:
        second = getattr(self.standin, "second", None)
        if not second:
            return
        stream = self.request.connection.stream

        def write() -> None:
            if not stream.closed():
                stream.write(second.encode())

        write()
        asyncio.get_running_loop().call_later(SECOND_AFTER_S, write)

    def body(self) -> dict:
        return json.loads(self.request.body)

    def cut(self) -> bool:
        """Break off the answer inside its head; return whether that was asked for."""
        text = getattr(self.standin, "cut_head", None)
        if not text:
            return False
        stream = self.detach()
        stream.write(text.encode())
        stream.close()
        return True

    def reply(self, value: object, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


def parser() -> argparse.ArgumentParser:
    result = argparse.ArgumentParser()
    result.add_argument("--port", type=int, required=True)
    result.add_argument("--name", required=True)
    result.add_argument("--history")
    return result


async def serve(routes, standin, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    application = Application([(path, h, {"standin": standin}) for path, h in routes])
    server = application.listen(port, "127.0.0.1")
    await stop.wait()
    server.stop()
