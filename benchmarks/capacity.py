"""Generates docs/design/own-interface-costs.md from measured slopes: ``make docs``.

``slopes.toml`` contains each slope with its benchmark and commit; from these the cost
of each role at the design size is computed.
"""

import tomllib
from pathlib import Path
from typing import NamedTuple

import msgspec

SLOPES_PATH = Path(__file__).with_name("slopes.toml")
DEPLOYMENT_PATH = Path(__file__).with_name("deployment.toml")
SECONDS_PER_DAY = 86_400

N_DAEMONS, N_DOMAINS, N_REGIONS = 410, 14, 5
N_ENGINES, N_ORGANISATIONS, N_MODELS = 5_900, 8_600, 10
REQUESTS_PER_S, TOKENS_PER_S = 11_000, 4_800_000
TOKEN_INTERVAL_S = 0.029
CHANGES_PER_DAY = 27_000
RESTARTS_PER_DAY, FAILURES_PER_DAY = 1_100, 110
BUDGET_CORE, BUDGET_MEMORY_MB, BUDGET_BYTES_PER_S = 0.041, 256, 15_000
LOG_APPENDS_PER_S = 300
RETENTION_DAYS = 7
DEDUPE_WINDOW_S = 86_400
N_MEASURED_DOMAINS = 3
BOOKING_SHARES = (0.001, 0.01, 0.05)
CHANGE_BURST_FACTOR = 10


class Slope(msgspec.Struct, frozen=True):
    """Measured cost of a unit of work or state.

    :param value: measured value.
    :param unit: unit of the value.
    :param benchmark: module in ``benchmarks/`` that printed the value.
    :param commit: commit that was measured.
    """

    value: float
    unit: str
    benchmark: str
    commit: str


class DeploymentRun(msgspec.Struct, frozen=True):
    """Processor time of a gateway in a deployment, in ms.

    :param n_daemons: number of daemons, in ``N_MEASURED_DOMAINS`` domains.
    :param load_1min: load of the machine at the end of the run.
    :param start: parts of a start.
    :param rest: parts of a second at rest.
    :param load: parts of a second under requests.
    """

    n_daemons: int
    load_1min: float
    start: dict[str, float]
    rest: dict[str, float]
    load: dict[str, float]

    @property
    def n_peers(self) -> int:
        """Other daemons of the same domain."""
        return self.n_daemons // N_MEASURED_DOMAINS - 1


class Row(NamedTuple):
    """Cost of one role."""

    role: str
    mechanism: str
    state: str
    messages: str
    bytes_per_s: str
    cpu: str
    memory: str
    slopes: tuple[str, ...]


def read_slopes() -> dict[str, Slope]:
    """Return the measured slopes by name."""
    return msgspec.convert(
        tomllib.loads(SLOPES_PATH.read_text()), type=dict[str, Slope]
    )


def read_deployment_runs() -> list[DeploymentRun]:
    """Return the measured runs of ``bench_deployment``, smallest first."""
    runs = tomllib.loads(DEPLOYMENT_PATH.read_text())["run"]
    return msgspec.convert(runs, type=list[DeploymentRun])


def format_percent(share_of_core: float) -> str:
    """Format a share of a core as a percentage."""
    return f"{100 * share_of_core:.2f} %"


def format_bytes(n_bytes: float) -> str:
    """Format a number of bytes in KB or MB."""
    if n_bytes >= 1e6:
        return f"{n_bytes / 1e6:,.1f} MB"
    return f"{n_bytes / 1e3:,.2f} KB"


def relay_rows(v: dict[str, float]) -> list[Row]:
    """Return the rows of the roles on the request path.

    :param v: values of the slopes by name.
    """
    tokens_per_s = TOKENS_PER_S / N_DAEMONS
    requests_per_s = REQUESTS_PER_S / N_DAEMONS
    n_streams = TOKENS_PER_S * TOKEN_INTERVAL_S / N_DAEMONS
    return [
        Row(
            "relaying entry (not control)",
            "source routing: one hop through the daemon a token",
            f"{n_streams:.0f} streams",
            f"{tokens_per_s:,.0f} tokens/s",
            "tokens themselves",
            format_percent(tokens_per_s * v["relay_us_per_token"] / 1e6),
            format_bytes(n_streams * v["relay_bytes_per_stream"]),
            ("relay_us_per_token", "relay_bytes_per_stream"),
        ),
        Row(
            "request (not control)",
            "checks, plan, admission, watch",
            "in progress only",
            f"{requests_per_s:.1f} requests/s",
            "requests themselves",
            format_percent(requests_per_s * v["request_ms"] / 1e3),
            "in the streams' share",
            ("request_ms",),
        ),
        Row(
            "planner (in the request's share)",
            "shortest path over the domain's layered graph",
            f"{N_ENGINES / N_DOMAINS:.0f} reports",
            f"{requests_per_s:.1f} plans/s",
            "none",
            format_percent(requests_per_s * v["plan_ms"] / 1e3),
            "in control",
            ("plan_ms",),
        ),
    ]


