"""Checks the answers to callers against the histories of a service's targets."""

import json
import time
from collections import defaultdict
from dataclasses import dataclass

import uuid6

from tests.fleet import Process, bearer, request

CALLER = bearer("osorno-token")
PATH = "/v1/services/booking/slots"


@dataclass
class Answer:
    """Answer to one call as its caller received it; ``status`` 0 if it was lost."""

    key: str
    status: int
    outcome: str | None
    code: str | None
    confirmation: str | None
    claim: str | None
    is_replayed: bool
    retry_after: str | None
    invoked_s: float
    answered_s: float
    daemon: str


def new_key() -> str:
    return str(uuid6.uuid7())


def book(daemon: Process, key: str, timeout_s=5.0, body=b"{}", **headers) -> Answer:
    invoked_s = time.time()
    headers = {"Idempotency-Key": key, "X-Request-Timeout": str(timeout_s)} | headers
    try:
        status, answer_headers, data = request(
            "POST", daemon.address, PATH, body, CALLER | headers, timeout_s + 3.0
        )
        value = json.loads(data)
    except (OSError, ValueError):
        status, answer_headers, value = 0, {}, {}
    return Answer(
        key,
        status,
        value.get("outcome"),
        (value.get("type") or "").rpartition(":")[2] or None,
        value.get("confirmation"),
        answer_headers.get("Cassiaspread-Claim"),
        answer_headers.get("Idempotency-Replayed") == "true",
        answer_headers.get("Retry-After"),
        invoked_s,
        time.time(),
        daemon.name,
    )


def find_violations(answers: list[Answer], runs: list[dict]) -> list[str]:
    """Return the contradictions between answers and runs.

    A run of a key contradicts a ``not-run`` answer if it precedes that call (the daemon
    must have had a record of it), or if no other call of the key can have sent it.
    """
    runs_of, calls_of = defaultdict(list), defaultdict(list)
    for run in runs:
        runs_of[run["key"]].append(run)
    for answer in answers:
        calls_of[answer.key].append(answer)
    violations = [f"{k} ran {len(r)} times" for k, r in runs_of.items() if len(r) > 1]
    violations += [f"{k} ran without a call" for k in runs_of if k not in calls_of]
    for answer in answers:
        key_runs = runs_of[answer.key]
        if answer.status == 200:
            confirmations = [run["confirmation"] for run in key_runs]
            claims = [run["claim"] for run in key_runs]
            if confirmations != [answer.confirmation] or claims != [answer.claim]:
                violations.append(
                    f"acknowledged, but the history has {key_runs}: {answer}"
                )
        elif answer.outcome == "not-run":
            violations += [
                f"not-run, but {run}: {answer}"
                for run in key_runs
                if run["time_s"] < answer.invoked_s
                or not _has_other_sender(answer, run, calls_of[answer.key])
            ]
        elif answer.status and answer.outcome != "unknown":
            violations.append(f"neither an answer nor a refusal: {answer}")
    return violations


def _has_other_sender(answer: Answer, run: dict, calls: list[Answer]) -> bool:
    return any(
        other is not answer
        and other.outcome != "not-run"
        and other.invoked_s <= run["time_s"]
        for other in calls
    )
