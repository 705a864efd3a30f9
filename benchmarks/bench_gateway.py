"""Cost of the gateway's decisions and load updates, by the number of engines.

Run ``python -m benchmarks.bench_gateway``. Each figure is the median of repeated runs
in one process; sizes are those of the encoded messages.
"""

import random
import statistics
import time
from collections.abc import Callable

import msgspec

from benchmarks.pipeline_model import three_domains
from cassiaspread_core.chains import LoadLedger, RequestDemand, choose_chain, stage_load
from cassiaspread_core.placement import Engine, plan_layout, plan_moves
from cassiaspread_daemon.gateway._loads import LoadReport, _to_row

SIZES = (38, 152, 418)
N_RUNS = 15


def median_ms(run: Callable[[], object]) -> float:
    """Return the median time of a call in milliseconds."""
    times_ms = []
    for _ in range(N_RUNS):
        start_s = time.perf_counter()
        run()
        times_ms.append((time.perf_counter() - start_s) * 1000)
    return statistics.median(times_ms)


def make_engines(n_engines: int) -> list[Engine]:
    """Return a number of engines, copied from the model of three domains."""
    _, base = three_domains()
    copies = [
        msgspec.structs.replace(e, target=f"{e.target}-{n}", address=f"{e.address}-{n}")
        for n in range(-(-n_engines // len(base)))
        for e in base
    ]
    return copies[:n_engines]


def measure(n_engines: int) -> None:
    """Print the figures of one number of engines."""
    model, _ = three_domains()
    empty = make_engines(n_engines)
    layout = plan_layout(model, empty, {})
    engines = [msgspec.structs.replace(e, layers=layout[e.target]) for e in empty]
    ledger, random_state = LoadLedger(), random.Random(1)
    demand = RequestDemand(774, 210, "a")
    for _ in range(340):
        chain = choose_chain(model, engines, demand, lambda e: ledger.total(e.target))
        if chain is None:
            break
        for n, stage in enumerate(chain):
            ledger.add(stage.engine.target, stage_load(stage, demand, n == 0))
    chain_ms = median_ms(
        lambda: choose_chain(model, engines, demand, lambda e: ledger.total(e.target))
    )
    lost = random_state.choice([e for e in engines if e.accelerator == "large"])
    remaining = [e for e in engines if e is not lost]
    layers_by_target = {e.target: e.layers for e in remaining}
    layout_ms = median_ms(lambda: plan_layout(model, empty, {}))
    moves_ms = median_ms(lambda: plan_moves(model, remaining, layers_by_target, ()))
    rows = {target: _to_row(load) for target, load in ledger.own.items()}
    update = msgspec.msgpack.encode(LoadReport(rows, rows))
    print(
        f"{n_engines} engines: chain {chain_ms:.2f} ms, layout {layout_ms:.1f} ms, "
        f"moves {moves_ms:.1f} ms, loads of {len(rows)} engines {len(update)} bytes"
    )


def main() -> None:
    """Print the figures of all sizes."""
    for n_engines in SIZES:
        measure(n_engines)


if __name__ == "__main__":
    main()