def control_rows(v: dict[str, float]) -> list[Row]:
    """Return the rows of the control roles of one daemon.

    :param v: values of the slopes by name.
    """
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    record_bytes = v["policy_state_bytes"] / (N_ORGANISATIONS + N_MODELS + 5)
    checkpoint_s = RETENTION_DAYS / 2 * SECONDS_PER_DAY
    n_polled = 2 * N_ENGINES / N_DAEMONS
    return [
        Row(
            "member, poller, delegate (together, domain of the aimed size)",
            "gossip within the domain, two delegates between domains, two pollers "
            "an engine, deltas to the others",
            f"28 peers, 421 engines, {n_polled:.0f} polled",
            f"{28 + 2 * n_polled:.0f}/s",
            format_bytes(v["control_bytes_per_s"]),
            format_percent(v["control_core"]),
            format_bytes(v["control_memory_bytes"]),
            ("control_bytes_per_s", "control_core", "control_memory_bytes"),
        ),
        Row(
            "log reader: configuration",
            "long poll of the stream; peers pass records on when the log is away",
            f"{N_ORGANISATIONS + N_MODELS:,} entries",
            f"{changes_per_s:.2f} records/s",
            format_bytes(changes_per_s * record_bytes * 4 / 3),
            format_percent(
                changes_per_s * (v["policy_record_ms"] + v["policy_fold_ms"]) / 1e3
            ),
            format_bytes(v["policy_memory_bytes"]),
            (
                "policy_record_ms",
                "policy_fold_ms",
                "policy_state_bytes",
                "policy_memory_bytes",
            ),
        ),
        Row(
            "checkpoint writer (whichever daemon is first)",
            "state and offset covered, before half the retention",
            format_bytes(v["policy_state_bytes"]),
            f"8 appends each {RETENTION_DAYS / 2:g} days",
            format_bytes(v["policy_state_bytes"] / checkpoint_s),
            f"{v['checkpoint_write_s']:.3f} s each",
            "in the reader's",
            ("policy_state_bytes", "checkpoint_write_s"),
        ),
        Row(
            "admission and shares",
            "demand of organisations in gossip",
            f"{N_ORGANISATIONS:,} organisations",
            "in gossip",
            "in gossip",
            "in the request's share",
            format_bytes(v["shares_memory_bytes"]),
            ("shares_memory_bytes",),
        ),
    ]


def claim_table(v: dict[str, float]) -> list[str]:
    """Return the table of claim costs by the share of calls that run at most once.

    :param v: values of the slopes by name.
    """
    lines = [
        "| share of requests | bookings/s | appends/s | log bytes/s | fold in every "
        "daemon: CPU | bytes/s | memory at the full window |",
        "|---|---|---|---|---|---|---|",
    ]
    for share in BOOKING_SHARES:
        bookings_per_s = share * REQUESTS_PER_S
        n_keys = bookings_per_s * DEDUPE_WINDOW_S
        lines.append(
            f"| {100 * share:g} % | {bookings_per_s:.0f} "
            f"| {bookings_per_s * v['claim_appends']:.0f} "
            f"| {format_bytes(bookings_per_s * v['claim_log_bytes'])} "
            f"| {format_percent(bookings_per_s * v['claim_fold_us'] / 1e6)} "
            f"| {format_bytes(bookings_per_s * v['claim_log_bytes'] * 4 / 3)} "
            f"| {format_bytes(n_keys * v['claim_kept_bytes'])} |"
        )
    return lines


