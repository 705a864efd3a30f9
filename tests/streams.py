"""A caller of streams, and checks of its events and of the engines' histories."""

import http.client
import json
import threading
import time
from collections import defaultdict

from tests.fleet import Fleet, Process, bearer, request, wait_for
from tests.standins.engine import expected_token

N_LAYERS = 9
STAGES = ((0, 3), (3, 6), (6, 9))


class StreamCaller(threading.Thread):
    """Requests one streamed completion and records tokens and their arrival times."""

    def __init__(self, daemon: Process, prompt: str, n_tokens: int, **headers) -> None:
        super().__init__(daemon=True)
        self.prompt, self.n_tokens = prompt, n_tokens
        self.tokens: list[tuple[int, str]] = []
        self.times_s: list[float] = []
        self.problem: dict | None = None
        self.is_complete = False
        self._headers = bearer("osorno-token", **headers)
        self._connection = http.client.HTTPConnection(daemon.address, timeout=30)
        self.start()

    def run(self) -> None:
        body = {"model": "draft", "prompt": self.prompt, "max_tokens": self.n_tokens}
        data = json.dumps(body | {"stream": True})
        try:
            self._connection.request("POST", "/v1/completions", data, self._headers)
            answer = self._connection.getresponse()
            if answer.status != 200:
                self.problem = json.loads(answer.read())
                return
            self._read_events(answer)
        except (OSError, http.client.HTTPException, ValueError, AttributeError):
            return

    def _read_events(self, answer) -> None:
        event: dict[str, str] = {}
        while line := answer.readline():
            name, _, value = line.decode().strip().partition(": ")
            if name:
                event[name] = value
                continue
            self._apply_event(event)
            event = {}

    def _apply_event(self, event: dict[str, str]) -> None:
        if event["data"] == "[DONE]":
            self.is_complete = True
        elif event.get("event") == "error":
            self.problem = json.loads(event["data"])
        else:
            text = json.loads(event["data"])["choices"][0]["text"]
            self.times_s.append(time.monotonic())
            self.tokens.append((int(event["id"]), text))

    def wait_for_tokens(self, n_tokens: int) -> None:
        wait_for(lambda: len(self.tokens) >= n_tokens or not self.is_alive())

    def finish(self, timeout_s: float = 20.0) -> None:
        self.join(timeout_s)
        assert not self.is_alive(), "the stream did not end"

    def disconnect(self) -> None:
        self._connection.sock.shutdown(2)

    def check_complete(self, start: int = 0) -> None:
        """Check that each token came once, in order, followed by the terminator."""
        self.finish()
        expected = [
            (i, expected_token(self.prompt, i)) for i in range(start, self.n_tokens)
        ]
        assert self.problem is None
        assert self.is_complete
        assert self.tokens == [*expected, (self.n_tokens, "")]


def start_stages(fleet: Fleet, n_replicas: int = 2, **flags) -> list[Process]:
    """Publish the base configuration and start replicas of each of three stages."""
    fleet.publish_base_configuration(N_LAYERS)
    return [
        fleet.start_engine(f"{'hmt'[i]}{k}", "cautin", *layers, **flags)
        for i, layers in enumerate(STAGES)
        for k in range(n_replicas)
    ]


def start_ready_daemons(fleet: Fleet, *names: str) -> list[Process]:
    """Start daemons; wait until each serves completions and all are members."""
    daemons = [fleet.start_daemon(name, "cautin") for name in names]
    body = {"model": "draft", "prompt": "warm-up", "max_tokens": 1}
    path, caller = "/v1/completions", bearer("osorno-token")
    for daemon in daemons:
        fleet.wait_ready(daemon)
        call = ("POST", daemon.address, path, body, caller)
        wait_for(lambda call=call: request(*call)[0] == 200)
        wait_for(lambda daemon=daemon: has_record_of_peers(daemon, names))
    time.sleep(0.3)
    return daemons


def has_record_of_peers(daemon: Process, names: tuple[str, ...]) -> bool:
    events = [e for e in read_events(daemon) if e["kind"] == "member.alive"]
    return {e["fields"]["vm"] for e in events} >= set(names) - {daemon.name}


def read_events(daemon: Process) -> list[dict]:
    """Return the events of a daemon's time line."""
    caller = bearer("operator-token")
    answer = request("GET", daemon.address, "/operators/events", None, caller)
    return json.loads(answer[2])


def last_plan(daemon: Process) -> list[str]:
    """Return the engines of the latest plan."""
    plans = [e for e in read_events(daemon) if e["kind"] == "stream.planned"]
    return plans[-1]["fields"]["engines"].split(",")


def engine_names(fleet: Fleet) -> list[str]:
    return [name for name in fleet.processes if name[0] in "hmt" and name[1].isdigit()]


def check_layers(fleet: Fleet) -> int:
    """Check the engines' histories; return the number of sent tokens checked.

    No attempt runs a layer of a position twice or out of order, and the attempt that
    computed a sent token has run each layer exactly once.
    """
    runs: dict[tuple, list[dict]] = defaultdict(list)
    sent: set[tuple] = set()
    for name in engine_names(fleet):
        for step in fleet.history(name):
            key = step["request"], step["attempt"], step["position"]
            runs[key].append(step)
        for note in fleet.history(f"{name}-notes"):
            if note.get("sent") and note["ran"]:
                sent.add((note["request"], note["ran"], note["position"]))
    for steps in runs.values():
        steps.sort(key=lambda step: step["time_ns"])
        layers = [x for s in steps for x in range(s["begin"], s["end"])]
        assert layers == list(range(len(layers))), steps
    for key in sent:
        assert runs[key][-1]["end"] == N_LAYERS, (key, runs[key])
    return len(sent)
