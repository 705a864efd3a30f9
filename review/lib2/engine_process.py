"""An engine stand-in of its own process, which a case can kill.

Each of its answers is a stream; one in ``--unframed-every`` has no length and no chunks
and ends with its connection. It prints one JSON line for each run.
"""

import argparse
import asyncio
import json
import sys

from wire import Answer, Engine, Message, Run


class UnframedEngine(Engine):
    """Engine some of whose streams have neither a length nor chunks.

    :param every: one stream in so many is such a one; 0 for none.
    :param arguments: those of :class:`Engine`.
    """

    def __init__(self, every: int, *arguments: object) -> None:
        super().__init__(*arguments)
        self._every = every
        self._n_streams = 0

    async def _send_events(
        self,
        writer: asyncio.StreamWriter,
        first: bytes,
        headers: dict[str, str],
        answer: Answer,
    ) -> None:
        self._n_streams += 1
        if not self._every or self._n_streams % self._every:
            await super()._send_events(writer, first, headers, answer)
            return
        del headers["Keep-Alive"]
        headers |= {"Content-Type": "text/event-stream", "Connection": "close"}
        lines = [first] + [f"{n}: {v}".encode() for n, v in headers.items()]
        writer.write(b"\r\n".join([*lines, b"", b""]))
        for n in range(1, answer.n_events + 1):
            writer.write(b"id: %d\ndata: token %d\n\n" % (n, n))
            await writer.drain()
            await asyncio.sleep(answer.event_s)
        writer.close()


class PrintedRuns(list[Run]):
    """Runs that are printed as they begin."""

    def append(self, run: Run) -> None:
        """Add a run.

        :param run: the run.
        """
        super().append(run)
        line = {"id": run.request_id, "engine": run.engine, "at_s": run.at_s}
        print(json.dumps(line), flush=True)


async def serve() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--n-events", type=int, required=True)
    parser.add_argument("--event-s", type=float, required=True)
    parser.add_argument("--unframed-every", type=int, default=0)
    options = parser.parse_args()

    def decide(message: Message) -> Answer:
        return Answer(n_events=options.n_events, event_s=options.event_s)

    engine = UnframedEngine(
        options.unframed_every,
        options.name,
        options.service,
        options.zone,
        PrintedRuns(),
        decide,
    )
    await engine.start()
    print(json.dumps({"port": engine.port, "born": engine.born}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    sys.exit(asyncio.run(serve()))