def burst_list(v: dict[str, float]) -> list[str]:
    """Return the list of load bursts and their costs.

    :param v: values of the slopes by name.
    """
    n_daemons = N_DAEMONS / N_DOMAINS
    n_streams = TOKENS_PER_S * TOKEN_INTERVAL_S / N_DAEMONS
    burst_changes_per_s = CHANGE_BURST_FACTOR * CHANGES_PER_DAY / SECONDS_PER_DAY
    record_s = (v["policy_record_ms"] + v["policy_fold_ms"]) / 1e3
    return [
        f"- **A whole domain restarts.** {n_daemons:.0f} blank daemons read "
        f"{format_bytes(v['policy_state_bytes'])} each, "
        f"{format_bytes(n_daemons * v['policy_state_bytes'])} together, from the log's "
        f"checkpoint (a blank start took {v['blank_start_checkpoint_s']:g} s with one "
        f"daemon at a time) or from peers ({v['blank_start_peer_s']:g} s); "
        f"{v['checkpoint_take_over_s']:g} s of a core each. A start by many at once "
        "was not measured.",
        "- **A region is cut.** Its daemons lose gossip with other regions' delegates "
        "and the log; nothing grows while it lasts. They go on with the configuration "
        "in force and their own targets. Calls with callers' keys are refused, tickets "
        "run. On rejoining each daemon reads what it missed: "
        f"{5 * 60 * CHANGES_PER_DAY / SECONDS_PER_DAY:.0f} records for five minutes.",
        f"- **A morning of {CHANGE_BURST_FACTOR} times the usual changes.** "
        f"{burst_changes_per_s:.1f} records/s cost "
        f"{format_percent(burst_changes_per_s * record_s)} of a core a daemon.",
        f"- **A neighbour with {n_streams:.0f} streams dies.** Callers repeat their "
        f"requests at the other {n_daemons - 1:.0f} daemons, "
        f"{n_streams / (n_daemons - 1):.0f} each, "
        f"{n_streams / (n_daemons - 1) * v['request_ms']:.0f} ms of a core each. With "
        f"few streams the next token came after {v['takeover_p50_ms']:.0f} ms (p50) "
        f"and {v['takeover_p95_ms']:.0f} ms (p95).",
    ]


def gateway_table(v: dict[str, float]) -> list[str]:
    """Return the table of gateway costs on the users' platform.

    :param v: values of the slopes by name.
    """
    requests_per_s = REQUESTS_PER_S / N_DAEMONS
    n_engines = N_ENGINES / N_DOMAINS
    n_peers = N_DAEMONS / N_DOMAINS - 1
    core = requests_per_s * v["gateway_chain_ms"] / 1000
    update_bytes = n_peers * n_engines * v["gateway_news_bytes"]
    return [
        "| role | mechanism | state | messages | cost |",
        "|---|---|---|---|---|",
        f"| choosing chains | shortest path over layers, work in progress | "
        f"{n_engines:.0f} engines | {requests_per_s:.1f} choices/s | "
        f"{format_percent(core)} of a core |",
        f"| sharing work in progress | gossip each second within the domain | "
        f"{n_engines:.0f} rows a peer | {n_peers:.0f} messages/s | "
        f"{format_bytes(update_bytes)}/s |",
        f"| placement duty | one daemon, a layout when engines come empty | "
        f"{N_ENGINES:,} engines | one order an engine | "
        f"{v['gateway_layout_ms']:.0f} ms of a core for {n_engines:.0f} engines |",
        f"| reading the store | one daemon a domain and topic, news to the others | "
        f"offsets | {N_DOMAINS * 2.25:.0f} reads/s over all domains | "
        "one call of the store each |",
    ]


def deployment_table(runs: list[DeploymentRun]) -> list[str]:
    """Return the processor time of a daemon by the number of daemons, and its slopes.

    :param runs: the runs, smallest first.
    """
    names = [name for name in runs[0].rest if name != "all"]
    head = "| daemons | peers | load | start | metrics read | part | "
    lines = [
        head + " | ".join(name.replace("_", " ") for name in names) + " | all |",
        "|---" * (len(names) + 7) + "|",
    ]
    for run in runs:
        begin = (
            f"| {run.n_daemons} | {run.n_peers} | {run.load_1min:.0f} "
            f"| {run.start['imports']:.0f} | {run.start['scrape']:.1f} "
        )
        for part, row in (("at rest", run.rest), ("requests", run.load)):
            cells = " | ".join(f"{row[name]:.1f}" for name in (*names, "all"))
            if part == "requests":
                part = f"{row['requests_per_s']:.2f} requests/s"
            lines.append(f"{begin}| {part} | {cells} |")
    first, last = runs[0], runs[-1]
    slopes = (
        (name, (last.rest[name] - first.rest[name]) / (last.n_peers - first.n_peers))
        for name in (*names, "all")
    )
    slope_cells = " | ".join(f"{slope:.2f}" for _, slope in slopes)
    lines.append(f"| a peer more | 1 | | | | at rest | {slope_cells} |")
    return lines


