"""Chain selection by many daemons whose load reports are up to a second old."""

import random
import statistics

import msgspec
import pytest

from cassiaspread_core.chains import (
    LoadLedger,
    RequestDemand,
    UnreportedStarts,
    choose_chain,
    stage_load,
)
from cassiaspread_core.placement import (
    Accelerator,
    Engine,
    LayerRange,
    ModelSpec,
    cache_capacity,
)

N_DAEMONS = 21
STREAMS_PER_S = 40.0
STREAM_S = 2.0
GOSSIP_INTERVAL_S = 1.0
DURATION_S = 12.0
MODEL = ModelSpec(
    n_layers=4,
    layer_mb=100.0,
    cache_mb_per_token=1.0,
    accelerators={
        "fast": Accelerator("fast", 50_400.0, 1.0),
        "slow": Accelerator("slow", 50_400.0, 4.0),
    },
)
DEMAND = RequestDemand(800, 200, "d")
# Each engine holds the complete model and has KV cache for 50 streams.
ENGINES = [
    Engine(
        target=name,
        service="pool",
        address=name,
        domain="d",
        accelerator=name,
        layers=LayerRange(0, 4),
        n_slots=1000,
    )
    for name in ("fast", "slow")
]


class Fleet:
    """Simulation of daemons that start streams at random and gossip once a second."""

    def __init__(self, seed, counts_unreported):
        self.random_state = random.Random(seed)
        self.counts_unreported = counts_unreported
        self.ledgers = [LoadLedger() for _ in range(N_DAEMONS)]
        self.unreported = [
            UnreportedStarts(self.random_state) for _ in range(N_DAEMONS)
        ]
        self.gossip_due_s = [
            self.random_state.uniform(0, GOSSIP_INTERVAL_S) for _ in self.ledgers
        ]
        self.ends = []
        self.n_over_capacity = 0
        self.n_fast = []

    def run(self):
        now_s = 0.0
        while now_s < DURATION_S:
            now_s += self.random_state.expovariate(STREAMS_PER_S)
            self._end(now_s)
            self._gossip(now_s)
            self._start(self.random_state.randrange(N_DAEMONS), now_s)
            self.n_fast.append(self._n_on("fast"))

    def _end(self, now_s):
        for end in [e for e in self.ends if e[0] <= now_s]:
            self.ends.remove(end)
            _, daemon, target, load = end
            self.ledgers[daemon].remove(target, load)

    def _gossip(self, now_s):
        for daemon, at_s in enumerate(self.gossip_due_s):
            if now_s < at_s:
                continue
            self.gossip_due_s[daemon] += GOSSIP_INTERVAL_S
            for peer in range(N_DAEMONS):
                if peer != daemon:
                    self._send_loads(daemon, peer, now_s)
                    self._send_loads(peer, daemon, now_s)

    def _send_loads(self, daemon, peer, now_s):
        own = self.ledgers[daemon].own
        loads = {target: msgspec.structs.replace(load) for target, load in own.items()}
        self.ledgers[peer].record_peer_load(str(daemon), loads, now_s)

    def _start(self, daemon, now_s):
        ledger, unreported = self.ledgers[daemon], self.unreported[daemon]
        n_unreported = (
            unreported.draw(N_DAEMONS - 1, now_s) if self.counts_unreported else 0.0
        )
        chain = choose_chain(
            MODEL,
            ENGINES,
            DEMAND,
            lambda e: ledger.total(e.target),
            n_unreported=n_unreported,
        )
        if chain is None:
            return
        unreported.record_start(now_s)
        [stage] = chain
        load = stage_load(stage, DEMAND, is_head=True)
        ledger.add(stage.engine.target, load)
        self.ends.append((now_s + STREAM_S, daemon, stage.engine.target, load))
        capacity = cache_capacity(stage.engine, MODEL) / load.token_layers
        self.n_over_capacity += self._n_on(stage.engine.target) > capacity

    def _n_on(self, target):
        return sum(end[2] == target for end in self.ends)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_streams_do_not_overfill_the_best_chain(seed):
    reported_only = Fleet(seed, counts_unreported=False)
    reported_only.run()
    counted = Fleet(seed, counts_unreported=True)
    counted.run()
    assert reported_only.n_over_capacity > 0
    assert counted.n_over_capacity < reported_only.n_over_capacity / 2


def test_most_cache_is_still_used():
    fleet = Fleet(seed=4, counts_unreported=True)
    fleet.run()
    capacity = cache_capacity(ENGINES[0], MODEL) / (DEMAND.tokens * MODEL.n_layers)
    settled = fleet.n_fast[len(fleet.n_fast) // 3 :]
    assert statistics.fmean(settled) > 0.6 * capacity


def test_single_daemon_assumes_no_unreported_starts():
    unreported = UnreportedStarts(random.Random(5))
    for n in range(20):
        unreported.record_start(n / 20)
    assert unreported.draw(0, 1.0) == 0.0
