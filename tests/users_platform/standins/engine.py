"""Stand-in for an engine or plain service: entries, orders, reports, requests, faults.

A request whose body contains the text of ``--crash-on`` ends the process as soon as it
begins to run, after the bytes of ``--crash-bytes``, in which ``{id}`` stands for the
request's identifier. A request whose prompt contains one of ``--crash-parts``,
separated by commas, ends it as ``--crash-at`` says: before the head of its answer
(``start``), after it (``head``) or inside the first event (``event``). A request whose
body is that of
``--call-on`` calls the URL of ``--call-url`` first, as a run that depends on another
service does.

``POST /control`` sets ``full`` (refuse with 503, not run), ``retry_after`` (value of
``Retry-After`` beside such a refusal), ``leaving`` (say so in all answers),
``drop_response`` (run and close the connection), ``fail`` (500), ``omit_signature``,
``state``, ``begin_s`` (time between the start of a run and its answer), ``event_s``
(pause between events), ``n_comments`` (sent before each event, with the same pause),
``answer_bytes`` (length of an answer that is no stream),
``mute_after`` (number of events after which a stream gets nothing more), ``mute_body``
(failures and refusals, too, get headers only),
``status`` (of answers, which have no body then), ``needs_id`` (a request without an
identifier is refused with 400), ``omit_id`` (answers do not name their request),
``spoils`` (answers that are no stream are bytes without a head),
``cut_head`` (bytes after which the connection closes instead of an answer),
``unframed`` (answers have neither a length nor chunks and end with the connection),
``close_after`` (number of events after which a stream is broken off; other answers
after their first half), ``lie`` (how reports lie: ``errors``, ``hang``, ``reset``, or
``bad`` for bytes that are no report), ``renews`` (whether the entry is renewed),
``listens`` (false: no new connections, those that are open stay),
``second`` (fields of a second answer that follows each answer on its connection after
``second_after_s``, see ``format_answer``, and ``n_parts`` in which it is written; a
stream gets it too),
``continuation`` (fields of the answer to a request with ``Last-Event-Id``, see
``format_answer``; such a request is not closed, muted or delayed),
``repeats_control`` (a copy of each report and of each answer to an order follows it in
the same way), ``control_s`` (time until reports and orders are answered),
``break_text`` (sent before that), ``break_after_s`` (pause between both),
``break_how`` (``close``,
``reset``, or ``end`` for a last chunk) and ``flood``, which sends bytes without end: in
the ``head`` of an answer, a ``line`` or ``events`` of a stream, one ``chunk``, many
``chunks``, many interim responses (``interim``), or a body that ends with the
connection (``body``); ``flood_block_bytes`` are sent at a time, with a pause of
``flood_pause_s``, and ``floods_control`` sends them as reports and answers to orders.

One line is appended to the history for each run, each order, each refusal, each report
to a gateway beside ``retry_after``, each run whose caller disconnected, each answer
without end and the first entry in the state ``draining`` that the store acknowledged.
"""

import argparse
import asyncio
import contextlib
import json
import os
import socket
import struct
import time
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from tests.users_platform.standins.delays import watch_delays
from tests.users_platform.standins.floods import BLOCK_BYTES, write_without_end

HEARTBEAT_S = 0.4
# Time for which a request waits for a silent engine of its chain.
STALL_S = 3.0
STALL_POLL_S = 0.1
LOAD_S = 0.2
CRASH_STATUS = 70
CRASH_DELAY_S = 0.02
# An event that is broken off inside one of its fields.
BREAK_TEXT = "id: {id}\nda"
COMMENT = ": reading the prompt\n\n"
# Closing a socket with this option set resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Pause between two parts of a second answer.
PART_PAUSE_S = 0.02
SECOND_BODY = '{"by": "second"}'
# Marks the reports that one engine requests of another.
STAGE_HEADER = "Stage-Check"


