"""Layer execution of the stand-in engine and its links to the next stage."""

import asyncio
import contextlib
import json
import os
import random
import time
import uuid
from dataclasses import dataclass

import xxhash
from tornado.httpclient import AsyncHTTPClient, HTTPError

from tests.standins._server import History

WORDS = ("cut", "loin", "rack", "shank", "rib", "brisket", "chuck", "flank")
MAX_CACHED_REQUESTS = 10_000


def expected_token(prompt: str, position: int) -> str:
    digest = xxhash.xxh3_64_intdigest(f"{prompt}\n{position}".encode())
    return f"{WORDS[digest % len(WORDS)]}{position} "


class StageError(Exception):
    """A request failed at a stage; ``engine`` is the engine at fault."""

    def __init__(self, reason: str, engine: str, attempt: int = 0) -> None:
        super().__init__(reason)
        self.reason, self.engine, self.attempt = reason, engine, attempt

    def event(self) -> dict:
        return {"error": self.reason, "engine": self.engine, "attempt": self.attempt}


@dataclass
class KvCache:
    """KV cache of one request on a stage.

    ``length`` is the number of generated positions that it covers, -1 if it does not
    cover the prompt either.
    """

    attempt: int = 0
    length: int = -1
    phase: str = "ended"


class Link:
    """Connection to the next stage for one request."""

    def __init__(self, reader, writer, engine: str) -> None:
        self.reader, self.writer, self.engine = reader, writer, engine

    @classmethod
    async def open(cls, stage: dict) -> "Link":
        host, port = stage["link"].rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**24)
        except OSError:
            raise StageError("unreachable", stage["engine"]) from None
        return cls(reader, writer, stage["engine"])

    async def call(self, message: dict) -> dict:
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
            raise StageError(reply["error"], reply["engine"], reply["attempt"])
        return reply

    def close(self) -> None:
        self.writer.close()


class StageRunner:
    def __init__(self, arguments) -> None:
        self.arguments = arguments
        self.name = arguments.name
        self.step_ms = arguments.step_ms
        self.prefill_ms = arguments.prefill_ms
        self.jitter_ms = self.stall_ms = self.stall_ratio = 0.0
        self.random_state = random.Random(arguments.name)
        self.state = "live"
        self.crash_on = ""
        self.incarnation = str(uuid.uuid4())
        self.advertise = arguments.advertise
        self.advertise_link = arguments.advertise_link
        self.history = History(arguments.history)
        path = (arguments.history or "").replace(".history", "-notes.history")
        self.notes = History(path)
        self.caches: dict[str, KvCache] = {}
        self.n_running = 0

    def report(self) -> dict:
        a = self.arguments
        return {
            "target": a.name,
            "address": self.advertise or f"127.0.0.1:{a.port}",
            "link": self.advertise_link or f"127.0.0.1:{a.link_port}",
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
            raise StageError("stale-attempt", self.name, cache.attempt)
        cache.attempt = attempt
        if len(self.caches) > MAX_CACHED_REQUESTS:
            del self.caches[next(iter(self.caches))]
        return cache

    async def restore(self, order: dict, index: int) -> None:
        """Restore the KV cache to exactly ``start`` positions."""
        if self.crash_on and self.crash_on in order["prompt"]:
            os._exit(70)
        start, method = order["start"], order["restore"][index]
        cache = self.cache(order["request"], order["attempt"])
        cache.phase = "computing"
        if method["mode"] == "keep" and cache.length < start:
            raise StageError("kv-missing", self.name)
        if method["mode"] == "import":
            await self.fetch_cache(method["source"], order["request"], start)
        if method["mode"] == "prefill":
            n_tokens = len(order["prompt"].split()) + start
            await asyncio.sleep(n_tokens * self.prefill_ms / 1000)
        self.cache(order["request"], order["attempt"]).length = start
        fields = {"request": order["request"], "attempt": order["attempt"]}
        self.notes.write(restore=method["mode"], position=start, **fields)

    async def fetch_cache(self, source: str, request: str, start: int) -> None:
        url = f"http://{source}/engine/kv/{request}?position={start}"
        try:
            await AsyncHTTPClient().fetch(url, request_timeout=1.0)
        except (HTTPError, OSError):
            raise StageError("kv-missing", self.name) from None

    async def step(self, request: str, attempt: int, position: int) -> None:
        cache = self.cache(request, attempt)
        if cache.length != position:
            raise StageError("kv-missing", self.name)
        cache.phase = "computing"
        await asyncio.sleep(self.step_time_s())
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
            time_ns=time.monotonic_ns(),
        )

    def step_time_s(self) -> float:
        time_ms = self.step_ms * max(1.0, self.n_running / self.arguments.n_slots)
        time_ms += self.random_state.uniform(0, self.jitter_ms)
        if self.random_state.random() < self.stall_ratio:
            time_ms += self.stall_ms
        return time_ms / 1000

    async def serve_link(self, reader, writer) -> None:
        """Serve one request on a link from the preceding stage."""
        next_link: Link | None = None
        order: dict = {}
        try:
            order = json.loads(await reader.readline())
            self.n_running += 1
            try:
                next_link = await self.open_next_link(order)
                writer.write(b"{}\n")
                while line := await reader.readline():
                    step = order | json.loads(line)
                    reply = await self.advance(step, step["position"], next_link)
                    writer.write(json.dumps(reply).encode() + b"\n")
                    await writer.drain()
            except StageError as error:
                writer.write(json.dumps(error.event()).encode() + b"\n")
        except (OSError, ValueError):
            pass
        finally:
            self.n_running -= bool(order)
            if next_link is not None:
                next_link.close()
            writer.close()

    async def open_next_link(self, order: dict) -> Link | None:
        index = [stage["engine"] for stage in order["plan"]].index(self.name)
        await self.restore(order, index)
        next_link = None
        if index + 1 < len(order["plan"]):
            self.set_phase(order, "waiting")
            next_link = await Link.open(order["plan"][index + 1])
            try:
                await next_link.call(order)
            except StageError:
                next_link.close()
                raise
        self.set_phase(order, "idle")
        return next_link

    async def advance(self, order: dict, position: int, next_link) -> dict:
        await self.step(order["request"], order["attempt"], position)
        try:
            if next_link is None:
                return {"text": expected_token(order["prompt"], position)}
            self.set_phase(order, "waiting")
            step = {"position": position, "attempt": order["attempt"]}
            return await next_link.call(step)
        finally:
            self.set_phase(order, "idle")

    def set_phase(self, order: dict, phase: str) -> None:
        with contextlib.suppress(StageError):
            self.cache(order["request"], order["attempt"]).phase = phase
