"""Permits for the links between failure domains.

One daemon keeps the schedule of each link. A stream whose chain crosses it asks there
for a permit, which takes as long as a message between the domains. If that daemon does
not answer, this one admits its share of what the link transfers.
"""

import asyncio

import msgspec

from cassiaspread_core.chains import (
    MAX_WAIT_RATIO,
    LinkId,
    LinkSchedule,
    links_of,
    transfer_s,
)
from cassiaspread_core.membership import Member, rank_members
from cassiaspread_daemon.gateway._decision_log import DecisionLog
from cassiaspread_daemon.gateway._dispatch import Assignment, Dispatcher
from cassiaspread_daemon.gateway._fleet_view import FleetView
from cassiaspread_daemon.gateway._job import Job, now
from cassiaspread_daemon.mesh import Mesh, PeerUnreachable, Sender

KIND = "link-permit"
# A message that is not answered in time also closes the connection to the peer.
ASK_TIMEOUT_S = 0.25
# Shortest time for which a link is avoided after a refusal, in seconds.
MIN_CLOSED_S = 0.02


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for a link.

    :param link: the link.
    :param work_s: time for which it is needed, in seconds; negative to give it back.
    :param max_wait_s: longest wait for others, in seconds.
    """

    link: LinkId
    work_s: float
    max_wait_s: float


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a request for a link.

    :param wait_s: 0 if the link was given; otherwise the time after which to ask again,
        in seconds.
    """

    wait_s: float


class LinkPermits:
    """Asks for the links that chains cross, and keeps the schedules of some of them.

    :param mesh: messages between daemons; ``None`` if they do not communicate.
    :param fleet: the daemons that share the links.
    :param dispatcher: avoids the links that are in use.
    :param log: receives a line for each link that is refused.
    """

    def __init__(
        self,
        mesh: Mesh | None,
        fleet: FleetView,
        dispatcher: Dispatcher,
        log: DecisionLog,
    ) -> None:
        self._mesh = mesh
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._log = log
        self._schedules: dict[LinkId, LinkSchedule] = {}
        # For links whose schedule can't be reached.
        self._own_shares: dict[LinkId, LinkSchedule] = {}
        if mesh is not None:
            mesh.register(KIND, PermitRequest, self._answer)

    async def acquire(self, assignment: Assignment, job: Job) -> bool:
        """Take all links that a chain crosses, or none.

        A link that is in use is avoided until it is free.

        :param assignment: the chain.
        :param job: the request.
        """
        model = job.service.model
        work_s = 0.0 if model is None else transfer_s(model, job.demand)
        if not work_s:
            return True
        max_wait_s = MAX_WAIT_RATIO * job.route.max_event_gap_s
        taken: list[LinkId] = []
        for link in links_of(assignment.chain):
            wait_s = await self._ask(PermitRequest(link, work_s, max_wait_s))
            if not wait_s:
                taken.append(link)
                continue
            self._log.record(
                "link.busy",
                request=job.parameters.request_id,
                link=link,
                work_ms=round(work_s * 1000),
                wait_ms=round(wait_s * 1000),
            )
            for other in taken:
                await self._ask(PermitRequest(other, -work_s, 0.0))
            self._close(link, max(wait_s, MIN_CLOSED_S))
            return False
        return True

    def _close(self, link: LinkId, duration_s: float) -> None:
        self._dispatcher.close_link(link, now() + duration_s)
        loop = asyncio.get_running_loop()
        loop.call_later(duration_s, self._dispatcher.record_targets_changed)

    async def _ask(self, request: PermitRequest) -> float:
        sharing = [m for m in self._fleet.members(now()) if m.domain in request.link]
        keeper = _find_keeper(request.link, sharing)
        if self._mesh is None or keeper is None:
            return self._take(self._schedules, request)
        if keeper.incarnation == self._mesh.sender.incarnation:
            return self._take(self._schedules, request)
        try:
            answer = await self._mesh.ask(
                keeper.address, KIND, request, PermitAnswer, ASK_TIMEOUT_S
            )
        except PeerUnreachable as error:
            self._log.record("peer.not_told", peer=keeper.address, reason=str(error))
            share = msgspec.structs.replace(
                request, work_s=request.work_s * max(1, len(sharing))
            )
            return self._take(self._own_shares, share)
        return answer.wait_s

    async def _answer(self, request: PermitRequest, sender: Sender) -> PermitAnswer:
        return PermitAnswer(self._take(self._schedules, request))

    def _take(
        self, schedules: dict[LinkId, LinkSchedule], request: PermitRequest
    ) -> float:
        schedule = schedules.setdefault(request.link, LinkSchedule())
        if request.work_s < 0:
            schedule.give_back(-request.work_s)
            return 0.0
        return schedule.try_acquire(request.work_s, request.max_wait_s, now())


def _find_keeper(link: LinkId, sharing: list[Member]) -> Member | None:
    ranked = rank_members(f"{KIND}-{link[0]}-{link[1]}", sharing)
    return ranked[0] if ranked else None