class Engine:
    def __init__(self, arguments):
        self.id = arguments.id
        self.arguments = arguments
        self.address = arguments.advertise or f"127.0.0.1:{arguments.port}"
        self.start_ms = int(time.time() * 1000)
        self.layers = None
        self.busy = False
        self.n_orders = 0
        self.fencing_token = 0
        self.stalled = {}
        self.full = self.drop_response = self.fail = self.omit_signature = False
        self.omit_id = False
        self.close_after = self.mute_after = None
        self.mute_body = False
        self.break_text, self.break_how = BREAK_TEXT, "close"
        self.break_after_s = 0.0
        self.cut_head = None
        self.unframed = self.spoils = self.needs_id = False
        self.status = None
        self.flood = None
        self.flood_block_bytes, self.flood_pause_s = BLOCK_BYTES, 0.0
        self.floods_control = False
        self.retry_after = None
        self.leaving = False
        self.begin_s = 0.0
        self.event_s = 0.02
        self.n_comments = 0
        self.answer_bytes = 0
        self.state = "ready"
        self.renewals = 0
        self.lie = None
        self.renews = True
        self.second = None
        self.second_after_s = 0.0
        self.continuation = None
        self.repeats_control = False
        self.control_s = 0.0
        self.server = None

    @property
    def listens(self):
        return self.server is not None

    @listens.setter
    def listens(self, value):
        assert not value
        self.server.stop()

    def append_history(self, **fields):
        with Path(self.arguments.history).open("a") as file:
            row = {"engine": self.id, "at_s": time.time(), **fields}
            file.write(json.dumps(row) + "\n")

    def record_delay(self, time_s, delay_s):
        line = {"event": "engine.delayed", "time_s": time_s, "delay_s": delay_s}
        print(json.dumps(line), flush=True)

    def build_entry(self):
        self.renewals += 1
        return {
            "service": self.arguments.service,
            "address": self.address,
            "zone": self.arguments.zone,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.renewals,
            "born": self.start_ms,
            "busy": self.busy,
            "route_kind": self.arguments.kind,
            "layers": self.layers,
        }

    async def renew_entry(self):
        target = f"http://{self.arguments.store}/put?topic=keyed.servers&key={self.id}"
        is_acked = False
        await asyncio.sleep(self.arguments.renew_after_s)
        while True:
            if self.renews:
                entry = self.build_entry()
                with contextlib.suppress(OSError, HTTPClientError):
                    await AsyncHTTPClient().fetch(
                        target, method="POST", body=json.dumps(entry)
                    )
                    if entry["state"] == "draining" and not is_acked:
                        is_acked = True
                        self.append_history(kind="draining")
            await asyncio.sleep(HEARTBEAT_S)


