"""Daemons follow the policy stream through outages, partitions, kills and races."""

import asyncio
import json
import os
import random
import signal
import threading
import time
from argparse import Namespace

import pytest
from msgspec.json import encode

from cassiaspread_cli._context import read_context
from cassiaspread_cli._log import PolicyLog
from cassiaspread_cli._publish import Outcome, publish
from cassiaspread_core.policy import (
    EntryKind,
    RulesRecord,
    build_record,
    plan_changes,
    read_policy_file,
)
from tests.fleet import Fleet, bearer, request, wait_for
from tests.policy_fleet import (
    PROPAGATION_BOUND_S,
    Isolation,
    PartitionedFleet,
    PolicyChecker,
    copy_stream,
    get_as_operator,
    policy_status,
    read_stream,
    run_cli,
    sample_daemons,
)

DOMAINS = ("osorno-norte", "cautin", "llanquihue")
HISTORY_S = float(os.environ.get("CASSIASPREAD_HISTORY_S", "10"))
RETENTION_S = 4
# Operators go on until two of them have met; how often they do depends on the load.
REJECTION_BOUND_S = 60.0
SEED = int(os.environ.get("CASSIASPREAD_HISTORY_SEED", "1"))


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.publish_base_configuration()
        yield fleet


@pytest.fixture
def partitioned(fleet):
    return PartitionedFleet(fleet, DOMAINS)


def not_ready_reasons(daemon):
    return "; ".join(
        json.loads(request("GET", daemon.address, "/readyz")[2])["reasons"]
    )


def wait_for_agreement(daemons):
    """Wait until all daemons have applied the same records; return their number."""

    def agreed_offset():
        positions = {
            (s["next_offset"], s["digest"]) for s in map(policy_status, daemons)
        }
        return len(positions) == 1 and next(iter(positions))[0]

    return wait_for(agreed_offset, PROPAGATION_BOUND_S)


def write_file(fleet, name, text):
    path = fleet.directory / name
    path.write_text(text)
    return path


def models_file(fleet, name, n_layers):
    return write_file(fleet, name, f"[models.draft]\nn_layers = {n_layers}\n")


def test_domain_cut_off_from_the_log_follows_a_peer(fleet, partitioned):
    partitioned.log_routes["cautin"].set("silence")
    connected = partitioned.start("d1", "osorno-norte")
    cut_off = partitioned.start("d2", "cautin")
    fleet.wait_ready(connected)
    fleet.wait_ready(cut_off)
    offset = fleet.publish(EntryKind.MODEL, "late", {"n_layers": 4})
    wait_for(
        lambda: policy_status(cut_off)["next_offset"] > offset, PROPAGATION_BOUND_S
    )
    assert policy_status(cut_off)["source"] == "peer"
    partitioned.log_routes["cautin"].set("pass")
    wait_for(lambda: not policy_status(cut_off)["log_error"], PROPAGATION_BOUND_S)
    fleet.publish(EntryKind.MODEL, "later", {"n_layers": 4})
    wait_for(lambda: policy_status(cut_off)["source"] == "log", PROPAGATION_BOUND_S)
    wait_for_agreement([connected, cut_off])


def test_start_without_state_during_a_log_outage_uses_the_state_of_a_peer(
    fleet, partitioned
):
    old = partitioned.start("d1", "cautin")
    fleet.wait_ready(old)
    fleet.log.control(available=False)
    isolated = partitioned.start("d2", "llanquihue", peer_mode="cut")
    wait_for(
        lambda: "the log answered 503; no peer has it" in not_ready_reasons(isolated)
    )
    new = partitioned.start("d3", "cautin")
    fleet.wait_ready(new)
    wait_for_agreement([old, new])
    partitioned.set_peers("llanquihue", "pass")
    fleet.wait_ready(isolated)


def test_start_without_state_after_truncation(fleet, partitioned):
    first = partitioned.start("d1", "cautin", log_retention_s=2)
    n_records = wait_for(lambda: policy_status(first)["next_offset"])
    wait_for(lambda: len(read_stream(fleet)) > n_records, PROPAGATION_BOUND_S)
    fleet.log.control(truncate={"policy": n_records})
    isolated = partitioned.start("d2", "llanquihue", peer_mode="cut")
    fleet.wait_ready(isolated)
    assert b'"checkpoint"' in get_as_operator(isolated, "/operators/events")
    wait_for_agreement([first, isolated])


