"""Stand-in for the platform's store: keyed topics, long polling, groups, faults.

``POST /control`` sets ``refuse`` (503 to all calls), ``silent`` (no response),
``answer_s`` (time until each call is answered), ``copy_after_s`` (each answer comes a
second time on its connection after so many seconds), ``flood`` (bytes without end in
place of each answer, see ``floods.py``), ``first_offset`` (offset before which
records are removed), ``link_bytes_per_s`` (rate at which pages are sent) and
``liberties_seed`` (what the pages leave to a sound store is chosen by a random
generator with this seed: pages end anywhere behind their first record, come without one
before the wait is over, and those of the newest records have any number of keys, none
too). ``truncate`` removes all records but the newest of each key; ``restore`` returns
to the state of so many seconds ago and raises the era; ``rebalance`` starts a new
generation of the group.
``POST /put?topic=&key=`` appends a record on behalf of the operator or an engine.
"""

import argparse
import asyncio
import base64
import json
import random
import struct
import time

from tornado.web import Application, RequestHandler

from tests.users_platform.standins.floods import write_without_end

DEFAULT_MAX_KB = 1024
# Interval between two parts of a page over a slow link, in seconds.
LINK_INTERVAL_S = 0.01
# Share of the calls in which a liberty is taken that costs another call.
RARE_SHARE = 0.1


