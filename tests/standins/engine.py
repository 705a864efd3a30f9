"""Stand-in for an engine that holds a range of layers of a model.

The head of a plan opens a link to the next stage, which opens one to the stage after
it, and so on. A link carries JSON lines. Each step passes down the chain, and the token
of the tail is returned up the chain. A stage rejects attempts lower than the highest
that it has received, and steps for which its KV cache does not hold exactly the
preceding positions.

The head continues for ``UNREAD_TIMEOUT_S`` without a reader. It keeps the tokens and
sends them again to a reader that resumes the stream with a higher attempt.

Each step is written to the history: request, attempt, position and layers. A second
history, ``NAME-notes``, records restored caches, cancelled requests and the tokens
that the head sent, with the attempt that computed them. ``POST /control`` sets fields
of the engine such as ``step_ms``, ``state`` and ``crash_on`` (a text in the prompt
that ends the process, as a crash of the engine would). ``spoil`` (``position``,
``text``, ``is_added``) makes the head send a text once before the event of a position,
or in its place; ``{attempt}``, ``{last_position}`` and so on stand for its numbers.
``conflict`` is the body of an answer 409 to the next order.
"""

import asyncio
import json

from tornado.iostream import StreamClosedError

from tests.standins._server import JsonHandler, parser, serve
from tests.standins._stage import KvCache, StageError, StageRunner, expected_token

__all__ = ["expected_token"]
UNREAD_TIMEOUT_S = 10.0


class HeadRun:
    """Runs a request for which this engine is the head, with or without a reader."""

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

    def notify_readers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def finish(self, **event: object) -> None:
        if self.end is None:
            self.end = event
        self.notify_readers()

    def supersede(self, attempt: int) -> None:
        self.order = self.order | {"attempt": attempt}
        self.notify_readers()

    def cancel(self) -> None:
        self.task.cancel()
        self.engine.set_phase(self.order, "ended")
        self.finish(error="cancelled", engine=self.engine.name)

    def remove_reader(self) -> None:
        self.n_readers -= 1
        asyncio.get_running_loop().call_later(UNREAD_TIMEOUT_S, self.cancel_if_unread)

    def cancel_if_unread(self) -> None:
        if self.n_readers == 0:
            self.cancel()

    async def run(self) -> None:
        next_link = None
        self.engine.n_running += 1
        try:
            next_link = await self.engine.open_next_link(self.order)
            for position in range(len(self.tokens), self.order["max_tokens"]):
                order = self.order
                reply = await self.engine.advance(order, position, next_link)
                self.tokens.append((order["attempt"], reply["text"]))
                self.notify_readers()
            self.finish(finish_reason="length")
        except StageError as error:
            self.finish(**error.event())
        finally:
            self.engine.set_phase(self.order, "ended")
            self.engine.n_running -= 1
            if next_link is not None:
                next_link.close()

    async def events(self, attempt: int, position: int):
        """Yield the events for a reader until a higher attempt supersedes it."""
        while self.attempt == attempt:
            changed = self.changed
            while position < len(self.tokens):
                ran_attempt, text = self.tokens[position]
                sent = {"attempt": attempt, "position": position}
                fields = {"request": self.order["request"], "ran": ran_attempt}
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
        self.spoil: dict | None = None
        self.conflict: str | None = None

    def spoil_event(self, event: dict, text: str) -> str:
        spoil = self.spoil
        if spoil is None or event.get("position") != spoil["position"]:
            return text
        self.spoil = None
        numbers = {"attempt": event["attempt"], "position": event["position"]}
        numbers |= {f"next_{name}": n + 1 for name, n in numbers.items()}
        numbers |= {"last_attempt": event["attempt"] - 1}
        numbers |= {"last_position": event["position"] - 1}
        spoiled = spoil["text"]
        for name, number in numbers.items():
            spoiled = spoiled.replace(f"{{{name}}}", str(number))
        return spoiled + text * spoil["is_added"]

    def start_run(self, order: dict) -> HeadRun:
        previous = self.runs.pop(order["request"], None)
        if previous is not None:
            previous.supersede(order["attempt"])
            previous.cancel()
        run = self.runs[order["request"]] = HeadRun(self, order)
        return run

    def highest_attempt(self, request: str) -> int:
        run = self.runs.get(request)
        cache = self.caches.get(request, KvCache())
        return max(cache.attempt, run.attempt if run else 0)

    def request_state(self, request: str) -> dict:
        cache, run = self.caches.get(request, KvCache()), self.runs.get(request)
        return {
            "attempt": self.highest_attempt(request),
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
        conflict, self.standin.conflict = self.standin.conflict, None
        if conflict is not None:
            self.set_status(409)
            self.finish(conflict)
            return
        highest_seen = self.standin.highest_attempt(request)
        run = self.standin.runs.get(request)
        if attempt <= highest_seen:
            self.reply({"attempt": highest_seen}, 409)
            return
        if "plan" not in order and run is None:
            self.reply({"attempt": highest_seen}, 404)
            return
        if "plan" in order:
            self.standin.cache(request, attempt)
            run = self.standin.start_run(order)
        else:
            run.supersede(attempt)
        await self.send(run, attempt, order["start"])

    async def send(self, run: HeadRun, attempt: int, position: int) -> None:
        if self.cut():
            return
        self.set_header("Content-Type", "text/event-stream")
        run.n_readers += 1
        try:
            await self.flush()
            async for event in run.events(attempt, position):
                text = "data: " + json.dumps(event) + "\n\n"
                self.write(self.standin.spoil_event(event, text))
                await self.flush()
        except StreamClosedError:
            return
        finally:
            run.remove_reader()


class CancelHandler(JsonHandler):
    standin: Engine

    def post(self) -> None:
        body = self.body()
        highest_seen = self.standin.highest_attempt(body["request"])
        if body["attempt"] < highest_seen:
            self.reply({"attempt": highest_seen}, 409)
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
        is_covered = length >= int(self.get_query_argument("position"))
        self.reply({"n_positions": length}, 200 if is_covered else 404)


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
        engine.serve_link, "127.0.0.1", arguments.link_port, limit=2**24
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
    p.add_argument(
        "--advertise", help="address in status reports, such as that of a proxy"
    )
    p.add_argument("--advertise-link")
    p.add_argument("--accelerator", default="a")
    p.add_argument("--step-ms", type=float, default=1.0)
    p.add_argument("--prefill-ms", type=float, default=0.1)
    p.add_argument("--n-slots", type=int, default=8)
    asyncio.run(run(p.parse_args()))


if __name__ == "__main__":
    main()