def total_table(v: dict[str, float]) -> list[str]:
    """Return the table of total control costs and their share of the budget.

    :param v: values of the slopes by name.
    """
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    record_bytes = v["policy_state_bytes"] / (N_ORGANISATIONS + N_MODELS + 5)
    core = v["control_core"] + changes_per_s * (
        (v["policy_record_ms"] + v["policy_fold_ms"]) / 1e3
    )
    n_bytes = v["control_bytes_per_s"] + changes_per_s * record_bytes * 4 / 3
    memory = (
        v["control_memory_bytes"] + v["policy_memory_bytes"] + v["shares_memory_bytes"]
    )
    return [
        "| | worked out | budget | share |",
        "|---|---|---|---|",
        f"| CPU | {format_percent(core)} | {format_percent(BUDGET_CORE)} "
        f"| {core / BUDGET_CORE:.2f} |",
        f"| bytes/s | {format_bytes(n_bytes)} | {format_bytes(BUDGET_BYTES_PER_S)} "
        f"| {n_bytes / BUDGET_BYTES_PER_S:.2f} |",
        f"| memory | {format_bytes(memory)} | {BUDGET_MEMORY_MB} MB "
        f"| {memory / 1e6 / BUDGET_MEMORY_MB:.2f} |",
    ]


def render_rows(rows: list[Row]) -> list[str]:
    """Return rows as a Markdown table.

    :param rows: one row per role.
    """
    lines = [
        "| role | mechanism | state | messages | bytes/s | CPU | memory | slopes |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        slopes = ", ".join(f"`{name}`" for name in row.slopes)
        lines.append("| " + " | ".join((*row[:-1], slopes)) + " |")
    return lines


def render_slopes(slopes: dict[str, Slope]) -> list[str]:
    """Return the slopes as a Markdown table.

    :param slopes: the slopes by name.
    """
    lines = ["| slope | value | benchmark | commit |", "|---|---|---|---|"]
    for name, slope in slopes.items():
        lines.append(
            f"| `{name}` | {slope.value:,g} {slope.unit} | `{slope.benchmark}` "
            f"| {slope.commit} |"
        )
    return lines


def render_page(
    template: str, slopes: dict[str, Slope], runs: list[DeploymentRun]
) -> str:
    """Render the page from its template.

    :param template: text with the names of the computed parts in braces.
    :param slopes: the slopes by name.
    :param runs: runs of ``bench_deployment``, smallest first.
    """
    v = {name: slope.value for name, slope in slopes.items()}
    n_keys_fit = 100e6 / v["claim_kept_bytes"]
    parts = {
        "relay": render_rows(relay_rows(v)),
        "control": render_rows(control_rows(v)),
        "totals": total_table(v),
        "bookings": claim_table(v),
        "bursts": burst_list(v),
        "gateway": gateway_table(v),
        "deployment": deployment_table(runs),
        "slopes": render_slopes(slopes),
    }
    return template.format(
        **{name: "\n".join(lines) for name, lines in parts.items()},
        bookings_fit=f"{n_keys_fit / DEDUPE_WINDOW_S:.1f}",
        window_fit_s=f"{n_keys_fit / (0.01 * REQUESTS_PER_S):.0f}",
        appends_fit=f"{LOG_APPENDS_PER_S / v['claim_appends']:.0f}",
        relay_cores=f"{TOKENS_PER_S / N_DAEMONS * v['relay_us_per_token'] / 1e6:.2f}",
        log_reads=f"{N_DAEMONS}",
        checkpoint=format_bytes(v["policy_state_bytes"]),
    )


def main() -> None:
    """Print the page."""
    template = SLOPES_PATH.with_name("capacity.md.in").read_text()
    print(render_page(template, read_slopes(), read_deployment_runs()), end="")


if __name__ == "__main__":
    main()
