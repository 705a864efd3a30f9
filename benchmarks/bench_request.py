"""CPU time that one request costs a daemon, not counting its tokens.

Completions of one token arrive at two rates; the slope between them is the cost of a
request, independent of what the daemon spends without requests. The last line is the
ratio of a daemon's share of requests at the design size to what one core carries.
"""

import argparse
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.bench_relay import call, read_cpu_s, start
from tests.fleet import Fleet, Process

TARGET_REQUESTS_PER_S = 11_000 / 410
N_CALLERS = 16
BODY = {"model": "draft", "prompt": "loin", "max_tokens": 1}


def measure(daemon: Process, rate_per_s: float, measure_s: float) -> tuple[int, float]:
    """Send requests; return the number completed and the cores the daemon used."""
    cpu_s = read_cpu_s(daemon.popen.pid)
    started_s = time.perf_counter()
    with ThreadPoolExecutor(N_CALLERS) as pool:
        responses = []
        for index in range(int(rate_per_s * measure_s)):
            wait_s = started_s + index / rate_per_s - time.perf_counter()
            time.sleep(max(0.0, wait_s))
            responses.append(pool.submit(call, daemon, BODY))
        n_complete = sum(response.result()[0] == 200 for response in responses)
    elapsed_s = time.perf_counter() - started_s
    return n_complete, (read_cpu_s(daemon.popen.pid) - cpu_s) / elapsed_s


def main() -> None:
    """Measure and print the figures, the ratio last."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rates-per-s", type=float, nargs=2, default=[20.0, 100.0])
    parser.add_argument("--measure-s", type=float, default=8.0)
    arguments = parser.parse_args()
    low, high = arguments.rates_per_s
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        _, daemon = start(fleet)
        cores = {}
        for rate_per_s in (low, high):
            n_complete, cores[rate_per_s] = measure(
                daemon, rate_per_s, arguments.measure_s
            )
            print(
                f"{rate_per_s:.0f} requests/s: {n_complete} answered in full, "
                f"{cores[rate_per_s]:.3f} cores"
            )
    per_request_s = (cores[high] - cores[low]) / (high - low)
    print(f"{1e3 * per_request_s:.2f} ms of a core a request")
    print(
        f"target's requests of a daemon / one core: "
        f"{TARGET_REQUESTS_PER_S * per_request_s:.3f}"
    )


if __name__ == "__main__":
    main()
