"""Parts of prompts that crash each engine that answers a prompt with them."""

import itertools
import json
import random
import threading
import time

import pytest

from tests.users_platform.deployment import (
    DOMAINS,
    MODEL_SERVICE,
    Respawner,
    wait_for,
)

GATEWAYS = tuple(f"gateway-{zone}" for zone in DOMAINS)
ENGINES = tuple(f"{zone}-{n}" for zone in DOMAINS for n in range(4))
RESPAWN_S = 0.3
# Parts that crash engines, the first part of all prompts, and parts of sound prompts.
BAD_PARTS = ("bad0", "bad1")
FIRST_PART = "f0"
SHARED_PARTS = ("51", "52", "53", "54")
N_EVENTS = 10
N_CALLERS = 4
SEND_INTERVAL_S = 0.4
SOUND_S = 4.0
# After the fifth crash, all connected gateways must know of a part within this time;
# few requests with it may reach engines later.
N_CRASHES = 5
LEARN_S = 3.0
N_LATE_RUNS = 3
# From this time after the fifth crash on, sound requests must be served at least half
# as often as before.
SETTLE_S = 2 * LEARN_S
# Answers by which each kind of sound request is judged, and the time for them beyond
# that of a play: a slow machine sends fewer requests in the same time.
N_SAMPLES = 10
SAMPLES_TIMEOUT_S = 30.0
MIN_SERVED_RATIO = 0.5
KEYS = ("key-of-celje", "key-of-velenje")
numbers = itertools.count(1)


def publish(deployment):
    tenants = [
        {"name": f"shops-{n}", "api_keys": [key], "priority": 1}
        for n, key in enumerate(KEYS)
    ]
    deployment.publish_configuration(3, tenants=tenants)


def add_engines(deployment, crash_at="start"):
    for name in ENGINES:
        zone = name.split("-")[0]
        deployment.add_engine(
            name,
            MODEL_SERVICE,
            zone,
            "large",
            crash_parts=",".join(BAD_PARTS),
            crash_at=crash_at,
        )


def add_gateways(deployment, has_peers=True):
    for name in GATEWAYS:
        deployment.add_gateway(name, name.split("-")[1], has_peers=has_peers)
    for name in GATEWAYS:
        wait_served(deployment, name)
        wait_for(lambda name=name: len(deployment.layered_engines(name)) == 8)
    # Daemons discover each other in the second round of gossip.
    time.sleep(2.0)


def wait_served(deployment, gateway):
    wait_for(lambda: deployment.is_ready(gateway))
    wait_for(lambda: send(deployment, gateway, ()).status == 200)


@pytest.fixture
def bare_fleet(bare_deployment):
    """A store with a configuration, without engines and gateways."""
    publish(bare_deployment)
    with Respawner(bare_deployment, ENGINES, RESPAWN_S):
        yield bare_deployment


def send(deployment, gateway, parts, key=KEYS[0], n_events=N_EVENTS, **headers):
    """Send a stream with the given parts; path, body and last part are new."""
    number = next(numbers)
    entries = [f"{part}:20" for part in (*parts, f"e{number:x}")]
    return deployment.request(
        gateway,
        f"/draft/{number}",
        body=f"prompt {number}".encode(),
        Authorization=f"Bearer {key}",
        Prompt_Prefix=",".join(entries),
        Token_Count=f"100,{4 * n_events}",
        Model="m",
        **headers,
    )


class Answer:
    """An answer with the time and the parts of its request."""

    def __init__(self, begin_s, gateway, parts, key, response):
        self.begin_s = begin_s
        self.gateway = gateway
        self.parts = parts
        self.key = key
        self.status = response.status
        is_whole = response.event_ids == list(range(1, N_EVENTS + 1))
        self.is_served = response.status == 200 and is_whole
        is_refused = response.status == 503
        self.problem = json.loads(response.body) if is_refused else {}
        self.headers = response.headers

    @property
    def is_quarantined(self):
        return self.problem.get("type", "").endswith(":quarantined")


