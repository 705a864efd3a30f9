"""An engine that holds a range of layers of a model.

The head of a plan opens a link to the next stage, which opens one to its next, and
so on; a link carries one JSON object a line. Each token passes down the chain, and
the tail's token comes back up. A stage refuses attempts lower than it has seen, and
steps for which its KV cache does not hold exactly the positions before.

The head goes on without a reader for a while, keeps the tokens, and hands them out
again to whoever resumes the stream under a higher attempt.

Each step is written to the history: request, attempt, position and layers. A second
history, ``NAME-notes``, tells of restored caches, cancelled requests and what the head
sent, with the attempt that ran it. ``POST /control`` sets fields
of the engine such as ``step_ms``, ``state`` and ``crash_on`` (a text in the prompt
that ends the process, as a fault of the engine would).
"""

import asyncio
import json

from tornado.iostream import StreamClosedError

from tests.standins._server import JsonHandler, parser, serve
from tests.standins._stage import KvCache, StageError, StageRunner, expected_token

__all__ = ["expected_token"]
LINGER_S = 10.0


class HeadRun:
    """A request of which this engine is the head; runs without a reader too."""

    def __init__(self, engine: StageRunner, order: dict) -> None:
        self.engine, self.order = engine, order
        self.tokens = [(0, text) for text in order["prefix"]]
        self.end: dict | None = None
        self.n_readers = 0
        self.changed = asyncio.Event()
        self.task = asyncio.create_task(self.run())

    @property
    def attempt(self) -> int:
        return self.order["attempt"]

    def note(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def finish(self, **event: object) -> None:
        if self.end is None:
            self.end = event
        self.note()

    def supersede(self, attempt: int) -> None:
        self.order = self.order | {"attempt": attempt}
        self.note()

    def cancel(self) -> None:
        self.task.cancel()
        self.engine.set_phase(self.order, "ended")
        self.finish(error="cancelled", engine=self.engine.name)

    def close_reader(self) -> None:
        self.n_readers -= 1
        asyncio.get_running_loop().call_later(LINGER_S, self.cancel_unread)

    def cancel_unread(self) -> None:
        if self.n_readers == 0:
            self.cancel()

    async def run(self) -> None:
        following = None
        self.engine.n_running += 1
        try:
            following = await self.engine.open_following(self.order)
            for position in range(len(self.tokens), self.order["max_tokens"]):
                order = self.order
                reply = await self.engine.advance(order, position, following)
                self.tokens.append((order["attempt"], reply["text"]))
                self.note()
            self.finish(finish_reason="length")
        except StageError as error:
            self.finish(**error.event())
        finally:
            self.engine.set_phase(self.order, "ended")
            self.engine.n_running -= 1
            if following is not None:
                following.close()

    async def events(self, attempt: int, position: int):
        """Yield the events for a reader until another one takes over."""
        while self.attempt == attempt:
            changed = self.changed
            while position < len(self.tokens):
                ran, text = self.tokens[position]
                sent = {"attempt": attempt, "position": position}
                fields = {"request": self.order["request"], "ran": ran}
                self.engine.notes.write(sent=True, **fields, **sent)
                yield sent | {"text": text}
                position += 1
            if self.end is not None:
                yield {"attempt": attempt, "position": position} | self.end
                return
            await changed.wait()
        yield {"error": "superseded", "attempt": self.attempt}


class Engine(StageRunner):
    def __init__(self, arguments) -> None:
        super().__init__(arguments)
        self.runs: dict[str, HeadRun] = {}

    def begin(self, order: dict) -> HeadRun:
        former = self.runs.pop(order["request"], None)
        if former is not None:
            former.supersede(order["attempt"])
            former.cancel()
        run = self.runs[order["request"]] = HeadRun(self, order)
        return run

    def seen_attempt(self, request: str) -> int:
        run = self.runs.get(request)
        cache = self.caches.get(request, KvCache())
        return max(cache.attempt, run.attempt if run else 0)

    def request_state(self, request: str) -> dict:
        cache, run = self.caches.get(request, KvCache()), self.runs.get(request)
        return {
            "attempt": self.seen_attempt(request),
            "n_positions": cache.length,
            "phase": cache.phase,
            "n_tokens": len(run.tokens) if run else 0,
            "plan": run.order["plan"] if run else [],
            "fingerprint": run.order["fingerprint"] if run else "",
        }


class StreamHandler(JsonHandler):
    standin: Engine

    async def post(self) -> None:
        order = self.body()
        request, attempt = order["request"], order["attempt"]
        seen = self.standin.seen_attempt(request)
        run = self.standin.runs.get(request)
        if attempt <= seen:
            self.reply({"attempt": seen}, 409)
            return
        if "plan" not in order and run is None:
            self.reply({"attempt": seen}, 404)
            return
        if "plan" in order:
            self.standin.cache(request, attempt)
            run = self.standin.begin(order)
        else:
            run.supersede(attempt)
        await self.send(run, attempt, order["start"])

    async def send(self, run: HeadRun, attempt: int, position: int) -> None:
        self.set_header("Content-Type", "text/event-stream")
        run.n_readers += 1
        try:
            await self.flush()
            async for event in run.events(attempt, position):
                self.write(b"data: " + json.dumps(event).encode() + b"\n\n")
                await self.flush()
        except StreamClosedError:
            return
        finally:
            run.close_reader()


class CancelHandler(JsonHandler):
    standin: Engine

    def post(self) -> None:
        body = self.body()
        seen = self.standin.seen_attempt(body["request"])
        if body["attempt"] < seen:
            self.reply({"attempt": seen}, 409)
            return
        self.standin.cache(body["request"], body["attempt"])
        run = self.standin.runs.get(body["request"])
        if run is not None:
            run.cancel()
        self.standin.notes.write(cancelled=body["request"])
        self.reply({})


class RequestStateHandler(JsonHandler):
    def get(self, request: str) -> None:
        self.reply(self.standin.request_state(request))


class KvHandler(JsonHandler):
    def get(self, request: str) -> None:
        length = self.standin.caches.get(request, KvCache()).length
        is_held = length >= int(self.get_query_argument("position"))
        self.reply({"n_positions": length}, 200 if is_held else 404)


class StatusHandler(JsonHandler):
    def get(self) -> None:
        self.reply(self.standin.report())


class ControlHandler(JsonHandler):
    def post(self) -> None:
        for name, value in self.body().items():
            setattr(self.standin, name, value)
        self.reply({})


async def run(arguments) -> None:
    engine = Engine(arguments)
    await asyncio.start_server(
        engine.run_link, "127.0.0.1", arguments.link_port, limit=2**24
    )
    routes = [
        (r"/engine/(?:generate|resume)", StreamHandler),
        (r"/engine/cancel", CancelHandler),
        (r"/engine/requests/([^/]+)", RequestStateHandler),
        (r"/engine/kv/([^/]+)", KvHandler),
        (r"/engine/status", StatusHandler),
        (r"/control", ControlHandler),
    ]
    await serve(routes, engine, arguments.port)


def main() -> None:
    p = parser()
    p.add_argument("--domain", required=True)
    p.add_argument("--model", required=True)
    p.add_argument("--begin", type=int, required=True)
    p.add_argument("--end", type=int, required=True)
    p.add_argument("--link-port", type=int, required=True)
    p.add_argument("--advertise", help="address in reports, such as a proxy's")
    p.add_argument("--advertise-link")
    p.add_argument("--accelerator", default="a")
    p.add_argument("--step-ms", type=float, default=1.0)
    p.add_argument("--prefill-ms", type=float, default=0.1)
    p.add_argument("--n-slots", type=int, default=8)
    asyncio.run(run(p.parse_args()))


if __name__ == "__main__":
    main()