class EngineHandler(RequestHandler):
    def initialize(self, engine):
        self.engine = engine
        if engine.leaving:
            self.set_header("Server-Leaving", "1")

    def write_later(self, answer, n_parts=1):
        """Write an answer that nobody asked for, if the connection is still open."""
        stream = self.request.connection.stream

        def write(part):
            if not stream.closed():
                stream.write(part)

        n_bytes = -(-len(answer) // n_parts)
        for n in range(n_parts):
            part = answer[n * n_bytes : (n + 1) * n_bytes]
            after_s = self.engine.second_after_s + n * PART_PAUSE_S
            asyncio.get_running_loop().call_later(after_s, write, part)

    async def send_without_end(self):
        engine = self.engine
        n_bytes = await write_without_end(
            self.request.connection.stream,
            engine.flood,
            self.request.headers.get("Attempt-Id", ""),
            engine.flood_block_bytes,
            engine.flood_pause_s,
        )
        engine.append_history(kind="flood", n_bytes=n_bytes)

    async def answer_control(self, body=b""):
        """Answer a report or an order, twice if the engine does so."""
        status = self.get_status()
        await asyncio.sleep(self.engine.control_s)
        self.finish(body)
        if self.engine.repeats_control:
            head = f"HTTP/1.1 {status} Copy\r\nContent-Length: {len(body)}\r\n\r\n"
            self.write_later(head.encode() + body)


class ControlHandler(EngineHandler):
    def post(self):
        for name, value in json.loads(self.request.body).items():
            setattr(self.engine, name, value)
        self.finish({})


class ReportHandler(EngineHandler):
    async def get(self):
        engine = self.engine
        if engine.floods_control and STAGE_HEADER not in self.request.headers:
            await self.send_without_end()
            return
        if engine.lie is not None and STAGE_HEADER not in self.request.headers:
            await self.lie(engine.lie)
            return
        if engine.retry_after is not None and STAGE_HEADER not in self.request.headers:
            engine.append_history(kind="report")
        stalled = [{"id": i, "address": a} for i, a in engine.stalled.items()]
        report = json.dumps(
            {
                "phase": "unified",
                "models": [],
                "busy": engine.busy,
                "sequence": engine.n_orders,
                "waiting": 0,
                "running": 0,
                "kv_used_tokens": 0,
                "kv_total_tokens": 1,
                "request_handles": 0,
                "layers": engine.layers,
                "stalled": stalled,
                "born": engine.start_ms,
            }
        )
        await self.answer_control(report.encode())

    async def lie(self, how):
        if how == "reset":
            reset(self.request.connection.stream)
            return
        if how == "hang":
            await asyncio.sleep(3600)
        if how == "errors":
            self.set_status(500)
        self.finish("no report")


class OrderHandler(EngineHandler):
    async def post(self):
        engine, order = self.engine, json.loads(self.request.body)
        if engine.floods_control:
            await self.send_without_end()
            return
        status = self.check_order(order)
        engine.append_history(kind="order", status=status, **order)
        self.set_status(status)
        await self.answer_control()
        if status == 202:
            engine.n_orders += 1
            engine.busy = True
            await asyncio.sleep(LOAD_S)
            engine.layers = {"from": order["from"], "to": order["to"], "version": 1}
            engine.busy = False

    def check_order(self, order):
        engine = self.engine
        fencing_token = order.get("fencing_token", 0)
        if fencing_token < engine.fencing_token:
            return 412
        engine.fencing_token = fencing_token
        if order["op"] != "place":
            return 400
        if order.get("expected", engine.n_orders) != engine.n_orders or engine.busy:
            return 409
        return 202


class ServiceHandler(EngineHandler):
    async def run(self, path):
        engine = self.engine
        request_id = self.request.headers.get("Attempt-Id", "")
        if request_id and not engine.omit_id:
            self.set_header("Attempt-Id", request_id)
        if engine.needs_id and not request_id:
            self.refuse(400)
        elif self.request.headers.get("Expect-Instance", engine.id) != engine.id:
            self.refuse(421)
        elif engine.full:
            self.refuse(503)
        else:
            faulty_address = await self.wait_for_stages()
            if faulty_address is not None:
                self.set_header("At-Server", faulty_address)
                self.refuse(503)
            else:
                await self.answer()

    get = head = post = put = delete = run

    def on_finish(self):
        engine = self.engine
        if engine.second is None:
            return
        request_id = self.request.headers.get("Attempt-Id", "")
        fields = dict(engine.second)
        n_parts = fields.pop("n_parts", 1)
        self.write_later(format_answer(request_id, **fields), n_parts)

    def refuse(self, status):
        self.engine.append_history(kind="refusal", status=status)
        self.set_status(status)
        if status == 503 and self.engine.retry_after is not None:
            self.set_header("Retry-After", self.engine.retry_after)
        self.set_header("Not-Executed", "1")
        self.set_header("Instance-Id", self.engine.id)
        if self.engine.mute_body:
            self._auto_finish = False
            self.flush()
        else:
            self.finish()

    def stages(self):
        chain = self.request.headers.get("Hop-Count")
        for stage in chain.split(",") if chain else []:
            address, _, layers = stage.partition("=")
            begin, _, end = layers.partition("-")
            yield address, int(begin), int(end)

    async def find_faulty_engine(self):
        """Return the address of an engine of the chain that cannot run its layers."""
        for address, begin, end in self.stages():
            try:
                response = await AsyncHTTPClient().fetch(
                    f"http://{address}/-/report",
                    request_timeout=0.5,
                    headers={STAGE_HEADER: "1"},
                )
            except (OSError, HTTPClientError):
                return address
            layers = json.loads(response.body)["layers"]
            if layers is None or layers["from"] > begin or layers["to"] < end:
                return address
        return None

    async def wait_for_stages(self):
        """Wait for a silent engine of the chain; return its address if it stays so."""
        request_id = self.request.headers.get("Attempt-Id", "")
        end_s = time.monotonic() + STALL_S
        try:
            while (address := await self.find_faulty_engine()) is not None:
                if time.monotonic() >= end_s:
                    return address
                self.engine.stalled[request_id] = address
                await asyncio.sleep(STALL_POLL_S)
            return None
        finally:
            self.engine.stalled.pop(request_id, None)

    async def answer(self):
        engine, headers = self.engine, self.request.headers
        engine.append_history(
            kind="run",
            method=self.request.method,
            uri=self.request.uri,
            body=self.request.body.decode(),
            hops=list(self.stages()),
            headers=dict(headers.get_all()),
        )
        crash_text = engine.arguments.crash_on.encode()
        if crash_text and crash_text in self.request.body:
            await self.crash_with(engine.arguments.crash_bytes)
        if self.find_crash_part() and engine.arguments.crash_at == "start":
            self.crash()
        call_text = engine.arguments.call_on.encode()
        if call_text and call_text in self.request.body:
            await self.call(engine.arguments.call_url)
        if engine.drop_response:
            self.request.connection.stream.close()
            return
        await asyncio.sleep(engine.begin_s)
        if not engine.omit_signature:
            self.set_header("Response-Seal", f"seal-{engine.id}")
        if engine.flood is not None:
            await self.send_without_end()
        elif engine.continuation is not None and "Last-Event-Id" in headers:
            await self.send_raw(engine.continuation)
        elif engine.cut_head is not None:
            self._auto_finish = False
            stream = self.request.connection.stream
            head = engine.cut_head.replace("{id}", headers.get("Attempt-Id", ""))
            await stream.write(head.encode())
            if engine.break_how == "reset":
                reset(stream)
            stream.close()
        elif engine.spoils:
            self._auto_finish = False
            text = SECOND_BODY + "\r\n\r\n"
            await self.request.connection.stream.write(text.encode())
        elif engine.status is not None:
            self.set_status(engine.status)
            self.finish()
        elif engine.fail:
            self.set_status(500)
            if engine.mute_body:
                await self.flush()
                await asyncio.sleep(3600)
            self.finish("failed")
        elif "Token-Count" in headers:
            await self.stream()
        else:
            answer = json.dumps({"by": engine.id, "path": self.request.uri})
            answer = answer.ljust(engine.answer_bytes)
            self.set_header("Content-Type", "application/json")
            if engine.unframed:
                self.start_unframed()
            else:
                self.set_header("Content-Length", len(answer))
            if engine.close_after is not None:
                await self.break_off(answer[: len(answer) // 2])
            else:
                await self.send(answer)
                self.end()

    def start_unframed(self):
        head = "".join(f"{n}: {v}\r\n" for n, v in self._headers.get_all())
        text = f"HTTP/1.1 {self.get_status()} OK\r\n{head}Connection: close\r\n\r\n"
        self.request.connection.stream.write(text.encode())

    async def send(self, text):
        if self.engine.unframed:
            await self.request.connection.stream.write(text.encode())
        else:
            self.write(text)
            await self.flush()

    def end(self):
        if self.engine.unframed:
            self.request.connection.stream.close()
        else:
            self.finish()

    async def send_raw(self, fields):
        stream = self.request.connection.stream
        request_id = self.request.headers.get("Attempt-Id", "")
        with contextlib.suppress(StreamClosedError):
            await stream.write(format_answer(request_id, **fields))
        stream.close()

    def find_crash_part(self):
        """Return the part of the prompt that ends this process, if there is one."""
        entries = self.request.headers.get("Prompt-Prefix", "").split(",")
        crash_parts = self.engine.arguments.crash_parts.split(",")
        parts = [entry.partition(":")[0] for entry in entries]
        return next((part for part in parts if part and part in crash_parts), None)

    def crash(self):
        part, uri = self.find_crash_part(), self.request.uri
        self.engine.append_history(kind="crash", uri=uri, part=part)
        os._exit(CRASH_STATUS)

    async def crash_with(self, text):
        if text:
            text = text.replace("{id}", self.request.headers.get("Attempt-Id", ""))
            await self.request.connection.stream.write(text.encode())
            # What was sent leaves before the process ends.
            await asyncio.sleep(CRASH_DELAY_S)
        self.crash()

    async def crash_in_stream(self):
        self.flush()
        if self.engine.arguments.crash_at == "event":
            await self.send(BREAK_TEXT.format(id=1))
        # What was sent leaves before the process ends.
        await asyncio.sleep(CRASH_DELAY_S)
        self.crash()

    async def call(self, url):
        """Call another service through a gateway; its failure is ignored."""
        arguments = self.engine.arguments
        headers = {
            "Host": arguments.call_host,
            "Attempt-Id": os.urandom(8).hex(),
            "Deadline-Ms": "1000",
        }
        with contextlib.suppress(OSError, HTTPClientError):
            await AsyncHTTPClient().fetch(
                url, method="POST", body=arguments.crash_on, headers=headers
            )

    async def stream(self):
        engine, headers = self.engine, self.request.headers
        n_events = int(headers["Token-Count"].split(",")[1]) // 4
        begin = int(headers.get("Last-Event-Id", 0)) + 1
        self.set_header("Content-Type", "text/event-stream")
        if engine.unframed:
            self.start_unframed()
        if self.find_crash_part():
            await self.crash_in_stream()
        for n_sent, event_id in enumerate(range(begin, n_events + 1)):
            if engine.close_after is not None and n_sent >= engine.close_after:
                await self.break_off(engine.break_text.format(id=event_id))
                return
            if engine.mute_after is not None and n_sent >= engine.mute_after:
                await self.flush()
                await asyncio.sleep(3600)
            if await self.wait_for_stages() is not None:
                self.request.connection.stream.close()
                return
            try:
                for _ in range(engine.n_comments):
                    await self.send(COMMENT)
                    await asyncio.sleep(engine.event_s)
                await self.send(f"id: {event_id}\ndata: token {event_id}\n\n")
            except StreamClosedError:
                engine.append_history(
                    kind="left", id=headers["Attempt-Id"], n_events=n_sent
                )
                return
            await asyncio.sleep(engine.event_s)
        self.end()

    async def break_off(self, text):
        engine, stream = self.engine, self.request.connection.stream
        await self.send(text)
        await asyncio.sleep(engine.break_after_s)
        if engine.break_how == "end":
            self.end()
            return
        if engine.break_how == "reset":
            reset(stream)
        stream.close()


def format_answer(
    request_id,
    status=200,
    is_signed=False,
    names=None,
    is_refusal=False,
    delimiter="length",
    body=SECOND_BODY,
    headers=(),
):
    """Return the bytes of an answer, such as one that nobody asked for.

    ``names`` is the identifier that it carries, ``earlier`` for that of the request.
    ``delimiter`` is ``length``, ``chunks``, ``none`` (no length), ``short`` (fewer
    bytes than its length says) or ``headless`` (no head).
    """
    body = body.encode()
    lines = [f"HTTP/1.1 {status} Second", *headers]
    if is_signed:
        lines.append("Response-Seal: seal-second")
    if is_refusal:
        lines.append("Not-Executed: 1")
    if names is not None:
        lines.append(f"Attempt-Id: {request_id if names == 'earlier' else names}")
    if delimiter == "chunks":
        lines.append("Transfer-Encoding: chunked")
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\n\r\n"
    elif delimiter in ("length", "short"):
        n_missing = 9 if delimiter == "short" else 0
        lines.append(f"Content-Length: {len(body) + n_missing}")
    if delimiter == "headless":
        return body
    return "\r\n".join([*lines, "", ""]).encode() + body


def reset(stream):
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.close()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    for name in ("id", "service", "zone", "store", "history"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--kind", default="")
    parser.add_argument("--advertise", default="")
    for name in (
        "crash-on",
        "crash-bytes",
        "crash-parts",
        "call-on",
        "call-url",
        "call-host",
    ):
        parser.add_argument(f"--{name}", default="")
    parser.add_argument("--crash-at", default="start")
    # Time until the first entry, as a list that lags shows it, in seconds.
    parser.add_argument("--renew-after-s", type=float, default=0.0)
    engine = Engine(parser.parse_args())
    routes = [
        ("/control", ControlHandler),
        ("/-/report", ReportHandler),
        ("/-/order", OrderHandler),
        ("(/.*)", ServiceHandler),
    ]
    application = Application([(p, h, {"engine": engine}) for p, h in routes])
    engine.server = application.listen(engine.arguments.port, "127.0.0.1")
    await asyncio.gather(engine.renew_entry(), watch_delays(engine.record_delay))


if __name__ == "__main__":
    asyncio.run(main())
