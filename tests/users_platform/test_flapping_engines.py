"""Answers beside engines that flap, lie about themselves or are silent."""

import http.client
import itertools
import json
import os
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.users_platform.deployment import (
    HOST,
    KEY,
    MODEL_SERVICE,
    N_LAYERS,
    PLAIN_SERVICE,
    configuration,
    route,
    wait_for,
)

GATEWAY = "gateway-celje"
# A sound engine may be silent for about this long.
SILENCE_S = 1.2
N_EVENTS = 40
EVENT_S = 0.05
# A stream whose engine is really gone ends at the latest after this long.
GONE_BOUND_S = 6.0
N_SHORT_EVENTS = 10
DEADLINE_S = 5.0
# Time that an answer may take beyond its deadline.
ANSWER_SLACK_S = 0.5
NOT_RUN_STATUSES = (408, 421, 429, 503)
N_MORE_ROUTES = 1720
MAX_GROWTHS = 4
CHANGE_INTERVAL_S = 0.4
PLAY_S = 6.0
N_CALLERS_EACH = 3
# Delay of a restarted engine's first entry.
ENTRY_DELAY_S = 0.8
HELD_UP_S = 0.4


def routes(n_more=0):
    """Return the routes with some whose streams run once, and more that nobody uses."""
    more = (
        route(f"more-{n}", f"/more-{n}/", "idempotent", PLAIN_SERVICE)
        for n in range(n_more)
    )
    return [
        *configuration(0)["routes"],
        route("once", "/once/", "streaming", MODEL_SERVICE, max_attempts=1),
        route("feed", "/feed/", "streaming", PLAIN_SERVICE, max_attempts=1),
        *more,
    ]


@pytest.fixture
def plain_deployment(bare_deployment):
    """One gateway and one engine, whose streams need no layers."""
    bare_deployment.publish_configuration(3, routes=routes())
    bare_deployment.add_engine("one", PLAIN_SERVICE, "celje")
    bare_deployment.add_gateway(GATEWAY, "celje")
    wait_for(lambda: feed(bare_deployment, n_events=1).status == 200, 30.0)
    bare_deployment.control("one", event_s=EVENT_S)
    return bare_deployment


def feed(deployment, n_events=N_EVENTS):
    headers = {"Token_Count": f"100,{4 * n_events}", "Deadline_Ms": "8000"}
    return deployment.request(GATEWAY, "/feed/x", **headers)


def silence(deployment, name, for_s=SILENCE_S):
    deployment.kill(name, signal.SIGSTOP)
    time.sleep(for_s)
    deployment.kill(name, signal.SIGCONT)


def start_feed(deployment, pool):
    """Start a stream, and return its future answer once it has begun to run."""
    n_before = len(deployment.history("run"))
    answer = pool.submit(feed, deployment)
    wait_for(lambda: len(deployment.history("run")) > n_before)
    time.sleep(4 * EVENT_S)
    return answer


def assert_complete(answer, n_events=N_EVENTS):
    assert answer.status == 200, answer.body
    assert answer.is_complete, answer.event_ids
    assert answer.event_ids == list(range(1, n_events + 1))


def n_seen(deployment, name):
    return sum(
        row["target"] == name for row in deployment.decisions(GATEWAY, "engine.seen")
    )


@pytest.mark.parametrize("how", ["stopped", "slow"])
def test_stream_sent_before_the_list_shows_a_restart(plain_deployment, how):
    # The new process runs it; its entry is read while the stream is in progress.
    deployment = plain_deployment
    port = deployment.ports["one"]
    deployment.kill("one")
    deployment.processes["one"].wait()
    command, _ = deployment.commands["one"]
    deployment.start("one", *command, "--renew-after-s=1.0")
    wait_for(lambda: deployment.accepts_connections(port))
    deployment.control("one", event_s=EVENT_S if how == "stopped" else 0.8)
    n_events = N_EVENTS if how == "stopped" else 4
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(feed, deployment, n_events)
        wait_for(lambda: n_seen(deployment, "one") == 2)
        if how == "stopped":
            silence(deployment, "one")
        assert_complete(answer.result(), n_events)


