"""Appends to the log per booking, with and without committers, and added latency.

Nine daemons in three domains accept bookings at fixed rates, with as many idempotent
calls to the same service alongside. The log responds after 5 ms.

Run: ``.venv/bin/python -m benchmarks.bench_claims``
"""

import json
import random
import statistics
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from cassiaspread_core.policy import EntryKind
from tests.booking_history import CALLER, PATH, book, new_key
from tests.fleet import Fleet, Process, request, wait_for

DOMAINS = ("osorno-norte", "cautin", "llanquihue")
N_DAEMONS = 9
RATES_PER_S = (30, 150)
PHASE_S = 6.0
LOG_DELAY_S = 0.005
N_THREADS = 32
SEED = 1


class Phase(NamedTuple):
    """Results at one rate.

    :param appends_per_booking: appends to the log for each confirmed booking.
    :param booking_ms: latencies of confirmed bookings.
    :param direct_ms: latencies of idempotent calls.
    :param n_failed: bookings that were not confirmed.
    """

    appends_per_booking: float
    booking_ms: list[float]
    direct_ms: list[float]
    n_failed: int


def timed(call: Callable[[], bool]) -> tuple[bool, float]:
    """Run a call; return whether it succeeded and its duration in milliseconds.

    :param call: returns whether it succeeded.
    """
    started_s = time.perf_counter()
    is_successful = call()
    return is_successful, 1000 * (time.perf_counter() - started_s)


def get(daemon: Process) -> bool:
    """Send an idempotent call.

    :param daemon: receiver of the call.
    """
    return request("GET", daemon.address, PATH, headers=CALLER)[0] == 200


def n_appends(fleet: Fleet) -> int:
    """Return the number of appends that the log has accepted so far.

    :param fleet: the fleet.
    """
    return json.loads(request("GET", fleet.log.address, "/control")[2])["n_appends"]


def run_phase(fleet: Fleet, daemons: list[Process], rate_per_s: int) -> Phase:
    """Send bookings and idempotent calls, both at the given rate.

    :param fleet: the fleet.
    :param daemons: its daemons.
    :param rate_per_s: bookings a second over all daemons.
    """
    random_state = random.Random(SEED)
    before = n_appends(fleet)
    bookings, direct = [], []
    with ThreadPoolExecutor(N_THREADS) as pool:
        started_s = time.perf_counter()
        for index in range(int(rate_per_s * PHASE_S)):
            due_s = started_s + index / rate_per_s
            time.sleep(max(0.0, due_s - time.perf_counter()))
            daemon, other = random_state.sample(daemons, 2)
            booking = (lambda d: lambda: book(d, new_key()).status == 200)(daemon)
            bookings.append(pool.submit(timed, booking))
            direct.append(pool.submit(timed, (lambda d: lambda: get(d))(other)))
    time.sleep(1.0)
    results = [future.result() for future in bookings]
    booking_ms = [ms for is_successful, ms in results if is_successful]
    return Phase(
        (n_appends(fleet) - before) / len(booking_ms),
        booking_ms,
        [ms for is_successful, ms in (f.result() for f in direct) if is_successful],
        len(results) - len(booking_ms),
    )


def quantiles(values_ms: list[float]) -> str:
    """Format the median and the 95th percentile.

    :param values_ms: latencies in milliseconds.
    """
    cuts = statistics.quantiles(values_ms, n=20)
    return f"p50 {cuts[9]:.1f} ms, p95 {cuts[18]:.1f} ms"


def measure(has_committers: bool) -> dict[int, Phase]:
    """Start a fleet, run all rates and print the results.

    :param has_committers: whether batches go through committers.
    """
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.publish_base_configuration()
        limits = {"uses_claim_committers": has_committers}
        fleet.publish(EntryKind.LIMITS, "", limits)
        for domain in DOMAINS:
            fleet.start_service(f"booking-{domain}", domain)
        daemons = [
            fleet.start_daemon(f"d{i}", DOMAINS[i % 3]) for i in range(N_DAEMONS)
        ]
        for daemon in daemons:
            fleet.wait_ready(daemon)
            wait_for(lambda d=daemon: book(d, new_key()).status == 200)
        time.sleep(2.0)
        fleet.log.control(delay_s=LOG_DELAY_S)
        phases = {}
        for rate_per_s in RATES_PER_S:
            phase = phases[rate_per_s] = run_phase(fleet, daemons, rate_per_s)
            print(
                f"committers {has_committers}, {rate_per_s} bookings/s: "
                f"{phase.appends_per_booking:.3f} appends per booking, "
                f"booking {quantiles(phase.booking_ms)}, "
                f"direct {quantiles(phase.direct_ms)}, {phase.n_failed} failed",
                flush=True,
            )
        return phases


def main() -> None:
    """Measure with and without committers and print the ratios."""
    without, with_them = measure(False), measure(True)
    rate_per_s = RATES_PER_S[-1]
    medians = [
        statistics.median(values)
        for values in (
            with_them[rate_per_s].booking_ms,
            with_them[rate_per_s].direct_ms,
        )
    ]
    print(f"added latency at {rate_per_s}/s: {medians[0] - medians[1]:.1f} ms")
    ratio = (
        with_them[rate_per_s].appends_per_booking
        / without[rate_per_s].appends_per_booking
    )
    print(f"ratio appends per booking, committers over none: {ratio:.3f}")


if __name__ == "__main__":
    main()
