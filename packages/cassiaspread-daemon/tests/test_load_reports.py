"""Load that daemons report to each other: what each receiver uses, and no more."""

import asyncio

import msgspec
import pytest

from cassiaspread_core.chains import LoadLedger, StageLoad
from cassiaspread_core.targets import TargetHealth
from cassiaspread_daemon.gateway._loads import LoadReport, LoadSharing
from cassiaspread_daemon.mesh import DeltaTopic
from cassiaspread_daemon.mesh._gossip import Topic, Topics
from cassiaspread_daemon.mesh._message import Sender

N_ENGINES = 400
N_PEERS = 30
N_OWN = 3


class FakeMesh:
    def add_topic(self, name, produce, body_type, consume, produce_cross_domain):
        self.produce, self.consume = produce, consume
        self.produce_cross_domain = produce_cross_domain


class Daemon:
    def __init__(self, domain):
        self.mesh, self.ledger = FakeMesh(), LoadLedger()
        self.sharing = LoadSharing(
            domain, self.mesh, self.ledger, TargetHealth(), lambda: None
        )


def sender(domain, n=0):
    return Sender(f"vm{n}", domain, f"i-{domain}-{n}", f"10.0.0.{n}:1")


def in_loop(function):
    """Run a test in an event loop, whose clock the reports are dated by."""

    def run():
        async def main():
            function()

        asyncio.run(main())

    run.__name__ = function.__name__
    return run


def busy_daemon():
    """Return a daemon whose peers use all engines of its domain."""
    daemon = Daemon("celje")
    for n in range(N_OWN):
        daemon.ledger.add(f"i-{n:010x}", StageLoad(1, 100.0, 1))
    for n in range(N_PEERS):
        engines = range(n, N_ENGINES, N_PEERS)
        own = {f"i-{m:010x}": (2, 500, 1) for m in engines}
        daemon.mesh.consume(LoadReport(own, {}), sender("celje", n))
    return daemon


@in_loop
def test_report_to_the_own_domain_does_not_grow_with_the_load_of_others():
    report = busy_daemon().mesh.produce()
    assert report.own == {f"i-{n:010x}": (1, 100, 1) for n in range(N_OWN)}
    assert report.domain == {}
    idle = Daemon("celje")
    for n in range(N_OWN):
        idle.ledger.add(f"i-{n:010x}", StageLoad(1, 100.0, 1))
    assert msgspec.msgpack.encode(report) == msgspec.msgpack.encode(idle.mesh.produce())


@in_loop
def test_report_to_another_domain_has_the_total_of_the_domain():
    report = busy_daemon().mesh.produce_cross_domain()
    assert report.own == {}
    assert len(report.domain) == N_ENGINES
    assert report.domain["i-0000000000"] == (3, 600, 2)
    assert report.domain[f"i-{N_OWN:010x}"] == (2, 500, 1)


@in_loop
def test_totals_of_another_domain_outlast_a_report_that_has_none():
    daemon = Daemon("velenje")
    total = LoadReport({}, {"e": (4, 40, 4)}, is_total=True)
    daemon.mesh.consume(total, sender("celje"))
    # Their senders take this daemon for one of their own domain.
    for n, own in enumerate(({"e": (1, 10, 1)}, {}), 1):
        daemon.mesh.consume(LoadReport(own, {}), sender("celje", n))
    assert daemon.ledger.total("e") == StageLoad(4, 40, 4)
    daemon.mesh.consume(LoadReport({}, {}, is_total=True), sender("celje"))
    assert daemon.ledger.total("e") == StageLoad()


@pytest.mark.parametrize(("is_cross_domain", "expected"), [(False, 1), (True, 2)])
def test_daemons_of_other_domains_get_the_body_for_them(is_cross_domain, expected):
    received = []
    near, far = Topics(), Topics()
    near.add("news", Topic(lambda: 1, int, lambda body, of: None, lambda: 2))
    far.add("news", Topic(lambda: None, int, lambda body, of: received.append(body)))
    far.consume(near.produce("i-far", is_cross_domain, {}, 1.0), sender("celje"))
    assert received == [expected]


@pytest.mark.parametrize("n_entries", [0, 300])
def test_entries_for_other_domains_arrive_after_a_first_message(n_entries):
    """A position in the log of one domain is not taken for one in the other log."""
    near, far, received = Topics(), Topics(), []
    local, notices = DeltaTopic(int, None, None), DeltaTopic(str, None, None)
    near.add_delta("targets", local)
    near.add_delta("leaving", notices)
    far.add_delta("leaving", DeltaTopic(str, None, lambda e, of: received.append(e)))
    for n in range(n_entries):
        local.put(n, n)
    is_known = False
    for now_s in range(4):
        peer = "i-velenje-0" if is_known else None
        message = near.produce(peer, is_known, {}, float(now_s))
        far.consume(message, sender("celje"))
        reply = far.produce("i-celje-0", True, {}, float(now_s))
        near.consume(reply, sender("velenje"))
        if not is_known:
            notices.put("e", "e leaves")
            notices.put("e", "e leaves", is_cross_domain=True)
        is_known = True
    assert received == ["e leaves"]