def test_stream_of_an_engine_whose_name_another_process_takes(plain_deployment):
    deployment = plain_deployment
    with ThreadPoolExecutor(1) as pool:
        answer = start_feed(deployment, pool)
        deployment.control("one", renews=False)
        deployment.add_engine("one-next", PLAIN_SERVICE, "celje", id="one")
        wait_for(lambda: n_seen(deployment, "one") == 2)
        silence(deployment, "one")
        assert_complete(answer.result())


def test_stream_of_an_engine_that_takes_no_more_connections(plain_deployment):
    # It leaves; the list shows it a second later.
    deployment = plain_deployment
    with ThreadPoolExecutor(1) as pool:
        answer = start_feed(deployment, pool)
        deployment.control("one", listens=False, renews=False)
        silence(deployment, "one")
        assert_complete(answer.result())


def test_stream_of_a_replaced_engine_that_is_gone_does_not_wait(plain_deployment):
    # The machine is gone without closing connections.
    deployment = plain_deployment
    with ThreadPoolExecutor(1) as pool:
        answer = start_feed(deployment, pool)
        deployment.kill("one", signal.SIGSTOP)
        begin_s = time.monotonic()
        deployment.add_engine("one-next", PLAIN_SERVICE, "celje", id="one")
        assert not answer.result().is_complete
        assert time.monotonic() - begin_s < GONE_BOUND_S


STREAM_KINDS = ("draft", "once", "feed")
ONCE_KINDS = ("book", "once", "feed")


class Call:
    """One request and its end."""

    def __init__(self, kind):
        self.kind = kind
        self.id = os.urandom(8).hex()
        self.status = None
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.begin_s = self.end_s = 0.0

    def __repr__(self):
        duration_s = self.end_s - self.begin_s
        return f"{self.kind} {self.id} {self.status} {self.error} {duration_s:.2f} s"


