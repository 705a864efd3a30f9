"""An engine that holds a range of layers of a model.

The head of a plan opens a link to the next stage, which opens one to its next, and
so on; a link carries one JSON object a line. Each token passes down the chain, and
the tail's token comes back up. A stage refuses attempts lower than it has seen, and
steps for which its KV cache does not hold exactly the positions before.

Each step is written to the history: request, attempt, position and layers.
``POST /control`` sets ``step_ms``, ``state`` and ``crash_on`` (a text in the prompt
that ends the process, as a fault of the engine would).
"""

import asyncio
import contextlib
import json
import os
import uuid
from dataclasses import dataclass

import xxhash
from tornado.iostream import StreamClosedError

from tests.standins._server import History, JsonHandler, parser, serve

WORDS = [
    "cut",
    "loin",
    "rack",
    "shank",
    "rib",
    "brisket",
    "chuck",
    "flank",
    "round",
    "plate",
    "hip",
    "neck",
]
KEPT_REQUESTS = 10_000


def expected_token(prompt: str, position: int) -> str:
    digest = xxhash.xxh3_64_intdigest(f"{prompt}\n{position}".encode())
    return f"{WORDS[digest % len(WORDS)]}{position} "


class StageError(Exception):
    """Names the reason and the engine at fault."""

    def __init__(self, reason: str, engine: str) -> None:
        super().__init__(reason)
        self.reason = reason
        self.engine = engine


@dataclass
class KvCache:
    """Positions that a stage holds for one request."""

    attempt: int = 0
    length: int = 0


class Link:
    """Connection to the next stage for one request."""

    def __init__(self, reader, writer, engine: str) -> None:
        self.reader, self.writer, self.engine = reader, writer, engine

    @classmethod
    async def open(cls, stage: dict) -> "Link":
        host, port = stage["link"].rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            raise StageError("unreachable", stage["engine"]) from None
        return cls(reader, writer, stage["engine"])

    async def ask(self, message: dict) -> dict:
        try:
            self.writer.write(json.dumps(message).encode() + b"\n")
            await self.writer.drain()
            line = await self.reader.readline()
        except OSError:
            line = b""
        if not line:
            raise StageError("link-lost", self.engine)
        reply = json.loads(line)
        if "error" in reply:
            raise StageError(reply["error"], reply["engine"])
        return reply

    def close(self) -> None:
        self.writer.close()


