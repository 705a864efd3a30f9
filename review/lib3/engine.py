"""Stand-in for an engine or a plain service, as PROTOCOL.md describes it."""

import asyncio
import json
import time

PING_S = 1.2


class Engine:
    """One engine.

    :param name: its id.
    :param service: its service.
    :param port: its port on the loopback address.
    :param zone: its zone.
    :param store: the store that it writes its entry to.
    :param record: called with fields of what happened.
    :param kind: kind of accelerator; empty for a plain service.
    :param load_s: time that an order takes.
    """

    def __init__(self, name, service, port, zone, store, record, kind="", load_s=0.3):
        self.name = name
        self.service = service
        self.port = port
        self._zone = zone
        self._store = store
        self._record = record
        self._kind = kind
        self._load_s = load_s
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._layers = None
        self._is_busy = False
        self._n_orders = 0
        self._fence = 0
        # Orders are not answered and are carried out after so many seconds.
        self.late_s = None
        self.runs = []
        self.orders = []

    @property
    def has_layers(self):
        """Whether it has loaded layers."""
        return self._layers is not None

    async def ping(self):
        """Write the entry at intervals."""
        while True:
            await self.write_entry()
            await asyncio.sleep(PING_S)

    async def write_entry(self):
        """Write the entry."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self._zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
            "busy": self._is_busy,
            "route_kind": self._kind,
            "layers": self._layers,
        }
        await self._store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def handle(self, request):
        """Answer one request."""
        if request.path == "/-/report":
            return 200, {"Content-Type": "application/json"}, self._report()
        if request.path == "/-/order":
            return await self._order(json.loads(request.body))
        attempt = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": attempt} if attempt else {}
        if request.headers.get("expect-instance", self.name) != self.name:
            return 421, {**headers, "Not-Executed": "1"}, b""
        self.runs.append((time.monotonic(), attempt, request.headers.get("tenant")))
        return 200, {**headers, "Response-Seal": f"seal-{self.name}"}, b"done"

    def _report(self):
        report = {
            "phase": "unified",
            "models": [],
            "busy": self._is_busy,
            "sequence": self._n_orders,
            "waiting": 0,
            "running": 0,
            "kv_used_tokens": 0,
            "kv_total_tokens": 1000,
            "request_handles": 0,
            "born": self._born,
            "layers": self._layers,
            "stalled": [],
        }
        return json.dumps(report).encode()

    async def _order(self, order):
        fence = order.get("fencing_token", 0)
        self.orders.append((time.monotonic(), fence))
        if self.late_s is not None:
            # Neither answered nor carried out yet.
            await asyncio.sleep(self.late_s)
        if fence < self._fence:
            return 412, {}, b""
        self._fence = fence
        if order.get("expected", self._n_orders) != self._n_orders or self._is_busy:
            return 409, {}, b""
        self._n_orders += 1
        self._is_busy = True
        asyncio.get_running_loop().create_task(self._load(order))
        return 202, {}, b""

    async def _load(self, order):
        await asyncio.sleep(self._load_s)
        self._layers = {"from": order["from"], "to": order["to"], "version": 1}
        self._is_busy = False
        await self.write_entry()
