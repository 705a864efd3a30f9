"""Stand-in for the platform's append-only log: streams of records kept in memory.

``POST /control`` sets faults: ``available`` (if false, responses are 503),
``lose_answers`` (appends take effect, but the connection is closed without a response),
``delay_s`` (time until an append takes effect), ``retention_s`` (0 keeps all records),
``truncate`` (``{stream: earliest}``) and ``cut_seed`` (pages end anywhere behind their
first record, chosen by a random generator with this seed).
"""

import asyncio
import base64
import contextlib
import random
import time

from tests.standins._server import JsonHandler, parser, serve


class Stream:
    def __init__(self) -> None:
        self.earliest = 0
        self.records: list[dict] = []
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.earliest + len(self.records)

    def append(self, value: bytes) -> int:
        offset = self.end
        record = {"offset": offset, "time_s": time.time()}
        self.records.append(record | {"value": base64.b64encode(value).decode()})
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, retention_s: float) -> None:
        while retention_s and self.records:
            if self.records[0]["time_s"] > time.time() - retention_s:
                break
            self.truncate(self.earliest + 1)

    def truncate(self, earliest: int) -> None:
        self.records = self.records[earliest - self.earliest :]
        self.earliest = earliest


class Log:
    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.available = True
        self.lose_answers = False
        self.delay_s = 0.0
        self.retention_s = 0.0
        self.n_appends = 0
        self.cut_random_state: random.Random | None = None

    def stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())


class StreamHandler(JsonHandler):
    standin: Log

    async def post(self, name: str) -> None:
        if not self.standin.available:
            self.reply({"error": "unavailable"}, 503)
            return
        await asyncio.sleep(self.standin.delay_s)
        offset = self.standin.stream(name).append(self.request.body)
        self.standin.n_appends += 1
        if self.standin.lose_answers:
            self.request.connection.stream.close()
            return
        self.reply({"offset": offset})

    async def get(self, name: str) -> None:
        if not self.standin.available:
            self.reply({"error": "unavailable"}, 503)
            return
        stream = self.standin.stream(name)
        stream.expire(self.standin.retention_s)
        start = int(self.get_query_argument("start"))
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        if start >= stream.end and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.changed.wait(), wait_s)
        page = {"earliest": stream.earliest, "end": stream.end, "records": []}
        if start < stream.earliest:
            self.reply(page, 410)
            return
        first = start - stream.earliest
        count = int(self.get_query_argument("n_records", "500"))
        n_new = min(count, len(stream.records) - first)
        if self.standin.cut_random_state is not None and n_new > 0:
            n_new = self.standin.cut_random_state.randint(1, n_new)
        page["records"] = stream.records[first : first + n_new]
        self.reply(page)


class ControlHandler(JsonHandler):
    standin: Log

    def get(self) -> None:
        self.reply({"n_appends": self.standin.n_appends})

    def post(self) -> None:
        for name, value in self.body().items():
            if name == "cut_seed":
                self.standin.cut_random_state = random.Random(value)
            elif name == "truncate":
                for stream, earliest in value.items():
                    self.standin.stream(stream).truncate(earliest)
            else:
                setattr(self.standin, name, value)
        self.reply({})


def main() -> None:
    arguments = parser().parse_args()
    routes = [(r"/streams/([^/]+)", StreamHandler), (r"/control", ControlHandler)]
    asyncio.run(serve(routes, Log(), arguments.port))


if __name__ == "__main__":
    main()
