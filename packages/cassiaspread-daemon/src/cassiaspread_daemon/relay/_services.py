"""Components shared by all generations of a daemon."""

import random

from cassiaspread_core.base import DomainId
from cassiaspread_core.timeline import EventRing
from cassiaspread_daemon._supervisor import Supervisor
from cassiaspread_daemon.adapters import EngineClient
from cassiaspread_daemon.fleet import TargetRegistry
from cassiaspread_daemon.load import Admission, PlanCosts
from cassiaspread_daemon.mesh import Mesh
from cassiaspread_daemon.relay._canceller import Canceller
from cassiaspread_daemon.relay._locator import RequestLocator
from cassiaspread_daemon.relay._planner import Planner

# Owner numbers fill the low bits of attempt numbers; see ``next_attempt``.
N_OWNERS = 1 << 16


class RelayServices:
    """Owns the components shared by all generations.

    :param engines: client of the engines.
    :param targets: registry of the targets.
    :param costs: costs of plans.
    :param admission: holds the retry budgets.
    :param mesh: messages to other daemons.
    :param domain: failure domain of this daemon.
    :param events: the time line.
    :param random_state: draws the owner number, which distinguishes this daemon's
        attempts.
    """

    def __init__(
        self,
        engines: EngineClient,
        targets: TargetRegistry,
        costs: PlanCosts,
        admission: Admission,
        mesh: Mesh,
        domain: DomainId,
        events: EventRing,
        random_state: random.Random,
    ) -> None:
        self.engines = engines
        self.targets = targets
        self.costs = costs
        self.admission = admission
        self.events = events
        self.owner = random_state.randrange(N_OWNERS)
        self.planner = Planner(targets, costs)
        self.locator = RequestLocator(engines, targets, mesh, domain, events)
        self.canceller = Canceller(engines)

    def start(self, supervisor: Supervisor) -> None:
        """Start the background tasks.

        :param supervisor: supervisor that runs them.
        """
        supervisor.start("traces", self.locator.run)
        supervisor.start("canceller", self.canceller.run)
