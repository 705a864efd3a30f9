"""Stand-in for the platform's store, as PROTOCOL.md describes it.

Unlike a store with little data, it cuts a page of ``log-read`` at ``max_kb``. Groups
hand a partition over in two steps: its new owner gets it once the one before has joined
with the generation that took it away, has left or has been silent for its time to live.
"""

import asyncio
import base64
import json
import struct
import time

PAGE_CHECK_S = 0.01
DEFAULT_MAX_KB = 1024
N_PARTS = 8
MAX_RECORD_BYTES = 262_144
# append_ms and partition_mb_s of the settings.
APPEND_S, PARTITION_BYTES_PER_S = 0.004, 20e6


class Group:
    """Members of one consumer group and the owners of the partitions of one topic."""

    def __init__(self):
        self.generation = 0
        # End of the membership, time to live and last generation named, by member.
        self.members = {}
        # Owner that a partition is dealt to, and the one that still holds it.
        self.dealt = {}
        self.held = {}
        # When each owner got a partition: (time, member, partition, generation).
        self.grants = []

    def deal(self, shift=0):
        """Deal the partitions evenly in a new generation."""
        self.generation += 1
        names = list(self.members)
        for part in range(N_PARTS):
            self.dealt[part] = names[(part + shift) % len(names)] if names else None

    def expire(self, now_s):
        """Remove the members whose time is over."""
        over = [m for m, row in self.members.items() if row["end_s"] <= now_s]
        for member in over:
            del self.members[member]
        if over:
            self.deal()

    def settle(self, now_s):
        """Hand over the partitions whose owner before has let them go."""
        for part, owner in self.dealt.items():
            holder = self.held.get(part)
            if holder == owner:
                continue
            row = self.members.get(holder)
            if row is None or row["named"] >= self.generation:
                self.held[part] = owner
                self.grants.append((now_s, owner, part, self.generation))

    def join(self, member, ttl_s, named, now_s):
        """Join or stay; return the generation and the partitions of the member."""
        self.expire(now_s)
        is_new = member not in self.members
        self.members[member] = {"end_s": now_s + ttl_s, "named": named}
        if is_new:
            self.deal()
        self.settle(now_s)
        parts = [p for p, m in self.held.items() if m == member == self.dealt[p]]
        return self.generation, sorted(parts)


class Store:
    """The store.

    :param record: called with a time and fields of what happened.
    """

    def __init__(self, record):
        self._record = record
        self._changed = asyncio.Condition()
        self.topics = {}
        self.groups = {}
        # 503 to all callers, which promises that nothing was done.
        self.is_busy = False
        # Bytes a second of the link of the calling machine; no limit without one.
        self.link_bytes_per_s = None
        self.joins = []

    async def put(self, topic, key, value):
        """Append a record as the operator or an engine; return the time of the ack."""
        encoded = key.encode()
        await self._append(topic, [bytes([len(encoded)]) + encoded + value])
        await asyncio.sleep(APPEND_S + len(value) / PARTITION_BYTES_PER_S)
        return time.monotonic()

    async def _append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        if any(len(record) > MAX_RECORD_BYTES for record in records):
            raise ValueError(f"a record of more than {MAX_RECORD_BYTES} bytes")
        log.extend(records)
        async with self._changed:
            self._changed.notify_all()
        return offset

    async def write(self, writer, answer):
        """Send an answer at the rate of the link."""
        rate = self.link_bytes_per_s
        if rate is None:
            writer.write(answer)
            await writer.drain()
            return
        n_bytes = max(1, int(rate * PAGE_CHECK_S))
        for begin in range(0, len(answer), n_bytes):
            writer.write(answer[begin : begin + n_bytes])
            await writer.drain()
            await asyncio.sleep(PAGE_CHECK_S)

    async def handle(self, request):
        """Answer one call."""
        if self.is_busy:
            return 503, {}, b""
        handlers = {
            "/-/log-read": self._read,
            "/-/log-newest": self._newest,
            "/-/log-append": self._append_call,
            "/-/log-join": self._join,
            "/-/log-leave": self._leave,
        }
        handler = handlers.get(request.path)
        if handler is None:
            return 404, {}, b""
        return await handler(request)

    async def _read(self, request):
        query = request.query
        topic, start = query["topic"], int(query["from"])
        wait_s = int(query.get("wait_ms", 0)) / 1000
        max_bytes = int(query.get("max_kb", DEFAULT_MAX_KB)) * 1024
        deadline_s = time.monotonic() + wait_s
        while len(self.topics.get(topic, [])) <= start:
            rest_s = deadline_s - time.monotonic()
            if rest_s <= 0:
                break
            try:
                async with asyncio.timeout(rest_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                break
        if self.is_busy:
            return 503, {}, b""
        log = self.topics.get(topic, [])
        page = bytearray(struct.pack(">QQ", len(log), 0))
        n_records = 0
        for record in log[start:]:
            if n_records and len(page) + 4 + len(record) > max_bytes:
                break
            page += struct.pack(">I", len(record)) + record
            n_records += 1
        if n_records and topic == "keyed.op":
            end = start + n_records
            self._record(
                "store page", start=start, end=end, log=len(log), n_bytes=len(page)
            )
        return 200, {}, bytes(page)

    async def _newest(self, request):
        log = self.topics.get(request.query["topic"], [])
        newest = {}
        for offset, record in enumerate(log):
            newest[record[1 : 1 + record[0]].decode()] = (
                offset,
                record[1 + record[0] :],
            )
        after = request.query.get("after", "")
        keys = sorted(k for k, (_, value) in newest.items() if value and k > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        answer = {"items": items, "has_more": len(keys) > 500, "end_offset": len(log)}
        return 200, {"Content-Type": "application/json"}, json.dumps(answer).encode()

    async def _append_call(self, request):
        records, begin, body = [], 0, request.body
        while begin < len(body):
            (length,) = struct.unpack_from(">I", body, begin)
            records.append(body[begin + 4 : begin + 4 + length])
            begin += 4 + length
        offset = await self._append(request.query["topic"], records)
        answer = {"offset": offset, "end_offset": offset + len(records)}
        return 200, {"Content-Type": "application/json"}, json.dumps(answer).encode()

    async def _join(self, request):
        body, now_s = json.loads(request.body), time.monotonic()
        group = self.groups.setdefault(body["group"], Group())
        generation, parts = group.join(
            body["member"], body["ttl_ms"] / 1000, body["generation"], now_s
        )
        self.joins.append((now_s, body["member"], generation, parts))
        rows = [[body["topics"][0], part, 0] for part in parts]
        answer = {"generation": generation, "ttl_ms": body["ttl_ms"], "parts": rows}
        return 200, {"Content-Type": "application/json"}, json.dumps(answer).encode()

    async def _leave(self, request):
        body = json.loads(request.body)
        group = self.groups.setdefault(body["group"], Group())
        if group.members.pop(body["member"], None) is not None:
            group.deal()
            group.settle(time.monotonic())
        return 200, {"Content-Type": "application/json"}, b"{}"
