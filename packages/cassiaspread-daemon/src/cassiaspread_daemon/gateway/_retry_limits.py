"""Retry budgets of this daemon, and loans from daemons that need theirs less.

The budget of a service is divided among all daemons. The streams of a lost engine
belong to a few of them, while the others need no retries.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable

import msgspec

from cassiaspread_core.admission import RetryWindow
from cassiaspread_core.base import Count, RequestId, ServiceId
from cassiaspread_core.membership import Member
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._gateway_metrics import GatewayMetrics
from cassiaspread_daemon.gateway._job import TakeRetry, now
from cassiaspread_daemon.mesh import Mesh, PeerUnreachable, Sender

KIND = "retry-loan"
# Daemons asked for a loan at once, and retries asked of each.
N_LENDERS = 3
N_RETRIES_ASKED = 2
# A message that is not answered in time also closes the connection to the peer.
ASK_TIMEOUT_S = 0.25
# Loans are used within this time, in seconds, since the lender counts them at once and
# not when they are used.
LOAN_LIFETIME_S = 1.0
# Time after a request for a loan that brought nothing, in seconds.
PAUSE_S = 0.3


class LoanRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for retries of another daemon's budget.

    :param service: the service.
    :param n_retries: number of retries asked.
    """

    service: ServiceId
    n_retries: Count


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Retries that another daemon does not use.

    :param n_retries: their number.
    """

    n_retries: Count


class _Budget:
    """Budget of one service at this daemon."""

    def __init__(self, window: RetryWindow) -> None:
        self.window = window
        # Times until which borrowed retries may be used.
        self.loans: deque[float] = deque()
        self.borrowing: asyncio.Task[None] | None = None
        self.pause_until_s = float("-inf")

    def take_loan(self, now_s: float) -> bool:
        while self.loans and self.loans[0] < now_s:
            self.loans.popleft()
        if not self.loans:
            return False
        self.loans.popleft()
        return True


class RetryLimits:
    """Retry budgets of this daemon, by service.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed in a window beyond that, over all daemons.
    :param window_s: length of the window in seconds.
    :param count_daemons: returns how many daemons share the slack.
    :param mesh: messages between daemons; ``None`` if they do not communicate.
    :param fleet: the daemons that may lend.
    :param log: receives a line for each retry that is denied.
    :param metrics: counts retries.
    :param random_state: selects lenders.
    :param started_s: when this daemon started, on the monotonic clock in seconds.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        count_daemons: Callable[[], int],
        mesh: Mesh | None,
        fleet: FleetView,
        log: DecisionLog,
        metrics: GatewayMetrics,
        random_state: random.Random,
        started_s: float,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._count_daemons = count_daemons
        self._mesh = mesh
        self._fleet = fleet
        self._log = log
        self._metrics = metrics
        self._random_state = random_state
        self._started_s = started_s
        self._budgets: dict[ServiceId, _Budget] = {}
        if mesh is not None:
            mesh.register(KIND, LoanRequest, self._lend)

    def record_request(self, service: ServiceId, request_id: RequestId) -> TakeRetry:
        """Count a new request.

        :param service: service that runs the request.
        :param request_id: the request.
        :returns: function that takes one retry from the service's budget, if any is
            left here or at another daemon.
        """
        budget = self._budget(service)
        budget.window.record_request(now())

        async def take_retry() -> bool:
            is_allowed = self._take(budget)
            if not is_allowed and await self._borrow(service, budget):
                is_allowed = self._take(budget)
            self._metrics.record_retry(is_allowed)
            if not is_allowed:
                self._log.record(
                    "retry.denied",
                    request=request_id,
                    service=service,
                    **budget.window.usage(now(), self._count_daemons())._asdict(),
                )
            return is_allowed

        return take_retry

    def _budget(self, service: ServiceId) -> _Budget:
        budget = self._budgets.get(service)
        if budget is None:
            window = RetryWindow(
                self._ratio, self._slack, self._window_s, self._started_s
            )
            budget = self._budgets[service] = _Budget(window)
        return budget

    def _take(self, budget: _Budget) -> bool:
        is_own = budget.window.try_acquire(now(), self._count_daemons())
        return is_own or budget.take_loan(now())

    async def _borrow(self, service: ServiceId, budget: _Budget) -> bool:
        """Ask some daemons for retries, unless that just brought nothing.

        :returns: whether it is worth trying again.
        """
        if self._mesh is None or now() < budget.pause_until_s:
            return False
        if budget.borrowing is None or budget.borrowing.done():
            asking = self._ask_lenders(self._mesh, service, budget)
            budget.borrowing = asyncio.create_task(asking)
        await asyncio.shield(budget.borrowing)
        return bool(budget.loans)

    async def _ask_lenders(
        self, mesh: Mesh, service: ServiceId, budget: _Budget
    ) -> None:
        own = mesh.sender.incarnation
        others = [m for m in self._fleet.members(now()) if m.incarnation != own]
        lenders = self._random_state.sample(others, min(N_LENDERS, len(others)))
        request = LoanRequest(service, N_RETRIES_ASKED)
        counts = await asyncio.gather(
            *(self._ask_lender(mesh, lender, request) for lender in lenders)
        )
        if not sum(counts):
            budget.pause_until_s = now() + PAUSE_S
        budget.loans.extend([now() + LOAN_LIFETIME_S] * sum(counts))

    async def _ask_lender(
        self, mesh: Mesh, lender: Member, request: LoanRequest
    ) -> int:
        try:
            loan = await mesh.ask(lender.address, KIND, request, Loan, ASK_TIMEOUT_S)
        except PeerUnreachable as error:
            # What it lent, if anything, is used by nobody.
            self._log.record("peer.not_told", peer=lender.address, reason=str(error))
            return 0
        return max(0, min(loan.n_retries, request.n_retries))

    async def _lend(self, request: LoanRequest, sender: Sender) -> Loan:
        window = self._budget(request.service).window
        n_lent = window.lend(request.n_retries, now(), self._count_daemons())
        return Loan(n_lent)