def test_truncation_without_a_checkpoint_is_reported(fleet, partitioned):
    fleet.log.control(truncate={"policy": 3})
    new = partitioned.start("d1", "cautin")
    wait_for(lambda: "no checkpoint that covers them" in not_ready_reasons(new))
    assert request("GET", new.address, "/readyz")[0] == 503


def test_malformed_records_are_skipped_on_all_daemons(fleet, partitioned):
    daemons = [partitioned.start(f"d{i}", domain) for i, domain in enumerate(DOMAINS)]
    junk = [b"", b"\xff\xfe", b"{}", b"[" * 9999, encode({"type": "entry"})]
    for value in junk:
        request("POST", fleet.log.address, "/streams/policy", value)
    fleet.publish(EntryKind.MODEL, "draft", {"n_layers": 99})
    fleet.publish(EntryKind.MODEL, "late", {"n_layers": 0})
    wait_for_agreement(daemons)
    for daemon in daemons:
        status = policy_status(daemon)
        assert (status["n_skipped"], status["n_rejected"]) == (len(junk), 2)
        assert len(status["rejected"]) == len(junk) + 2
    status, output, errors = run_cli(fleet, daemons, "status")
    assert (status, output.count("ready")) == (0, 1 + len(daemons))
    assert f"{len(junk)} records of the stream are no configuration" in errors
    lines = run_cli(fleet, [], "policy", "history")[1]
    assert (lines.count("skipped"), lines.count("rejected")) == (len(junk), 2)


def test_unreachable_daemon_is_named(fleet, partitioned):
    daemons = [partitioned.start(f"d{i}", domain) for i, domain in enumerate(DOMAINS)]
    wait_for_agreement(daemons)
    path = models_file(fleet, "a.toml", 9)
    daemons[2].signal(signal.SIGSTOP)
    for arguments in (("status",), ("targets",), ("policy", "apply", path, "--wait")):
        arguments = (*arguments, "--timeout-s", "2")
        status, output, errors = run_cli(fleet, daemons, *arguments)
        assert (status, daemons[2].address in errors) == (5, True)
        assert output
    assert "in force on 2 of 3" in output
    fleet.log.control(available=False)
    status, output, errors = run_cli(
        fleet, daemons, "policy", "show", "--timeout-s", "2"
    )
    assert (status, "n_layers=9" in output) == (0, True)
    assert "the log can't be read, asking daemons" in errors


def test_unknown_rules_version_keeps_the_policy_in_force(fleet, partitioned):
    daemon = partitioned.start("d1", "cautin")
    fleet.wait_ready(daemon)
    record = encode(RulesRecord(version=2, author="ana"))
    request("POST", fleet.log.address, "/streams/policy", record)
    fleet.publish(EntryKind.MODEL, "late", {"n_layers": 4})
    wait_for(lambda: "needs version 2 of the rules" in not_ready_reasons(daemon))
    models = json.loads(get_as_operator(daemon, "/operators/policy"))["entries"]
    assert not [entry for entry in models if entry["name"] == "late"]
    path = models_file(fleet, "a.toml", 9)
    status, _, error = run_cli(fleet, [daemon], "policy", "apply", path)
    assert status == 2
    assert "newer release" in error


def test_exception_is_in_force_until_it_expires(fleet, partitioned):
    daemon = partitioned.start("d1", "cautin")
    fleet.wait_ready(daemon)
    expires = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(time.time() + 4))
    path = write_file(
        fleet,
        "a.toml",
        "[exceptions.rush]\nreason='fair'\nauthor='ana'\norganisation='osorno'\n"
        f"expires={expires}\nlimits={{max_tokens=1}}\n",
    )
    assert run_cli(fleet, [daemon], "policy", "apply", path, "--wait")[0] == 0

    def answer(token):
        body = {"model": "draft", "prompt": "x", "max_tokens": 2}
        headers = bearer(token)
        return request("POST", daemon.address, "/v1/completions", body, headers)[0]

    assert (answer("osorno-token"), answer("savinja-token")) == (400, 503)
    wait_for(lambda: answer("osorno-token") == 503, PROPAGATION_BOUND_S)
    shown = run_cli(fleet, [], "policy", "show")[1]
    assert "expired" in shown
    assert "fair" in shown


