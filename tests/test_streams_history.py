"""Streams under random faults, checked against callers and engine histories.

``CASSIASPREAD_HISTORY_S`` sets how long faults are injected, in seconds, and
``CASSIASPREAD_HISTORY_SEEDS`` the number of seeds, which start at 1.
"""

import os
import random
import signal
import threading
import time

import pytest

from tests.fleet import Fleet, wait_for
from tests.standins.engine import expected_token
from tests.streams import (
    StreamCaller,
    check_layers,
    engine_names,
    start_ready_daemons,
    start_stages,
)

HISTORY_S = float(os.environ.get("CASSIASPREAD_HISTORY_S", "4"))
N_CALLERS = 6
N_TOKENS = 40
MAX_REPEATS = 10
SEEDS = range(1, 1 + int(os.environ.get("CASSIASPREAD_HISTORY_SEEDS", "1")))


class RepeatingCaller(threading.Thread):
    """Sends streams until stopped; repeats those that were interrupted."""

    def __init__(self, number: int, daemons) -> None:
        super().__init__(daemon=True)
        self.number, self.daemons = number, daemons
        self.stopped = threading.Event()
        self.n_complete, self.n_repeats = 0, 0
        self.refusals: list[tuple[int, dict]] = []
        self.error: BaseException | None = None
        self.start()

    def run(self) -> None:
        turn = 0
        try:
            while not self.stopped.is_set():
                self._call(f"{self.number}-{turn}", turn)
                turn += 1
        except AssertionError as error:
            self.error = error

    def _call(self, name: str, turn: int) -> None:
        texts: list[str] = []
        for repeat in range(MAX_REPEATS):
            headers = {"Idempotency-Key": name}
            if texts:
                headers["Last-Event-ID"] = str(len(texts) - 1)
            daemon = self.daemons[(turn + repeat) % len(self.daemons)]
            stream = StreamCaller(daemon, name, N_TOKENS, **headers)
            stream.finish()
            for position, text in stream.tokens:
                assert position == len(texts), (name, position, len(texts))
                texts.append(text)
            if stream.is_complete or stream.problem:
                break
            self.n_repeats += 1
            time.sleep(0.1)
        expected = [expected_token(name, i) for i in range(N_TOKENS)] + [""]
        assert texts == expected[: len(texts)], name
        if stream.is_complete:
            assert len(texts) == len(expected), name
            self.n_complete += 1
        elif stream.problem:
            self.refusals.append((len(texts), stream.problem))


def inject_faults(fleet, daemons, routes, random_state) -> list[str]:
    """Inject random faults, up to two at a time; repair each. Return the faults."""
    done = []
    end_s = time.monotonic() + HISTORY_S
    while time.monotonic() < end_s:
        engines = [fleet.processes[name] for name in engine_names(fleet)]
        targets = [*engines, *daemons, *routes]
        repairs = []
        for target in random_state.sample(targets, random_state.choice([1, 1, 2])):
            is_kill = random_state.random() < 0.5
            done.append(f"{target.address} {is_kill}")
            if target in routes:
                target.set("silence-old")
                repairs.append(lambda route=target: route.set("pass"))
            elif is_kill or target in daemons:
                target.kill()
                repairs.append(target.start)
            else:
                target.signal(signal.SIGSTOP)
                repairs.append(lambda p=target: p.signal(signal.SIGCONT))
        time.sleep(random_state.uniform(0.3, 0.8))
        for repair in repairs:
            repair()
        time.sleep(0.3)
    return done


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_under_random_faults(tmp_path, seed):
    random_state = random.Random(seed)
    with Fleet(tmp_path) as fleet:
        engines = start_stages(fleet, n_replicas=3, step_ms=4)
        routes = []
        for engine in engines[:3]:
            wait_for(engine.is_responding)
            routes.append(fleet.start_proxy(engine.name, engine.address))
            engine.control(advertise=routes[-1].address)
        daemons = start_ready_daemons(fleet, "d0", "d1")
        callers = [RepeatingCaller(n, daemons) for n in range(N_CALLERS)]
        faults = inject_faults(fleet, daemons, routes, random_state)
        for caller in callers:
            caller.stopped.set()
        for caller in callers:
            caller.join(60)
            assert not caller.is_alive()
            assert caller.error is None, caller.error
        n_complete = sum(caller.n_complete for caller in callers)
        refusals = [r for caller in callers for r in caller.refusals]
        print(faults, n_complete, refusals)
        assert n_complete > len(refusals)
        for n_delivered, problem in refusals:
            assert problem["outcome"] == "unknown" or n_delivered == 0, problem
        assert check_layers(fleet) >= n_complete * N_TOKENS