class Load:
    """Sends requests from several threads until the context ends.

    :param deployment: receives the requests.
    :param gateways: gateways that they go to.
    """

    def __init__(self, deployment, gateways=GATEWAYS):
        self.deployment = deployment
        self.gateways = list(gateways)
        self.answers = []
        self._is_over = threading.Event()
        self._threads = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def start(self, draw_parts, n_threads=1, interval_s=0.0, keys=KEYS, gateway=None):
        """Send prompts with the parts that ``draw_parts`` returns."""
        for n in range(n_threads):
            random_state = random.Random(f"{len(self._threads)}-{n}")
            arguments = (draw_parts, interval_s, keys, gateway, random_state)
            thread = threading.Thread(target=self._run, args=arguments)
            self._threads.append(thread)
            thread.start()

    def wait_for_samples(self, find_begin_s=lambda: 0.0, bad_parts=BAD_PARTS):
        """Wait until each kind of sound request was answered often enough to judge.

        :param find_begin_s: returns the time from which requests count.
        :param bad_parts: parts that no sound request has.
        """

        def has_samples():
            begin_s = find_begin_s()
            groups = group_sound(list(self.answers), bad_parts).values()
            return all(
                sum(a.begin_s > begin_s for a in answers) >= N_SAMPLES
                for answers in groups
            )

        wait_for(has_samples, SAMPLES_TIMEOUT_S)

    def _run(self, draw_parts, interval_s, keys, gateway, random_state):
        while not self._is_over.wait(interval_s):
            name = gateway or random_state.choice(self.gateways)
            key, parts = random_state.choice(keys), tuple(draw_parts(random_state))
            begin_s = time.time()
            try:
                response = send(self.deployment, name, parts, key)
            except OSError:
                # A gateway that a test has ended.
                time.sleep(0.05)
                continue
            self.answers.append(Answer(begin_s, name, parts, key, response))


def draw_sound(random_state):
    return FIRST_PART, *random_state.sample(SHARED_PARTS, 2)


def drawer_of_crashing(*bad_parts):
    def draw(random_state):
        parts = [*random_state.sample(SHARED_PARTS, 2), random_state.choice(bad_parts)]
        random_state.shuffle(parts)
        return FIRST_PART, *parts

    return draw


def crash_times(deployment, part=None):
    """Return the times at which engines ended, earliest first."""
    rows = deployment.history("crash")
    return sorted(row["at_s"] for row in rows if part in (None, row["part"]))


def assert_contained(deployment, *bad_parts):
    """Check that few engines ended under each part once it could be known."""
    for part in bad_parts:
        times_s = crash_times(deployment, part)
        assert len(times_s) >= 2, f"part {part} ended only {len(times_s)} engines"
        if len(times_s) < N_CRASHES:
            continue
        bound_s = times_s[N_CRASHES - 1] + LEARN_S
        n_late = sum(at_s > bound_s for at_s in times_s)
        assert n_late <= N_LATE_RUNS, (
            f"part {part} ended {len(times_s)} engines, {n_late} of them more than "
            f"{LEARN_S} s after the fifth"
        )


def settled_s(deployment):
    """Return the time from which sound requests must be served as before."""
    times_s = crash_times(deployment)
    return (times_s[:N_CRASHES] or [time.time()])[-1] + SETTLE_S


def served_ratio(answers):
    return sum(a.is_served for a in answers) / len(answers)


def group_sound(answers, bad_parts=BAD_PARTS):
    """Return the answers to sound requests by each of their parts and by their key."""
    sound = [a for a in answers if not set(a.parts) & set(bad_parts)]
    groups = {part for a in sound for part in a.parts} | set(KEYS)
    return {g: [a for a in sound if g in (*a.parts, a.key)] for g in groups}


