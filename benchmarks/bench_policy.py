"""Propagation of configuration, and the cost of its state at the design size.

``.venv/bin/python -m benchmarks.bench_policy``; sizes are flags. The last line is
the ratio of the 99th percentile of the propagation time to the bound of 10 s.
"""

import argparse
import http.client
import json
import os
import resource
import statistics
import tempfile
import time
from pathlib import Path

import msgspec

from cassiaspread_core.policy import (
    CheckpointAssembler,
    EntryKind,
    EntryRecord,
    PolicyState,
    hash_token,
    split_snapshot,
)
from tests.fleet import Fleet, Process, bearer, request, wait_for

BOUND_S = 10.0
N_ORGANISATIONS = 8600
N_MODELS = 10
OPERATOR = bearer("operator-token")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024


def build_records(n_organisations: int) -> list[bytes]:
    """Return the configuration records of a fleet of the design size."""
    records = [
        EntryRecord(
            kind=EntryKind.ORGANISATION,
            name=f"organisation-{index}",
            replaces=None,
            value={"token_sha256": [hash_token(str(index))], "weight": 1.0},
            author="bench",
            change=f"01a23e0a-6f0a-734f-bcf1-{index:012d}",
        )
        for index in range(n_organisations)
    ]
    records += [
        EntryRecord(
            kind=EntryKind.MODEL,
            name=f"model-{index}",
            replaces=None,
            value={"n_layers": 48},
            author="bench",
        )
        for index in range(N_MODELS)
    ]
    return [msgspec.json.encode(record) for record in records]


def measure_cpu_s(run) -> tuple[float, object]:
    """Return the CPU seconds that a call takes, and its result."""
    begin_s = time.process_time()
    result = run()
    return time.process_time() - begin_s, result


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIBIBYTE
    return 0


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def bench_state(values: list[bytes]) -> None:
    """Print the cost of the fold and of a checkpoint at the design size."""
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    state = PolicyState()
    page_s, _ = measure_cpu_s(lambda: state.fold(0, list(enumerate(values))))
    grown_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    n = len(values)
    print(f"a record: {sum(map(len, values)) / n:.0f} bytes")
    print(f"fold, {n} records in one page: {page_s / n * 1e6:.1f} us CPU a record")
    changes = [
        EntryRecord(
            kind=EntryKind.ORGANISATION,
            name=f"organisation-{index}",
            replaces=index,
            value={"token_sha256": [hash_token(str(index))], "weight": 2.0},
            author="bench",
        )
        for index in range(200)
    ]
    encoded = [msgspec.json.encode(change) for change in changes]
    single_s, _ = measure_cpu_s(
        lambda: [state.fold(n + i, [(n + i, v)]) for i, v in enumerate(encoded)]
    )
    print(f"fold, one record a page: {single_s / 200 * 1e6:.1f} us CPU a record")
    split_s, parts = measure_cpu_s(
        lambda: [msgspec.json.encode(p) for p in split_snapshot(state.snapshot(), "c")]
    )
    n_bytes = sum(len(part) for part in parts)
    print(f"checkpoint: {split_s:.4f} s CPU, {n_bytes} bytes in {len(parts)} records")
    load_s, blank = measure_cpu_s(lambda: restore_checkpoint(parts))
    assert blank.digest == state.digest
    print(f"taking it over: {load_s:.4f} s CPU; state: {grown_kib} KiB at its peak")


def restore_checkpoint(parts: list[bytes]) -> PolicyState:
    """Build a state from the records of a checkpoint."""
    state, assembler = PolicyState(), CheckpointAssembler()
    for part in parts:
        snapshot = assembler.add_record(1 << 40, part)
        if snapshot is not None:
            state.replace_by(snapshot)
    return state


class Appender:
    """Appends over one connection."""

    def __init__(self, address: str) -> None:
        self._connection = http.client.HTTPConnection(address)

    def append(self, value: bytes) -> int:
        """Append and return the offset."""
        self._connection.request("POST", "/streams/policy", value)
        return json.loads(self._connection.getresponse().read())["offset"]


def accepted_at_ms(daemon: Process) -> dict[int, int]:
    """Return when each record came into force on a daemon, in milliseconds."""
    body = request("GET", daemon.address, "/operators/events", headers=OPERATOR)[2]
    events = [e for e in json.loads(body) if e["kind"] == "policy.accepted"]
    return {event["fields"]["offset"]: event["timestamp"][0] for event in events}


def publish_changes(
    fleet: Fleet, n_records: int, interval_s: float
) -> dict[int, float]:
    """Change one model repeatedly and return when each change was appended."""
    appender, times_s, replaces = Appender(fleet.log.address), {}, 0
    for index in range(n_records):
        record = EntryRecord(
            kind=EntryKind.MODEL,
            name="draft",
            replaces=replaces,
            value={"n_layers": 8 + index % 2},
            author="bench",
        )
        begin_s = time.time()
        replaces = appender.append(msgspec.json.encode(record))
        times_s[replaces] = begin_s
        time.sleep(interval_s)
    return times_s


