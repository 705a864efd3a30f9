"""A request crashes each engine that begins to run it, and comes again."""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import platform_stand_in as stand_in  # noqa: E402

KEY = "key-of-savinja-1"
STABILITY_S = stand_in.BOUNDS["stability_ms"] / 1000
OBJECTIVE_MS, PAUSE_MS, DEADLINE_MS = 500, 250, 20000
# Time from the start of a run until it ends its engine, and until that one is back.
CRASH_S, BACK_S = 0.1, 3.0
POISON = b"crashes its engine"
POISON_INTERVAL_S, SOUND_INTERVAL_S = 2.0, 0.1
LENGTH_S = 30.0
N_ENGINES, N_EVENTS = 8, 10
# Retries that may reach engines later than STABILITY_S after the third crash.
N_ALLOWED = 3


class CrashingEngine(stand_in.Engine):
    """It ends as soon as it begins to run one request."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.crashes_s = []
        self.poisoned = []

    async def answer(self, writer, request, headers, body):
        """Run a request to its end."""
        if body == POISON:
            self.poisoned.append((self._record.now_s(), request))
            if stand_in.is_troubled():
                await asyncio.sleep(CRASH_S)
                self._revival = asyncio.create_task(self.crash(request))
                await asyncio.sleep(DEADLINE_MS / 1000)
                return
        head = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {request}",
            f"Instance-Id: {self.name}",
            f"Response-Seal: seal-{request}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        begin = int(headers.get("last-event-id", 0))
        for number in range(begin + 1, N_EVENTS + 1):
            text = f"id: {number}\ndata: token {number}\n\n"
            writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def crash(self, request):
        """End, and start again under the same identifier after some seconds."""
        if not self.is_running:
            return
        self.crashes_s.append(self._record.now_s())
        self._record.write("crashed", engine=self.name, id=request)
        self.stop()
        await asyncio.sleep(BACK_S)
        await self.start_again()


def build_configuration(route, tenants):
    """Return a configuration whose model isn't split: one engine runs all layers."""
    document = json.loads(stand_in.configuration(1, [route], [], tenants))
    engine = {
        "slots": 96,
        "kv_capacity_tokens": 50000,
        "kv_token_bytes": 1180000,
        "stride": 4,
        "models": [{"name": "daka510000", "pace": 1.0, "load_s": 14.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.00918,
        "context_per_k": 0.0123,
        "read_per_s": 164000.0,
        "usual": {"prompt": 774, "answer": 210},
    }
    document["services"] = [
        {
            "name": "lm-pool",
            "health_path": "/healthz",
            "max_conns": 908,
            "engine": engine,
        }
    ]
    return json.dumps(document).encode()


async def send_poison(gateways, record, rows):
    """Send the request again and again, at one machine after the other."""
    number = 0
    while True:
        gateway = gateways[number % len(gateways)]
        number += 1
        request, head = stand_in.request_head(
            "POST", "/draft/1", KEY, DEADLINE_MS, len(POISON)
        )
        record.write("sent", id=request, to=gateway.name, poison=True)
        begin_s = time.monotonic()
        status = None
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.port)
            writer.write(head[:-2] + b"Token-Count: 760,40\r\n\r\n" + POISON)
            async with asyncio.timeout(POISON_INTERVAL_S):
                start, _, _ = await stand_in.read_message(reader)
                status = int(start.split(" ")[1])
        except (OSError, EOFError, TimeoutError):
            pass
        writer.close()
        rows.append(status)
        record.write("answered", id=request, status=status)
        left_s = begin_s + POISON_INTERVAL_S - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))


async def send_sound(gateway, record, rows):
    """Send one sound stream and read it to its end."""
    body = b"a prompt"
    request, head = stand_in.request_head(
        "POST", "/draft/2", KEY, DEADLINE_MS, len(body)
    )
    text, is_complete = b"", False
    try:
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.port)
            writer.write(head[:-2] + b"Token-Count: 760,40\r\n\r\n" + body)
            answer = await reader.readuntil(b"\r\n\r\n")
            while b"chunked" in answer.lower():
                length = int(await reader.readuntil(b"\r\n"), 16)
                text += await reader.readexactly(length + 2)
                if not length:
                    is_complete = True
                    break
    except (OSError, EOFError, TimeoutError):
        pass
    writer.close()
    rows.append(is_complete and text.count(b"id: ") == N_EVENTS)
    record.write("sound", id=request, to=gateway.name, whole=rows[-1])


async def run(folder):
    """Return whether the rule was broken."""
    record = stand_in.Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        store = stand_in.Store(record)
        await store.start()
        draft = stand_in.route(
            "draft",
            "/draft/",
            "streaming",
            "lm-pool",
            latency_slo_ms=OBJECTIVE_MS,
            gap_aim_ms=PAUSE_MS,
            resumable=True,
        )
        tenants = [{"name": "savinja", "api_keys": [KEY], "priority": 1}]
        store.put("keyed.op", "config", build_configuration(draft, tenants))
        engines = []
        for number in range(1, N_ENGINES + 1):
            engine = CrashingEngine(f"lm{number}", "lm-pool", "celje", store, record)
            await engine.start()
            engines.append(engine)
        peers, poison_rows, sound_rows, tasks = [], [], [], set()
        gateways = [
            stand_in.Gateway(
                f"edge-{zone}-1", zone, temporary, store.port, record, peers
            )
            for zone in ("celje", "velenje")
        ]
        try:
            for gateway in gateways:
                gateway.write_settings()
                await gateway.start()
            for gateway in gateways:
                if not await gateway.wait_ready():
                    raise RuntimeError(f"{gateway.name} does not get ready")
            await asyncio.sleep(3.0)
            poison = asyncio.create_task(send_poison(gateways, record, poison_rows))
            end_s = record.now_s() + LENGTH_S
            n_sent = 0
            while record.now_s() < end_s:
                gateway = gateways[n_sent % len(gateways)]
                n_sent += 1
                task = asyncio.create_task(send_sound(gateway, record, sound_rows))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(SOUND_INTERVAL_S)
            poison.cancel()
            await asyncio.gather(*tasks)
        finally:
            for gateway in gateways:
                await gateway.close()
    crashes_s = sorted(at_s for engine in engines for at_s in engine.crashes_s)
    bound_s = crashes_s[2] + STABILITY_S if len(crashes_s) > 2 else float("inf")
    arrivals = sorted(arrival for e in engines for arrival in e.poisoned)
    late = [arrival for arrival in arrivals if arrival[0] > bound_s]
    # A caller's own repeats are new requests: only second sends of one are retries.
    seen, n_retries = set(), 0
    for at_s, request in arrivals:
        n_retries += request in seen and at_s > bound_s
        seen.add(request)
    n_broken = sound_rows.count(False)
    record.write(
        "result",
        crashes=len(crashes_s),
        late=len(late),
        retries=n_retries,
        broken=n_broken,
    )
    print(
        f"{len(crashes_s)} engines crashed; the request reached engines {len(late)} "
        f"times later than {STABILITY_S:g} s after the third crash, {n_retries} of "
        f"them retries of one requester attempt; {n_broken} of "
        f"{len(sound_rows)} sound streams did not come whole; answers {poison_rows}"
    )
    return n_retries > N_ALLOWED


if __name__ == "__main__":
    stand_in.main(run, FOLDER)