def assert_sound_served(answers, crashing_s, settled_s, bad_parts=BAD_PARTS):
    """Check sound requests by each of their parts and by their key."""
    for group, of_group in group_sound(answers, bad_parts).items():
        before = [a for a in of_group if a.begin_s < crashing_s]
        after = [a for a in of_group if a.begin_s > settled_s]
        assert len(before) >= N_SAMPLES
        assert len(after) >= N_SAMPLES
        ratios = served_ratio(before), served_ratio(after)
        assert ratios[1] >= MIN_SERVED_RATIO * ratios[0], (
            f"{group}: {ratios[0]:.2f} served before, {ratios[1]:.2f} after"
        )


def assert_refused_at_once(answer):
    assert answer.is_quarantined, (answer.status, answer.problem)
    assert answer.problem["outcome"] == "not-run"
    assert float(answer.headers["Retry-After"]) > 0


def crashing_answers(answers, *bad_parts):
    return [a for a in answers if set(a.parts) & set(bad_parts)]


def play(fleet, draws, length_s, gateways=GATEWAYS, find_settled_s=settled_s):
    """Send sound prompts, then crashing ones beside them; return all answers.

    :param find_settled_s: returns the time after which sound requests are judged;
        ``None`` if they are not.
    """
    with Load(fleet, gateways) as load:
        load.start(draw_sound, N_CALLERS)
        time.sleep(SOUND_S)
        load.wait_for_samples()
        crashing_s = time.time()
        for gateway in gateways:
            for draw in draws:
                load.start(draw, 1, SEND_INTERVAL_S, gateway=gateway)
        time.sleep(length_s)
        if find_settled_s is not None:
            load.wait_for_samples(lambda: find_settled_s(fleet))
    return load.answers, crashing_s


@pytest.mark.parametrize("crash_at", ["start", "head", "event"])
def test_part_that_crashes_engines_is_found_and_refused(bare_fleet, crash_at):
    # Guards against daemons that identify what crashes engines by whole requests.
    add_engines(bare_fleet, crash_at)
    add_gateways(bare_fleet)
    answers, crashing_s = play(bare_fleet, [drawer_of_crashing("bad0")], 14.0)
    assert_contained(bare_fleet, "bad0")
    assert_sound_served(answers, crashing_s, settled_s(bare_fleet))
    assert_refused_at_once(crashing_answers(answers, "bad0")[-1])


def test_gateways_that_reach_only_the_store_share_crashing_parts(bare_fleet):
    add_engines(bare_fleet)
    add_gateways(bare_fleet, has_peers=False)
    answers, crashing_s = play(bare_fleet, [drawer_of_crashing("bad0")], 14.0)
    assert_contained(bare_fleet, "bad0")
    assert_sound_served(answers, crashing_s, settled_s(bare_fleet))


@pytest.mark.parametrize("has_peers", [True, False])
def test_gateway_that_starts_later_knows_a_crashing_part(bare_fleet, has_peers):
    add_engines(bare_fleet)
    add_gateways(bare_fleet)
    play(bare_fleet, [drawer_of_crashing("bad0")], 6.0, find_settled_s=None)
    bare_fleet.add_gateway("gateway-late", "celje", has_peers=has_peers)
    wait_served(bare_fleet, "gateway-late")
    n_before = len(crash_times(bare_fleet))
    answers = [
        send(bare_fleet, "gateway-late", (FIRST_PART, "bad0", "51")) for _ in range(6)
    ]
    assert len(crash_times(bare_fleet)) == n_before
    assert [answer.status for answer in answers] == [503] * 6
    assert_contained(bare_fleet, "bad0")


