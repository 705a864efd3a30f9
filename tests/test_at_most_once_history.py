"""Concurrent bookings under random faults, checked against the targets' histories.

``CASSIASPREAD_HISTORY_S`` sets how long the faults last, in seconds, and
``CASSIASPREAD_HISTORY_SEED`` the seed of callers and faults.
"""

import json
import os
import random
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from tests.booking_history import CALLER, Answer, book, find_violations, new_key
from tests.fleet import Fleet, request, wait_for

HISTORY_S = float(os.environ.get("CASSIASPREAD_HISTORY_S", "12"))
SEED = int(os.environ.get("CASSIASPREAD_HISTORY_SEED", "1"))
N_CALLERS = 16
N_RECENT_KEYS = 12
FREEZE_S = 2.5  # longer than the timeouts of callers and claims
DOMAINS = ("osorno-norte", "cautin", "llanquihue")


class World:
    """One daemon and one target in each domain; proxies can cut off the last domain."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        fleet.publish_base_configuration()
        self.log_route = fleet.start_proxy("log", fleet.log.address)
        for domain in DOMAINS:
            fleet.start_service(f"booking-{domain}", domain)
        target = fleet.processes[f"booking-{DOMAINS[2]}"]
        self.target_route = fleet.start_proxy("target", target.address)
        fleet.list_vm(
            target.name, "service", "booking", self.target_route.address, DOMAINS[2]
        )
        logs = [fleet.log.address, fleet.log.address, self.log_route.address]
        self.daemons = [
            fleet.start_daemon(f"entry-{domain}", domain, log=log)
            for domain, log in zip(DOMAINS, logs, strict=True)
        ]
        for daemon in self.daemons:
            fleet.wait_ready(daemon)
            wait_for(lambda d=daemon: book(d, new_key()).status == 200)

    def runs(self) -> list[dict]:
        names = [f"booking-{domain}" for domain in DOMAINS]
        history = [run for name in names for run in self.fleet.history(name)]
        return [run for run in history if run["method"] == "POST"]

    def control_targets(self, **fields) -> None:
        for domain in DOMAINS:
            self.fleet.processes[f"booking-{domain}"].control(**fields)

    def faults(self):
        """Return pairs of functions that begin and end one fault."""
        log = self.fleet.log.control
        killed, frozen = self.daemons[0], self.daemons[1]
        return [
            (
                lambda: frozen.signal(signal.SIGSTOP),
                lambda: frozen.signal(signal.SIGCONT),
            ),
            (killed.kill, killed.start),
            (lambda: log(lose_answers=True), lambda: log(lose_answers=False)),
            (lambda: log(available=False), lambda: log(available=True)),
            (lambda: log(delay_s=1.2), lambda: log(delay_s=0)),
            (lambda: self.log_route.set("cut"), lambda: self.log_route.set("pass")),
            (
                lambda: self.log_route.set("silence"),
                lambda: self.log_route.set("pass"),
            ),
            (
                lambda: self.target_route.set("drop-answers"),
                lambda: self.target_route.set("pass"),
            ),
            (
                lambda: self.control_targets(delay_s=1.5),
                lambda: self.control_targets(delay_s=0.02),
            ),
            (
                lambda: self.control_targets(lose_answers=True),
                lambda: self.control_targets(lose_answers=False),
            ),
        ]


class Callers:
    """Threads that book new keys and repeat recent ones through any daemon."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._lock = threading.Lock()
        self.answers: list[Answer] = []
        self.keys: list[str] = []
        self.stopped = threading.Event()

    def run(self, seed: int) -> None:
        random_state = random.Random(seed)
        while not self.stopped.is_set():
            daemon = random_state.choice(self._world.daemons)
            key = self._choose_key(random_state, daemon)
            timeout_s = random_state.choice([0.3, 1.0, 2.0])
            answer = book(daemon, key, timeout_s)
            with self._lock:
                self.answers.append(answer)
            time.sleep(random_state.uniform(0, 0.1))

    def _choose_key(self, random_state, daemon) -> str:
        if self.keys and random_state.random() < 0.6:
            return random_state.choice(self.keys[-N_RECENT_KEYS:])
        key = self._ticket(daemon) if random_state.random() < 0.3 else new_key()
        with self._lock:
            self.keys.append(key)
        return key

    def _ticket(self, daemon) -> str:
        try:
            answer = request("POST", daemon.address, "/v1/tickets", b"", CALLER, 1.0)
            return json.loads(answer[2])["key"]
        except (OSError, ValueError, KeyError):
            return new_key()


def inject(world: World, random_state: random.Random) -> None:
    """Inject single faults and pairs of faults in turn for ``HISTORY_S`` seconds.

    Faults that were not drawn by then follow one by one, so that the kinds of answers
    do not depend on how many rounds the load of the machine allows.
    """
    faults = world.faults()
    missing = set(range(len(faults)))
    end_s = time.monotonic() + HISTORY_S
    while time.monotonic() < end_s:
        for n_faults in (1, 2):
            chosen = random_state.sample(range(len(faults)), n_faults)
            inject_at_once([faults[index] for index in chosen])
            missing -= set(chosen)
    for index in sorted(missing):
        inject_at_once([faults[index]])


def inject_at_once(faults) -> None:
    for begin, _ in faults:
        begin()
    time.sleep(FREEZE_S if len(faults) == 1 else FREEZE_S / 2)
    for _, end in faults:
        end()
    time.sleep(0.3)


def test_history_of_concurrent_bookings(tmp_path):
    with Fleet(tmp_path) as fleet:
        world = World(fleet)
        fleet.log.control(cut_seed=SEED)
        callers = Callers(world)
        with ThreadPoolExecutor(N_CALLERS) as pool:
            for index in range(N_CALLERS):
                pool.submit(callers.run, SEED * 1000 + index)
            inject(world, random.Random(SEED))
            callers.stopped.set()
        for daemon in world.daemons:
            fleet.wait_ready(daemon)
            wait_for(lambda d=daemon: book(d, new_key()).status == 200)
        with ThreadPoolExecutor(N_CALLERS) as pool:
            asked = pool.map(lambda k: book(world.daemons[2], k), callers.keys)
            callers.answers += asked
        runs = [run for run in world.runs() if run["key"] in set(callers.keys)]
        print(summarise(callers.answers, runs))
        assert find_violations(callers.answers, runs) == []
        check_variety(callers.answers)


def summarise(answers: list[Answer], runs: list[dict]) -> str:
    counts: dict[str, int] = {}
    for answer in answers:
        name = f"{answer.status} {answer.code or ''} {answer.outcome or ''}"
        name += " replayed" * answer.is_replayed
        counts[name] = counts.get(name, 0) + 1
    return f"seed {SEED}: {len(answers)} calls, {len(runs)} runs, {counts}"


def check_variety(answers: list[Answer]) -> None:
    """Check for each kind of answer; a history without all of them proves nothing."""
    assert sum(a.status == 200 and not a.is_replayed for a in answers) > 50
    assert sum(a.is_replayed for a in answers) > 50
    assert any(a.outcome == "not-run" for a in answers)
    assert any(a.outcome == "unknown" for a in answers)
    assert any(a.status == 0 for a in answers)