class Store:
    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.refuse = False
        self.silent = False
        self.answer_s = 0.0
        self.copy_after_s = None
        self.flood = None
        self.link_bytes_per_s = None
        self.liberties = None
        self.first_offset = 0
        self.first_offsets = {}
        self.generation = 0
        self.members = {}
        self.n_calls = 0
        self.era = 0
        # Time of each record, and generations with the time from which they counted.
        self.written_s = {}
        self.generations = [(float("-inf"), 0)]

    def put(self, topic, key, value):
        encoded_key = key.encode()
        record = bytes([len(encoded_key)]) + encoded_key + value
        self.append(topic, [record])

    def append(self, topic, records):
        self.topics.setdefault(topic, []).extend(records)
        times = self.written_s.setdefault(topic, [])
        times.extend([time.monotonic()] * len(records))
        self.notify()

    def notify(self):
        """Wake the readers that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, age_s):
        """Return to the state of some seconds ago, as from an older copy."""
        copied_s = time.monotonic() - age_s
        for topic, times in self.written_s.items():
            n_kept = sum(written_s <= copied_s for written_s in times)
            del times[n_kept:], self.topics[topic][n_kept:]
        self.generations = [g for g in self.generations if g[0] <= copied_s]
        self.generation = self.generations[-1][1]
        self.members = {}
        self.era += 1

    def takes_rare_liberty(self):
        """Return whether a liberty is taken that costs the caller another call."""
        return self.liberties is not None and self.liberties.random() < RARE_SHARE

    def begin_generation(self):
        self.generation += 1
        self.generations.append((time.monotonic(), self.generation))

    def join(self, member, ttl_s, now_s):
        members_before = list(self.members)
        self.members = {m: end_s for m, end_s in self.members.items() if end_s > now_s}
        self.members[member] = now_s + ttl_s
        if list(self.members) != members_before:
            self.begin_generation()
        return next(iter(self.members)) == member


class StoreHandler(RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        self.store.n_calls += 1
        if self.store.era:
            self.set_header("Store-Era", str(self.store.era))
        if self.store.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.store.answer_s)
        if self.store.flood is not None:
            self._finished = True
            await write_without_end(self.request.connection.stream, self.store.flood)
            return
        if self.store.refuse:
            self.set_status(503)
            self.finish()

    def finish(self, chunk=b""):
        body = json.dumps(chunk).encode() if isinstance(chunk, dict) else chunk
        if self.store.copy_after_s is not None:
            self.write_copy(body)
        return super().finish(body)

    async def send_page(self, body):
        """Send an answer at the rate of the link, and end it."""
        rate = self.store.link_bytes_per_s
        if rate is None:
            self.finish(body)
            return
        self.set_header("Content-Length", str(len(body)))
        n_bytes = max(1, int(rate * LINK_INTERVAL_S))
        for begin in range(0, len(body), n_bytes):
            self.write(body[begin : begin + n_bytes])
            await self.flush()
            await asyncio.sleep(LINK_INTERVAL_S)
        super().finish()

    def write_copy(self, body):
        stream = self.request.connection.stream
        era = f"Store-Era: {self.store.era}\r\n" if self.store.era else ""
        head = f"HTTP/1.1 {self.get_status()} Copy\r\n{era}"
        answer = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

        def write():
            if not stream.closed():
                stream.write(answer)

        asyncio.get_running_loop().call_later(self.store.copy_after_s, write)


class ReadHandler(StoreHandler):
    async def get(self):
        topic = self.get_argument("topic")
        start = int(self.get_argument("from"))
        wait_s = int(self.get_argument("wait_ms", "0")) / 1000
        if self.store.takes_rare_liberty():
            wait_s *= self.store.liberties.random()
        deadline = time.monotonic() + wait_s
        while True:
            if self.store.refuse:
                self.set_status(503)
                self.finish()
                return
            records = self.store.topics.get(topic, [])
            first_offset = max(
                self.store.first_offset, self.store.first_offsets.get(topic, 0)
            )
            if start < first_offset or start > len(records):
                self.set_status(410)
                self.finish({"first_offset": first_offset})
                return
            if len(records) > start or time.monotonic() >= deadline:
                break
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
        await self.send_page(self.build_page(records, start, first_offset))

    def build_page(self, records, start, first_offset):
        """Return a page, which has at least one record if there is one."""
        max_bytes = int(self.get_argument("max_kb", DEFAULT_MAX_KB)) * 1024
        n_most = len(records) - start
        if self.store.liberties is not None and n_most:
            n_most = self.store.liberties.randint(1, n_most)
        page = struct.pack(">QQ", len(records), first_offset)
        for n, record in enumerate(records[start : start + n_most]):
            if n and len(page) + 4 + len(record) > max_bytes:
                break
            page += struct.pack(">I", len(record)) + record
        return page


class AppendHandler(StoreHandler):
    def post(self):
        topic, body = self.get_argument("topic"), self.request.body
        records, begin = [], 0
        while begin < len(body):
            (length,) = struct.unpack_from(">I", body, begin)
            begin += 4
            records.append(body[begin : begin + length])
            begin += length
        self.store.append(topic, records)
        end = len(self.store.topics[topic])
        self.finish({"offset": end - len(records), "end_offset": end})


class NewestHandler(StoreHandler):
    async def get(self):
        records = self.store.topics.get(self.get_argument("topic"), [])
        newest = {}
        for offset, record in enumerate(records):
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            newest[key] = (offset, value)
        items = [
            {"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
            for k, (o, v) in newest.items()
            if v
        ]
        # Small pages, so that readers must request further ones.
        n_most = 2
        if self.store.takes_rare_liberty():
            n_most = 0
        elif self.store.liberties is not None:
            n_most = self.store.liberties.randint(1, 3)
        after = self.get_argument("after", None)
        keys = [item["key"] for item in items]
        begin = keys.index(after) + 1 if after in keys else 0
        page = items[begin : begin + n_most]
        answer = {
            "items": page,
            "has_more": begin + n_most < len(items),
            "end_offset": len(records),
        }
        await self.send_page(json.dumps(answer).encode())


class JoinHandler(StoreHandler):
    def post(self):
        body = json.loads(self.request.body)
        now_s = time.monotonic()
        is_holder = self.store.join(body["member"], body["ttl_ms"] / 1000, now_s)
        parts = [[body["topics"][0], 0, 0]] if is_holder else []
        self.finish({"generation": self.store.generation, "parts": parts})


class LeaveHandler(StoreHandler):
    def post(self):
        member = json.loads(self.request.body)["member"]
        if self.store.members.pop(member, None) is not None:
            self.store.begin_generation()
        self.finish({})


class PutHandler(RequestHandler):
    def initialize(self, store):
        self.store = store

    def post(self):
        topic, key = self.get_argument("topic"), self.get_argument("key")
        self.store.put(topic, key, self.request.body)
        self.finish({})


class ControlHandler(RequestHandler):
    def initialize(self, store):
        self.store = store

    def post(self):
        for name, value in json.loads(self.request.body).items():
            if name == "rebalance":
                self.store.begin_generation()
                self.store.members = dict(reversed(self.store.members.items()))
            elif name == "restore":
                self.store.restore(value)
            elif name == "liberties_seed":
                self.store.liberties = random.Random(value)
            elif name == "truncate":
                for topic, records in self.store.topics.items():
                    self.store.first_offsets[topic] = len(records)
            else:
                setattr(self.store, name, value)
        self.store.notify()
        members = list(self.store.members)
        self.finish({"n_calls": self.store.n_calls, "members": members})


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    store = Store()
    routes = {
        "/-/log-read": ReadHandler,
        "/-/log-newest": NewestHandler,
        "/-/log-append": AppendHandler,
        "/-/log-join": JoinHandler,
        "/-/log-leave": LeaveHandler,
        "/put": PutHandler,
        "/control": ControlHandler,
    }
    application = Application([(p, h, {"store": store}) for p, h in routes.items()])
    application.listen(arguments.port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