def test_two_crashing_parts_at_once_are_found(bare_fleet):
    add_engines(bare_fleet)
    add_gateways(bare_fleet)
    draws = [drawer_of_crashing(part) for part in BAD_PARTS]

    def find_settled_s(fleet):
        last_s = [crash_times(fleet, p)[:N_CRASHES][-1:] for p in BAD_PARTS]
        return max(sum(last_s, [0.0])) + SETTLE_S

    answers, crashing_s = play(bare_fleet, draws, 15.0, find_settled_s=find_settled_s)
    assert_contained(bare_fleet, *BAD_PARTS)
    assert_sound_served(answers, crashing_s, find_settled_s(bare_fleet))


def test_repeats_of_one_crashing_request_do_not_hide_the_part(bare_fleet):
    # A caller that retries, so that each request alone crashes several engines.
    add_engines(bare_fleet)
    add_gateways(bare_fleet)

    def send_repeatedly(number):
        entries = f"{FIRST_PART}:20,bad0:20,e{number:x}:20"
        for n in range(3):
            bare_fleet.request(
                GATEWAYS[n % 2],
                f"/draft/repeated-{number}",
                body=f"prompt {number}".encode(),
                Authorization=f"Bearer {KEYS[0]}",
                Prompt_Prefix=entries,
                Token_Count="100,40",
                Model="m",
            )
            time.sleep(0.2)

    with Load(bare_fleet) as load:
        load.start(draw_sound, N_CALLERS)
        time.sleep(SOUND_S)
        load.wait_for_samples()
        crashing_s = time.time()
        for number in range(1, 12):
            send_repeatedly(number)
        time.sleep(2.0)
        load.wait_for_samples(lambda: settled_s(bare_fleet))
    assert_contained(bare_fleet, "bad0")
    assert_sound_served(load.answers, crashing_s, settled_s(bare_fleet))


def test_part_at_work_at_every_crash_is_not_refused(bare_fleet):
    # All sound prompts hold one part, and all crashing ones too.
    add_engines(bare_fleet)
    add_gateways(bare_fleet)
    popular = (FIRST_PART, "51")
    with Load(bare_fleet) as load:
        load.start(lambda _: popular, 2 * N_CALLERS)
        time.sleep(SOUND_S)
        load.wait_for_samples()
        crashing_s = time.time()
        for gateway in GATEWAYS:
            load.start(
                lambda _: (*popular, "bad0"), 1, SEND_INTERVAL_S, gateway=gateway
            )
        time.sleep(14.0)
        load.wait_for_samples(lambda: settled_s(bare_fleet))
    assert_contained(bare_fleet, "bad0")
    assert_sound_served(load.answers, crashing_s, settled_s(bare_fleet))
    sound = [a for a in load.answers if "bad0" not in a.parts]
    n_refused = sum(a.is_quarantined for a in sound)
    assert n_refused == 0


def test_engines_that_end_for_other_reasons_get_no_part_refused(bare_fleet):
    add_engines(bare_fleet)
    add_gateways(bare_fleet)
    with Load(bare_fleet) as load:
        load.start(draw_sound, N_CALLERS)
        time.sleep(SOUND_S)
        load.wait_for_samples()
        crashing_s = time.time()
        for n in range(16):
            bare_fleet.kill(ENGINES[n * 3 % len(ENGINES)])
            time.sleep(0.5)
        settled_s = time.time() + 2.0
        time.sleep(5.0)
        load.wait_for_samples(lambda: settled_s)
    assert [a.parts for a in load.answers if a.is_quarantined] == []
    assert_sound_served(load.answers, crashing_s, settled_s)


def test_organisation_does_not_get_parts_of_another_refused(bare_fleet):
    # Its own text crashes engines; beside it, it names the part of the other one.
    add_engines(bare_fleet)
    add_gateways(bare_fleet)
    answers = []
    for n in range(6):
        response = send(bare_fleet, GATEWAYS[n % 2], ("77", "bad0"), KEYS[1])
        answers.append(response.status)
        time.sleep(1.0)
    assert_contained(bare_fleet, "bad0")
    assert answers[-1] == 503
    for gateway in GATEWAYS:
        assert send(bare_fleet, gateway, ("77",), KEYS[0]).status == 200