class Engine:
    def __init__(self, arguments) -> None:
        self.arguments = arguments
        self.name = arguments.name
        self.step_ms = arguments.step_ms
        self.prefill_ms = arguments.prefill_ms
        self.state = "live"
        self.crash_on = ""
        self.incarnation = str(uuid.uuid4())
        self.history = History(arguments.history)
        self.caches: dict[str, KvCache] = {}
        self.n_running = 0

    def report(self) -> dict:
        a = self.arguments
        return {
            "target": a.name,
            "address": a.advertise or f"127.0.0.1:{a.port}",
            "link": a.advertise_link or f"127.0.0.1:{a.link_port}",
            "domain": a.domain,
            "model": a.model,
            "begin": a.begin,
            "end": a.end,
            "accelerator": a.accelerator,
            "step_ms": self.step_ms,
            "n_slots": a.n_slots,
            "n_running": min(self.n_running, a.n_slots),
            "n_queued": max(0, self.n_running - a.n_slots),
            "state": self.state,
            "incarnation": self.incarnation,
        }

    def cache(self, request: str, attempt: int) -> KvCache:
        cache = self.caches.setdefault(request, KvCache())
        if attempt < cache.attempt:
            raise StageError("stale-attempt", self.name)
        cache.attempt = attempt
        if len(self.caches) > KEPT_REQUESTS:
            del self.caches[next(iter(self.caches))]
        return cache

    async def prefill(self, order: dict) -> None:
        """Bring the KV cache to exactly ``start`` positions."""
        if self.crash_on and self.crash_on in order["prompt"]:
            os._exit(70)
        cache = self.cache(order["request"], order["attempt"])
        if cache.length < order["start"] or order["start"] == 0:
            n_tokens = len(order["prompt"].split()) + order["start"]
            await asyncio.sleep(n_tokens * self.prefill_ms / 1000)
        cache.length = order["start"]

    async def step(self, request: str, attempt: int, position: int) -> None:
        cache = self.cache(request, attempt)
        if cache.length != position:
            raise StageError("kv-missing", self.name)
        slowdown = max(1.0, self.n_running / self.arguments.n_slots)
        if self.step_ms:
            await asyncio.sleep(self.step_ms * slowdown / 1000)
        if self.cache(request, attempt).length != position:
            raise StageError("kv-missing", self.name)
        cache.length = position + 1
        self.history.write(
            request=request,
            attempt=attempt,
            position=position,
            begin=self.arguments.begin,
            end=self.arguments.end,
            engine=self.name,
        )

    async def run_link(self, reader, writer) -> None:
        """Serve one request as a stage that is not the head."""
        following: Link | None = None
        counted = False
        try:
            order = json.loads(await reader.readline())
            self.n_running += 1
            counted = True
            try:
                following = await self.open_following(order)
                writer.write(b"{}\n")
                while line := await reader.readline():
                    position = json.loads(line)["position"]
                    reply = await self.advance(order, position, following)
                    writer.write(json.dumps(reply).encode() + b"\n")
                    await writer.drain()
            except StageError as error:
                reply = {"error": error.reason, "engine": error.engine}
                writer.write(json.dumps(reply).encode() + b"\n")
        except (OSError, ValueError):
            pass
        finally:
            self.n_running -= counted
            if following is not None:
                following.close()
            writer.close()

    async def open_following(self, order: dict) -> Link | None:
        await self.prefill(order)
        index = [stage["engine"] for stage in order["plan"]].index(self.name)
        if index + 1 == len(order["plan"]):
            return None
        following = await Link.open(order["plan"][index + 1])
        try:
            await following.ask(order)
        except StageError:
            following.close()
            raise
        return following

    async def advance(self, order: dict, position: int, following) -> dict:
        await self.step(order["request"], order["attempt"], position)
        if following is not None:
            return await following.ask({"position": position})
        return {"text": expected_token(order["prompt"], position)}

    async def tokens(self, order: dict):
        """Yield the events of a request of which this engine is the head."""
        attempt = order["attempt"]
        following = None
        self.n_running += 1
        try:
            following = await self.open_following(order)
            for position in range(order["start"], order["max_tokens"]):
                reply = await self.advance(order, position, following)
                yield {"attempt": attempt, "position": position, "text": reply["text"]}
            yield {
                "attempt": attempt,
                "position": order["max_tokens"],
                "finish_reason": "length",
            }
        except StageError as error:
            yield {"error": error.reason, "engine": error.engine}
        finally:
            self.n_running -= 1
            if following is not None:
                following.close()


class GenerateHandler(JsonHandler):
    standin: Engine

    async def post(self) -> None:
        order = self.body()
        seen = self.standin.caches.get(order["request"], KvCache()).attempt
        if order["attempt"] < seen:
            self.reply({"attempt": seen}, 409)
            return
        self.set_header("Content-Type", "text/event-stream")
        await self.flush()
        try:
            async for event in self.standin.tokens(order):
                self.write(b"data: " + json.dumps(event).encode() + b"\n\n")
                await self.flush()
        except StreamClosedError:
            return


class CancelHandler(JsonHandler):
    standin: Engine

    def post(self) -> None:
        body = self.body()
        with contextlib.suppress(StageError):
            self.standin.cache(body["request"], body["attempt"] + 1)
        self.reply({})


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
    await asyncio.start_server(engine.run_link, "127.0.0.1", arguments.link_port)
    routes = [
        (r"/engine/generate", GenerateHandler),
        (r"/engine/cancel", CancelHandler),
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
