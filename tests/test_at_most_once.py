"""Non-idempotent calls run at most once under faults of daemons, log and targets."""

import json
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import uuid6

from cassiaspread_core.base import Incarnation
from cassiaspread_core.claims import (
    N_PARTITIONS,
    ScopedKey,
    compute_partition,
    create_ticket_key,
)
from tests.booking_history import CALLER, PATH, book, find_violations, new_key
from tests.fleet import Fleet, bearer, read_report, request, wait_for

SERVICES = ("booking-1", "booking-2")
DAEMONS = ("d1", "d2", "d3")
UNREACHABLE = "127.0.0.1:9"
# How often a booking is repeated because the log did not respond in time.
MAX_REPEATS = 3
# Calls that end at their deadline, at once, and how late the refusal that is the least
# late may arrive, for its way to the caller.
N_AT_DEADLINE = 3
ANSWER_WAY_S = 0.1


class BookingFleet:
    """Three daemons, each with its own proxy route to the log, and two targets."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        fleet.publish_base_configuration()
        for name in SERVICES:
            fleet.start_service(name, "cautin")
        self.routes = {n: fleet.start_proxy(n, fleet.log.address) for n in DAEMONS}
        for name in DAEMONS:
            fleet.start_daemon(name, "cautin", log=self.routes[name].address)
        self.daemons = [fleet.processes[name] for name in DAEMONS]
        for daemon in self.daemons:
            fleet.wait_ready(daemon)
            wait_for(lambda d=daemon: self.get(d) == 200)
            wait_for(lambda d=daemon: book(d, new_key()).status == 200)
        for daemon in self.daemons:
            wait_for(lambda d=daemon: self.runs_tickets_of_all(d))

    def runs_tickets_of_all(self, daemon) -> bool:
        """Return whether the daemon runs the tickets of all daemons."""
        tickets = [self.ticket(other) for other in self.daemons]
        return all(book(daemon, ticket).status == 200 for ticket in tickets)

    def get(self, daemon) -> int:
        return request("GET", daemon.address, PATH, headers=CALLER)[0]

    def runs(self) -> list[dict]:
        history = [run for name in SERVICES for run in self.fleet.history(name)]
        return [run for run in history if run["method"] == "POST"]

    def runs_of(self, key: str) -> list[dict]:
        return [run for run in self.runs() if run["key"] == key]

    def control_services(self, **fields) -> None:
        for name in SERVICES:
            self.fleet.processes[name].control(**fields)

    def clear_faults(self) -> None:
        self.fleet.log.control(available=True, lose_answers=False, delay_s=0)
        self.control_services(delay_s=0, lose_answers=False)
        for route in self.routes.values():
            route.set("pass")

    def ticket(self, daemon) -> str:
        return json.loads(
            request("POST", daemon.address, "/v1/tickets", b"", CALLER)[2]
        )["key"]

    def was_append_unanswered(self, answer) -> bool:
        """Return whether an append for the key of a call got no response in time.

        The time line of the daemon that answered the call has to show it.
        """
        partition = compute_partition(ScopedKey("osorno", answer.key))
        return any(
            event.kind == "claims.append_failed"
            and event.process == answer.daemon
            and event.fields["partition"] == partition
            and event.fields["error"].startswith("no response within")
            and answer.invoked_s <= event.timestamp.wall_ms / 1000 <= answer.answered_s
            for event in self.fleet.events()
        )

    def list_services(self, addresses: dict[str, str]) -> None:
        for name, address in addresses.items():
            self.fleet.list_vm(name, "service", "booking", address, "cautin")

    def key_report(self, daemon, key: str) -> dict:
        path = f"/operators/keys/osorno/{key}"
        operator = bearer("operator-token")
        return json.loads(request("GET", daemon.address, path, headers=operator)[2])


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("bookings")) as fleet:
        yield BookingFleet(fleet)


@pytest.fixture
def own_bookings(tmp_path):
    with Fleet(tmp_path) as fleet:
        yield BookingFleet(fleet)


@pytest.fixture
def bookings(shared):
    shared.clear_faults()
    wait_for(lambda: all(book(d, new_key()).status == 200 for d in shared.daemons))
    yield shared
    shared.clear_faults()


def test_repeated_key_is_answered_from_the_stored_outcome(bookings):
    key = new_key()
    first = book(bookings.daemons[0], key)
    repeats = wait_for(
        lambda: [
            a
            for a in [book(d, key) for d in bookings.daemons]
            if a.status == 200 and a.is_replayed
        ]
    )
    assert not first.is_replayed
    assert {a.confirmation for a in repeats} == {first.confirmation}
    assert find_violations([first, *repeats], bookings.runs_of(key)) == []
    report = bookings.key_report(bookings.daemons[2], key)
    assert (report["state"], report["status"]) == ("answered", 200)
    assert report["claim"] == first.claim


def test_key_reused_for_another_call_is_refused(bookings):
    key = new_key()
    book(bookings.daemons[0], key)
    other = book(bookings.daemons[1], key, body=b'{"other":1}')
    assert (other.status, other.code, other.outcome) == (422, "key-reused", "not-run")
    assert len(bookings.runs_of(key)) == 1


@pytest.mark.parametrize(
    ("key", "code"),
    [
        ("slot-1", "bad-idempotency-key"),
        ("00a23e07-47d4-7b3f-8055-4254dc1ba464", "key-expired"),
        ("ff000000-47d4-7b3f-8055-4254dc1ba464", "key-from-future"),
    ],
)
def test_unusable_key_does_not_run(bookings, key, code):
    answer = book(bookings.daemons[0], key)
    assert (answer.status, answer.code) == (400, code)
    assert bookings.runs_of(key) == []


def test_booking_completes_when_answers_of_the_log_are_lost(bookings):
    bookings.fleet.log.control(lose_answers=True)
    key = new_key()
    answers = [book(bookings.daemons[0], key)]
    assert answers[0].status == 200
    wait_for(lambda: bookings.key_report(bookings.daemons[1], key)["status"] == 200)
    answers.append(book(bookings.daemons[1], key))
    assert answers[1].is_replayed
    assert find_violations(answers, bookings.runs_of(key)) == []


@pytest.mark.parametrize("fault", ["unavailable", "cut", "silent"])
def test_without_log_only_tickets_run(bookings, fault):
    d1, d2, _ = bookings.daemons
    if fault == "unavailable":
        bookings.fleet.log.control(available=False)
    for name in DAEMONS[:2]:
        bookings.routes[name].set(
            {"cut": "cut", "silent": "silence"}.get(fault, "pass")
        )
    key = new_key()
    refused = book(d1, key)
    first = book(d1, new_key(), **{"Idempotency-First-Call": "?1"})
    assert (refused.status, refused.outcome) == (503, "unknown")
    assert (first.status, first.outcome, first.retry_after) == (503, "not-run", "5")
    ticket = bookings.ticket(d1)
    answers = [book(d2, ticket), book(d1, ticket), book(d2, ticket)]
    assert [(a.status, a.code) for a in answers] == [(200, None)] * 3
    assert [a.is_replayed for a in answers] == [False, True, True]
    assert book(d2, ticket, body=b"[]").code == "key-reused"
    assert find_violations(answers, bookings.runs_of(ticket)) == []
    assert bookings.runs_of(key) == []
    bookings.clear_faults()
    wait_for(lambda: bookings.key_report(bookings.daemons[2], ticket)["status"] == 200)
    wait_for(lambda: book(d1, key).status == 200)


def test_daemon_frozen_between_claim_and_send_does_not_send(bookings):
    d1, d2, _ = bookings.daemons
    key = new_key()
    bookings.routes["d1"].set("pass", delay_s=0.4)
    connection = start_booking(d1, key, timeout_s=2.0)
    wait_for(lambda: bookings.key_report(d2, key)["state"] == "held")
    d1.signal(signal.SIGSTOP)
    try:
        assert bookings.runs_of(key) == []
        meanwhile = book(d2, key)
        time.sleep(2.5)
    finally:
        bookings.routes["d1"].set("pass", delay_s=0)
        d1.signal(signal.SIGCONT)
    status, problem = read_answer(connection)
    assert (meanwhile.status, meanwhile.outcome) == (409, "unknown")
    assert (status, problem["outcome"]) in [(504, "not-run"), (503, "not-run")]
    assert bookings.runs_of(key) == []
    wait_for(lambda: bookings.key_report(d2, key)["state"] == "free")
    again = book(d2, key)
    assert again.status == 200
    assert find_violations([meanwhile, again], bookings.runs_of(key)) == []


def test_claim_appended_after_its_timeout_is_void(bookings):
    d1, d2, _ = bookings.daemons
    key = new_key()
    bookings.fleet.log.control(delay_s=1.2)
    late = book(d1, key, timeout_s=0.6)
    assert (late.status, late.outcome) == (503, "not-run")
    wait_for(lambda: bookings.key_report(d2, key)["n_void_claims"] == 1)
    bookings.fleet.log.control(delay_s=0)
    again = wait_for(lambda: a if (a := book(d2, key)).status == 200 else None)
    assert find_violations([late, again], bookings.runs_of(key)) == []


def test_lost_answer_of_the_target_stays_unknown(bookings):
    key = new_key()
    bookings.control_services(lose_answers=True)
    answers = [book(bookings.daemons[0], key)]
    bookings.control_services(lose_answers=False)
    answers += [book(daemon, key) for daemon in bookings.daemons]
    assert [a.status for a in answers] == [502, 409, 409, 409]
    assert {a.outcome for a in answers} == {"unknown"}
    assert len(bookings.runs_of(key)) == 1


def test_sent_call_completes_after_deadline_or_disconnect(bookings):
    d1, d2, _ = bookings.daemons
    late, abandoned = new_key(), new_key()
    bookings.control_services(delay_s=1.5)
    connection = start_booking(d1, abandoned, timeout_s=10.0)
    wait_for(lambda: bookings.runs_of(abandoned))
    connection.close()
    answer = book(d1, late, timeout_s=0.8)
    assert (answer.status, answer.outcome) == (504, "unknown")
    for key in (late, abandoned):
        wait_for(lambda key=key: book(d2, key).status == 200)
        assert len(bookings.runs_of(key)) == 1


def test_claim_that_the_silent_log_does_not_show_is_given_up(bookings):
    d1, key = bookings.daemons[0], new_key()
    path = f"events?request={key}"
    with ThreadPoolExecutor(1) as pool:
        bookings.fleet.log.signal(signal.SIGSTOP)
        try:
            call = pool.submit(book, d1, key)
            wait_for(
                lambda: "claims.abandoned" in {e["kind"] for e in read_report(d1, path)}
            )
        finally:
            bookings.fleet.log.signal(signal.SIGCONT)
        refused = call.result()
    assert (refused.status, refused.code) == (503, "claim-unseen")
    assert bookings.was_append_unanswered(refused)
    again = wait_for(lambda: a if (a := book(d1, key)).status == 200 else None)
    assert find_violations([refused, again], bookings.runs_of(key)) == []


def test_unreachable_target_frees_the_key(bookings):
    fleet, key = bookings.fleet, new_key()
    d1, d2, _ = bookings.daemons
    addresses = {name: fleet.processes[name].address for name in SERVICES}
    refusals = []
    # A claim whose append got no response is given up, and rightly so.
    while not refusals or (
        refusals[-1].code == "claim-unseen"
        and len(refusals) <= MAX_REPEATS
        and bookings.was_append_unanswered(refusals[-1])
    ):
        wait_for(lambda: bookings.get(d1) == 200)
        bookings.list_services(dict.fromkeys(SERVICES, UNREACHABLE))
        wait_for(lambda: bookings.get(d1) == 502)
        refusals.append(book(d1, key))
        bookings.list_services(addresses)
    assert {refusal.outcome for refusal in refusals} == {"not-run"}
    assert refusals[-1].status == 502
    wait_for(lambda: bookings.get(d2) == 200)
    again = wait_for(lambda: a if (a := book(d2, key)).status == 200 else None)
    assert find_violations([*refusals, again], bookings.runs_of(key)) == []


def test_daemon_without_claim_history_does_not_run_keys(own_bookings):
    bookings, fleet = own_bookings, own_bookings.fleet
    key, unused_key = new_key(), new_key()
    assert book(bookings.daemons[0], key).status == 200
    wait_for(lambda: bookings.key_report(bookings.daemons[1], key)["status"] == 200)
    fleet.log.control(truncate={f"claims-{p}": 10_000 for p in range(N_PARTITIONS)})
    new_daemon = fleet.start_daemon("blank", "cautin")
    fleet.wait_ready(new_daemon)
    wait_for(lambda: bookings.get(new_daemon) == 200)
    answers = [book(new_daemon, k) for k in (key, unused_key)]
    assert [(a.status, a.outcome, a.code) for a in answers] == [
        (503, "unknown", "key-not-judged")
    ] * 2
    assert (len(bookings.runs_of(key)), bookings.runs_of(unused_key)) == (1, [])
    assert book(bookings.daemons[1], key).is_replayed
    assert new_daemon.stop() == 0


@pytest.mark.parametrize("first", [False, True])
def test_refusal_before_the_key_is_checked_has_the_right_outcome(bookings, first):
    starting = bookings.fleet.start_daemon(
        f"start-{first}", "cautin", log="127.0.0.1:9"
    )
    wait_for(lambda: request("GET", starting.address, "/healthz")[0] == 200)
    headers = {"Idempotency-First-Call": "?1"} if first else {}
    refused = book(starting, new_key(), **headers)
    starting.kill()
    assert refused.outcome == ("not-run" if first else "unknown")


def test_bookings_complete_while_a_committer_is_frozen(bookings):
    frozen, keys = bookings.daemons[2], [new_key() for _ in range(32)]
    frozen.signal(signal.SIGSTOP)
    try:
        with ThreadPoolExecutor(8) as pool:
            answers = list(pool.map(lambda k: book(bookings.daemons[0], k), keys))
    finally:
        frozen.signal(signal.SIGCONT)
    assert [a.status for a in answers] == [200] * len(keys)
    runs = [run for run in bookings.runs() if run["key"] in keys]
    assert find_violations(answers, runs) == []


@pytest.mark.parametrize("timeout_s", [0.3, 1.5])
@pytest.mark.parametrize("holder", ["frozen", "lost"])
def test_ticket_whose_daemon_is_silent_is_refused_in_time(bookings, holder, timeout_s):
    d1, d2, _ = bookings.daemons
    if holder == "frozen":
        tickets = [bookings.ticket(d2) for _ in range(N_AT_DEADLINE)]
        d2.signal(signal.SIGSTOP)
    else:
        incarnation = Incarnation(new_key())
        tickets = [
            create_ticket_key(incarnation, uuid6.uuid7()) for _ in range(N_AT_DEADLINE)
        ]
        bookings.routes["d1"].set("silence")
    try:
        refused = book_at_once(d1, tickets, timeout_s)
    finally:
        d2.signal(signal.SIGCONT)
        bookings.clear_faults()
    assert {a.outcome for a in refused} == {"unknown"}
    assert min(lateness_s(a, timeout_s) for a in refused) < ANSWER_WAY_S
    wait_for(lambda: bookings.runs_tickets_of_all(d1))
    again = []
    if holder == "frozen":
        again = [book(d1, ticket) for ticket in tickets]
        assert [a.status for a in again] == [200] * N_AT_DEADLINE
    runs = [run for run in bookings.runs() if run["key"] in tickets]
    assert find_violations([*refused, *again], runs) == []


@pytest.mark.parametrize("end", ["stop", "kill"])
def test_tickets_of_a_daemon_that_has_ended(bookings, end):
    d1 = bookings.daemons[0]
    leaving = bookings.fleet.start_daemon(f"ticket-{end}", "cautin")
    bookings.fleet.wait_ready(leaving)
    wait_for(lambda: book(d1, bookings.ticket(leaving)).status == 200)
    unused, used = bookings.ticket(leaving), bookings.ticket(leaving)
    first = book(leaving, used)
    wait_for(lambda: bookings.key_report(d1, used)["status"] == 200)
    if end == "stop":
        assert leaving.stop(30.0) == 0
    else:
        leaving.kill()
    again, never = book(d1, used), book(d1, unused)
    assert (again.status, again.is_replayed) == (200, True)
    assert again.confirmation == first.confirmation
    assert never.outcome == ("not-run" if end == "stop" else "unknown")
    assert bookings.runs_of(unused) == []


def book_at_once(daemon, keys, timeout_s):
    with ThreadPoolExecutor(len(keys)) as pool:
        return list(pool.map(lambda key: book(daemon, key, timeout_s), keys))


def lateness_s(answer, timeout_s) -> float:
    """Return how long after the caller's deadline an answer arrived, in seconds."""
    return answer.answered_s - answer.invoked_s - timeout_s


def start_booking(daemon, key, timeout_s):
    """Send a booking on a new connection; return it without reading the answer."""
    host, port = daemon.address.split(":")
    connection = socket.create_connection((host, int(port)))
    connection.sendall(
        f"POST {PATH} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n"
        f"Authorization: {CALLER['Authorization']}\r\nIdempotency-Key: {key}\r\n"
        f"X-Request-Timeout: {timeout_s}\r\nContent-Length: 2\r\n\r\n{{}}".encode()
    )
    return connection


def read_answer(connection):
    with connection, connection.makefile("rb") as stream:
        head, _, body = stream.read().partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)