def bench_spread(n_daemons: int, n_records: int, n_cut: int) -> float:
    """Print how long records take to come into force; return the 99th percentile."""
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.publish_base_configuration()
        cut = fleet.start_proxy("cut", fleet.log.address)
        cut.set("cut")
        daemons = [
            fleet.start_daemon(
                f"d{index}",
                "cautin",
                log=cut.address if index < n_cut else fleet.log.address,
                poll_interval_ms=1000,
            )
            for index in range(n_daemons)
        ]
        for daemon in daemons:
            fleet.wait_ready(daemon)
        watched = daemons[-1].popen.pid
        begin_cpu_s, begin_s = cpu_s(watched), time.monotonic()
        time.sleep(5.0)
        idle_cores = (cpu_s(watched) - begin_cpu_s) / (time.monotonic() - begin_s)
        begin_cpu_s, begin_s = cpu_s(watched), time.monotonic()
        times_s = publish_changes(fleet, n_records, 0.05)
        last = max(times_s)
        wait_for(lambda: all(last in accepted_at_ms(d) for d in daemons), BOUND_S)
        used_s = (
            cpu_s(watched) - begin_cpu_s - idle_cores * (time.monotonic() - begin_s)
        )
        delays_s = sorted(
            in_force[offset] / 1000 - begin_s
            for in_force in map(accepted_at_ms, daemons)
            for offset, begin_s in times_s.items()
        )
        p99_s = statistics.quantiles(delays_s, n=100)[98]
        print(
            f"propagation to {n_daemons} daemons, {n_cut} of them cut off from the "
            f"log, {n_records} records: p50 {statistics.median(delays_s):.3f} s, "
            f"p99 {p99_s:.3f} s, max {delays_s[-1]:.3f} s"
        )
        print(f"a daemon with the log: {used_s / n_records * 1000:.2f} ms CPU a record")
        return p99_s


def start_blank(fleet: Fleet, name: str, n_records: int, **flags) -> tuple:
    """Start a daemon; return it and the seconds until all records are in force."""
    begin_s = time.monotonic()
    daemon = fleet.start_daemon(name, "cautin", **flags)

    def is_complete() -> bool:
        path = "/operators/status"
        status, _, body = request("GET", daemon.address, path, headers=OPERATOR)
        is_available = status == 200
        return is_available and json.loads(body)["policy"]["next_offset"] >= n_records

    wait_for(is_complete)
    return daemon, time.monotonic() - begin_s


def bench_blank_start(values: list[bytes]) -> None:
    """Print how long a blank daemon takes to reach the full state by each path."""
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.publish_base_configuration()
        empty, empty_s = start_blank(fleet, "empty", 5)
        empty_bytes = resident_bytes(empty.popen.pid)
        empty.kill()
        appender = Appender(fleet.log.address)
        end = 1 + max(appender.append(value) for value in values)
        first, log_s = start_blank(fleet, "first", end)
        grown_bytes = resident_bytes(first.popen.pid) - empty_bytes
        print(
            f"a daemon's memory grows by {grown_bytes} bytes over an empty "
            "configuration"
        )
        cut = fleet.start_proxy("cut", fleet.log.address)
        cut.set("cut")
        _, peer_s = start_blank(fleet, "second", end, log=cut.address)
        state = PolicyState()
        state.fold(0, stream_records(fleet))
        for part in split_snapshot(state.snapshot(), "c"):
            appender.append(msgspec.json.encode(part))
        fleet.log.control(truncate={"policy": end})
        first.kill()
        fleet.processes["second"].kill()
        _, checkpoint_s = start_blank(fleet, "third", end)
        print(
            f"blank start to {end} records in force: by the log {log_s:.2f} s, by a "
            f"peer {peer_s:.2f} s, by a checkpoint {checkpoint_s:.2f} s; with 5 "
            f"records {empty_s:.2f} s"
        )


def stream_records(fleet: Fleet) -> list[tuple[int, bytes]]:
    """Read all records of the stream."""
    path = "/streams/policy?start=0&n_records=1000000"
    page = msgspec.json.decode(request("GET", fleet.log.address, path)[2])
    return [
        (r["offset"], msgspec.convert(r["value"], bytes, strict=False))
        for r in page["records"]
    ]


def main() -> None:
    """Run all parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--n-daemons", type=int, default=12)
    parser.add_argument("--n-records", type=int, default=200)
    parser.add_argument("--n-organisations", type=int, default=N_ORGANISATIONS)
    arguments = parser.parse_args()
    values = build_records(arguments.n_organisations)
    bench_state(values)
    bench_blank_start(values)
    n_daemons, n_records = arguments.n_daemons, arguments.n_records
    p99_s = bench_spread(n_daemons, n_records, 0)
    p99_s = max(p99_s, bench_spread(n_daemons, n_records, n_daemons // 3))
    print(f"ratio of the propagation's p99 to the bound: {p99_s / BOUND_S:.4f}")


if __name__ == "__main__":
    main()
