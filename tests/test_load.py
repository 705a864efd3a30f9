"""Prompt, correct refusals under overload, and fairness to light organisations."""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from statistics import quantiles

import pytest

from cassiaspread_core.policy import EntryKind, hash_token
from tests.fleet import Fleet, bearer, request, wait_for

N_TOKENS = 10
STEP_MS = 10.0
N_SLOTS = 4
HEAVY, LIGHT = "osorno", ("savinja", "zalec", "velenje")
# A refusal is sent without waiting; the bound allows for a busy machine.
PROMPT_BOUND_S = 2.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("load")) as fleet:
        fleet.publish_base_configuration()
        for organisation in LIGHT[1:]:
            value = {"token_sha256": [hash_token(f"{organisation}-token")]}
            fleet.publish(EntryKind.ORGANISATION, organisation, value)
        for name, begin, end in (("h", 0, 4), ("t", 4, 8)):
            for index in range(2):
                fleet.start_engine(
                    f"{name}{index}",
                    "cautin",
                    begin,
                    end,
                    step_ms=STEP_MS,
                    n_slots=N_SLOTS,
                )
        for index in range(2):
            daemon = fleet.start_daemon(f"d{index}", "cautin")
            fleet.wait_ready(daemon)
            wait_for(lambda d=daemon: complete(d, HEAVY)[0] == 200)
        yield fleet


def daemons_of(fleet):
    return [fleet.processes[f"d{index}"] for index in range(2)]


def complete(daemon, organisation, timeout_s=30.0, n_tokens=N_TOKENS):
    """Return the status, headers, parsed body and duration in seconds."""
    body = {"model": "draft", "prompt": organisation, "max_tokens": n_tokens}
    headers = bearer(f"{organisation}-token", **{"X-Request-Timeout": str(timeout_s)})
    started_s = time.monotonic()
    status, answer_headers, answer = request(
        "POST", daemon.address, "/v1/completions", body, headers
    )
    elapsed_s = time.monotonic() - started_s
    return status, answer_headers, json.loads(answer), elapsed_s


def burst(fleet, organisation, n_requests, n_threads, timeout_s):
    daemons = daemons_of(fleet)
    with ThreadPoolExecutor(n_threads) as pool:
        jobs = [
            pool.submit(complete, daemons[n % 2], organisation, timeout_s)
            for n in range(n_requests)
        ]
        return [job.result() for job in jobs]


def test_refusals_are_prompt_and_correct(fleet):
    answers = burst(fleet, HEAVY, n_requests=200, n_threads=100, timeout_s=1.5)
    refused = [a for a in answers if a[0] in (429, 503)]
    assert len(refused) > 20
    assert sum(a[0] == 200 for a in answers) > 20
    for _, headers, problem, _ in refused:
        assert problem["outcome"] == "not-run"
        assert int(headers["Retry-After"]) >= 1
    ids = refused_requests(fleet)
    assert len(ids) == len(refused)
    assert not ids & {step["request"] for step in all_steps(fleet)}
    # Some are refused on arrival, the others once they are certain to be late.
    assert min(a[3] for a in refused) < PROMPT_BOUND_S
    assert max(a[3] for a in refused) < 1.5 + PROMPT_BOUND_S


def refused_requests(fleet):
    return {
        event["request"]
        for daemon in daemons_of(fleet)
        for event in json.loads(
            request(
                "GET",
                daemon.address,
                "/operators/events",
                headers=bearer("operator-token"),
            )[2]
        )
        if event["kind"] == "admission.refused"
    }


def all_steps(fleet):
    return [step for name in ("h0", "h1", "t0", "t1") for step in fleet.history(name)]


def test_light_organisations_are_served_beside_a_heavy_one(fleet):
    def complete_light(index):
        daemon = daemons_of(fleet)[index % 2]
        time.sleep(0.05 * (index % 7))
        return complete(daemon, LIGHT[index % len(LIGHT)], 10.0)

    with ThreadPoolExecutor(3) as pool:
        alone = list(pool.map(complete_light, range(30)))
    with ThreadPoolExecutor(1) as heavy:
        heavy_burst = heavy.submit(burst, fleet, HEAVY, 240, 120, 8.0)
        time.sleep(1.0)
        with ThreadPoolExecutor(3) as pool:
            with_heavy = list(pool.map(complete_light, range(30)))
        answers = heavy_burst.result()
    assert [a[0] for a in alone + with_heavy] == [200] * 60
    heavy_p50_s = quantiles([a[3] for a in answers if a[0] == 200], n=2)[0]
    light_p95_s = quantiles([a[3] for a in with_heavy], n=20)[-1]
    assert light_p95_s < 0.75 * heavy_p50_s