class Play:
    """Callers on kept connections beside faults of engines and configurations.

    :param deployment: the deployment.
    :param services: services of the configurations.
    :param faults: functions that play faults of engines until the end.
    """

    KINDS = ("stock", "book", "draft", "once", "feed")

    def __init__(self, deployment, services, faults):
        self.deployment = deployment
        self.services = services
        self.faults = faults
        self.end_s = time.monotonic() + PLAY_S
        self.calls = []
        # Engine (its name or address), begin and end of its unsound times.
        self.broken = []

    @property
    def is_over(self):
        return time.monotonic() >= self.end_s

    def change(self):
        for version in itertools.count(10):
            if self.is_over:
                return
            n_more = N_MORE_ROUTES * (version % (MAX_GROWTHS + 1))
            self.deployment.publish_configuration(
                version, routes=routes(n_more), services=self.services
            )
            time.sleep(CHANGE_INTERVAL_S)

    def send(self, connection, call):
        headers = {
            "Host": HOST,
            "Attempt-Id": call.id,
            "Deadline-Ms": str(int(1000 * DEADLINE_S)),
            "Authorization": f"Bearer {KEY}",
        }
        if call.kind in STREAM_KINDS:
            headers |= {"Token-Count": f"100,{4 * N_SHORT_EVENTS}", "Model": "m"}
        # Reconnecting would hide that the connection was closed.
        connection.auto_open = int(connection.sock is None)
        method = "GET" if call.kind == "stock" else "POST"
        call.begin_s = time.time()
        try:
            connection.request(method, f"/{call.kind}/{call.id}", call.id, headers)
            response = connection.getresponse()
            call.status = response.status
            call.body = response.read()
            call.is_complete = True
        except http.client.IncompleteRead as error:
            call.body = error.partial
            call.error = "cut"
        except (OSError, http.client.HTTPException) as error:
            call.error = repr(error)
        call.end_s = time.time()
        if call.error:
            connection.close()

    def come_back(self, kind):
        port = self.deployment.ports[GATEWAY]
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=DEADLINE_S + 3.0
        )
        while not self.is_over:
            call = Call(kind)
            self.send(connection, call)
            self.calls.append(call)
            time.sleep(0.03)
        connection.close()

    def run(self):
        with ThreadPoolExecutor(32) as pool:
            tasks = [pool.submit(self.change)]
            tasks += [pool.submit(fault, self) for fault in self.faults]
            tasks += [
                pool.submit(self.come_back, kind)
                for kind in self.KINDS
                for _ in range(N_CALLERS_EACH)
            ]
            for task in tasks:
                task.result()

    def findings(self):
        runs, sent, pauses = {}, {}, []
        for row in self.deployment.history("run"):
            runs.setdefault(row["headers"]["Attempt-Id"], []).append(row)
        # An engine that ends, or waits for another one of its chain that does, may not
        # have written down what it was sent.
        for row in self.deployment.decisions(GATEWAY, "attempt.broken"):
            target = row.get("target") or row["head"]
            sent.setdefault(row["request"], []).append(target)
        for row in self.deployment.decisions(GATEWAY, "stream.assigned"):
            engines = [target for target, _, _ in row["chain"]]
            sent.setdefault(row["request"], []).extend(engines)
        for row in self.deployment.decisions(GATEWAY, "loop.delayed"):
            pause_s = (row["delay_ms"] - row["busy_ms"]) / 1000
            pauses.append((row["time_s"], pause_s))
        for call in self.calls:
            # The gateway got no processor for this long.
            paused_s = sum(
                pause_s for at_s, pause_s in pauses if call.begin_s < at_s < call.end_s
            )
            yield from self.check(
                call, runs.get(call.id, []), sent.get(call.id, []), paused_s
            )

    def check(self, call, runs, sent, paused_s):
        engines = [row["engine"] for row in runs]
        addresses = [hop[0] for row in runs for hop in row["hops"]]
        text = f"{call!r}, ran on {engines}, sent to {sent}: {call.body[-200:]!r}"
        is_broken = any(
            self.was_broken(name, call) for name in engines + addresses + sent
        )
        is_refused = call.is_complete and call.status in NOT_RUN_STATUSES
        is_excused = is_broken or call.end_s - call.begin_s >= DEADLINE_S
        if call.status is None:
            yield f"neither an answer nor a refusal: {text}"
        elif not call.is_complete and not is_excused:
            yield f"cut beside sound engines: {text}"
        elif call.status in (500, 502, 504) and not is_excused:
            yield f"failed beside sound engines: {text}"
        if call.status == 200 and call.is_complete:
            yield from self.check_body(call, text)
        if call.kind in ONCE_KINDS and len(runs) > 1:
            yield f"ran more than once: {text}"
        is_once = call.kind in ONCE_KINDS
        if is_refused and runs and (is_once or b'"not-run"' in call.body):
            yield f"ran, but was answered as not run: {text}"
        if call.status in (400, 401, 404):
            yield f"denied: {text}"
        duration_s = call.end_s - call.begin_s - paused_s
        if duration_s > DEADLINE_S + ANSWER_SLACK_S:
            yield f"late: {text}"

    def was_broken(self, name, call):
        return any(
            name == broken and begin_s <= call.end_s and call.begin_s <= end_s
            for broken, begin_s, end_s in self.broken
        )

    def check_body(self, call, text):
        if call.kind in STREAM_KINDS:
            lines = call.body.decode().split("\n")
            ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
            if ids != list(range(1, N_SHORT_EVENTS + 1)):
                yield f"events missing or doubled: {text}"
        elif json.loads(call.body)["path"] != f"/{call.kind}/{call.id}":
            yield f"answer to another request: {text}"


def flap(names, up_s=1.4, down_s=0.7, new_addresses=False, entry_delay_s=0.0):
    """Return a fault: engines end and start again, all at once."""

    def play(play):
        deployment = play.deployment
        commands = {name: deployment.commands[name][0] for name in names}
        while not play.is_over:
            begin_s = time.time()
            ended = [*names, *(address(deployment, name) for name in names)]
            for name in names:
                deployment.kill(name)
                deployment.processes[name].wait()
            time.sleep(down_s)
            for name in names:
                if new_addresses:
                    add_engine(deployment, name)
                else:
                    delay = f"--renew-after-s={entry_delay_s}"
                    deployment.start(name, *commands[name], delay)
            for name in names:
                port = deployment.ports[name]
                wait_for(lambda p=port: deployment.accepts_connections(p))
                deployment.control(name, event_s=EVENT_S)
            play.broken += [(name, begin_s, time.time()) for name in ended]
            time.sleep(up_s)

    return play


def address(deployment, name):
    return f"127.0.0.1:{deployment.ports[name]}"


def fall_silent(names, pause_s=1.0):
    """Return a fault: sound engines are stopped for a while, one after the other."""

    def play(play):
        for name in itertools.cycle(names):
            if play.is_over:
                return
            silence(play.deployment, name)
            time.sleep(pause_s)

    return play