def test_rejected_change_reports_the_accepted_one(fleet):
    """Another operator publishes between the reading and the append of a change."""
    shared = read_context(Namespace(log=fleet.log.address, timeout_s=5.0), {})
    bor_file, ana_file = (models_file(fleet, f"{n}.toml", n) for n in (9, 10))

    async def publish_after_a_race():
        with PolicyLog(shared) as log:
            await log.read_to_end()
            wanted = read_policy_file(bor_file.read_text(), "bor.toml")
            (change,) = plan_changes(log.state, wanted)
            arguments = ("policy", "apply", ana_file, "--author", "ana")
            assert run_cli(fleet, [], *arguments)[0] == 0
            record = build_record(change, "bor", lambda: "bor-1")
            return await publish(log, [record], shared.timeout_s)

    (rejected,) = asyncio.run(publish_after_a_race())
    assert rejected.outcome is Outcome.REJECTED
    assert rejected.reason == "ana changed model draft at offset 5"
    for based_on, status in (("5", 3), ("6", 0)):
        arguments = ("policy", "apply", bor_file, "--based-on", based_on)
        got, _, error = run_cli(fleet, [], *arguments)
        assert got == status
        assert ("model draft at offset 5 by ana" in error) is (status == 3)


@pytest.mark.parametrize("fault", ["drop-answers", "outage"])
def test_apply_reports_the_outcome_through_log_faults(fleet, fault):
    route = fleet.start_proxy("operator", fleet.log.address)
    path = models_file(fleet, "a.toml", 9)
    if fault == "outage":
        fleet.log.control(available=False)
        threading.Timer(2.0, fleet.log.control, kwargs={"available": True}).start()
    else:
        fleet.log.control(lose_answers=True)
    arguments = ("policy", "apply", path, "--json")
    status, output, error = run_cli(fleet, [], *arguments, log=route.address)
    assert status == 0, error
    (change,) = json.loads(output)["changes"]
    assert (change["outcome"], change["offset"]) == ("accepted", 5)
    assert len(read_stream(fleet)) == 6


def test_append_that_takes_effect_after_its_timeout(fleet):
    path = models_file(fleet, "a.toml", 9)
    fleet.log.control(delay_s=2.0)
    arguments = ("policy", "apply", path, "--json", "--timeout-s", "1")
    status, output, _ = run_cli(fleet, [], *arguments)
    (change,) = json.loads(output)["changes"]
    assert (status, change["outcome"]) == (4, "unknown")
    fleet.log.control(delay_s=0.0)
    wait_for(lambda: len(read_stream(fleet)) == 6)
    status, output, _ = run_cli(fleet, [], "policy", "apply", path)
    assert (status, output.strip()) == (0, "nothing to publish: no entry differs")


