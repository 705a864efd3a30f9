"""A gateway at rest does little work."""

import time
from pathlib import Path

SETTLE_S = 3.0
REST_S = 4.0
# Of three daemons two may read a feed of their domain from the store. The third gets
# updates and gossip, renews its membership of the duty's group and checks for changes
# of the readers.
MAX_WAKES_PER_S = 18.0


def count_wakes(pid):
    """Return how often the main thread of a process has waited so far."""
    lines = Path(f"/proc/{pid}/task/{pid}/status").read_text().splitlines()
    values = dict(line.split(":", 1) for line in lines)
    return int(values["voluntary_ctxt_switches"])


def test_gateway_at_rest_waits_for_changes(bare_deployment):
    bare_deployment.publish_configuration(1)
    names = ("first", "second", "third")
    for name in names:
        bare_deployment.add_gateway(name, "celje", has_peers=True)
    time.sleep(SETTLE_S)
    pids = [bare_deployment.processes[name].pid for name in names]
    before = [count_wakes(pid) for pid in pids]
    time.sleep(REST_S)
    rates = [(count_wakes(p) - n) / REST_S for p, n in zip(pids, before, strict=True)]
    assert min(rates) <= MAX_WAKES_PER_S, rates