def lie(names, hows=("errors", "hang", "reset", "bad"), for_s=1.0):
    """Return a fault: the reports of engines that are well are false."""

    def play(play):
        for how in itertools.cycle(hows):
            if play.is_over:
                break
            for name in names:
                play.deployment.control(name, lie=how)
            time.sleep(for_s)

    return play


def fail(names, for_s=1.0):
    """Return a fault: engines that report to be well fail, hang or reset requests."""
    hows = ({"fail": True}, {"begin_s": 30.0}, {"drop_response": True})
    sound = {"fail": False, "begin_s": 0.0, "drop_response": False}

    def play(play):
        for how in itertools.cycle(hows):
            if play.is_over:
                return
            begin_s = time.time()
            for name in names:
                play.deployment.control(name, **how)
            time.sleep(for_s)
            for name in names:
                play.deployment.control(name, **sound)
                play.broken.append((name, begin_s, time.time()))
                at = address(play.deployment, name)
                play.broken.append((at, begin_s, time.time()))

    return play


def pause_notices(names, for_s=0.5):
    """Return a fault: full engines ask for a pause while their streams run."""

    def play(play):
        for name in itertools.cycle(names):
            if play.is_over:
                return
            play.deployment.control(name, full=True, retry_after="0.3")
            time.sleep(for_s)
            play.deployment.control(name, full=False, retry_after=None)
            time.sleep(for_s)

    return play


def hold_up(play):
    """Stop the gateway for longer than a connection may take, again and again."""
    while not play.is_over:
        silence(play.deployment, GATEWAY, HELD_UP_S)
        time.sleep(HELD_UP_S)


SOUND = ("model-a", "model-b", "model-c", "plain-a", "plain-b")
FLAPPING = ("model-flap", "plain-flap")
# Faults, and whether an engine holds half of the layers only.
MIXES = {
    "flap": ([flap(FLAPPING, entry_delay_s=ENTRY_DELAY_S)], True),
    "flap, new addresses": ([flap(FLAPPING, new_addresses=True)], False),
    "lie": ([lie(SOUND), fall_silent(SOUND)], False),
    "fail": ([fail(FLAPPING), fall_silent(SOUND)], True),
    "pause": ([pause_notices(SOUND), fall_silent(SOUND)], False),
    "all": (
        [
            flap(FLAPPING, entry_delay_s=ENTRY_DELAY_S),
            lie(SOUND[:1]),
            fall_silent(SOUND),
            pause_notices(SOUND),
        ],
        True,
    ),
}


def add_engine(deployment, name):
    is_model = name.startswith("model")
    service = MODEL_SERVICE if is_model else PLAIN_SERVICE
    deployment.add_engine(name, service, "celje", "small" if is_model else "")


def model_services(is_halved):
    """Return the services; an engine holds all layers of the model, or half of them."""
    model, plain = configuration(0)["services"]
    if not is_halved:
        return [model, plain]
    layer_mb = 1.5 * model["engine"]["kinds"][1]["size_mb"] / N_LAYERS
    return [{**model, "engine": {**model["engine"], "layer_mb": layer_mb}}, plain]


def play_through(deployment, faults, is_halved=False):
    services = model_services(is_halved)
    deployment.publish_configuration(3, routes=routes(), services=services)
    for name in (*SOUND, *FLAPPING):
        add_engine(deployment, name)
    deployment.add_gateway(GATEWAY, "celje")
    wait_for(lambda: deployment.request_stream(GATEWAY, 1).status == 200, 30.0)
    wait_for(lambda: deployment.request(GATEWAY, "/stock/0").status == 200)
    for name in (*SOUND, *FLAPPING):
        deployment.control(name, event_s=EVENT_S)
    play = Play(deployment, services, faults)
    play.run()
    assert len(play.calls) > 100
    findings = list(play.findings())
    assert not findings, "\n".join(findings)


@pytest.mark.parametrize("mix", MIXES)
def test_whole_requests_are_answered_or_refused(bare_deployment, mix):
    play_through(bare_deployment, *MIXES[mix])


def test_sound_engines_stay_reachable_while_their_gateway_is_held_up(bare_deployment):
    play_through(bare_deployment, [hold_up])
    assert bare_deployment.decisions(GATEWAY, "loop.delayed")
    assert not bare_deployment.decisions(GATEWAY, "attempt.broken")