class RacingOperators:
    """Operators publish concurrently under faults; records samples and outcomes."""

    def __init__(self, fleet, partitioned, seed):
        self.fleet, self.partitioned = fleet, partitioned
        self.random_state = random.Random(seed)
        self.stop = threading.Event()
        self.samples, self.changes, self.isolations = [], [], []
        self.stream = []
        self.domains = {}
        self.n_daemons = 0
        self.operator_route = fleet.start_proxy("operators", fleet.log.address)
        self.operator_route.set("pass", delay_s=0.05)

    def start_daemon(self, domain):
        self.n_daemons += 1
        name = f"d{self.n_daemons}"
        self.domains[name] = domain
        self.partitioned.start(name, domain, log_retention_s=RETENTION_S)

    def publish_changes(self, author):
        n_layers = 1000 * author
        while not self.stop.is_set():
            n_layers += 1
            path = models_file(self.fleet, f"op-{author}.toml", n_layers)
            arguments = ("policy", "apply", path, "--json", "--author", f"op-{author}")
            status, output, _ = run_cli(
                self.fleet, [], *arguments, log=self.operator_route.address
            )
            assert status in (0, 1, 3, 4)
            self.changes += json.loads(output).get("changes", [])

    def inject_faults(self):
        faults = (
            self.outage,
            self.lose_answers,
            self.cut_log,
            self.isolate,
            self.replace_daemon,
            self.replace_daemon,
            self.append_junk,
        )
        end_s = time.monotonic() + HISTORY_S
        while time.monotonic() < end_s:
            self.random_state.choice(faults)()
            time.sleep(self.random_state.uniform(0.1, 0.6))

    def outage(self):
        self.fleet.log.control(available=False)
        time.sleep(1.0)
        self.fleet.log.control(available=True)

    def lose_answers(self):
        self.operator_route.set("drop-answers")
        time.sleep(0.7)
        self.operator_route.set("pass")

    def cut_log(self):
        domain = self.random_state.choice(DOMAINS)
        self.partitioned.log_routes[domain].set(
            self.random_state.choice(["cut", "silence"])
        )
        time.sleep(1.5)
        self.partitioned.log_routes[domain].set("pass")

    def isolate(self):
        domain = self.random_state.choice(DOMAINS)
        begin_s = time.time()
        self.partitioned.log_routes[domain].set("cut")
        self.partitioned.set_peers(domain, "cut")
        time.sleep(self.random_state.choice([1.5, RETENTION_S + 1.0]))
        self.partitioned.set_peers(domain, "pass")
        self.partitioned.log_routes[domain].set("pass")
        self.isolations.append(Isolation(domain, begin_s, time.time()))

    def replace_daemon(self):
        name = self.random_state.choice(sorted(self.partitioned.daemons))
        self.start_daemon(self.partitioned.kill(name))

    def append_junk(self):
        junk = self.random_state.randbytes(20)
        request("POST", self.fleet.log.address, "/streams/policy", junk)

    def running_daemons(self):
        return [daemon for _, daemon in self.partitioned.daemons.values()]

    def has_configuration(self, daemon):
        return policy_status(daemon)["next_offset"] > 0

    def has_rejected(self):
        return any(change["outcome"] == "rejected" for change in self.changes)

    def run(self):
        for domain in DOMAINS * 2:
            self.start_daemon(domain)
        threads = [
            threading.Thread(target=target, args=arguments)
            for target, arguments in (
                (copy_stream, (self.fleet, self.stream, self.stop)),
                (sample_daemons, (self.partitioned, self.samples, self.stop)),
                *((self.publish_changes, (author,)) for author in (1, 2, 3)),
            )
        ]
        for thread in threads:
            thread.start()
        # A configuration that the log drops before any daemon has read it is lost.
        wait_for(lambda: all(map(self.has_configuration, self.running_daemons())))
        self.fleet.log.control(retention_s=RETENTION_S, cut_seed=SEED)
        try:
            self.inject_faults()
            wait_for(self.has_rejected, REJECTION_BOUND_S)
            end = len(self.stream)
            daemons = self.running_daemons()
            wait_for(
                lambda: all(policy_status(d)["next_offset"] >= end for d in daemons),
                PROPAGATION_BOUND_S,
            )
        finally:
            self.stop.set()
            for thread in threads:
                thread.join()
            self.stream += read_stream(self.fleet, len(self.stream))


def test_history_of_concurrent_operators(fleet, partitioned):
    history = RacingOperators(fleet, partitioned, SEED)
    history.run()
    checker = PolicyChecker(history.stream)
    checker.check_order(history.samples)
    checker.check_reported_outcomes(history.changes)
    delays_s = checker.check_propagation(
        history.samples, history.domains, history.isolations
    )
    outcomes = [change["outcome"] for change in history.changes]
    print(
        f"{len(history.samples)} samples of {history.n_daemons} daemons, "
        f"{ {o: outcomes.count(o) for o in sorted(set(outcomes))} }, "
        f"{len(history.isolations)} isolations, "
        f"longest propagation {max(delays_s):.2f} s"
    )
    assert {"accepted", "rejected"} <= set(outcomes)
    for _, daemon in partitioned.daemons.values():
        assert b"policy.disagreement" not in get_as_operator(
            daemon, "/operators/events"
        )
